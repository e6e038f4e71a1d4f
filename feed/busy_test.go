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

// limited is a source that takes so many calls a second, refused ones counted.
type limited struct {
	rate int

	mu    sync.Mutex
	calls []time.Time
}

func (l *limited) take() error {
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

func (l *limited) List(context.Context, string, bool) (feed.Page[string], error) {
	return feed.Page[string]{Revision: 1}, l.take()
}

func (l *limited) Watch(ctx context.Context, _ feed.Revision, wait time.Duration) ([]feed.Change[string], feed.Revision, error) {
	if err := l.take(); err != nil {
		return nil, 0, err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, 1, nil
}

// Story: three hundred entries are killed at once and start again, each with three
// feeds. They ask the store more often than it allows, are refused, and ask again,
// for ever: none serves although the store is well.
func TestAFleetThatStartsAtOnceIsNotRefusedForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const feeds = 645 * 3
		source := &limited{rate: 2000}
		ctx, cancel := context.WithCancel(t.Context())
		listed, ended := make(chan time.Time, feeds), make(chan error, feeds)
		began := time.Now()
		for range feeds {
			f := &feed.Feed[string]{
				Name: "test", Source: source, Log: hclog.NewNullLogger(), Wait: 10 * time.Second,
				OnList: func(now time.Time, _ []feed.Item[string]) { listed <- now },
			}
			go func() { ended <- f.Run(ctx) }()
		}
		last := began
		for range feeds {
			select {
			case last = <-listed:
			case <-time.After(time.Minute):
				t.Fatal("refused for ever")
			}
		}
		require.Less(t, last.Sub(began), 8*time.Second)
		// And watches go on, in what the source takes.
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
