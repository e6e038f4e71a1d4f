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

// slowSource is a source behind a slow link: each version of its only item takes
// versionTime to transfer, and a watch returns all versions since its revision.
type slowSource struct {
	mu          sync.Mutex
	version     feed.Revision
	down        bool
	versionTime time.Duration
}

func (s *slowSource) state() (feed.Revision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.down
}

func (s *slowSource) transfer(ctx context.Context, versions int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(versions) * s.versionTime):
		return nil
	}
}

func (s *slowSource) List(ctx context.Context, _ string, _ bool) (feed.Page[string], error) {
	v, down := s.state()
	if down {
		return feed.Page[string]{}, errDown
	}
	return feed.Page[string]{Revision: v, Items: []feed.Item[string]{{Name: "main", Revision: v, Value: strconv.Itoa(int(v))}}}, s.transfer(ctx, 1)
}

func (s *slowSource) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[string], feed.Revision, error) {
	v, down := s.state()
	if down {
		return nil, 0, errDown
	}
	if v == after {
		return nil, v, s.transfer(ctx, int(wait/s.versionTime))
	}
	var all []feed.Change[string]
	for n := after + 1; n <= v; n++ {
		all = append(all, feed.Change[string]{Item: feed.Item[string]{Name: "main", Revision: n, Value: strconv.Itoa(int(n))}})
	}
	return all, v, s.transfer(ctx, len(all))
}

// While the store is unreachable, many versions of a large configuration are written.
// After that, all of them together take longer over a slow link than a watch may, and
// each further watch would start from the same revision: the process would use the old
// configuration until the store discards the history.
func TestFeedListsAfterWatchTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSource{version: 1, versionTime: 300 * time.Millisecond}
		newest := make(chan string, 100)
		f := &feed.Feed[string]{
			Name: "configuration", Source: s, Log: hclog.NewNullLogger(), WatchTimeout: 2 * time.Second,
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
			t.Error("the newest version did not arrive within 4 s")
		}
		cancel()
		require.NoError(t, <-ended)
	})
}

// When a fleet starts, fifty upstreams register one after the other within three seconds.
// Without a batch delay each registration would end the watch of each process.
func TestFeedBatchesConsecutiveChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{revision: 1, changed: make(chan struct{}, 1)}
		batches := make(chan int, 100)
		f := &feed.Feed[string]{
			Name: "upstreams", Source: s, Log: hclog.NewNullLogger(), WatchTimeout: time.Minute,
			OnList:   func(time.Time, []feed.Item[string]) {},
			OnChange: func(_ time.Time, changes []feed.Change[string]) { batches <- len(changes) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		for n := range 50 {
			time.Sleep(60 * time.Millisecond)
			s.update(func() {
				s.revision++
				s.changes = append(s.changes, feed.Change[string]{Item: feed.Item[string]{Name: strconv.Itoa(n), Revision: s.revision}})
			})
		}
		time.Sleep(time.Second)
		cancel()
		require.NoError(t, <-ended)
		s.mu.Lock()
		require.LessOrEqual(t, len(s.watchWaits), 32)
		s.mu.Unlock()
		close(batches)
		all := 0
		for n := range batches {
			all += n
		}
		require.Equal(t, 50, all, "every change is reported")
	})
}

// Guards against a copy that seems as young as the moment in which an answer was read: a process that was suspended reads
// answers that were made long before.
func TestFeedConfirmsOnlyUpToWhenTheAnswerWasMade(t *testing.T) {
	const wait = time.Second
	sent := time.Unix(100, 0)
	for name, c := range map[string]struct {
		received time.Duration
		changes  int
		want     time.Duration
	}{
		"no change":                      {wait, 0, wait},
		"no change, read late":           {time.Minute, 0, wait},
		"no change, before the wait":     {wait / 2, 0, 0},
		"changes":                        {wait / 2, 3, 0},
		"changes, read late":             {time.Minute, 3, 0},
		"changes, just before the wait":  {wait - 1, 1, 0},
		"no change, answered a bit late": {wait + 300*time.Millisecond, 0, wait},
	} {
		require.Equal(t, sent.Add(c.want), feed.ConfirmedAt(sent, sent.Add(c.received), wait, c.changes), name)
	}

	// The clock passes a minute in each call, as in a suspension.
	var mu sync.Mutex
	now := sent
	s := &source{revision: 1, names: []string{"a"}, changed: make(chan struct{}, 1)}
	confirmed := make(chan time.Time, 10)
	f := &feed.Feed[string]{
		Name: "test", Source: s, Log: hclog.NewNullLogger(), WatchTimeout: 20 * time.Millisecond,
		OnList: func(time.Time, []feed.Item[string]) {}, OnChange: func(time.Time, []feed.Change[string]) {},
		OnConfirm: func(at time.Time) { confirmed <- at },
		Now: func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			now = now.Add(time.Minute)
			return now
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	require.Equal(t, sent.Add(time.Minute), <-confirmed, "when the list was asked for")
	require.Equal(t, sent.Add(2*time.Minute+f.WatchTimeout), <-confirmed, "the wait after the watch was sent")
	cancel()
	for {
		select {
		case <-confirmed:
		case err := <-ended:
			require.NoError(t, err)
			return
		}
	}
}
