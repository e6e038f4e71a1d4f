package trace

import (
	"fmt"
	"time"
	"unicode/utf8"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// EventKind says what happened.
type EventKind string

// The kinds of events. Answered and Refused are ends; CallerGone is not, since
// the request still has to be ended, as refused with ReasonCallerGone.
const (
	Accepted       EventKind = "accepted"
	Queued         EventKind = "queued"
	Decided        EventKind = "decision"
	Claimed        EventKind = "claim"
	Reserved       EventKind = "reserve"
	AttemptStarted EventKind = "attempt_started"
	PrefillDone    EventKind = "prefill_done"
	FirstToken     EventKind = "first_token"
	AttemptEnded   EventKind = "attempt_ended"
	Answered       EventKind = "answered"
	Refused        EventKind = "refused"
	CallerGone     EventKind = "caller_gone"
)

// MaxDetail bounds each free text of an event, in bytes. A sentence fits; a
// prompt that a careless caller of this package passes in does not, and no
// story can outgrow a segment: 256 events of a few such texts stay below
// 1 MiB even uncompressed.
const MaxDetail = 400

// MaxCandidates bounds the candidates kept of one decision. A decision looks
// at two to a handful in full; the rest is a count.
const MaxCandidates = 8

// Candidate is one upstream that a decision looked at.
type Candidate struct {
	Host domain.Host `json:"host"`
	// Cost is the wait that the policy expected there.
	Cost time.Duration `json:"cost_ns"`
	// Note says what spoke against it, in a few words.
	Note string `json:"note,omitempty"`
}

// Evaluation are why a decision went as it did.
type Evaluation struct {
	// Policy names the rule that decided.
	Policy string `json:"policy"`
	// Considered counts all candidates; Candidates holds the first
	// MaxCandidates of those looked at closely.
	Considered int         `json:"considered"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// TableVersion is the version of the operators' table in force.
	TableVersion uint64 `json:"table_version,omitempty"`
}

// Event is one step of a request on one host. Which fields are set depends on
// the kind; the zero value of a field says that it does not apply.
type Event struct {
	Kind    EventKind        `json:"event"`
	Time    time.Time        `json:"time"`
	Host    domain.Host      `json:"host"`
	Request domain.RequestID `json:"request_id"`
	Attempt domain.Attempt   `json:"attempt,omitempty"`

	// Service, RequestKind, Caller and Idempotent are set on Accepted, and on
	// a side's AttemptStarted, so that a side's half tells whose work it was
	// when the entry is lost.
	Service     domain.Service `json:"service,omitempty"`
	RequestKind domain.Kind    `json:"kind,omitempty"`
	Caller      domain.Account `json:"caller,omitempty"`
	Idempotent  bool           `json:"idempotent,omitempty"`

	// Upstream is the side chosen, claimed at, reserved at or started on; for
	// a model request the prefill side, with Decode beside it.
	Upstream domain.Host `json:"upstream,omitempty"`
	Decode   domain.Host `json:"decode,omitempty"`
	// Evaluation is set on Decided.
	Evaluation *Evaluation `json:"grounds,omitempty"`
	// Tokens counts what the event is about: prompt tokens on Accepted and
	// PrefillDone, tokens reserved on Reserved, tokens answered on ends.
	Tokens int `json:"tokens,omitempty"`
	// Ran is set on AttemptEnded, Answered and Refused.
	Ran domain.Execution `json:"ran,omitempty"`
	// Reason is set on Refused, and on AttemptEnded when it failed.
	Reason domain.Reason `json:"reason,omitempty"`
	// Detail is one sentence for a person. Never prompts, bodies or tokens.
	Detail string `json:"detail,omitempty"`
}

// Terminal reports whether the event ends its request towards the caller.
func (e Event) Terminal() bool { return e.Kind == Answered || e.Kind == Refused }

// Check adds to f, under the given place, what is wrong with the event.
func (e Event) Check(f *check.Findings, place string) {
	if !e.Kind.known() {
		f.Add(place+" event", "is not a kind of event: %.40q", string(e.Kind))
	}
	if e.Time.IsZero() {
		f.Add(place+" time", "is missing")
	}
	if e.Host == "" {
		f.Add(place+" host", "is missing")
	}
	if _, err := ParseID(e.Request); err != nil {
		f.Add(place+" request_id", "%v", err)
	}
	needsRan := e.Terminal() || e.Kind == AttemptEnded
	if needsRan && e.Ran != domain.NotRun && e.Ran != domain.DidRun && e.Ran != domain.Unknown {
		f.Add(place+" ran", "is not an account: %.40q", string(e.Ran))
	}
	if e.Kind == Refused && e.Reason == "" {
		f.Add(place+" reason", "is missing")
	}
}

// String gives the event in one line without time, host and request.
func (e Event) String() string {
	line := string(e.Kind)
	add := func(format string, value any) { line += " " + fmt.Sprintf(format, value) }
	if e.Upstream != "" {
		add("upstream=%s", e.Upstream)
	}
	if e.Decode != "" {
		add("decode=%s", e.Decode)
	}
	if e.Tokens != 0 {
		add("tokens=%d", e.Tokens)
	}
	if e.Ran != "" {
		add("ran=%s", e.Ran)
	}
	if e.Reason != "" {
		add("reason=%s", e.Reason)
	}
	if e.Evaluation != nil {
		add("grounds=(%s)", e.Evaluation)
	}
	if e.Detail != "" {
		add("%q", e.Detail)
	}
	return line
}

// String gives the grounds in one line.
func (g *Evaluation) String() string {
	line := fmt.Sprintf("%s of %d", g.Policy, g.Considered)
	for _, c := range g.Candidates {
		line += fmt.Sprintf("; %s %s", c.Host, c.Cost.Round(10*time.Microsecond))
		if c.Note != "" {
			line += " " + c.Note
		}
	}
	return line
}

func (k EventKind) known() bool {
	switch k {
	case Accepted, Queued, Decided, Claimed, Reserved, AttemptStarted, PrefillDone,
		FirstToken, AttemptEnded, Answered, Refused, CallerGone:
		return true
	}
	return false
}

// bounded gives the event with its free texts and candidates cut to their
// bounds, in memory of its own.
func (e Event) bounded() Event {
	e.Detail = cut(e.Detail)
	e.Time = e.Time.UTC().Round(0)
	if e.Evaluation == nil {
		return e
	}
	g := *e.Evaluation
	g.Policy = cut(g.Policy)
	g.Candidates = append([]Candidate(nil), g.Candidates[:min(len(g.Candidates), MaxCandidates)]...)
	for i := range g.Candidates {
		g.Candidates[i].Note = cut(g.Candidates[i].Note)
	}
	e.Evaluation = &g
	return e
}

func cut(s string) string {
	if len(s) <= MaxDetail {
		return s
	}
	n := MaxDetail
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n]
}
