package feed_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
	"jacinthworks/group"
)

// busySource changes at each multiple of a period, if that is not zero, and delays each answer.
type busySource struct {
	start         time.Time
	every, answer time.Duration
	watches       atomic.Int64
}

func (s *busySource) revision() feed.Revision {
	if s.every == 0 {
		return 1
	}
	return 1 + feed.Revision(time.Since(s.start)/s.every)
}

func (s *busySource) List(ctx context.Context, _ string, _ bool) (feed.Page[int], error) {
	at := s.revision()
	group.Sleep(ctx, s.answer)
	return feed.Page[int]{Revision: at}, ctx.Err()
}

func (s *busySource) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[int], feed.Revision, error) {
	s.watches.Add(1)
	for until := time.Now().Add(wait); s.revision() <= after && time.Now().Before(until) && ctx.Err() == nil; {
		group.Sleep(ctx, 5*time.Millisecond)
	}
	at := s.revision()
	group.Sleep(ctx, s.answer)
	if at <= after {
		return nil, after, ctx.Err()
	}
	return []feed.Change[int]{{Item: feed.Item[int]{Name: "a", Revision: at}}}, at, ctx.Err()
}

// Guards against a copy whose confirmation is older than one watch and the time for its answer although the source answers,
// and against short watches that multiply the calls to the source.
func TestConfirmationsStayYoungWhileTheSourceIsBusyOrSlow(t *testing.T) {
	const (
		maxAge   = feed.DefaultWatchTimeout + 400*time.Millisecond
		duration = 60 * time.Second
		step     = 5 * time.Millisecond
	)
	for name, c := range map[string]struct {
		every, answer time.Duration
		young, calls  float64 // the least part of the time, and the most calls a second
	}{
		"quiet":                          {0, step, 1, 1.1},
		"change each 0.5 s":              {500 * time.Millisecond, step, 1, 2.1},
		"change each 0.9 s":              {900 * time.Millisecond, step, 1, 2.3},
		"change each 0.6 s, slow answer": {600 * time.Millisecond, 200 * time.Millisecond, 1, 2.1},
		"slow answer":                    {0, 350 * time.Millisecond, 1, 1.1},
		"very slow answer":               {0, 600 * time.Millisecond, 0.75, 1.1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &busySource{start: time.Now(), every: c.every, answer: c.answer}
				var confirmed atomic.Pointer[time.Time]
				f := &feed.Feed[int]{
					Name: "test", Source: s, Log: hclog.NewNullLogger(), Now: time.Now,
					OnList: func(time.Time, []feed.Item[int]) {}, OnChange: func(time.Time, []feed.Change[int]) {},
					OnConfirm: func(at time.Time) { confirmed.Store(&at) },
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				time.Sleep(2 * time.Second)
				before, young, all := s.watches.Load(), 0, 0
				for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(step) {
					synctest.Wait()
					all++
					if time.Since(*confirmed.Load()) <= maxAge {
						young++
					}
				}
				part, calls := float64(young)/float64(all), float64(s.watches.Load()-before)/duration.Seconds()
				t.Logf("young %.0f%%, %.2f calls/s", 100*part, calls)
				cancel()
				require.NoError(t, <-done)
				require.GreaterOrEqual(t, part, c.young)
				require.LessOrEqual(t, calls, c.calls)
			})
		})
	}
}
