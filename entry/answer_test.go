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
	"jacinthworks/table"
	"jacinthworks/work"
)

// reasons gives the status of each reason there is.
var reasons = map[work.Reason]int{
	work.ReasonBadInput: 400, work.ReasonTooLarge: 413, work.ReasonNoToken: 401, work.ReasonNoKind: 400,
	work.ReasonNoService: 404, work.ReasonCallerShare: 429, work.ReasonNoRoom: 503, work.ReasonTooLate: 503,
	work.ReasonInProgress: 409, work.ReasonAnswered: 409, work.ReasonOtherBody: 422, work.ReasonKeyUnknown: 409,
	work.ReasonNoClaim: 503, work.ReasonStale: 503, work.ReasonDraining: 503, work.ReasonNoUpstream: 503,
	work.ReasonUpstream: 502, work.ReasonLost: 502, work.ReasonCrashes: 422, work.ReasonDeadline: 504,
	work.ReasonCallerGone: 499,
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
			a.breakOff(&work.Refusal{RequestID: r.id, Reason: work.ReasonLost, Ran: work.DidRun})
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
		require.Equal(t, work.ReasonCallerGone, f.reason)
		require.Equal(t, work.DidRun, f.ran)
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
			e.refuse(w, r, &failure{ran: work.Unknown, reason: reason, retryAfter: after})
			require.Equal(t, status, w.Code, reason)
			var p work.Problem
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
			require.Equal(t, work.Problem{
				Type: "about:blank", Title: strings.ReplaceAll(string(reason), "_", " "), Status: status,
				RequestID: r.id, Reason: reason, Ran: work.Unknown, RetryAfter: after.Seconds(),
			}, p)
			var want string
			if after > 0 {
				want = strconv.Itoa(int(math.Ceil(after.Seconds())))
			}
			require.Equal(t, want, w.Header().Get("Retry-After"))
			require.Equal(t, reason == work.ReasonNoToken, w.Header().Get("WWW-Authenticate") != "")
			s, found := e.recorder.Get(r.id)
			require.True(t, found && !s.Open, "the story is ended")
		}
	}
}

// Of two accounts the one that admits more is told; the order is total.
func TestWorse(t *testing.T) {
	order := []work.Ran{work.NotRun, work.Unknown, work.DidRun}
	for i, a := range order {
		for j, b := range order {
			require.Equal(t, order[max(i, j)], a.Worse(b))
		}
	}
	require.Equal(t, work.Ran(""), work.Ran("").Worse(work.NotRun), "an account that is missing is not a promise")
}

// A key is freed only by work that did not run, or that may run again.
func TestStateAfter(t *testing.T) {
	want := map[work.Ran]claim.State{
		work.NotRun: claim.StateNotRun, work.DidRun: claim.StateRan, work.Unknown: claim.StateUnknown, "": claim.StateUnknown,
	}
	for ran, state := range want {
		require.Equal(t, state, stateAfter(&request{}, &failure{ran: ran}))
		idempotent := &request{row: table.Row{Idempotent: true}}
		require.Equal(t, claim.StateNotRun, stateAfter(idempotent, &failure{ran: ran}))
		require.Equal(t, claim.StateRan, stateAfter(idempotent, nil))
	}
	require.Equal(t, claim.StateRan, stateAfter(&request{}, nil))
}
