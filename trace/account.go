package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// State says how far an account goes.
type State string

// The states. StateLost says that the entry's end of the request is nowhere to
// be found: whether the caller was answered is not known.
const (
	StateAnswered State = "answered"
	StateRefused  State = "refused"
	StateOpen     State = "open"
	StateLost     State = "lost"
)

// Trace is what is known of a request from all halves that were found.
type Trace struct {
	Request domain.RequestID `json:"request_id"`
	State   State            `json:"state"`
	// Ran is the account given to the caller or, when that is lost, what the
	// sides' halves bear out.
	Ran domain.Execution `json:"ran"`
	// Reason is set when the request was refused.
	Reason domain.Reason `json:"reason,omitempty"`
	// Events are all halves' events by cause: by attempt, then by time.
	Events []Event `json:"events"`
	// Missing says in sentences what the account lacks.
	Missing []string `json:"missing,omitempty"`
	// Findings are contradictions: second ends, or a refusal as not run of
	// what did run.
	Findings check.Findings `json:"findings,omitempty"`
}

// Merge puts the halves of a request's story together. Halves of other
// requests are passed over; one that is given twice counts once.
func Merge(id domain.RequestID, halves ...Span) Trace {
	a := Trace{Request: id, State: StateLost, Ran: domain.Unknown}
	m := merger{account: &a, seen: make(map[string]bool), open: make(map[domain.Host]bool)}
	for _, h := range halves {
		if h.Request == id {
			m.add(h)
		}
	}
	m.sort()
	m.conclude()
	m.findMissing()
	m.findContradictions()
	return a
}

type placed struct {
	event Event
	// attempt and step order by cause across hosts whose clocks differ: the
	// entry's events up to its first decision of an attempt come before all
	// that the decision brought about. Time orders the rest.
	attempt domain.Attempt
	step    int
	// time never runs backwards within one host's half.
	time time.Time
}

type merger struct {
	account  *Trace
	placed   []placed
	seen     map[string]bool
	findings map[check.Finding]bool
	open     map[domain.Host]bool // live hosts whose half is still open
	ongoing  bool                 // the entry's is one of them
}

const (
	stepDeciding = iota
	stepDecided
)

func (m *merger) add(h Span) {
	var attempt, decided domain.Attempt
	var latest time.Time
	for _, e := range h.Events {
		attempt = max(attempt, e.Attempt)
		if e.Time.After(latest) {
			latest = e.Time
		}
		if m.again(e) {
			continue
		}
		p := placed{event: e, attempt: e.Attempt, step: stepDecided, time: latest}
		if e.Attempt == 0 {
			p.attempt = attempt
		}
		if e.Terminal() {
			p.attempt = math.MaxUint32
		}
		if h.Kind == EntrySpan && e.Attempt > decided {
			p.step = stepDeciding
		}
		if e.Kind == Decided {
			decided = max(decided, e.Attempt)
		}
		m.placed = append(m.placed, p)
	}
	if h.Open && len(h.Events) > 0 {
		m.open[h.Events[0].Host] = true
		m.ongoing = m.ongoing || h.Kind == EntrySpan
	}
	if h.Dropped > 0 {
		m.missing("%d events of a half with %d are left out, beyond its bound", h.Dropped, len(h.Events))
	}
	for _, f := range h.Findings {
		m.find(f)
	}
}

// again reports whether the same event was added before: memory and segment
// may both hold it.
func (m *merger) again(e Event) bool {
	key, err := json.Marshal(e)
	if err != nil {
		return false
	}
	if m.seen[string(key)] {
		return true
	}
	m.seen[string(key)] = true
	return false
}

func (m *merger) find(f check.Finding) {
	if m.findings == nil {
		m.findings = make(map[check.Finding]bool)
	}
	if !m.findings[f] {
		m.findings[f] = true
		m.account.Findings = append(m.account.Findings, f)
	}
}

// sort orders the events and passes them through Story.Add, whose rule makes a
// second end, or a second acceptance, a finding.
func (m *merger) sort() {
	slices.SortStableFunc(m.placed, func(a, b placed) int {
		return cmp.Or(
			cmp.Compare(a.attempt, b.attempt),
			cmp.Compare(a.step, b.step),
			a.time.Compare(b.time),
			cmp.Compare(a.event.Host, b.event.Host),
		)
	})
	s := Span{Request: m.account.Request}
	for _, p := range m.placed {
		s.Add(p.event)
	}
	m.account.Events = s.Events
	for _, f := range s.Findings {
		m.find(f)
	}
}

func (m *merger) conclude() {
	a := m.account
	for _, e := range a.Events {
		switch {
		case e.Kind == Answered:
			a.State, a.Ran = StateAnswered, e.Ran
			return
		case e.Kind == Refused:
			a.State, a.Ran, a.Reason = StateRefused, e.Ran, e.Reason
			return
		}
	}
	if m.ongoing {
		a.State = StateOpen
	}
	if e, ran := a.evidence(); ran {
		a.Ran = domain.DidRun
		m.missingIf(a.State == StateLost, "the end: that it ran is known from %s at %s", e.Kind, e.Host)
	}
}

// evidence gives an event that shows that the request ran.
func (a *Trace) evidence() (Event, bool) {
	for _, e := range a.Events {
		ranAttempt := e.Kind == AttemptEnded && e.Ran == domain.DidRun
		if ranAttempt || e.Kind == PrefillDone || e.Kind == FirstToken {
			return e, true
		}
	}
	return Event{}, false
}

func (m *merger) missing(format string, args ...any) {
	m.account.Missing = append(m.account.Missing, fmt.Sprintf(format, args...))
}

func (m *merger) missingIf(lacks bool, format string, args ...any) {
	if lacks {
		m.missing(format, args...)
	}
}

// findMissing says which halves, or which ends of halves, the account lacks.
func (m *merger) findMissing() {
	a := m.account
	id, err := ParseID(a.Request)
	if err != nil {
		m.missing("everything: %v", err)
		return
	}
	if len(a.Events) == 0 {
		m.missing("everything: no half of this story was found; entry %s.%d may never have accepted it, "+
			"or was lost before it wrote", id.Entry, id.Incarnation)
		return
	}
	last, found := m.lastOf(id.Entry)
	switch {
	case !found:
		m.missing("the entry's half: entry %s.%d was lost before it wrote, or its segment is gone", id.Entry, id.Incarnation)
	case a.State == StateLost:
		m.missing("the entry's end: entry %s.%d lost after %s at %s", id.Entry, id.Incarnation, last.Kind, stamp(last))
	}
	m.findMissingSides(id)
}

// lastOf gives the host's last event, by its own order.
func (m *merger) lastOf(h domain.Host) (Event, bool) {
	var last placed
	found := false
	for _, p := range m.placed {
		if p.event.Host == h && (!found || !p.time.Before(last.time)) {
			last, found = p, true
		}
	}
	return last.event, found
}

// findMissingSides goes through the attempts that the entry started and the
// sides' halves, and names those that have no counterpart or no end.
func (m *merger) findMissingSides(id ID) {
	type at struct {
		host    domain.Host
		attempt domain.Attempt
	}
	ended := make(map[at]bool)
	last := make(map[at]Event)
	var order []at
	for _, p := range m.placed {
		e := p.event
		k := at{e.Host, e.Attempt}
		if e.Host == id.Entry {
			continue
		}
		if _, known := last[k]; !known {
			order = append(order, k)
		}
		last[k] = e
		ended[k] = ended[k] || e.Kind == AttemptEnded
	}
	for _, e := range m.account.Events {
		if e.Host != id.Entry || e.Kind != AttemptStarted {
			continue
		}
		for _, side := range []domain.Host{e.Upstream, e.Decode} {
			if _, known := last[at{side, e.Attempt}]; side != "" && !known && m.account.State != StateOpen {
				m.missing("the half of side %s for attempt %d", side, e.Attempt)
			}
		}
	}
	for _, k := range order {
		if !ended[k] && !m.open[k.host] {
			m.missing("the end of attempt %d at side %s: lost after %s at %s", k.attempt, k.host, last[k].Kind, stamp(last[k]))
		}
	}
}

// findContradictions compares what the caller was told with what the sides saw.
func (m *merger) findContradictions() {
	a := m.account
	place := string(a.Request)
	evidence, ran := a.evidence()
	if a.State == StateRefused && a.Ran == domain.NotRun && ran {
		m.find(check.Finding{Location: place, Problem: fmt.Sprintf("refused as not_run, but %s has %s", evidence.Host, evidence)})
	}
	runs := make(map[domain.Attempt]bool)
	repeatable := true
	for _, e := range a.Events {
		if e.Kind == AttemptEnded && e.Ran == domain.DidRun {
			runs[e.Attempt] = true
		}
		if e.Kind == Accepted {
			repeatable = e.Idempotent
		}
	}
	if !repeatable && len(runs) > 1 {
		m.find(check.Finding{Location: place, Problem: fmt.Sprintf("may not be repeated, but ran in %d attempts", len(runs))})
	}
}

func stamp(e Event) string { return e.Time.UTC().Format("2006-01-02T15:04:05.000Z") }
