package conf_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/feed"
)

// silentSource does not answer its first watch, and holds a change that was made just after it was sent.
type silentSource struct{ watches atomic.Int32 }

func (s *silentSource) List(context.Context, string, bool) (feed.Page[string], error) {
	if s.watches.Load() == 0 {
		return feed.Page[string]{Revision: 1}, nil
	}
	return feed.Page[string]{Revision: 2, Items: []feed.Item[string]{{Name: "a", Revision: 2, Value: "new"}}}, nil
}

func (s *silentSource) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[string], feed.Revision, error) {
	if s.watches.Add(1) == 1 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return nil, after, nil
}

// Guards against hosts that hear of a change too late after a moment in which the store answered nothing.
func TestChangeIsKnownInTimeAfterAnUnansweredWatch(t *testing.T) {
	d, err := conf.ParseDirect("test", []byte("name = \"a\"\nzone = \"z\"\nlisten = \"127.0.0.1:1\"\nready_listen = \"127.0.0.1:2\"\nplatform = \"127.0.0.1:3\"\n"))
	require.NoError(t, err)
	known := make(chan time.Time, 1)
	f := &feed.Feed[string]{
		Name: "test", Source: &silentSource{}, Log: hclog.NewNullLogger(), WatchTimeout: d.WatchTimeout,
		OnList: func(now time.Time, all []feed.Item[string]) {
			if len(all) > 0 {
				known <- now
			}
		},
		OnChange: func(time.Time, []feed.Change[string]) {},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	began := time.Now()
	go func() { ended <- f.Run(ctx) }() // its end is read below
	select {
	case now := <-known:
		require.Less(t, now.Sub(began), 2*time.Second)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the change is not known after 5 s")
	}
	cancel()
	require.NoError(t, <-ended)
}
