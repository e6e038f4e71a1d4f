package direct

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/infra"
	"jacinthworks/retry"
)

// fakeRecords is a store of records.
type fakeRecords struct {
	objects map[string]infra.Object
	down    bool
}

func (f *fakeRecords) Get(_ context.Context, name string) (infra.Object, error) {
	if f.down {
		return infra.Object{}, errors.New("down")
	}
	o, ok := f.objects[name]
	if !ok {
		return o, infra.ErrNotFound
	}
	return o, nil
}

func (f *fakeRecords) Put(_ context.Context, name string, value []byte, at infra.Version) (infra.Version, error) {
	if f.objects[name].Version != at {
		return 0, infra.ErrConflict
	}
	f.objects[name] = infra.Object{Value: value, Version: at + 1}
	return at + 1, nil
}

// Guards against an owner that grants the trials of its first span after each of its starts.
func TestOneStartOfOwnerGrantsTrialsInItsFirstSpan(t *testing.T) {
	const fixed = 40
	span := 10 * time.Second
	store := &fakeRecords{objects: make(map[string]infra.Object)}
	start := func() (granted int) {
		s := &Server{Records: store, Settings: conf.Direct{
			PeerListen: netip.MustParseAddrPort("127.0.0.1:1"), RetryBudget: conf.RetryBudget{FixedRetries: fixed, Window: span},
		}}
		s.init()
		s.trials.of("model").claimTriedAt.Store(time.Now().Add(time.Hour).UnixNano()) // the test claims itself
		call := trialRequest{Service: "model"}
		require.Zero(t, s.applyTrial(call, true).Ticket, "before the claim")
		pool := s.trials.of("model")
		claimed, err := s.recordTrialStart(t.Context(), "model")
		pool.claimed.Store(claimed)
		require.Equal(t, store.down, err != nil)
		for range fixed {
			if s.applyTrial(call, true).Ticket != 0 {
				granted++
			}
		}
		require.Zero(t, s.applyTrial(call, false).Ticket, "another owner precedes it")
		return granted
	}
	store.down = true
	require.Zero(t, start())
	store.down = false
	require.Equal(t, int(retry.StartPart*fixed), start())
	require.Zero(t, start(), "an earlier start has granted them in this span")
	name := trialStartPrefix + "model"
	o := store.objects[name]
	o.Value = []byte(`{"by":"e","at":"` + time.Now().Add(-2*span).Format(time.RFC3339Nano) + `"}`)
	store.objects[name] = o
	require.NotZero(t, start())
	o.Value = []byte("not JSON")
	store.objects[name] = o
	require.Zero(t, start(), "nobody knows when the earlier start was")
	require.Zero(t, start())
	require.Contains(t, string(store.objects[name].Value), `"at"`)
}
