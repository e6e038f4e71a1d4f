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

// Guards against a start that waits for one process as long as it may take, while another
// would have answered.
func TestTheNextIsAskedWhileOneIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := []*Peer{{Member: Member{Name: "silent"}}, {Member: Member{Name: "failing"}}, {Member: Member{Name: "sound"}}}
		began := time.Now()
		by, err := Hedge(t.Context(), HedgeDelay, all, func(ctx context.Context, p *Peer) (domain.Host, error) {
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
		require.Equal(t, domain.Host("sound"), by)
		require.Equal(t, HedgeDelay, time.Since(began), "the one after a failure is asked at once")
		synctest.Wait()
	})
}

func TestWithoutAnAnswerTheLastCauseIsGiven(t *testing.T) {
	cause := errors.New("cause")
	_, err := Hedge(t.Context(), time.Millisecond, []*Peer{{}, {}}, func(context.Context, *Peer) (int, error) { return 0, cause })
	require.ErrorIs(t, err, cause)
	_, err = Hedge(t.Context(), time.Millisecond, nil, func(context.Context, *Peer) (int, error) { return 0, nil })
	require.ErrorIs(t, err, errNobody)
}
