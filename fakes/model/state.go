package model

import (
	"net/http"
	"slices"
	"time"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

// CurrentState returns the engine's state without ReportLag.
func (e *Engine) CurrentState() engine.State {
	e.once.Do(e.setup)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.snapshot()
}

// snapshot returns the current state. Running lists the requests with a run in progress
// or with KV cache in memory. The caller holds e.mu.
func (e *Engine) snapshot() engine.State {
	s := engine.State{
		Role: e.Role, Incarnation: e.volatile.incarnation, Slots: e.Slots, UsedTokens: e.usedTokens(),
		MemoryTokens: e.MemoryTokens, HonoursFencing: !e.IgnoresFencing, Model: e.Model, Running: []domain.RequestID{},
	}
	for r := range e.volatile.running {
		s.Running = append(s.Running, r.Request)
	}
	for _, c := range e.volatile.caches {
		s.Running = append(s.Running, c.request)
	}
	slices.Sort(s.Running)
	s.Running = slices.Compact(s.Running)
	return s
}

// recordState records the current state, which load reports return after ReportLag. The
// caller holds e.mu.
func (e *Engine) recordState() {
	now := time.Now()
	e.volatile.report.Set(now, e.snapshot())
	e.volatile.report.At(now.Add(-max(e.ReportLag, 0))) // discards states that no later report needs
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordState() // KV caches may have expired since the last recorded state
	serve.WriteJSON(w, http.StatusOK, e.volatile.report.At(time.Now().Add(-max(e.ReportLag, 0))))
}
