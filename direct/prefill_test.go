package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/paths"
	"jacinthworks/roles"
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
		return s.maxPrefillWait(r)
	}
	measured := func(tokenTime time.Duration) *Server {
		s := &Server{}
		s.profiles.Update(domain.Service("model"), func(x *roles.Profile) { x.RecordPrefill(now, 1000, 1000*tokenTime) })
		return s
	}
	require.Less(t, maxWait(measured(23*time.Microsecond), 5200), time.Second)
	require.Greater(t, maxWait(measured(60*time.Microsecond), 5200), 10*time.Second, "the other answers there would pause for too long")
	require.Greater(t, maxWait(&Server{}, 5200), 10*time.Second, "no speed was measured yet")
}
