package model

import (
	"context"
	"time"

	"jacinthworks/domain"
)

// Outcome is how a run ended.
type Outcome string

// The outcomes; a run in progress has none.
const (
	Done      Outcome = "done"
	Cancelled Outcome = "cancelled"
	Crashed   Outcome = "crashed"
	Evicted   Outcome = "evicted"
)

// Run is one piece of work that the engine began. Runs are kept through a
// crash, for those who check.
type Run struct {
	Request domain.RequestID `json:"request"`
	Attempt domain.Attempt   `json:"attempt"`
	// Work is what was run: prefill or decode.
	Work  domain.Role `json:"work"`
	Start time.Time   `json:"start"`
	End   time.Time   `json:"end,omitzero"`
	// Tokens were computed so far, cached ones left out.
	Tokens int `json:"tokens"`
	// ReservedTokens is the KV memory reserved, in tokens.
	ReservedTokens int     `json:"held"`
	Outcome        Outcome `json:"outcome,omitempty"`
}

func (r *Run) end(o Outcome) {
	if r.Outcome == "" {
		r.Outcome, r.End = o, time.Now()
	}
}

// Runs gives a copy of every run so far, in the order they began.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// begin reserves memory for a run and records it. It gives a problem's detail,
// and begins nothing, when there is no room.
func (e *Engine) begin(m *memory, r Run) (context.Context, *Run, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case m != e.memory:
		return nil, nil, "the engine is restarting"
	case e.fault.Refuse:
		return nil, nil, "told to refuse"
	case e.Role != "" && e.Role != r.Work:
		return nil, nil, "the engine has role " + string(e.Role)
	case r.Work == domain.RoleDecode && m.decodes() >= e.Slots:
		return nil, nil, "no slot is free"
	case e.used()+r.ReservedTokens > e.MemoryTokens:
		return nil, nil, "KV memory is full"
	}
	r.Start = time.Now()
	run := &r
	ctx, stop := context.WithCancelCause(m.ctx)
	m.running[run] = stop
	e.runs = append(e.runs, run)
	e.note()
	return ctx, run, ""
}

// finish ends a run and frees its memory. It reports false if the run had
// ended otherwise, by a crash or a cancel.
func (e *Engine) finish(m *memory, r *Run, o Outcome) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ours := r.Outcome == ""
	r.end(o)
	if stop, ok := m.running[r]; ok {
		stop(nil)
		delete(m.running, r)
	}
	e.note()
	return ours
}

func (m *memory) decodes() int {
	n := 0
	for r := range m.running {
		if r.Work == domain.RoleDecode {
			n++
		}
	}
	return n
}

func (e *Engine) computed(r *Run, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Tokens += tokens
}
