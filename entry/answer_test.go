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

// reasons gives the status of each reason there is.
var reasons = map[domain.Reason]int{
	domain.ReasonBadInput: 400, domain.ReasonTooLarge: 413, domain.ReasonNoToken: 401, domain.ReasonNoKind: 400,
	domain.ReasonNoService: 404, domain.ReasonCallerShare: 429, domain.ReasonNoRoom: 503, domain.ReasonTooLate: 503,
	domain.ReasonInProgress: 409, domain.ReasonAnswered: 409, domain.ReasonOtherBody: 422, domain.ReasonKeyUnknown: 409,
	domain.ReasonNoClaim: 503, domain.ReasonStale: 503, domain.ReasonDraining: 503, domain.ReasonNoUpstream: 503,
	domain.ReasonUpstream: 502, domain.ReasonLost: 502, domain.ReasonCrashes: 422, domain.ReasonDeadline: 504,
	domain.ReasonCallerGone: 499,
}

// events reads a stream as its caller does: the text of its chunks, and whether
// it looks complete.
func events(t require.TestingT, body string) (text string, done, failed bool) {
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

// The story: a breeder takes half an appraisal for the whole, or reads a dead
// engine's words before those of the next. Engines die in mid-answer, the
// request is tried again or broken off. The cause would be an answer that keeps
// what an attempt left behind, or a stream that ends as a whole one does.
func TestAnswerOfSeveralAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &request{id: "entry-1.7.1", service: "appraiser-lm", stream: rapid.Bool().Draw(t, "stream")}
		w := httptest.NewRecorder()
		a := newAnswer(r, w, time.Second)
		var last string
		for {
			a.restart()
			last = ""
			for _, part := range rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,3} `), 0, 3).Draw(t, "tokens") {
				require.NoError(t, a.put([]string{part}))
				last += part
			}
			if a.begun() || rapid.Bool().Draw(t, "last attempt") {
				break // one that the caller has seen part of is not tried again
			}
		}
		require.Equal(t, r.stream && last != "", a.begun())
		if a.begun() && rapid.Bool().Draw(t, "dies") {
			a.breakOff(&domain.Refusal{RequestID: r.id, Reason: domain.ReasonLost, Ran: domain.DidRun})
			text, done, failed := events(t, w.Body.String())
			require.Equal(t, last, text)
			require.True(t, failed)
			require.False(t, done, "a stream that broke off looks complete")
			return
		}
		require.Nil(t, a.finish())
		if r.stream {
			text, done, failed := events(t, w.Body.String())
			require.Equal(t, last, text)
			require.True(t, done && !failed)
			return
		}
		var whole chunk
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &whole))
		require.Equal(t, last, *whole.Choices[0].Text)
	})
}

// gone is a caller that has hung up.
type gone struct{ *httptest.ResponseRecorder }

func (gone) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// An answer that its caller did not take is not told as answered.
func TestFinishToACallerThatIsGone(t *testing.T) {
	for _, stream := range []bool{true, false} {
		a := newAnswer(&request{stream: stream}, gone{httptest.NewRecorder()}, time.Second)
		f := a.finish()
		require.NotNil(t, f)
		require.Equal(t, domain.ReasonCallerGone, f.reason)
		require.Equal(t, domain.DidRun, f.ran)
	}
}

// Every refusal reaches its caller with the status that fits, a true account,
// and a time to return that is never sooner than meant.
func TestEveryReasonIsAProblem(t *testing.T) {
	e := &Entry{Log: hclog.NewNullLogger()}
	for reason, status := range reasons {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 2001 * time.Millisecond} {
			r := &request{id: e.nextID(), accepted: time.Now()}
			e.accept(r)
			w := httptest.NewRecorder()
			e.refuse(w, r, &failure{ran: domain.Unknown, reason: reason, retryAfter: after})
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
			require.True(t, found && !s.Open, "the story is ended")
		}
	}
}

// Of two accounts the one that admits more is told; the order is total.
func TestWorse(t *testing.T) {
	order := []domain.Execution{domain.NotRun, domain.Unknown, domain.DidRun}
	for i, a := range order {
		for j, b := range order {
			require.Equal(t, order[max(i, j)], a.Merge(b))
		}
	}
	require.Equal(t, domain.Execution(""), domain.Execution("").Merge(domain.NotRun), "an account that is missing is not a promise")
}

// A key is freed only by work that did not run, or that may run again.
func TestStateAfter(t *testing.T) {
	want := map[domain.Execution]claim.State{
		domain.NotRun: claim.StateNotRun, domain.DidRun: claim.StateRan, domain.Unknown: claim.StateUnknown, "": claim.StateUnknown,
	}
	for ran, state := range want {
		require.Equal(t, state, stateAfter(&request{}, &failure{ran: ran}))
		idempotent := &request{row: table.Row{Idempotent: true}}
		require.Equal(t, claim.StateNotRun, stateAfter(idempotent, &failure{ran: ran}))
		require.Equal(t, claim.StateRan, stateAfter(idempotent, nil))
	}
	require.Equal(t, claim.StateRan, stateAfter(&request{}, nil))
}
