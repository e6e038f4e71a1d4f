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

// Guards against a retry that stays granted for good, and an attempt that is not charged, after the
// prefill before it was not sent.
func TestUnsentPrefillLeavesTheAttemptItsRetry(t *testing.T) {
	s := &Server{Settings: conf.Direct{FirstStart: true, RetryBudget: conf.RetryBudget{FixedRetries: 10 * minMembersAssumed, Window: 10 * time.Second}}}
	s.init()
	r := &request{service: &paths.Service{Name: "model"}}
	require.True(t, s.grantRetry(r, retryLost))
	s.postponeRetry(r, &attempt{})
	require.True(t, r.retry.Held())
	run := &attempt{}
	require.True(t, s.sendRetry(r, run))
	require.True(t, run.retry.Held())
	s.postponeRetry(r, run)
	require.True(t, r.retry.Held(), "the run was not sent either")
}
