package model

import (
	"net/http"
	"slices"
	"time"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

// CurrentState gives the engine's state without the lag of its report.
func (e *Engine) CurrentState() engine.State {
	e.once.Do(e.open)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.snapshot()
}

func (e *Engine) snapshot() engine.State {
	s := engine.State{
		Role: e.Role, Incarnation: e.memory.incarnation, Slots: e.Slots, UsedTokens: e.used(),
		MemoryTokens: e.MemoryTokens, HonoursFencing: !e.IgnoresFencing, Model: e.Model, Running: []domain.RequestID{},
	}
	for r := range e.memory.running {
		s.Running = append(s.Running, r.Request)
	}
	for _, c := range e.memory.caches {
		s.Running = append(s.Running, c.request)
	}
	slices.Sort(s.Running)
	s.Running = slices.Compact(s.Running)
	return s
}

// note records the state for the report. The caller holds e.mu.
func (e *Engine) note() {
	now := time.Now()
	e.memory.report.Set(now, e.snapshot())
	e.memory.report.At(now.Add(-max(e.ReportLag, 0))) // forgets what no report needs
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note() // an eviction may have passed unnoted
	serve.Write(w, http.StatusOK, e.memory.report.At(time.Now().Add(-max(e.ReportLag, 0))))
}
