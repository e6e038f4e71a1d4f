package model

import (
	"context"
	"time"

	"jacinthworks/domain"
)

// Outcome is how a prefill or decode run ended; empty while the run is in progress.
type Outcome string

// Outcomes of a run. Evicted is the outcome of a decode that could not import its KV
// cache, which the prefill engine may have evicted.
const (
	OutcomeDone      Outcome = "done"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeEvicted   Outcome = "evicted"
)

// Run is a prefill or decode that the engine started. Runs are kept across crashes, so
// that tests can check them.
type Run struct {
	Request domain.RequestID `json:"request"`
	Attempt domain.Attempt   `json:"attempt"`
	// Role is RolePrefill or RoleDecode.
	Role  domain.Role `json:"work"`
	Start time.Time   `json:"start"`
	End   time.Time   `json:"end,omitzero"`
	// Tokens is the number of tokens computed so far, without cached tokens.
	Tokens int `json:"tokens"`
	// ReservedTokens is the reserved KV memory, in tokens.
	ReservedTokens int     `json:"held"`
	Outcome        Outcome `json:"outcome,omitempty"`
}

// setOutcome ends the run, unless it has already ended.
func (r *Run) setOutcome(o Outcome) {
	if r.Outcome == "" {
		r.Outcome, r.End = o, time.Now()
	}
}

// Runs returns a copy of all runs so far, in the order of their start.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// startRun reserves memory for a run and records it. If the run cannot start, it returns
// the reason as a non-empty string. The context is cancelled when the run ends.
func (e *Engine) startRun(m *volatileState, r Run) (context.Context, *Run, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case m != e.volatile:
		return nil, nil, "the engine is restarting"
	case e.fault.Refuse:
		return nil, nil, "told to refuse"
	case e.Role != "" && e.Role != r.Role:
		return nil, nil, "the engine has role " + string(e.Role)
	case r.Role == domain.RoleDecode && m.decodeCount() >= e.Slots:
		return nil, nil, "no slot is free"
	case e.usedTokens()+r.ReservedTokens > e.MemoryTokens:
		return nil, nil, "KV memory is full"
	}
	r.Start = time.Now()
	run := &r
	ctx, stop := context.WithCancelCause(m.ctx)
	m.running[run] = stop
	e.runs = append(e.runs, run)
	e.recordState()
	return ctx, run, ""
}

// finishRun ends a run with an outcome and releases its memory. It reports whether the
// outcome was recorded; it was not if a crash or a cancel had already ended the run.
func (e *Engine) finishRun(m *volatileState, r *Run, o Outcome) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	recorded := r.Outcome == ""
	r.setOutcome(o)
	if stop, ok := m.running[r]; ok {
		stop(nil)
		delete(m.running, r)
	}
	e.recordState()
	return recorded
}

// decodeCount returns the number of decodes in progress.
func (m *volatileState) decodeCount() int {
	n := 0
	for r := range m.running {
		if r.Role == domain.RoleDecode {
			n++
		}
	}
	return n
}

// addTokens adds computed tokens to the count of a run.
func (e *Engine) addTokens(r *Run, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Tokens += tokens
}
