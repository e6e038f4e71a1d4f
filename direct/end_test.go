package direct

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// Story: a stream's first engine is lost, and there is no room for a second
// try, or its caller is over its share. The caller gets 503 or 429, takes that
// for "not run", and sends it again although it may have run.
func TestNoPromiseForWhatMayHaveRun(t *testing.T) {
	reasons := []domain.Reason{
		domain.ReasonCallerShare, domain.ReasonNoRoom, domain.ReasonTooLate, domain.ReasonNoUpstream, domain.ReasonStale,
		domain.ReasonDraining, domain.ReasonUpstream, domain.ReasonLost, domain.ReasonDeadline,
	}
	promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	for _, reason := range reasons {
		for _, ran := range []domain.Execution{domain.Unknown, domain.DidRun} {
			require.NotContains(t, promises, statusOf(&failure{ran: ran, reason: reason}), "%s %s", reason, ran)
		}
		require.Contains(t, promises, statusOf(&failure{ran: domain.NotRun, reason: reason}), reason)
	}
}
