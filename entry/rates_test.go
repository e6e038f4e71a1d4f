package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/limit"
	"jacinthworks/wire"
)

// Guards against a second burst when another entry takes over a caller's rate from its
// owner, and against a burst after each restart of the owner.
func TestRatesStandbyAndFreshOwnerGrantNoBurst(t *testing.T) {
	now := time.Now()
	granted := func(r *rates, a wire.RateRequest) (n int) {
		for range 20 {
			if r.take(now, a).Granted {
				n++
			}
		}
		return n
	}
	ask := wire.RateRequest{Key: limit.Key{Account: "loop"}, Rate: 2}
	var first, standby, fresh rates
	require.Equal(t, 10, granted(&first, ask))
	ask.Standby = true
	require.Equal(t, 1, granted(&standby, ask))
	ask.Standby = false
	fresh.start(now)
	require.Zero(t, granted(&fresh, ask))
	fresh.takeLocal(now, ask, 4) // the bucket may hold one accumulated token
	require.False(t, fresh.takeLocal(now, ask, 4).Granted)
}

// Guards against a call to the owner of the rate for each request of a caller that does
// not wait.
func TestRatesCacheDenialUntilItExpires(t *testing.T) {
	var r rates
	now := time.Now()
	key := limit.Key{Account: "loop"}
	r.addDenial(now, key, time.Second)
	require.Equal(t, 400*time.Millisecond, r.deniedWait(now.Add(600*time.Millisecond), key))
	require.Zero(t, r.deniedWait(now.Add(time.Second), key))
	require.Zero(t, r.deniedWait(now, limit.Key{Account: "other"}))
}
