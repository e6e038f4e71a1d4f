package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/limit"
	"jacinthworks/wire"
)

// Guards against a second burst where the entry that counts for a caller is lost, and
// against a first one at each start of it.
func TestAStandbyGrantsNoBurst(t *testing.T) {
	now := time.Now()
	granted := func(r *rates, a wire.RateRequest) (n int) {
		for range 20 {
			if r.count(now, a).Granted {
				n++
			}
		}
		return n
	}
	ask := wire.RateRequest{Of: limit.Key{Account: "loop"}, Rate: 2}
	var first, standby, fresh rates
	require.Equal(t, 10, granted(&first, ask))
	ask.Standby = true
	require.Equal(t, 1, granted(&standby, ask))
	ask.Standby = false
	fresh.begin(now)
	require.Zero(t, granted(&fresh, ask))
	fresh.countAlone(now, ask, 4) // one may be saved up
	require.False(t, fresh.countAlone(now, ask, 4).Granted)
}

// Guards against a call for each refusal of a caller that does not wait.
func TestACallerThatWasToldToWaitIsRefusedHere(t *testing.T) {
	var r rates
	now := time.Now()
	of := limit.Key{Account: "loop"}
	r.note(now, of, time.Second)
	require.Equal(t, 400*time.Millisecond, r.known(now.Add(600*time.Millisecond), of))
	require.Zero(t, r.known(now.Add(time.Second), of))
	require.Zero(t, r.known(now, limit.Key{Account: "other"}))
}
