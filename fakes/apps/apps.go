// Package apps is the stand-in for a plain application server: marketplace-app
// or wallapp. It answers any path, records each call that it ran, and counts
// the runs of each key. A call that has begun runs on when its caller is gone.
//
// # Usage
//
//	var a apps.App
//	s := serve.Server{Handler: &a}
//	a.Crashed = s.Crash
//	addr, err := s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
//	a.Misbehave(apps.Fault{LoseAnswers: 1})
//
// For tests: GET and POST /fault, POST /crash, GET /runs. Any other path is a
// call.
package apps

import (
	"context"
	"net/http"
	"sync"
	"time"

	"jacinthworks/fakes/serve"
)

// CrashMarker is the marker: a call whose path or body contains it crashes the
// server, after it was recorded as run.
const CrashMarker = "[crash]"

// DefaultDownTime is how long a server refuses connections after a crash.
const DefaultDownTime = 500 * time.Millisecond

// Fault is how the server misbehaves. The zero value is good behaviour; a
// fault that is set takes the place of the one before.
type Fault struct {
	// Frozen stops all work and all answers until it is over.
	Frozen bool `json:"frozen,omitempty"`
	// Delay is added to the time of each call, in nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
	// Refuse answers 503 with the Not-Taken header and runs nothing.
	Refuse bool `json:"refuse,omitempty"`
	// Fail answers 500 after running.
	Fail bool `json:"fail,omitempty"`
	// LoseAnswers is how many of the next calls run while their answer is
	// lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// App is the stand-in. The zero value is ready to use; it must not be copied
// after its first use.
type App struct {
	// CallTime is how long a call runs.
	CallTime time.Duration
	// DownTime is how long the server refuses connections after a crash; zero
	// is DefaultDownTime.
	DownTime time.Duration
	// OnCrash is called after a crash and takes the server off the network
	// for the time given. It may be nil.
	OnCrash func(down time.Duration)

	gate serve.Gate
	once sync.Once
	mux  http.ServeMux

	mu    sync.Mutex
	fault Fault
	life  context.Context
	end   context.CancelFunc
	runs  []*Run
	keys  map[string]int
}

// ServeHTTP answers a call.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.once.Do(a.open)
	a.mux.ServeHTTP(w, r)
}

func (a *App) open() {
	a.life, a.end = context.WithCancel(context.Background())
	a.mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { serve.Write(w, http.StatusOK, a.Fault()) })
	a.mux.HandleFunc("POST /fault", a.postFault)
	a.mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { a.crash(); serve.AbortConn() })
	a.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { serve.Write(w, http.StatusOK, a.Report()) })
	a.mux.HandleFunc("/", a.call)
}

// SetFault sets the fault in the place of the one before.
func (a *App) SetFault(f Fault) {
	a.mu.Lock()
	a.fault = f
	a.mu.Unlock()
	a.gate.Freeze(f.Frozen)
}

// Fault gives the fault in force.
func (a *App) Fault() Fault {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault
}

func (a *App) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if serve.Read(w, r, &f) {
		a.SetFault(f)
		serve.Write(w, http.StatusOK, f)
	}
}

// crash drops all calls in progress and takes the server off the network.
func (a *App) crash() {
	a.mu.Lock()
	a.end()
	a.life, a.end = context.WithCancel(context.Background())
	a.mu.Unlock()
	down := a.DownTime
	if down <= 0 {
		down = DefaultDownTime
	}
	if a.OnCrash != nil {
		a.OnCrash(down)
	}
}
