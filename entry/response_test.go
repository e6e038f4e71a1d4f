package entry

import (
	"encoding/json"
	"math"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/table"
)

// statusByReason holds the HTTP status of every reason.
var statusByReason = map[domain.Reason]int{
	domain.ReasonBadInput: 400, domain.ReasonTooLarge: 413, domain.ReasonNoToken: 401, domain.ReasonNoKind: 400,
	domain.ReasonNoService: 404, domain.ReasonCallerShare: 429, domain.ReasonNoRoom: 503, domain.ReasonTooLate: 503,
	domain.ReasonInProgress: 409, domain.ReasonAlreadyRan: 409, domain.ReasonOtherBody: 422, domain.ReasonMayHaveRun: 409,
	domain.ReasonNoClaim: 503, domain.ReasonStale: 503, domain.ReasonDraining: 503, domain.ReasonNoUpstream: 503,
	domain.ReasonUpstream: 502, domain.ReasonLost: 502, domain.ReasonStopped: 502, domain.ReasonCrashes: 422, domain.ReasonDeadline: 504,
	domain.ReasonCallerGone: 499,
}

// readStream parses a stream as a caller does. It returns the text of the chunks, whether
// the stream looks complete, and whether it has an error event.
func readStream(t require.TestingT, body string) (text string, done, failed bool) {
	for _, line := range strings.Split(body, "\n") {
		failed = failed || line == "event: error"
		data, found := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			done = true
		}
		var c chunk
		if !found || failed || done || json.Unmarshal([]byte(data), &c) != nil {
			continue
		}
		for _, one := range c.Choices {
			text += *one.Text
		}
	}
	return text, done, failed
}

// An engine may die during a completion; the request is then retried, or its stream ends
// with an error. The caller must not receive tokens of an earlier attempt, nor a stream
// that failed but looks complete.
func TestCompletionWriterKeepsOnlyLastAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &request{id: "entry-1.7.1", service: "appraiser-lm", stream: rapid.Bool().Draw(t, "stream")}
		w := httptest.NewRecorder()
		a := newCompletionWriter(r, w, time.Second)
		var last string
		for {
			a.discard()
			last = ""
			for _, part := range rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,3} `), 0, 3).Draw(t, "tokens") {
				require.NoError(t, a.add([]string{part}))
				last += part
			}
			if a.hasBegun() || rapid.Bool().Draw(t, "last attempt") {
				break // a completion is not retried once the caller has received part of it
			}
		}
		require.Equal(t, r.stream && last != "", a.hasBegun())
		if a.hasBegun() && rapid.Bool().Draw(t, "dies") {
			a.writeError(&domain.Refusal{RequestID: r.id, Reason: domain.ReasonLost, Ran: domain.DidRun})
			text, done, failed := readStream(t, w.Body.String())
			require.Equal(t, last, text)
			require.True(t, failed)
			require.False(t, done, "a stream that failed must not look complete")
			return
		}
		require.Nil(t, a.finish())
		if r.stream {
			text, done, failed := readStream(t, w.Body.String())
			require.Equal(t, last, text)
			require.True(t, done && !failed)
			return
		}
		var whole chunk
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &whole))
		require.Equal(t, last, *whole.Choices[0].Text)
	})
}

// disconnectedWriter is the response writer of a caller whose connection is closed.
type disconnectedWriter struct{ *httptest.ResponseRecorder }

func (disconnectedWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// A completion that could not be written to its caller must not be recorded as answered.
func TestCompletionWriterFinishReportsDisconnectedCaller(t *testing.T) {
	for _, stream := range []bool{true, false} {
		a := newCompletionWriter(&request{stream: stream}, disconnectedWriter{httptest.NewRecorder()}, time.Second)
		f := a.finish()
		require.NotNil(t, f)
		require.Equal(t, domain.ReasonCallerGone, f.reason)
		require.Equal(t, domain.DidRun, f.ran)
	}
}

// Every refusal must have the HTTP status of its reason, the reason and execution in the
// problem, and a Retry-After that is never shorter than the delay asked for.
func TestWriteRefusalMapsEveryReasonToProblem(t *testing.T) {
	e := &Entry{Log: hclog.NewNullLogger()}
	for reason, status := range statusByReason {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 2001 * time.Millisecond} {
			r := &request{id: e.nextID(), acceptedAt: time.Now()}
			e.recordAccepted(r)
			w := httptest.NewRecorder()
			e.writeRefusal(w, r, &failure{ran: domain.Unknown, reason: reason, retryAfter: after})
			require.Equal(t, status, w.Code, reason)
			var p domain.Problem
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
			require.Equal(t, domain.Problem{
				Type: "about:blank", Title: strings.ReplaceAll(string(reason), "_", " "), Status: status,
				RequestID: r.id, Reason: reason, Ran: domain.Unknown, RetryAfter: after.Seconds(),
			}, p)
			var want string
			if after > 0 {
				want = strconv.Itoa(int(math.Ceil(after.Seconds())))
			}
			require.Equal(t, want, w.Header().Get("Retry-After"))
			require.Equal(t, reason == domain.ReasonNoToken, w.Header().Get("WWW-Authenticate") != "")
			s, found := e.recorder.Get(r.id)
			require.True(t, found && !s.Open, "the trace has its final event")
		}
	}
}

// Merge must return the execution that admits more, and its order must be total.
func TestExecutionMergeKeepsWorst(t *testing.T) {
	order := []domain.Execution{domain.NotRun, domain.Unknown, domain.DidRun}
	for i, a := range order {
		for j, b := range order {
			require.Equal(t, order[max(i, j)], a.Merge(b))
		}
	}
	require.Equal(t, domain.Execution(""), domain.Execution("").Merge(domain.NotRun), "a missing execution must not count as not_run")
}

// Only work that did not run, or that is idempotent, may free its key.
func TestKeyStateByExecutionAndIdempotence(t *testing.T) {
	want := map[domain.Execution]claim.State{
		domain.NotRun: claim.StateNotRun, domain.DidRun: claim.StateRan, domain.Unknown: claim.StateUnknown, "": claim.StateUnknown,
	}
	for ran, state := range want {
		require.Equal(t, state, keyState(&request{}, &failure{ran: ran}))
		idempotent := &request{row: table.Row{Idempotent: true}}
		require.Equal(t, claim.StateNotRun, keyState(idempotent, &failure{ran: ran}))
		require.Equal(t, claim.StateRan, keyState(idempotent, nil))
	}
	require.Equal(t, claim.StateRan, keyState(&request{}, nil))
}
