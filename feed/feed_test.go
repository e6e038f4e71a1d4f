package feed_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

// source is a source of a collection in memory that can be made to fail.
type source struct {
	mu         sync.Mutex
	revision   feed.Revision
	names      []string
	down       bool
	compacted  feed.Revision // changes up to this revision are not kept
	changes    []feed.Change[string]
	watchWaits []time.Duration // the wait of each watch
	changed    chan struct{}
	// staleNames is what a stale list returns, staleRevision its revision; lists counts the
	// lists by whether they may be stale.
	staleNames    []string
	staleRevision feed.Revision
	lists         map[bool]int
	// watchErr, if set, is the error of the next watch; repeated, if set, is the page that each list returns,
	// with more to come.
	watchErr error
	repeated []feed.Item[string]
	// pageSize bounds the items of a page; after each page one call is refused.
	pageSize, refuseCalls int
}

var errDown = errors.New("down")

func (s *source) List(_ context.Context, after string, stale bool) (feed.Page[string], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Page[string]{}, errDown
	}
	if s.refuseCalls > 0 {
		s.refuseCalls--
		return feed.Page[string]{}, errDown
	}
	if s.lists == nil {
		s.lists = make(map[bool]int)
	}
	s.lists[stale]++
	names, revision := s.names, s.revision
	if stale {
		names, revision = s.staleNames, s.staleRevision
	}
	var p feed.Page[string]
	p.Revision = revision
	if s.repeated != nil {
		return feed.Page[string]{Items: s.repeated, Revision: revision, More: true}, nil
	}
	for _, n := range names {
		if n <= after {
			continue
		}
		if s.pageSize > 0 && len(p.Items) == s.pageSize {
			p.More = true
			break
		}
		p.Items = append(p.Items, feed.Item[string]{Name: n, Value: n})
		if s.pageSize > 0 {
			s.refuseCalls = 1 // refuse the next call
		}
	}
	return p, nil
}

func (s *source) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[string], feed.Revision, error) {
	s.mu.Lock()
	s.watchWaits = append(s.watchWaits, wait)
	watchErr := s.watchErr
	s.watchErr = nil
	s.mu.Unlock()
	if watchErr != nil {
		return nil, 0, watchErr
	}
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		down, compacted, revision := s.down, s.compacted, s.revision
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
		case after < compacted:
			return nil, 0, feed.ErrCompacted
		case len(fresh) > 0:
			return fresh, revision, nil
		}
		select {
		case <-s.changed:
		case <-deadline:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *source) update(change func()) {
	s.mu.Lock()
	change()
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// feedEvents collects the calls of a feed's functions.
type feedEvents struct {
	listed       chan []feed.Item[string]
	changed      chan []feed.Change[string]
	disconnected chan time.Time
	reconnected  chan time.Time
}

func startFeed(t *testing.T, s *source) (*feed.Feed[string], feedEvents) {
	t.Helper()
	h := feedEvents{make(chan []feed.Item[string], 8), make(chan []feed.Change[string], 8), make(chan time.Time, 8), make(chan time.Time, 8)}
	f := &feed.Feed[string]{
		Name: "test", Source: s, Log: hclog.NewNullLogger(), WatchTimeout: time.Minute,
		OnList:       func(_ time.Time, all []feed.Item[string]) { h.listed <- all },
		OnChange:     func(_ time.Time, changes []feed.Change[string]) { h.changed <- changes },
		OnDisconnect: func(now time.Time) { h.disconnected <- now },
		OnReconnect:  func(now time.Time) { h.reconnected <- now },
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-ended) })
	return f, h
}

// When the store no longer keeps the changes that a watch needs, only a list has them.
func TestFeedListsAgainAfterCompaction(t *testing.T) {
	s := &source{revision: 5, names: []string{"a"}, changed: make(chan struct{}, 1)}
	_, h := startFeed(t, s)
	require.Len(t, <-h.listed, 1)
	s.update(func() { s.revision, s.compacted, s.names = 9, 8, []string{"a", "b"} })
	require.Len(t, <-h.listed, 2)
}

// A process is cut off from the store for some seconds. If the first watch after that
// waited for a change, OnReconnect would be called with the next change only, maybe a
// minute later. What counts from the reconnect, such as how long a server that left the
// registry is kept, would then start too late.
func TestFeedReportsReconnectWithoutChange(t *testing.T) {
	s := &source{revision: 5, names: []string{"a"}, changed: make(chan struct{}, 1)}
	_, h := startFeed(t, s)
	<-h.listed
	s.update(func() { s.down = true })
	<-h.disconnected
	s.update(func() { s.down = false })
	select {
	case <-h.reconnected:
	case <-time.After(5 * time.Second):
		t.Fatal("OnReconnect was not called although the source answers")
	}
}

func TestFeedReportsChangesAndAge(t *testing.T) {
	s := &source{revision: 5, changed: make(chan struct{}, 1)}
	f, h := startFeed(t, s)
	<-h.listed
	age, known := f.AnswerAge(time.Now())
	require.True(t, known)
	require.Less(t, age, 5*time.Second)
	s.update(func() {
		s.revision = 6
		s.changes = append(s.changes, feed.Change[string]{Item: feed.Item[string]{Name: "b", Revision: 6, Value: "b"}})
	})
	got := <-h.changed
	require.Equal(t, "b", got[0].Value)
}

// When a whole fleet is killed and starts again, each process lists three thousand
// upstreams in sixty pages, and the source accepts two thousand calls a second from all
// processes: it would take nine seconds until all are ready. Stale lists do not count
// towards the limit; the changes that they lack must be applied at once, and not with the
// next change.
func TestFeedAppliesChangesAfterStaleStart(t *testing.T) {
	s := &source{
		revision: 9, names: []string{"a", "b"}, changed: make(chan struct{}, 1), staleRevision: 5, staleNames: []string{"a"},
		changes: []feed.Change[string]{{Item: feed.Item[string]{Name: "b", Value: "b", Revision: 7}}},
	}
	listed, changed := make(chan int, 8), make(chan string, 8)
	f := &feed.Feed[string]{
		Name: "test", Source: s, Log: hclog.NewNullLogger(), WatchTimeout: time.Hour, StaleStart: true,
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
	// The list after a compaction is not stale: a stale one may be older than the changes
	// that are no longer kept.
	s.update(func() { s.compacted, s.revision, s.names = 20, 21, []string{"a", "b", "c"} })
	require.Equal(t, 3, <-listed)
	cancel()
	require.NoError(t, <-ended)
	require.Equal(t, map[bool]int{true: 1, false: 1}, s.lists)
}

// The source of a starting fleet refuses every other call because of its limit. A list
// that started again after each refusal would never end.
func TestFeedRetriesOnlyFailedPage(t *testing.T) {
	s := &source{revision: 9, names: []string{"a", "b", "c", "d", "e"}, changed: make(chan struct{}, 1), pageSize: 1}
	listed := make(chan int, 1)
	f := &feed.Feed[string]{
		Name: "test", Source: s, Log: hclog.NewNullLogger(), WatchTimeout: time.Hour,
		OnList: func(_ time.Time, all []feed.Item[string]) { listed <- len(all) },
	}
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { ended <- f.Run(ctx) }()
	select {
	case n := <-listed:
		require.Equal(t, 5, n)
	case <-time.After(10 * time.Second):
		t.Fatal("the list did not complete within 10 s")
	}
	cancel()
	require.NoError(t, <-ended)
	require.Equal(t, 5, s.lists[false], "each page is listed once")
}

// Guards against a watch that is repeated for ever since its answer is larger than what is read.
func TestFeedListsAgainWhenAnswerIsTooLarge(t *testing.T) {
	s := &source{revision: 5, names: []string{"a"}, changed: make(chan struct{}, 1), watchErr: feed.ErrTooLarge}
	_, h := startFeed(t, s)
	require.Len(t, <-h.listed, 1)
	require.Len(t, <-h.listed, 1)
	require.Empty(t, h.disconnected, "the source answers")
}

// Guards against a list that reads the same page for ever and keeps each copy, since the items of the page
// have no names, or not those by which the source orders them.
func TestListThatDoesNotAdvanceFails(t *testing.T) {
	for _, repeated := range [][]feed.Item[string]{{{DecodeErr: errDown}}, {{Name: "b"}, {Name: "a"}}, {{Name: "b"}, {}}} {
		s := &source{revision: 5, repeated: repeated}
		_, err := feed.ListAll(t.Context(), s, false)
		require.ErrorIs(t, err, feed.ErrMalformed)
	}
}

// Guards against an item that can't be decoded and that on call doesn't see, or sees again and again,
// and against a lost feed whose cause its line doesn't tell.
func TestFeedReportsWhatItCannotDecode(t *testing.T) {
	var lines bytes.Buffer
	s := &source{revision: 5, names: []string{"a"}, changed: make(chan struct{}, 1)}
	count, lost := 0, make(chan struct{})
	f := &feed.Feed[string]{
		Name: "test", Source: s, Log: hclog.New(&hclog.LoggerOptions{Output: &lines}), WatchTimeout: time.Minute,
		OnList:        func(time.Time, []feed.Item[string]) {},
		OnChange:      func(time.Time, []feed.Change[string]) { s.mu.Lock(); s.watchErr = feed.ErrMalformed; s.mu.Unlock() },
		OnUndecodable: func() { count++ },
		OnDisconnect:  func(time.Time) { close(lost) },
	}
	for _, revision := range []feed.Revision{6, 6, 7} {
		s.changes = append(s.changes, feed.Change[string]{Item: feed.Item[string]{Name: "odd", Revision: revision, DecodeErr: errDown}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	<-lost
	cancel()
	require.NoError(t, <-ended)
	require.Equal(t, 2, count, "two versions")
	require.Equal(t, 2, strings.Count(lines.String(), "item not decodable"))
	require.Contains(t, lines.String(), "why=answer_not_decodable")
}
