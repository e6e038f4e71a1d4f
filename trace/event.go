package trace

import (
	"fmt"
	"time"
	"unicode/utf8"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// EventKind is the step of a request that an event records.
type EventKind string

// The kinds of events. Answered and Refused are terminal. CallerGone is not: the request
// still ends, as refused with ReasonCallerGone.
const (
	Accepted       EventKind = "accepted"
	Queued         EventKind = "queued"
	DecisionMade   EventKind = "decision"
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

// MaxDetail is the largest size in bytes of each free text of an event. A sentence fits,
// but a prompt that is passed in by mistake does not. The bound also keeps a span smaller
// than a segment: 256 events with a few such texts stay below 1 MiB even uncompressed.
const MaxDetail = 400

// MaxCandidates bounds the candidates recorded for one decision. A decision evaluates
// from two to a handful of candidates in full; the other candidates are only counted.
const MaxCandidates = 8

// Candidate is one upstream that a decision evaluated.
type Candidate struct {
	Host domain.Host `json:"host"`
	// Cost is the wait that the policy expected at this upstream, in nanoseconds in
	// JSON.
	Cost time.Duration `json:"cost_ns"`
	// Note says in a few words why the upstream was not chosen.
	Note string `json:"note,omitempty"`
}

// Evaluation contains the inputs of a decision to which upstream a request is sent.
type Evaluation struct {
	// Policy is the name of the policy that made the decision.
	Policy string `json:"policy"`
	// Considered is the number of all candidates; Candidates contains the first
	// MaxCandidates of the candidates that were evaluated in full.
	Considered int         `json:"considered"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// TableVersion is the version of the operators' table in force.
	TableVersion uint64 `json:"table_version,omitempty"`
}

// Event is one step of a request on one host. Which fields are set depends on the kind;
// the zero value of a field means that it does not apply.
type Event struct {
	Kind    EventKind        `json:"event"`
	Time    time.Time        `json:"time"`
	Host    domain.Host      `json:"host"`
	Request domain.RequestID `json:"request_id"`
	Attempt domain.Attempt   `json:"attempt,omitempty"`

	// Service, RequestKind, Caller and Idempotent are set on Accepted, and on a side's
	// AttemptStarted, so that the span of a side identifies the caller and the kind if
	// the entry's span is lost.
	Service     domain.Service `json:"service,omitempty"`
	RequestKind domain.Kind    `json:"kind,omitempty"`
	Caller      domain.Account `json:"caller,omitempty"`
	Idempotent  bool           `json:"idempotent,omitempty"`

	// Upstream is the side that the event concerns: chosen, claimed, reserved or
	// started. For a model request it is the prefill side, and Decode the decode side.
	Upstream domain.Host `json:"upstream,omitempty"`
	Decode   domain.Host `json:"decode,omitempty"`
	// Evaluation is set on DecisionMade.
	Evaluation *Evaluation `json:"grounds,omitempty"`
	// Tokens is the number of prompt tokens on Accepted and PrefillDone, of reserved
	// tokens on Reserved, and of output tokens on ends.
	Tokens int `json:"tokens,omitempty"`
	// Execution states whether the request ran at an upstream. It is set on
	// AttemptEnded, Answered and Refused.
	Execution domain.Execution `json:"ran,omitempty"`
	// Reason is set on Refused, and on AttemptEnded if the attempt failed.
	Reason domain.Reason `json:"reason,omitempty"`
	// Detail is one sentence for a person. It must not contain prompts, bodies or
	// tokens.
	Detail string `json:"detail,omitempty"`
}

// Terminal reports whether the event is the end of its request for the caller.
func (e Event) Terminal() bool { return e.Kind == Answered || e.Kind == Refused }

// Check adds a finding to f, at the given location, for each invalid field of the event.
func (e Event) Check(f *check.Findings, location string) {
	if !e.Kind.valid() {
		f.Add(location+" event", "is not a kind of event: %.40q", string(e.Kind))
	}
	if e.Time.IsZero() {
		f.Add(location+" time", "is missing")
	}
	if e.Host == "" {
		f.Add(location+" host", "is missing")
	}
	if _, err := ParseID(e.Request); err != nil {
		f.Add(location+" request_id", "%v", err)
	}
	needsRan := e.Terminal() || e.Kind == AttemptEnded
	if needsRan && e.Execution != domain.NotRun && e.Execution != domain.DidRun && e.Execution != domain.Unknown {
		f.Add(location+" ran", "is not not_run, ran or unknown: %.40q", string(e.Execution))
	}
	if e.Kind == Refused && e.Reason == "" {
		f.Add(location+" reason", "is missing")
	}
}

// String returns the event in one line, without time, host and request.
func (e Event) String() string {
	line := string(e.Kind)
	appendField := func(format string, value any) { line += " " + fmt.Sprintf(format, value) }
	if e.Upstream != "" {
		appendField("upstream=%s", e.Upstream)
	}
	if e.Decode != "" {
		appendField("decode=%s", e.Decode)
	}
	if e.Tokens != 0 {
		appendField("tokens=%d", e.Tokens)
	}
	if e.Execution != "" {
		appendField("ran=%s", e.Execution)
	}
	if e.Reason != "" {
		appendField("reason=%s", e.Reason)
	}
	if e.Evaluation != nil {
		appendField("grounds=(%s)", e.Evaluation)
	}
	if e.Detail != "" {
		appendField("%q", e.Detail)
	}
	return line
}

// String returns the evaluation in one line.
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

func (k EventKind) valid() bool {
	switch k {
	case Accepted, Queued, DecisionMade, Claimed, Reserved, AttemptStarted, PrefillDone,
		FirstToken, AttemptEnded, Answered, Refused, CallerGone:
		return true
	}
	return false
}

// bounded returns a copy of the event whose free texts and candidates are truncated to
// their bounds, and which shares no memory with the original.
func (e Event) bounded() Event {
	e.Detail = truncate(e.Detail)
	e.Time = e.Time.UTC().Round(0)
	if e.Evaluation == nil {
		return e
	}
	g := *e.Evaluation
	g.Policy = truncate(g.Policy)
	g.Candidates = append([]Candidate(nil), g.Candidates[:min(len(g.Candidates), MaxCandidates)]...)
	for i := range g.Candidates {
		g.Candidates[i].Note = truncate(g.Candidates[i].Note)
	}
	e.Evaluation = &g
	return e
}

func truncate(s string) string {
	if len(s) <= MaxDetail {
		return s
	}
	n := MaxDetail
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n]
}
