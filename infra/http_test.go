package infra_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/fakes/serve"
	"jacinthworks/fakes/store"
	"jacinthworks/infra"
)

const readTimeout = 50 * time.Millisecond

func start(t *testing.T, p *store.Platform) *infra.HTTPObjects {
	t.Helper()
	s := serve.Server{Handler: p}
	addr, err := s.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	return &infra.HTTPObjects{Addr: addr}
}

func TestPutAndDeleteAreConditional(t *testing.T) {
	var p store.Platform
	o, ctx := start(t, &p), t.Context()
	_, err := o.Get(ctx, "lease/side-1")
	require.ErrorIs(t, err, infra.ErrNotFound)
	first, err := o.Put(ctx, "lease/side-1", []byte("one"), 0)
	require.NoError(t, err)
	_, err = o.Put(ctx, "lease/side-1", []byte("two"), 0)
	require.ErrorIs(t, err, infra.ErrConflict, "the object exists")
	second, err := o.Put(ctx, "lease/side-1", []byte("two"), first)
	require.NoError(t, err)
	require.Greater(t, second, first)
	require.ErrorIs(t, o.Delete(ctx, "lease/side-1", first), infra.ErrConflict)
	got, err := o.Get(ctx, "lease/side-1")
	require.NoError(t, err)
	require.Equal(t, infra.Object{Name: "lease/side-1", Version: second, Value: []byte("two")}, got)

	_, err = o.Put(ctx, "table", nil, 0)
	require.NoError(t, err)
	names, err := o.List(ctx, "lease/")
	require.NoError(t, err)
	require.Equal(t, []string{"lease/side-1"}, names)
	require.NoError(t, o.Delete(ctx, "lease/side-1", second))
	third, err := o.Put(ctx, "lease/side-1", nil, 0)
	require.NoError(t, err)
	require.Greater(t, third, second, "a recreated object has a higher version")
	_, err = o.Put(ctx, "large", make([]byte, infra.MaxValue+1), 0)
	require.ErrorIs(t, err, infra.ErrRefused)
}

func TestWatchReturnsNewVersionOrError(t *testing.T) {
	var p store.Platform
	o, ctx := start(t, &p), t.Context()
	_, err := o.Watch(ctx, "table", 0, time.Millisecond)
	require.ErrorIs(t, err, infra.ErrUnchanged)

	seen := make(chan infra.Object, 1)
	failed := make(chan error, 1)
	go func() {
		got, err := o.Watch(ctx, "table", 0, time.Minute)
		seen <- got
		failed <- err
	}()
	require.Eventually(t, func() bool { return p.Counts().Watch == 2 }, 5*time.Second, time.Millisecond)
	version, err := o.Put(ctx, "table", []byte("rows"), 0)
	require.NoError(t, err)
	require.Equal(t, infra.Object{Name: "table", Version: version, Value: []byte("rows")}, <-seen)
	require.NoError(t, <-failed)

	p.SetFault(store.Fault{WatchSilent: true})
	silent := &infra.HTTPObjects{Addr: o.Addr, ReadTimeout: readTimeout}
	_, err = silent.Watch(ctx, "table", 0, time.Millisecond)
	require.ErrorIs(t, err, infra.ErrNoReply)
}

// A write whose response is lost must not be reported as refused, nor be repeated by
// the client: the repetition would conflict with the first write.
func TestPutWithLostResponseReturnsErrNoReply(t *testing.T) {
	var p store.Platform
	o, ctx := start(t, &p), t.Context()
	p.SetFault(store.Fault{LoseAnswers: 1})
	_, err := o.Put(ctx, "table", []byte("edit"), 0)
	require.ErrorIs(t, err, infra.ErrNoReply)
	require.NotErrorIs(t, err, infra.ErrRefused)
	require.Equal(t, 1, p.Counts().Put, "the client does not repeat the write")
	got, err := o.Get(ctx, "table")
	require.NoError(t, err)
	require.Equal(t, "edit", string(got.Value), "the write took effect")
}

func TestFaultsMapToErrorKinds(t *testing.T) {
	for name, c := range map[string]struct {
		fault store.Fault
		want  error
	}{
		"down": {store.Fault{Down: true}, infra.ErrRefused},
		"cut":  {store.Fault{CloseConns: true}, infra.ErrNoReply},
	} {
		t.Run(name, func(t *testing.T) {
			var p store.Platform
			o := start(t, &p)
			o.ReadTimeout = readTimeout
			p.SetFault(c.fault)
			_, err := o.Put(t.Context(), "table", nil, 0)
			require.ErrorIs(t, err, c.want)
			_, err = o.Get(t.Context(), "table")
			require.ErrorIs(t, err, c.want)
			p.SetFault(store.Fault{})
			_, err = o.Get(t.Context(), "table")
			require.ErrorIs(t, err, infra.ErrNotFound, "after the fault there is no object, so nothing was written")
		})
	}
	for name, fault := range map[string]store.Fault{
		"frozen": {Frozen: true},
		"slow":   {Delay: 4 * readTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			var p store.Platform
			o := start(t, &p)
			o.ReadTimeout = readTimeout
			p.SetFault(fault)
			_, err := o.Put(t.Context(), "table", nil, 0)
			require.ErrorIs(t, err, infra.ErrNoReply)
			p.SetFault(store.Fault{})
			require.Eventually(t, func() bool {
				_, err := o.Get(t.Context(), "table")
				return err == nil
			}, 10*time.Second, time.Millisecond, "a write without a response takes effect later")
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		s := serve.Server{Handler: &store.Platform{}}
		addr, err := s.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(t, err)
		s.Stop()
		_, err = (&infra.HTTPObjects{Addr: addr}).Put(t.Context(), "table", nil, 0)
		require.ErrorIs(t, err, infra.ErrRefused, "a write that was never sent took no effect")
	})
	t.Run("context deadline exceeded", func(t *testing.T) {
		var p store.Platform
		o := start(t, &p)
		p.SetFault(store.Fault{Frozen: true})
		ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
		defer cancel()
		_, err := o.Put(ctx, "table", nil, 0)
		require.ErrorIs(t, err, infra.ErrNoReply)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
	t.Run("rate limited", func(t *testing.T) {
		p := store.Platform{WriteRate: 1}
		o := start(t, &p)
		var err error
		for p.Counts().Limited == 0 {
			_, err = o.Put(t.Context(), "table", nil, 0)
		}
		require.ErrorIs(t, err, infra.ErrRefused)
	})
}

func TestStaleReadsLaggingHostsAndWeights(t *testing.T) {
	var p store.Platform
	o, ctx := start(t, &p), t.Context()
	first, err := o.Put(ctx, "table", []byte("old"), 0)
	require.NoError(t, err)
	_, err = o.Put(ctx, "table", []byte("new"), first)
	require.NoError(t, err)
	p.SetFault(store.Fault{StaleReads: true, HostLag: time.Hour})
	got, err := o.Get(ctx, "table")
	require.NoError(t, err)
	require.Equal(t, "old", string(got.Value))

	hosts := &infra.HTTPHosts{Addr: o.Addr}
	p.SetHost(infra.ListedHost{Host: "appraiser-1", Zone: "howrah", State: infra.HostLive})
	p.SetHost(infra.ListedHost{Host: "appraiser-1", Zone: "howrah", State: infra.HostLeaving})
	list, err := hosts.Hosts(ctx)
	require.NoError(t, err)
	require.Equal(t, infra.HostLive, list[0].State, "the host list lags")
	p.SetFault(store.Fault{})
	list, err = hosts.Hosts(ctx)
	require.NoError(t, err)
	require.Equal(t, []infra.ListedHost{{Host: "appraiser-1", Zone: "howrah", State: infra.HostLeaving}}, list)

	rate, size, err := (&infra.HTTPWeights{Addr: o.Addr}).Info(ctx, "appraiser-lm")
	require.NoError(t, err)
	require.Positive(t, rate)
	require.Positive(t, size)
}

// Guards against traces that can't be found after a day of traffic: the list of their
// segments is longer than the largest value, and was rejected for its size.
func TestListLongerThanMaxValue(t *testing.T) {
	var p store.Platform
	o, ctx := start(t, &p), t.Context()
	const count = 1_200
	name := strings.Repeat("n", 1000)
	for i := range count {
		_, err := o.Put(ctx, fmt.Sprintf("stories/%s-%05d", name, i), []byte("x"), 0)
		require.NoError(t, err)
	}
	names, err := o.List(ctx, "stories/")
	require.NoError(t, err)
	require.Len(t, names, count)
}
