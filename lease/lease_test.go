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

// records is one record in memory; with loseReplies, writes take effect but return no
// reply.
type records struct {
	mu          sync.Mutex
	value       []byte
	version     infra.Version
	loseReplies bool
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
	if r.loseReplies {
		return 0, errors.WithStack(infra.ErrNoReply)
	}
	return r.version, nil
}

// clock is a manual clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newKeeper(r *records, c *clock, host string) *lease.Keeper {
	k := &lease.Keeper{Records: r, Name: "leases/x", Now: c.now}
	k.Guard = fence.Guard{Holder: "h-" + "1", Incarnation: 1}
	if host != "1" {
		k.Guard = fence.Guard{Holder: "h-2", Incarnation: 2}
	}
	return k
}

func runSteps(ctx context.Context, k *lease.Keeper, n int) {
	for range n {
		k.Step(ctx)
	}
}

// The holder is suspended while it holds the lease, and another process acquires the lease
// after it has expired. The first process resumes with orders to issue: by a clock that
// stopped during the suspension it would still hold the lease.
func TestKeeperIssuesNothingAfterSuspension(t *testing.T) {
	r, c := &records{}, &clock{at: time.Unix(1000, 0)}
	first, second := newKeeper(r, c, "1"), newKeeper(r, c, "2")
	runSteps(t.Context(), first, 3)
	require.True(t, first.Holds())
	early, err := first.Issue(time.Time{})
	require.NoError(t, err)
	runSteps(t.Context(), second, 3)
	require.False(t, second.Holds())
	c.at = c.at.Add(fence.TTL + time.Second) // the suspension
	runSteps(t.Context(), second, 4)
	require.True(t, second.Holds())
	late, err := second.Issue(time.Time{})
	require.NoError(t, err)
	require.Greater(t, late, early)
	require.False(t, first.Holds())
	_, err = first.Issue(time.Time{})
	require.ErrorIs(t, err, fence.ErrNotHolder)
	require.Error(t, first.Complete(early))
}

func TestKeeperHoldsAfterLostWriteReply(t *testing.T) {
	r, c := &records{loseReplies: true}, &clock{at: time.Unix(1000, 0)}
	k := newKeeper(r, c, "1")
	runSteps(t.Context(), k, 2)
	require.False(t, k.Holds())
	c.at = c.at.Add(fence.RetryInterval)
	runSteps(t.Context(), k, 1)
	require.True(t, k.Holds())
}

// The record of the lease is overwritten with a value that cannot be decoded. Without an
// expiry for such a record, no process would acquire the lease again and no order would
// ever be issued.
func TestKeeperAcquiresUnreadableRecordAfterTTL(t *testing.T) {
	r, c := &records{value: []byte(`"nonsense"`), version: 3}, &clock{at: time.Now()}
	k := newKeeper(r, c, "1")
	runSteps(t.Context(), k, 3)
	require.False(t, k.Holds(), "the writer of the record may be issuing orders")
	c.at = c.at.Add(fence.TTL + time.Second)
	runSteps(t.Context(), k, 3)
	require.True(t, k.Holds())
}
