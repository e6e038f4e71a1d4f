package lease_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/fence"
	"jacinthworks/infra"
	"jacinthworks/lease"
)

// records is one record in memory; lose makes writes take effect unanswered.
type records struct {
	mu      sync.Mutex
	value   []byte
	version infra.Version
	lose    bool
}

func (r *records) Get(context.Context, string) (infra.Object, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version == 0 {
		return infra.Object{}, infra.ErrNotFound
	}
	return infra.Object{Version: r.version, Value: r.value}, nil
}

func (r *records) Put(_ context.Context, _ string, value []byte, at infra.Version) (infra.Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at != r.version {
		return 0, infra.ErrConflict
	}
	r.value, r.version = value, r.version+1
	if r.lose {
		return 0, errors.WithStack(infra.ErrNoReply)
	}
	return r.version, nil
}

// clock is moved by hand.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func keeper(r *records, c *clock, host string) *lease.Keeper {
	k := &lease.Keeper{Records: r, Name: "leases/x", Now: c.now}
	k.Guard = fence.Guard{Holder: "h-" + "1", Incarnation: 1}
	if host != "1" {
		k.Guard = fence.Guard{Holder: "h-2", Incarnation: 2}
	}
	return k
}

func steps(ctx context.Context, k *lease.Keeper, n int) {
	for range n {
		k.Step(ctx)
	}
}

// Story: the holder is suspended while it holds the lease. Another takes over
// after the lease has ended. The first wakes and has orders to give: by a clock
// that stood still its lease would hold.
func TestASuspendedHolderGivesNothing(t *testing.T) {
	r, c := &records{}, &clock{at: time.Unix(1000, 0)}
	first, second := keeper(r, c, "1"), keeper(r, c, "2")
	steps(t.Context(), first, 3)
	require.True(t, first.Holds())
	early, err := first.Issue(time.Time{})
	require.NoError(t, err)
	steps(t.Context(), second, 3)
	require.False(t, second.Holds())
	c.at = c.at.Add(fence.TTL + time.Second) // the suspension
	steps(t.Context(), second, 4)
	require.True(t, second.Holds())
	late, err := second.Issue(time.Time{})
	require.NoError(t, err)
	require.Greater(t, late, early)
	require.False(t, first.Holds())
	_, err = first.Issue(time.Time{})
	require.ErrorIs(t, err, fence.ErrNotHolder)
	require.Error(t, first.Complete(early))
}

func TestALostAnswerIsSettledByReading(t *testing.T) {
	r, c := &records{lose: true}, &clock{at: time.Unix(1000, 0)}
	k := keeper(r, c, "1")
	steps(t.Context(), k, 2)
	require.False(t, k.Holds())
	c.at = c.at.Add(fence.RetryInterval)
	steps(t.Context(), k, 1)
	require.True(t, k.Holds())
}

func TestBoottimeGoesOn(t *testing.T) {
	a := lease.Boottime()
	require.False(t, lease.Boottime().Before(a))
}

// Story: something else writes over the record of the lease, and it can't be read
// any more. No entry takes the lease again, and no order is given until the end.
func TestARecordThatCannotBeReadIsTakenAfterItsTime(t *testing.T) {
	r, c := &records{value: []byte(`"nonsense"`), version: 3}, &clock{at: time.Now()}
	k := keeper(r, c, "1")
	steps(t.Context(), k, 3)
	require.False(t, k.Holds(), "whoever wrote it may be giving orders")
	c.at = c.at.Add(fence.TTL + time.Second)
	steps(t.Context(), k, 3)
	require.True(t, k.Holds())
}
