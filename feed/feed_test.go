package feed_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

// source is a collection in memory that can be told to fail.
type source struct {
	mu      sync.Mutex
	at      feed.Revision
	names   []string
	down    bool
	history feed.Revision // changes up to here are forgotten
	changes []feed.Change[string]
	calls   []time.Duration // the waits asked for
	changed chan struct{}
	// old is what a stale list gives, oldAt its revision; lists counts those
	// that were asked for, by whether they may be stale.
	old   []string
	oldAt feed.Revision
	lists map[bool]int
	// page bounds the items of a page; after each one call is refused.
	page, refuse int
}

var errDown = errors.New("down")

func (s *source) List(_ context.Context, after string, stale bool) (feed.Page[string], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Page[string]{}, errDown
	}
	if s.refuse > 0 {
		s.refuse--
		return feed.Page[string]{}, errDown
	}
	if s.lists == nil {
		s.lists = make(map[bool]int)
	}
	s.lists[stale]++
	names, at := s.names, s.at
	if stale {
		names, at = s.old, s.oldAt
	}
	var p feed.Page[string]
	p.Revision = at
	for _, n := range names {
		if n <= after {
			continue
		}
		if s.page > 0 && len(p.Items) == s.page {
			p.More = true
			break
		}
		p.Items = append(p.Items, feed.Item[string]{Name: n, Value: n})
		if s.page > 0 {
			s.refuse = 1 // the next call
		}
	}
	return p, nil
}

func (s *source) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[string], feed.Revision, error) {
	s.mu.Lock()
	s.calls = append(s.calls, wait)
	s.mu.Unlock()
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		down, history, at := s.down, s.history, s.at
		var fresh []feed.Change[string]
		for _, c := range s.changes {
			if c.Revision > after {
				fresh = append(fresh, c)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case after < history:
			return nil, 0, feed.ErrCompacted
		case len(fresh) > 0:
			return fresh, at, nil
		}
		select {
		case <-s.changed:
		case <-deadline:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *source) set(change func()) {
	s.mu.Lock()
	change()
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// heard collects what a feed tells.
type heard struct {
	listed   chan []feed.Item[string]
	changed  chan []feed.Change[string]
	lost     chan time.Time
	regained chan time.Time
}

func run(t *testing.T, s *source) (*feed.Feed[string], heard) {
	t.Helper()
	h := heard{make(chan []feed.Item[string], 8), make(chan []feed.Change[string], 8), make(chan time.Time, 8), make(chan time.Time, 8)}
	f := &feed.Feed[string]{
		Name: "test", Source: s, Log: hclog.NewNullLogger(), Wait: time.Minute,
		OnList:       func(_ time.Time, all []feed.Item[string]) { h.listed <- all },
		OnChange:     func(_ time.Time, changes []feed.Change[string]) { h.changed <- changes },
		OnDisconnect: func(now time.Time) { h.lost <- now },
		OnReconnect:  func(now time.Time) { h.regained <- now },
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-ended) })
	return f, h
}

// Story: the store forgets the changes that a watch asks for. What changed in
// between is in no event any more; only a list tells it.
func TestHistoryGoneListsAnew(t *testing.T) {
	s := &source{at: 5, names: []string{"a"}, changed: make(chan struct{}, 1)}
	_, h := run(t, s)
	require.Len(t, <-h.listed, 1)
	s.set(func() { s.at, s.history, s.names = 9, 8, []string{"a", "b"} })
	require.Len(t, <-h.listed, 2)
}

// Story: a process is cut off from the store for some seconds. When the path
// is back, the first watch waits for a change, and nothing changes; the return
// is noticed with the next change only, maybe a minute later. Whatever counts
// from the return, such as how long a server that left the registry is kept,
// then starts too late.
func TestReturnIsToldAtOnce(t *testing.T) {
	s := &source{at: 5, names: []string{"a"}, changed: make(chan struct{}, 1)}
	_, h := run(t, s)
	<-h.listed
	s.set(func() { s.down = true })
	<-h.lost
	s.set(func() { s.down = false })
	select {
	case <-h.regained:
	case <-time.After(5 * time.Second):
		t.Fatal("the return was not told though the source answers")
	}
}

func TestChangesAndAge(t *testing.T) {
	s := &source{at: 5, changed: make(chan struct{}, 1)}
	f, h := run(t, s)
	<-h.listed
	age, known := f.Age(time.Now())
	require.True(t, known)
	require.Less(t, age, 5*time.Second)
	s.set(func() {
		s.at = 6
		s.changes = append(s.changes, feed.Change[string]{Item: feed.Item[string]{Name: "b", Revision: 6, Value: "b"}})
	})
	got := <-h.changed
	require.Equal(t, "b", got[0].Value)
}

// Story: a whole fleet is killed and starts again. Each process lists three
// thousand upstreams in sixty pages, of which the source takes two thousand a
// second from all: it takes them nine seconds to be ready. Stale lists do not
// count; what they lack must come at once, and not with the next change.
func TestAStaleStartIsCaughtUp(t *testing.T) {
	s := &source{
		at: 9, names: []string{"a", "b"}, changed: make(chan struct{}, 1), oldAt: 5, old: []string{"a"},
		changes: []feed.Change[string]{{Item: feed.Item[string]{Name: "b", Value: "b", Revision: 7}}},
	}
	listed, changed := make(chan int, 8), make(chan string, 8)
	f := &feed.Feed[string]{
		Name: "test", Source: s, Log: hclog.NewNullLogger(), Wait: time.Hour, StaleStart: true,
		OnList: func(_ time.Time, all []feed.Item[string]) { listed <- len(all) },
		OnChange: func(_ time.Time, changes []feed.Change[string]) {
			for _, c := range changes {
				changed <- c.Name
			}
		},
	}
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { ended <- f.Run(ctx) }()
	require.Equal(t, 1, <-listed)
	require.Equal(t, "b", <-changed)
	// Lost history is listed anew, and not stale: the source would tell of a
	// time before what was lost.
	s.set(func() { s.history, s.at, s.names = 20, 21, []string{"a", "b", "c"} })
	require.Equal(t, 3, <-listed)
	cancel()
	require.NoError(t, <-ended)
	require.Equal(t, map[bool]int{true: 1, false: 1}, s.lists)
}

// Story: a fleet starts, and its source refuses every other call, as it takes no
// more. A list that begins anew with each refusal never ends.
func TestARefusedPageIsReadAgainAndNotAll(t *testing.T) {
	s := &source{at: 9, names: []string{"a", "b", "c", "d", "e"}, changed: make(chan struct{}, 1), page: 1}
	listed := make(chan int, 1)
	f := &feed.Feed[string]{
		Name: "test", Source: s, Log: hclog.NewNullLogger(), Wait: time.Hour,
		OnList: func(_ time.Time, all []feed.Item[string]) { listed <- len(all) },
	}
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { ended <- f.Run(ctx) }()
	select {
	case n := <-listed:
		require.Equal(t, 5, n)
	case <-time.After(10 * time.Second):
		t.Fatal("never listed")
	}
	cancel()
	require.NoError(t, <-ended)
	require.Equal(t, 5, s.lists[false], "one for each page")
}
