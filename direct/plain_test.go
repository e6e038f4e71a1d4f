package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/paths"
	"jacinthworks/retry"
)

// Guards against a request that is lost because its attempt was abandoned early for another
// one, which the retry budget then denied.
func TestAttemptIsAbandonedEarlyOnlyIfRetryIsLeft(t *testing.T) {
	s := &Server{Settings: conf.Direct{RetryBudget: conf.RetryBudget{FixedRetries: minMembersAssumed / (retry.FixedPart + retry.TrialPart + retry.StartPart), Window: 10 * time.Second}}}
	s.Settings.FirstStart = true
	s.init()
	r := &request{route: &paths.Route{Kind: paths.Idempotent, Target: 300 * time.Millisecond, Attempts: 2}, service: &paths.Service{Name: "app"}}
	r.attempts = retry.Attempts{Repeatable: true, Limit: 2}
	require.Equal(t, 165*time.Millisecond, s.attemptTimeout(r))
	require.Equal(t, 210*time.Millisecond, s.streamHeaderTimeout(r))
	require.True(t, s.grantRetry(r, retryLost))
	require.Zero(t, s.attemptTimeout(r))
	require.Zero(t, s.streamHeaderTimeout(r))
}
