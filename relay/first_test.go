package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// Guards against a start that waits for the full timeout of one process while another process
// would have answered.
func TestHedgeAsksNextPeerAfterDelayOrFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := []*Peer{{Member: Member{Name: "silent"}}, {Member: Member{Name: "failing"}}, {Member: Member{Name: "sound"}}}
		start := time.Now()
		answeredBy, err := Hedge(t.Context(), HedgeDelay, all, func(ctx context.Context, p *Peer) (domain.Host, error) {
			switch p.Name {
			case "silent":
				<-ctx.Done()
				return "", ctx.Err()
			case "failing":
				return "", errors.New("failing")
			}
			return p.Name, nil
		})
		require.NoError(t, err)
		require.Equal(t, domain.Host("sound"), answeredBy)
		require.Equal(t, HedgeDelay, time.Since(start), "the peer after a failed one is asked at once")
		synctest.Wait()
	})
}

func TestHedgeWithoutAnswerReturnsLastError(t *testing.T) {
	cause := errors.New("cause")
	_, err := Hedge(t.Context(), time.Millisecond, []*Peer{{}, {}}, func(context.Context, *Peer) (int, error) { return 0, cause })
	require.ErrorIs(t, err, cause)
	_, err = Hedge(t.Context(), time.Millisecond, nil, func(context.Context, *Peer) (int, error) { return 0, nil })
	require.ErrorIs(t, err, errNoPeers)
}
