package direct

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/work"
)

// Story: a stream's first engine is lost, and there is no room for a second
// try, or its caller is over its share. The caller gets 503 or 429, takes that
// for "not run", and sends it again although it may have run.
func TestNoPromiseForWhatMayHaveRun(t *testing.T) {
	reasons := []work.Reason{
		work.ReasonCallerShare, work.ReasonNoRoom, work.ReasonTooLate, work.ReasonNoUpstream, work.ReasonStale,
		work.ReasonDraining, work.ReasonUpstream, work.ReasonLost, work.ReasonDeadline,
	}
	promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	for _, reason := range reasons {
		for _, ran := range []work.Ran{work.Unknown, work.DidRun} {
			require.NotContains(t, promises, statusOf(&failure{ran: ran, reason: reason}), "%s %s", reason, ran)
		}
		require.Contains(t, promises, statusOf(&failure{ran: work.NotRun, reason: reason}), reason)
	}
}
