package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/paths"
	"jacinthworks/quota"
)

// Story: one account asks for many times its quota, and the host that counts for it is
// cut off. The next one has counted nothing for minutes. With a second burst, and what
// entries spend that reach nobody, the account had more than the operators allow in a
// window, by a part in a hundred. It grants its rate, and nothing over the quota.
func TestAStandbyGrantsNoSecondBurst(t *testing.T) {
	a := &paths.Account{Name: "studs", Quota: paths.Quota{Rate: 168_000, Burst: 168_000, ByTokens: true}}
	count := func(first bool) (granted float64) {
		s := &Server{}
		s.live.Store(&conf.Direct{Quotas: quota.Tolerance{Window: 8 * time.Second, Fraction: 0.1, FixedExcess: 140_000}})
		now := time.Now()
		s.quotas.counter.Since = now.Add(-time.Hour)
		for range 200 {
			if s.count(now, a, quotaCall{Account: a.Name, Cost: 5600}, first).Granted {
				granted += 5600
			}
		}
		return granted
	}
	require.LessOrEqual(t, count(false), 168_000*quotaStandby.Seconds()+5600)
	require.Greater(t, count(true), 168_000.0)
}
