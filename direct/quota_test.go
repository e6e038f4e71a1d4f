package direct

import (
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
