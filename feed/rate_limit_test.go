package feed_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

// rateLimitedSource is a source that refuses calls beyond rate per second; refused calls
// count too.
type rateLimitedSource struct {
	rate int

	mu    sync.Mutex
	calls []time.Time
}

func (l *rateLimitedSource) countCall() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.calls) > 0 && now.Sub(l.calls[0]) > time.Second {
		l.calls = l.calls[1:]
	}
	l.calls = append(l.calls, now)
	if len(l.calls) > l.rate {
		return feed.ErrRateLimited
	}
	return nil
}

func (l *rateLimitedSource) List(context.Context, string, bool) (feed.Page[string], error) {
	return feed.Page[string]{Revision: 1}, l.countCall()
}

func (l *rateLimitedSource) Watch(ctx context.Context, _ feed.Revision, wait time.Duration) ([]feed.Change[string], feed.Revision, error) {
	if err := l.countCall(); err != nil {
		return nil, 0, err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, 1, nil
}

// 645 entries that are killed and start again at once, each with three feeds, call the store
// more often than its limit allows. Guards against retries that stay above the limit, so
// that all calls are refused for ever although the store works.
func TestFeedsStartingAtOnceStayBelowRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const feeds = 645 * 3
		source := &rateLimitedSource{rate: 2000}
		ctx, cancel := context.WithCancel(t.Context())
		listed, ended := make(chan time.Time, feeds), make(chan error, feeds)
		began := time.Now()
		for range feeds {
			f := &feed.Feed[string]{
				Name: "test", Source: source, Log: hclog.NewNullLogger(), WatchTimeout: 10 * time.Second,
				OnList: func(now time.Time, _ []feed.Item[string]) { listed <- now },
			}
			go func() { ended <- f.Run(ctx) }()
		}
		last := began
		for range feeds {
			select {
			case last = <-listed:
			case <-time.After(time.Minute):
				t.Fatal("a feed was not listed within a minute")
			}
		}
		require.Less(t, last.Sub(began), 8*time.Second)
		// The watches that follow stay below the limit too.
		time.Sleep(20 * time.Second)
		source.mu.Lock()
		require.Less(t, len(source.calls), source.rate)
		source.mu.Unlock()
		cancel()
		for range feeds {
			require.NoError(t, <-ended)
		}
	})
}
