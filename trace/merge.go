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

// State is the state of a request as far as its trace shows it.
type State string

// The states of a request. StateLost: the end of the entry's span was not found, so that
// it is unknown whether the caller got a response.
const (
	StateAnswered State = "answered"
	StateRefused  State = "refused"
	StateOpen     State = "open"
	StateLost     State = "lost"
)

// Trace contains the events of a request from all spans that were found.
type Trace struct {
	Request domain.RequestID `json:"request_id"`
	State   State            `json:"state"`
	// Execution is whether the request ran, as the caller was told or, if the end of the
	// entry's span is missing, as the spans of the sides prove.
	Execution domain.Execution `json:"ran"`
	// Reason is set if the request was refused.
	Reason domain.Reason `json:"reason,omitempty"`
	// Events are the events of all spans in causal order: by attempt, then before or
	// after the decision for it, then by time.
	Events []Event `json:"events"`
	// Missing describes, in sentences, which spans and events were not found.
	Missing []string `json:"missing,omitempty"`
	// Findings are contradictions, such as a second end, or a refusal as not run of a
	// request that did run.
	Findings check.Findings `json:"findings,omitempty"`
}

// Merge merges the spans of a request into one trace. It ignores spans of other
// requests and duplicate events. The order of the spans does not matter.
func Merge(id domain.RequestID, spans ...Span) Trace {
	t := Trace{Request: id, State: StateLost, Execution: domain.Unknown}
	m := merger{trace: &t, seen: make(map[string]bool), openHosts: make(map[domain.Host]bool)}
	for _, s := range spans {
		if s.Request == id {
			m.add(s)
		}
	}
	m.sortEvents()
	m.setState()
	m.findMissing()
	m.findContradictions()
	return t
}

// orderedEvent is an event with its sort keys.
type orderedEvent struct {
	event Event
	// attempt and step are the causal order across hosts whose clocks differ: the
	// entry's events up to its first decision for an attempt precede all events that
	// the decision caused. The other events are ordered by time.
	attempt domain.Attempt
	step    int
	// time is the time of the event, made non-decreasing within a span.
	time time.Time
}

// merger collects the spans of one request and builds its trace.
type merger struct {
	trace     *Trace
	events    []orderedEvent
	seen      map[string]bool
	findings  map[check.Finding]bool
	openHosts map[domain.Host]bool // live hosts whose span is still open
	entryOpen bool                 // the entry's span is still open
}

// The values of orderedEvent.step.
const (
	stepBeforeDecision = iota
	stepAfterDecision
)

func (m *merger) add(s Span) {
	var attempt, decided domain.Attempt
	var latest time.Time
	for _, e := range s.Events {
		attempt = max(attempt, e.Attempt)
		if e.Time.After(latest) {
			latest = e.Time
		}
		if m.duplicate(e) {
			continue
		}
		p := orderedEvent{event: e, attempt: e.Attempt, step: stepAfterDecision, time: latest}
		if e.Attempt == 0 {
			p.attempt = attempt
		}
		if e.Terminal() {
			p.attempt = math.MaxUint32
		}
		if s.Kind == EntrySpan && e.Attempt > decided {
			p.step = stepBeforeDecision
		}
		if e.Kind == DecisionMade {
			decided = max(decided, e.Attempt)
		}
		m.events = append(m.events, p)
	}
	if s.Open && len(s.Events) > 0 {
		m.openHosts[s.Events[0].Host] = true
		m.entryOpen = m.entryOpen || s.Kind == EntrySpan
	}
	if s.Dropped > 0 {
		m.addMissing("%d events of a span with %d were dropped, beyond its bound", s.Dropped, len(s.Events))
	}
	for _, f := range s.Findings {
		m.addFinding(f)
	}
}

// duplicate reports whether the same event was added before, and marks it as added. The
// memory of a host and a segment may both contain an event.
func (m *merger) duplicate(e Event) bool {
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

func (m *merger) addFinding(f check.Finding) {
	if m.findings == nil {
		m.findings = make(map[check.Finding]bool)
	}
	if !m.findings[f] {
		m.findings[f] = true
		m.trace.Findings = append(m.trace.Findings, f)
	}
}

// sortEvents orders the events and adds them to one Span, since Span.Add reports a second
// end or a second acceptance as a finding.
func (m *merger) sortEvents() {
	slices.SortStableFunc(m.events, func(a, b orderedEvent) int {
		return cmp.Or(
			cmp.Compare(a.attempt, b.attempt),
			cmp.Compare(a.step, b.step),
			a.time.Compare(b.time),
			cmp.Compare(a.event.Host, b.event.Host),
		)
	})
	s := Span{Request: m.trace.Request}
	for _, p := range m.events {
		s.Add(p.event)
	}
	m.trace.Events = s.Events
	for _, f := range s.Findings {
		m.addFinding(f)
	}
}

func (m *merger) setState() {
	t := m.trace
	for _, e := range t.Events {
		switch {
		case e.Kind == Answered:
			t.State, t.Execution = StateAnswered, e.Execution
			return
		case e.Kind == Refused:
			t.State, t.Execution, t.Reason = StateRefused, e.Execution, e.Reason
			return
		}
	}
	if m.entryOpen {
		t.State = StateOpen
	}
	if e, ran := t.evidenceOfRun(); ran {
		t.Execution = domain.DidRun
		m.addMissingIf(t.State == StateLost, "the end: %s at %s proves that the request ran", e.Kind, e.Host)
	}
}

// evidenceOfRun returns an event that proves that the request ran, and false if there is
// none.
func (t *Trace) evidenceOfRun() (Event, bool) {
	for _, e := range t.Events {
		ranAttempt := e.Kind == AttemptEnded && e.Execution == domain.DidRun
		if ranAttempt || e.Kind == PrefillDone || e.Kind == FirstToken {
			return e, true
		}
	}
	return Event{}, false
}

func (m *merger) addMissing(format string, args ...any) {
	m.trace.Missing = append(m.trace.Missing, fmt.Sprintf(format, args...))
}

func (m *merger) addMissingIf(condition bool, format string, args ...any) {
	if condition {
		m.addMissing(format, args...)
	}
}

// findMissing adds a sentence for each span, and for each end of a span, that was not
// found.
func (m *merger) findMissing() {
	t := m.trace
	id, err := ParseID(t.Request)
	if err != nil {
		m.addMissing("everything: %v", err)
		return
	}
	if len(t.Events) == 0 {
		m.addMissing("everything: no event of the request was found; entry %s.%d may never have accepted it, "+
			"or was lost before it wrote", id.Entry, id.Incarnation)
		return
	}
	last, found := m.lastEvent(id.Entry)
	switch {
	case !found:
		m.addMissing("the entry's events: entry %s.%d was lost before it wrote, or its segment was removed", id.Entry, id.Incarnation)
	case t.State == StateLost:
		m.addMissing("the entry's end: entry %s.%d lost after %s at %s", id.Entry, id.Incarnation, last.Kind, formatTime(last))
	}
	m.findMissingSides(id)
}

// lastEvent returns the last event of a host, in the host's own order.
func (m *merger) lastEvent(h domain.Host) (Event, bool) {
	var last orderedEvent
	found := false
	for _, p := range m.events {
		if p.event.Host == h && (!found || !p.time.Before(last.time)) {
			last, found = p, true
		}
	}
	return last.event, found
}

// findMissingSides adds a sentence for each attempt that the entry started and that has
// no span of its side, and for each span of a side without an end.
func (m *merger) findMissingSides(id ID) {
	type spanKey struct {
		host    domain.Host
		attempt domain.Attempt
	}
	ended := make(map[spanKey]bool)
	last := make(map[spanKey]Event)
	var order []spanKey
	for _, p := range m.events {
		e := p.event
		k := spanKey{e.Host, e.Attempt}
		if e.Host == id.Entry {
			continue
		}
		if _, found := last[k]; !found {
			order = append(order, k)
		}
		last[k] = e
		ended[k] = ended[k] || e.Kind == AttemptEnded
	}
	for _, e := range m.trace.Events {
		if e.Host != id.Entry || e.Kind != AttemptStarted {
			continue
		}
		for _, side := range []domain.Host{e.Upstream, e.Decode} {
			if _, found := last[spanKey{side, e.Attempt}]; side != "" && !found && m.trace.State != StateOpen {
				m.addMissing("the events of side %s for attempt %d", side, e.Attempt)
			}
		}
	}
	for _, k := range order {
		if !ended[k] && !m.openHosts[k.host] {
			m.addMissing("the end of attempt %d at side %s: lost after %s at %s", k.attempt, k.host, last[k].Kind, formatTime(last[k]))
		}
	}
}

// findContradictions compares the response to the caller with the events of the sides.
func (m *merger) findContradictions() {
	t := m.trace
	location := string(t.Request)
	evidence, ran := t.evidenceOfRun()
	if t.State == StateRefused && t.Execution == domain.NotRun && ran {
		m.addFinding(check.Finding{Location: location, Problem: fmt.Sprintf("refused as not_run, but %s has %s", evidence.Host, evidence)})
	}
	runs := make(map[domain.Attempt]bool)
	idempotent := true
	for _, e := range t.Events {
		if e.Kind == AttemptEnded && e.Execution == domain.DidRun {
			runs[e.Attempt] = true
		}
		if e.Kind == Accepted {
			idempotent = e.Idempotent
		}
	}
	if !idempotent && len(runs) > 1 {
		m.addFinding(check.Finding{Location: location, Problem: fmt.Sprintf("may not be repeated, but ran in %d attempts", len(runs))})
	}
}

func formatTime(e Event) string { return e.Time.UTC().Format("2006-01-02T15:04:05.000Z") }
