// Package model is the stand-in for a model engine. It prefills one prompt at
// a time, decodes in a batch whose token gap grows with its size, holds KV
// cache in limited memory and evicts what a prefill left after a short life.
// What nobody cancels runs to its end, whoever has gone.
//
// # Usage
//
//	e := model.Engine{Settings: model.Settings{Role: domain.RolePrefill}}
//	s := serve.Server{Handler: &e}
//	e.Crashed = s.Crash
//	addr, err := s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
//	e.Misbehave(model.Fault{DropCancels: 1})
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

// The markers: an engine that prefills, or decodes, a prompt that contains its
// marker crashes.
const (
	CrashInPrefill = "[crash-in-prefill]"
	CrashInDecode  = "[crash-in-decode]"
)

var (
	errCrashed   = errors.New("model: crashed")
	errCancelled = errors.New("model: cancelled")
)

// Fault is how the engine misbehaves. The zero value is good behaviour; a
// fault that is set takes the place of the one before.
type Fault struct {
	// Frozen stops all work and all answers until it is over.
	Frozen bool `json:"frozen,omitempty"`
	// Slow multiplies the time of prefills and token gaps; zero is 1.
	Slow float64 `json:"slow,omitempty"`
	// Refuse answers each order for work with not_taken.
	Refuse bool `json:"refuse,omitempty"`
	// DropCancels is how many of the next cancels are answered and ignored.
	DropCancels int `json:"drop_cancels,omitempty"`
	// LoseAnswers is how many of the next prefills run while their answer is
	// lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// Engine is the stand-in. The zero value is ready to use and takes both roles;
// it must not be copied after its first use.
type Engine struct {
	Settings
	// OnCrash is called after a crash and takes the engine off the network
	// for the time given. It may be nil.
	OnCrash func(down time.Duration)

	gate serve.Gate
	once sync.Once
	mux  http.ServeMux
	link link

	mu     sync.Mutex
	fault  Fault
	memory *memory
	runs   []*Run
	orders []ReceivedOrder
	fence  uint64
	// seq counts cache events, handles KV caches, through crashes too.
	seq     uint64
	handles uint64
}

// memory is what a crash loses.
type memory struct {
	ctx         context.Context
	end         context.CancelCauseFunc
	incarnation domain.Incarnation
	lane        lane
	running     map[*Run]context.CancelCauseFunc
	caches      map[string]*cache
	prefixes    map[uint64]*prefix
	events      []event
	report      serve.Delayed[engine.State]
}

// ServeHTTP answers a call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.open)
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) open() {
	e.Settings = e.filled()
	e.forget()
	e.mux.HandleFunc("POST /prefill", e.gated(e.prefill))
	e.mux.HandleFunc("POST /decode", e.gated(e.decode))
	e.mux.HandleFunc("POST /cancel", e.gated(e.cancel))
	e.mux.HandleFunc("POST /order", e.gated(e.order))
	e.mux.HandleFunc("GET /state", e.gated(e.state))
	e.mux.HandleFunc("GET /now", func(w http.ResponseWriter, _ *http.Request) { serve.Write(w, http.StatusOK, e.CurrentState()) })
	e.mux.HandleFunc("GET /events", e.gated(e.cacheEvents))
	e.mux.HandleFunc("GET /kv/{handle}", e.gated(e.export))
	e.mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { serve.Write(w, http.StatusOK, e.Fault()) })
	e.mux.HandleFunc("POST /fault", e.postFault)
	e.mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) { e.Crash(); serve.AbortConn() })
	e.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { serve.Write(w, http.StatusOK, e.Runs()) })
	e.mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { serve.Write(w, http.StatusOK, e.Orders()) })
}

// gated holds a call back while the engine is frozen, and drops it if the
// engine crashes meanwhile.
func (e *Engine) gated(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.gate.Pass(e.now().ctx) != nil {
			serve.AbortConn()
		}
		handle(w, r)
	}
}

// SetFault sets the fault in the place of the one before.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	e.fault = f
	e.mu.Unlock()
	e.gate.Freeze(f.Frozen)
}

// Fault gives the fault in force.
func (e *Engine) Fault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

func (e *Engine) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if serve.Read(w, r, &f) {
		e.SetFault(f)
		serve.Write(w, http.StatusOK, f)
	}
}

// Crash loses all memory and all work in progress, and comes back as a new
// incarnation.
func (e *Engine) Crash() {
	e.once.Do(e.open)
	e.mu.Lock()
	old := e.memory
	for r := range old.running {
		r.end(Crashed)
	}
	e.forget()
	e.mu.Unlock()
	old.end(errCrashed)
	if e.OnCrash != nil {
		e.OnCrash(e.DownTime)
	}
}

// forget starts an incarnation with empty memory.
func (e *Engine) forget() {
	m := &memory{
		incarnation: domain.Incarnation(time.Now().UnixNano()),
		running:     map[*Run]context.CancelCauseFunc{},
		caches:      map[string]*cache{},
		prefixes:    map[uint64]*prefix{},
	}
	if e.memory != nil {
		m.incarnation = max(m.incarnation, e.memory.incarnation+1)
	}
	m.ctx, m.end = context.WithCancelCause(context.Background())
	e.memory = m
	e.note()
}

func (e *Engine) now() *memory {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory
}

// pace works for the time given, longer while slow, not while frozen.
func (e *Engine) pace(ctx context.Context, d time.Duration) error {
	const slice = 100 * time.Millisecond // how late a freeze may bite
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
