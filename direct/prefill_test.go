package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/paths"
	"jacinthworks/roles"
)

// Story: a burst fills the prefill engines, and prompts wait for seconds, while the
// decode engine that has room for the answer would read one within its pause: the
// engines are twice as fast as those that a constant was made for. By the time that was
// measured, a prompt waits for as long as its target allows and is then read there.
func TestFastEnginesReadWhatWouldWaitTooLong(t *testing.T) {
	now := time.Now()
	ask := func(s *Server, tokens int) time.Duration {
		r := &request{first: now, until: now.Add(14 * time.Second), service: &paths.Service{Name: "model"}}
		r.route = &paths.Route{Target: 900 * time.Millisecond, TargetGap: 300 * time.Millisecond}
		r.ask.PromptTokens = tokens
		return s.prefillWait(r)
	}
	measured := func(each time.Duration) *Server {
		s := &Server{}
		s.mixes.Update(domain.Service("model"), func(x *roles.Profile) { x.RecordPrefill(now, 1000, 1000*each) })
		return s
	}
	require.Less(t, ask(measured(23*time.Microsecond), 5200), time.Second)
	require.Greater(t, ask(measured(60*time.Microsecond), 5200), 10*time.Second, "the other answers there would pause for too long")
	require.Greater(t, ask(&Server{}, 5200), 10*time.Second, "nothing was measured yet")
}
