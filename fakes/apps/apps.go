// Package apps is the stand-in for a plain application server: marketplace-app or
// wallapp. It answers any path, records each call that it executed, and counts the
// executions per idempotency key. A call runs to its end even if its caller
// disconnects.
//
// # Usage
//
//	var a apps.App
//	s := serve.Server{Handler: &a}
//	a.OnCrash = s.Crash
//	addr, err := s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
//	a.SetFault(apps.Fault{LoseAnswers: 1})
//
// For tests: GET and POST /fault, POST /crash, GET /runs. Any other path is a call.
package apps

import (
	"context"
	"net/http"
	"sync"
	"time"

	"jacinthworks/fakes/serve"
)

// CrashMarker crashes the server when it occurs in the path or body of a call. The
// call is recorded as executed before the crash.
const CrashMarker = "[crash]"

// DefaultDownTime is how long a server refuses connections after a crash if
// App.DownTime is zero.
const DefaultDownTime = 500 * time.Millisecond

// Fault describes how the server misbehaves. The zero value means no fault.
type Fault struct {
	// Frozen stops all calls and answers until the fault is cleared.
	Frozen bool `json:"frozen,omitempty"`
	// Delay is added to the duration of each call, in nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
	// Refuse answers 503 with the Not-Taken header and does not execute the call.
	Refuse bool `json:"refuse,omitempty"`
	// Fail answers 500 after executing the call.
	Fail bool `json:"fail,omitempty"`
	// LoseAnswers is the number of next calls that are executed but whose
	// connection is closed without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// App is the HTTP handler of the stand-in. The zero value is ready to use; it must not
// be copied after its first use. It is safe for concurrent use.
type App struct {
	// CallTime is the duration of a call.
	CallTime time.Duration
	// DownTime is how long the server refuses connections after a crash; zero
	// means DefaultDownTime.
	DownTime time.Duration
	// OnCrash is called after a crash and must make the server unreachable for
	// the duration down. It may be nil.
	OnCrash func(down time.Duration)

	gate serve.Gate
	once sync.Once
	mux  http.ServeMux

	mu    sync.Mutex
	fault Fault
	// ctx is cancelled by a crash and then replaced.
	ctx       context.Context
	cancel    context.CancelFunc
	runs      []*Run
	runsByKey map[string]int
}

// ServeHTTP handles a call, or a request to the test interface.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.once.Do(a.setup)
	a.mux.ServeHTTP(w, r)
}

func (a *App) setup() {
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, a.Fault()) })
	a.mux.HandleFunc("POST /fault", a.postFault)
	a.mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { a.crash(); serve.AbortConn() })
	a.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, a.Report()) })
	a.mux.HandleFunc("/", a.call)
}

// SetFault replaces the current fault.
func (a *App) SetFault(f Fault) {
	a.mu.Lock()
	a.fault = f
	a.mu.Unlock()
	a.gate.Freeze(f.Frozen)
}

// Fault returns the current fault.
func (a *App) Fault() Fault {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault
}

func (a *App) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if serve.ReadJSON(w, r, &f) {
		a.SetFault(f)
		serve.WriteJSON(w, http.StatusOK, f)
	}
}

// crash cancels all calls in progress and makes the server unreachable.
func (a *App) crash() {
	a.mu.Lock()
	a.cancel()
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.mu.Unlock()
	down := a.DownTime
	if down <= 0 {
		down = DefaultDownTime
	}
	if a.OnCrash != nil {
		a.OnCrash(down)
	}
}
