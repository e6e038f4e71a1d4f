package feed_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

// thin is a source behind a thin link: each version of its one member takes a
// while to come, and a watch gives all versions since.
type thin struct {
	mu      sync.Mutex
	version feed.Revision
	down    bool
	each    time.Duration
}

func (s *thin) state() (feed.Revision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.down
}

func (s *thin) pass(ctx context.Context, versions int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(versions) * s.each):
		return nil
	}
}

func (s *thin) List(ctx context.Context, _ string, _ bool) (feed.Page[string], error) {
	v, down := s.state()
	if down {
		return feed.Page[string]{}, errDown
	}
	return feed.Page[string]{Revision: v, Items: []feed.Item[string]{{Name: "main", Revision: v, Value: strconv.Itoa(int(v))}}}, s.pass(ctx, 1)
}

func (s *thin) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[string], feed.Revision, error) {
	v, down := s.state()
	if down {
		return nil, 0, errDown
	}
	if v == after {
		return nil, v, s.pass(ctx, int(wait/s.each))
	}
	var all []feed.Change[string]
	for n := after + 1; n <= v; n++ {
		all = append(all, feed.Change[string]{Item: feed.Item[string]{Name: "main", Revision: n, Value: strconv.Itoa(int(n))}})
	}
	return all, v, s.pass(ctx, len(all))
}

// Story: the store is away while many versions of a large configuration are
// written. It is back, and over a thin link all of them together take longer than
// a watch may; each further watch begins anew. The process goes on by the old
// configuration until the history is gone.
func TestMissedVersionsThatOutlastAWatchAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &thin{version: 1, each: 300 * time.Millisecond}
		newest := make(chan string, 100)
		f := &feed.Feed[string]{
			Name: "configuration", Source: s, Log: hclog.NewNullLogger(), Wait: 2 * time.Second,
			OnList:   func(_ time.Time, all []feed.Item[string]) { newest <- all[0].Value },
			OnChange: func(_ time.Time, changes []feed.Change[string]) { newest <- changes[len(changes)-1].Value },
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		require.Equal(t, "1", <-newest)
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.version, s.down = 20, false
		s.mu.Unlock()
		select {
		case v := <-newest:
			require.Equal(t, "20", v)
		case <-time.After(4 * time.Second):
			t.Error("nothing is heard of the newest version")
		}
		cancel()
		require.NoError(t, <-ended)
	})
}

// Story: a fleet starts, and fifty upstreams register one after the other within
// three seconds. Each alone ends the watch of each process.
func TestChangesThatComeInARowEndFewWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{at: 1, changed: make(chan struct{}, 1)}
		heard := make(chan int, 100)
		f := &feed.Feed[string]{
			Name: "upstreams", Source: s, Log: hclog.NewNullLogger(), Wait: time.Minute,
			OnList:   func(time.Time, []feed.Item[string]) {},
			OnChange: func(_ time.Time, changes []feed.Change[string]) { heard <- len(changes) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		for n := range 50 {
			time.Sleep(60 * time.Millisecond)
			s.set(func() {
				s.at++
				s.changes = append(s.changes, feed.Change[string]{Item: feed.Item[string]{Name: strconv.Itoa(n), Revision: s.at}})
			})
		}
		time.Sleep(time.Second)
		cancel()
		require.NoError(t, <-ended)
		s.mu.Lock()
		require.LessOrEqual(t, len(s.calls), 32)
		s.mu.Unlock()
		close(heard)
		all := 0
		for n := range heard {
			all += n
		}
		require.Equal(t, 50, all, "none is lost")
	})
}
