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

// lives is an engine that answers which life it is in, or nothing.
type lives struct {
	engine.Model
	life domain.Incarnation
	err  error
}

func (l *lives) State(context.Context) (engine.State, error) {
	return engine.State{Incarnation: l.life}, l.err
}

// The story: an appraisal that crashes nothing is refused as one that does.
// Twice something between cut its connection to an engine that lives. The cause
// would be a side that takes each connection that breaks for a death, and
// holds it against all that ran.
func TestConnectionThatWasCutIsNoDeath(t *testing.T) {
	m := &lives{life: 1}
	s := &Side{Model: m}
	s.init()
	s.upstream.Store(&engine.State{Incarnation: 1})
	o, refused := s.ledger.begin(orderOf(1, wire.StageDecode), "entry-1", func() {})
	require.Nil(t, refused)
	require.True(t, s.ledger.hand(o))
	require.Nil(t, s.died(t.Context(), o))

	m.life = 2
	d := s.died(t.Context(), o)
	require.Equal(t, []retry.Identity{"identity-1"}, d.Running)
	m.err = engine.ErrNotStarted
	require.Equal(t, d, s.died(t.Context(), o), "one death gives the same evidence")
}

// The same of an application server, which only a dial can ask.
func TestApplicationServerThatAcceptsIsNoDeath(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var s Side
	s.Settings.Upstream = ln.Addr().(*net.TCPAddr).AddrPort()
	s.init()
	o, refused := s.ledger.begin(orderOf(1, wire.StageCall), "entry-1", func() {})
	require.Nil(t, refused)
	require.True(t, s.ledger.hand(o))
	require.Nil(t, s.died(t.Context(), o))
	require.NoError(t, ln.Close())
	d := s.died(t.Context(), o)
	require.WithinDuration(t, time.Now(), d.Time, time.Minute)
	require.Equal(t, []retry.Identity{"identity-1"}, d.Running)
}
