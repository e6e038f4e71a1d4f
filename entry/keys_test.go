package entry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/table"
	"jacinthworks/wire"
)

// fencedOutcome returns a side's outcome for a grant of an owner that has been
// superseded.
func fencedOutcome(epoch claim.Epoch) wire.Outcome {
	return wire.Outcome{
		Execution: domain.NotRun, Reason: domain.ReasonNoClaim,
		Claim: &claim.Refusal{Code: claim.CodeFenced, KeyRan: domain.Unknown, AttemptNotRun: true, Epoch: epoch},
	}
}

// Guards against a request that uses up all its attempts within milliseconds on grants of
// a shard owner that is being superseded.
func TestFencedGrantsDoNotUseAttempts(t *testing.T) {
	e := &Entry{Log: hclog.NewNullLogger()}
	r := &request{acceptedAt: time.Now(), key: "k"}
	r.row.Deadline = table.Duration(10 * time.Second)
	const formerGrants = 6
	tries := 0
	f := e.attempts(t.Context(), r, func(context.Context) *failure {
		if tries++; tries <= formerGrants {
			return failureOf(fencedOutcome(claim.Epoch{Version: 3, Turn: 1}))
		}
		return nil
	})
	require.Nil(t, f)
	require.Equal(t, formerGrants+1, tries)
}

// Guards against a request that waits until its deadline although no new owner of the
// shard is reported.
func TestAwaitsOwnerUntilClaimTimeout(t *testing.T) {
	now := time.Now()
	var r request
	f := failureOf(fencedOutcome(claim.Epoch{Version: 3, Turn: 1}))
	require.True(t, r.awaitsOwner(f, now))
	require.True(t, r.awaitsOwner(f, now.Add(claimTimeout-time.Millisecond)))
	require.False(t, r.awaitsOwner(f, now.Add(claimTimeout)))
	mayHaveRun := fencedOutcome(claim.Epoch{Version: 3, Turn: 1})
	mayHaveRun.Claim.AttemptNotRun = false
	require.False(t, (&request{}).awaitsOwner(failureOf(mayHaveRun), now))
}

// Guards against a request that is refused as in progress because of its own earlier claim, which the
// new owner of the shard lists and whose runner is just being stopped.
func TestOwnEarlierClaimIsClaimedAgainWhileItsRunnerDoesNotAnswer(t *testing.T) {
	e := &Entry{Log: hclog.NewNullLogger()}
	r := &request{id: "entry-1.7.1", acceptedAt: time.Now(), key: "k", claimTries: 1}
	refusal := &claim.Refusal{
		Code: claim.CodeInProgress, KeyRan: domain.Unknown, AttemptNotRun: true,
		Attempt: claim.AttemptID{Request: r.id, Attempt: 1}, Runner: claim.Process{Host: "app-2", Incarnation: 1},
	}
	f, retryClaim := e.handleClaimRefusal(t.Context(), r, refusal)
	require.Equal(t, domain.ReasonInProgress, f.reason)
	require.True(t, retryClaim)
}
