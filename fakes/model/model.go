// Package model is the stand-in for a model engine. It prefills one prompt at a time,
// decodes in a batch whose token gap grows with its size, keeps KV cache in limited
// memory and evicts the KV cache of a prefill after a short lifetime. Prefills and
// decodes that are not cancelled run to their end even if their caller disconnects.
//
// # Usage
//
//	e := model.Engine{Settings: model.Settings{Role: domain.RolePrefill}}
//	s := serve.Server{Handler: &e}
//	e.OnCrash = s.Crash
//	addr, err := s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
//	e.SetFault(model.Fault{DropCancels: 1})
//
// Over HTTP: POST /prefill, /decode, /cancel, /order; GET /state,
// /events?after=N, /kv/{handle}; for tests GET and POST /fault, POST /crash,
// GET /runs, GET /orders.
package model

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

// Markers in a prompt that crash the engine that prefills it, or the engine that
// decodes from its KV cache.
const (
	CrashInPrefill = "[crash-in-prefill]"
	CrashInDecode  = "[crash-in-decode]"
)

var (
	errCrashed   = errors.New("model: crashed")
	errCancelled = errors.New("model: cancelled")
)

// Fault describes how the engine misbehaves. The zero value means no fault.
type Fault struct {
	// Frozen stops all runs and answers until the fault is cleared.
	Frozen bool `json:"frozen,omitempty"`
	// Slow multiplies the duration of prefills, token gaps, transfers and loads;
	// zero means 1.
	Slow float64 `json:"slow,omitempty"`
	// Refuse answers each prefill and decode request with not_taken.
	Refuse bool `json:"refuse,omitempty"`
	// DropCancels is the number of next cancels that are answered but ignored.
	DropCancels int `json:"drop_cancels,omitempty"`
	// LoseAnswers is the number of next prefills that run but whose connection is
	// closed without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// Engine is the HTTP handler of the stand-in. The zero value is ready to use and serves
// both roles; it must not be copied after its first use. It is safe for concurrent use.
type Engine struct {
	Settings
	// OnCrash is called after a crash and must make the engine unreachable for the
	// duration down. It may be nil.
	OnCrash func(down time.Duration)

	gate serve.Gate
	once sync.Once
	mux  http.ServeMux
	link link

	mu       sync.Mutex
	fault    Fault
	volatile *volatileState
	runs     []*Run
	orders   []ReceivedOrder
	fence    uint64
	// lastEventSeq numbers the cache events and lastHandle the KV caches; a crash
	// does not reset them.
	lastEventSeq uint64
	lastHandle   uint64
}

// volatileState is the state that a crash discards.
type volatileState struct {
	ctx          context.Context
	cancel       context.CancelCauseFunc
	incarnation  domain.Incarnation
	prefillQueue prefillQueue
	running      map[*Run]context.CancelCauseFunc
	caches       map[string]*kvCache
	prefixes     map[uint64]*prefix
	events       []event
	report       serve.Delayed[engine.State]
}

// ServeHTTP handles a call, or a request to the test interface.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.setup)
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) setup() {
	e.Settings = e.withDefaults()
	e.resetState()
	e.mux.HandleFunc("POST /prefill", e.gated(e.prefill))
	e.mux.HandleFunc("POST /decode", e.gated(e.decode))
	e.mux.HandleFunc("POST /cancel", e.gated(e.cancel))
	e.mux.HandleFunc("POST /order", e.gated(e.order))
	e.mux.HandleFunc("GET /state", e.gated(e.state))
	e.mux.HandleFunc("GET /now", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, e.CurrentState()) })
	e.mux.HandleFunc("GET /events", e.gated(e.cacheEvents))
	e.mux.HandleFunc("GET /kv/{handle}", e.gated(e.export))
	e.mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, e.Fault()) })
	e.mux.HandleFunc("POST /fault", e.postFault)
	e.mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) { e.Crash(); serve.AbortConn() })
	e.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, e.Runs()) })
	e.mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, e.Orders()) })
}

// gated returns a handler that delays each call while the engine is frozen, and closes
// the call's connection if the engine crashes meanwhile.
func (e *Engine) gated(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.gate.Pass(e.currentState().ctx) != nil {
			serve.AbortConn()
		}
		handle(w, r)
	}
}

// SetFault replaces the current fault.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	e.fault = f
	e.mu.Unlock()
	e.gate.Freeze(f.Frozen)
}

// Fault returns the current fault.
func (e *Engine) Fault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

func (e *Engine) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if serve.ReadJSON(w, r, &f) {
		e.SetFault(f)
		serve.WriteJSON(w, http.StatusOK, f)
	}
}

// Crash discards the volatile state, ends all runs in progress with outcome OutcomeCrashed, and
// starts a new incarnation.
func (e *Engine) Crash() {
	e.once.Do(e.setup)
	e.mu.Lock()
	old := e.volatile
	for r := range old.running {
		r.setOutcome(OutcomeCrashed)
	}
	e.resetState()
	e.mu.Unlock()
	old.cancel(errCrashed)
	if e.OnCrash != nil {
		e.OnCrash(e.DownTime)
	}
}

// resetState starts a new incarnation with empty volatile state. The caller holds e.mu,
// except during setup.
func (e *Engine) resetState() {
	m := &volatileState{
		incarnation: domain.Incarnation(time.Now().UnixNano()),
		running:     map[*Run]context.CancelCauseFunc{},
		caches:      map[string]*kvCache{},
		prefixes:    map[uint64]*prefix{},
	}
	if e.volatile != nil {
		m.incarnation = max(m.incarnation, e.volatile.incarnation+1)
	}
	m.ctx, m.cancel = context.WithCancelCause(context.Background())
	e.volatile = m
	e.recordState()
}

func (e *Engine) currentState() *volatileState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.volatile
}

// simulateWork waits for d, multiplied by Fault.Slow; time in which the engine is frozen
// does not count. It returns the cause of the context's end if the context ends first.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) error {
	const slice = 100 * time.Millisecond // upper bound of the delay before a change of the fault takes effect
	for d > 0 {
		if err := e.gate.Pass(ctx); err != nil {
			return context.Cause(ctx)
		}
		slow := e.Fault().Slow
		if slow <= 0 {
			slow = 1
		}
		step := min(d, slice)
		if serve.Sleep(ctx, time.Duration(float64(step)*slow)) != nil {
			return context.Cause(ctx)
		}
		d -= step
	}
	return context.Cause(ctx)
}
