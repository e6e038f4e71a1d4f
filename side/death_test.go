package side

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/retry"
	"jacinthworks/wire"
)

// incarnationModel is an engine that answers State with a set incarnation or error.
type incarnationModel struct {
	engine.Model
	incarnation domain.Incarnation
	err         error
}

func (l *incarnationModel) State(context.Context) (engine.State, error) {
	return engine.State{Incarnation: l.incarnation}, l.err
}

// Guards against a side that treats every broken connection as a crash of the
// upstream and counts it as evidence against every running request: after the
// network has cut a request's connection to a running engine twice, the request
// would be refused as one that crashes upstreams.
func TestDetectCrashOfModelEngineRequiresNewIncarnationOrNoAnswer(t *testing.T) {
	model := &incarnationModel{incarnation: 1}
	s := &Side{Model: model}
	s.init()
	s.engineState.Store(&engine.State{Incarnation: 1})
	o, refused := s.orderTable.begin(orderOf(1, wire.StageDecode), "entry-1", func() {})
	require.Nil(t, refused)
	require.True(t, s.orderTable.markSent(o))
	require.Nil(t, s.detectCrash(t.Context(), o))

	model.incarnation = 2
	death := s.detectCrash(t.Context(), o)
	require.Equal(t, []retry.Identity{"identity-1"}, death.Running)
	model.err = engine.ErrNotStarted
	require.Equal(t, death, s.detectCrash(t.Context(), o), "one crash yields the same evidence for each order")
}

// An application server reports no incarnation, so that a successful dial shows
// that it has not crashed.
func TestDetectCrashOfApplicationServerRequiresFailedDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var s Side
	s.Settings.Upstream = ln.Addr().(*net.TCPAddr).AddrPort()
	s.init()
	o, refused := s.orderTable.begin(orderOf(1, wire.StageCall), "entry-1", func() {})
	require.Nil(t, refused)
	require.True(t, s.orderTable.markSent(o))
	require.Nil(t, s.detectCrash(t.Context(), o))
	require.NoError(t, ln.Close())
	d := s.detectCrash(t.Context(), o)
	require.WithinDuration(t, time.Now(), d.Time, time.Minute)
	require.Equal(t, []retry.Identity{"identity-1"}, d.Running)
}

// Prefill completes every prefill.
func (l *incarnationModel) Prefill(context.Context, engine.PrefillRequest) (engine.KV, error) {
	return engine.KV{}, l.err
}

// Guards against a request that crashes one engine after the other because the prefill before
// each crash clears the evidence of the earlier ones.
func TestPrefillDoesNotClearCrashEvidence(t *testing.T) {
	s := &Side{Model: &incarnationModel{}}
	s.init()
	s.crashEvidence.RecordDeath(retry.Death{Upstream: "decode-1", Time: time.Now(), Running: []retry.Identity{"identity-1"}})
	o, refused := s.orderTable.begin(orderOf(1, wire.StagePrefill), "entry-1", func() {})
	require.Nil(t, refused)
	s.execute(t.Context(), o)
	require.Equal(t, retry.Suspect, s.crashEvidence.Suspicion(time.Now(), "identity-1"))
}
