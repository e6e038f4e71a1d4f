package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/paths"
	"jacinthworks/roles"
	"jacinthworks/route"
)

// Guards against a fixed estimate of the read time. A burst fills the prefill engines and
// prompts wait for seconds, while the decode engine that has memory for the answer could
// read one within the allowed pause, because the engines are twice as fast as the estimate.
// With the measured speed, a prompt waits as long as its target allows and is then read by
// the decode engine.
func TestMaxPrefillWaitFollowsTheMeasuredSpeed(t *testing.T) {
	now := time.Now()
	maxWait := func(s *Server, tokens int) time.Duration {
		r := &request{firstSent: now, deadline: now.Add(14 * time.Second), service: &paths.Service{Name: "model"}}
		r.route = &paths.Route{Target: 900 * time.Millisecond, TargetGap: 300 * time.Millisecond}
		r.info.PromptTokens = tokens
		return s.maxPrefillWait(r, nil)
	}
	measured := func(tokenTime time.Duration) *Server {
		s := &Server{}
		s.liveSettings.Store(&conf.Direct{})
		s.profiles.Update(domain.Service("model"), func(x *roles.Profile) { x.RecordPrefill(now, 1000, 1000*tokenTime) })
		return s
	}
	require.Less(t, maxWait(measured(23*time.Microsecond), 5200), time.Second)
	require.Greater(t, maxWait(measured(60*time.Microsecond), 5200), 10*time.Second, "the other answers there would pause for too long")
	unmeasured := &Server{}
	unmeasured.liveSettings.Store(&conf.Direct{})
	require.Greater(t, maxWait(unmeasured, 5200), 10*time.Second, "no speed was measured yet")
}

// Guards against a prefill that times out while its prompt waits behind the prompts of other
// entries, and is then prefilled again at another engine.
func TestPrefillTimeoutIncludesTheQueueDelay(t *testing.T) {
	r := &request{route: &paths.Route{Target: 900 * time.Millisecond}}
	r.info.PromptTokens = 3000
	c := route.Candidate{UnitTime: 20 * time.Microsecond}
	require.Equal(t, minPrefillTimeout, r.prefillTimeout(c, 0))
	require.Equal(t, 400*time.Millisecond+minPrefillTimeout, r.prefillTimeout(c, 400*time.Millisecond))
	require.Equal(t, 900*time.Millisecond, r.prefillTimeout(c, 800*time.Millisecond), "the decode engine would have read the prompt by then")
}
