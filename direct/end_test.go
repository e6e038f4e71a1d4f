package direct

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// Guards against a 503 or 429, which callers take for "not run", for a request that may
// have run: the first engine of a stream crashes and there is no room for a second attempt,
// or the caller is over its share. The caller would send a request again that may have run.
func TestStatusOfPromisesNotRunOnlyIfNotRun(t *testing.T) {
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
