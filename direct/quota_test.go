package direct

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/paths"
	"jacinthworks/quota"
)

// Guards against a second burst by a standby owner. An account sends many times its quota
// and the first owner, which counts for it, is cut off; the next owner has counted nothing
// for minutes. With a second burst, and what is spent by entries that reach no owner, the
// account exceeded what the operators allow in a window by one percent. A standby owner
// grants only the rate, and nothing over the quota.
func TestApplyQuotaGrantsAStandbyOwnerNoSecondBurst(t *testing.T) {
	a := &paths.Account{Name: "studs", Quota: paths.Quota{Rate: 168_000, Burst: 168_000, ByTokens: true}}
	count := func(first bool) (granted float64) {
		s := &Server{}
		s.liveSettings.Store(&conf.Direct{QuotaTolerance: quota.Tolerance{Window: 8 * time.Second, Fraction: 0.1, FixedExcess: 140_000}})
		now := time.Now()
		s.quotas.shared.Start = now.Add(-time.Hour)
		for range 200 {
			if s.applyQuota(now, a, quotaRequest{Account: a.Name, Cost: 5600}, first).Granted {
				granted += 5600
			}
		}
		return granted
	}
	require.LessOrEqual(t, count(false), 168_000*standbyQuotaAccrual.Seconds()+5600)
	require.Greater(t, count(true), 168_000.0)
}

// Guards against an entry that reaches no other one and grants an account a burst after each of its
// starts.
func TestIsolatedEntryThatStartsAgainGrantsNoSecondBurst(t *testing.T) {
	a := &paths.Account{Name: "studs", Quota: paths.Quota{Rate: 1000, Burst: 3000}}
	const lives = 10
	granted := 0
	for life := range lives {
		s := &Server{Settings: conf.Direct{FirstStart: life == 0, PeerListen: netip.MustParseAddrPort("127.0.0.1:1")}}
		s.init()
		for range 30 {
			if d, by := s.callQuotaOwner(t.Context(), a, quotaRequest{Account: a.Name, Cost: 1}); by == "alone" && d.Granted {
				granted++
			}
		}
		if life == 0 {
			require.NotZero(t, granted)
		}
	}
	// A bucket that is not empty grants one request, which each start does once.
	require.LessOrEqual(t, float64(granted), isolatedQuotaPart*a.Quota.Burst/minMembersAssumed+lives)
}
