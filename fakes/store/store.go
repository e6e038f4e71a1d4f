// Package store is the stand-in for the platform: an object API with versions,
// conditional updates and watches, a host list that can be delayed, and a weight
// store. It keeps all data in memory, and tests can inject faults.
//
// # Usage
//
//	var p store.Platform
//	s := serve.Server{Handler: &p}
//	addr, err := s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
//	p.SetFault(store.Fault{LoseAnswers: 1})
//
// Over HTTP: GET, PUT and DELETE /objects/{name}, GET /objects?prefix=,
// GET /hosts, PUT and DELETE /hosts/{name}, GET and PUT /weights/{model},
// GET and POST /fault, GET /counts.
package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/fakes/serve"
	"jacinthworks/infra"
)

// Fault describes how the platform misbehaves. The zero value means no fault.
type Fault struct {
	// Down answers each call with 503 and does not execute it.
	Down bool `json:"down,omitempty"`
	// CloseConns closes the connection of each call and does not execute it.
	CloseConns bool `json:"cut,omitempty"`
	// Frozen blocks each call until the fault is cleared. The call is then
	// executed, even if its caller has disconnected.
	Frozen bool `json:"frozen,omitempty"`
	// Delay is the time in nanoseconds by which each call is delayed. The call is
	// then executed, even if its caller has disconnected.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of next writes that take effect but whose
	// connection is closed without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// StaleReads makes each read and watch see the previous version of an object.
	StaleReads bool `json:"stale_reads,omitempty"`
	// WatchSilent leaves watches without an answer.
	WatchSilent bool `json:"watch_silent,omitempty"`
	// HostLag is the delay of the host list, in nanoseconds.
	HostLag time.Duration `json:"host_lag,omitempty"`
}

// CallCounts holds the number of calls to the platform by kind of call; a watch counts as
// one call, however long it waits.
type CallCounts struct {
	Get     int `json:"get"`
	List    int `json:"list"`
	Watch   int `json:"watch"`
	Put     int `json:"put"`
	Delete  int `json:"delete"`
	Hosts   int `json:"hosts"`
	Weights int `json:"weights"`
	// Limited is the number of calls refused because of a rate limit.
	Limited int `json:"limited"`
}

// object holds the current and the previous version of an object, which is returned
// to stale reads.
type object struct {
	current, previous infra.Object
}

// Platform is the HTTP handler of the stand-in. The zero value is ready to use and has
// no rate limits; it must not be copied after its first use. It is safe for concurrent
// use.
type Platform struct {
	// WriteRate and ReadRate limit the calls per second; zero means no limit.
	WriteRate, ReadRate int

	gate serve.Gate
	once sync.Once
	mux  http.ServeMux

	mu            sync.Mutex
	fault         Fault
	counts        CallCounts
	writes, reads callCounter
	lastVersion   infra.Version
	objects       map[string]object
	changed       chan struct{}
	hosts         map[domain.Host]infra.ListedHost
	hostList      serve.Delayed[[]infra.ListedHost]
	weights       map[string]infra.WeightsInfo
}

// ServeHTTP handles a call, or a request to the test interface.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.setup)
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) setup() {
	p.mux.HandleFunc("GET /objects", p.withFaults(p.list))
	p.mux.HandleFunc("GET /objects/{name...}", p.withFaults(p.get))
	p.mux.HandleFunc("PUT /objects/{name...}", p.withFaults(p.put))
	p.mux.HandleFunc("DELETE /objects/{name...}", p.withFaults(p.remove))
	p.mux.HandleFunc("GET /hosts", p.withFaults(p.listHosts))
	p.mux.HandleFunc("PUT /hosts/{name}", p.putHost)
	p.mux.HandleFunc("DELETE /hosts/{name}", p.removeHost)
	p.mux.HandleFunc("GET /weights/{model}", p.withFaults(p.getWeights))
	p.mux.HandleFunc("PUT /weights/{model}", p.putWeights)
	p.mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, p.Fault()) })
	p.mux.HandleFunc("POST /fault", p.postFault)
	p.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, p.Counts()) })
}

// SetFault replaces the current fault.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	p.fault = f
	p.notifyWatches() // the end of stale reads may make a newer version visible
	p.mu.Unlock()
	p.gate.Freeze(f.Frozen)
}

// Fault returns the current fault.
func (p *Platform) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() CallCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if serve.ReadJSON(w, r, &f) {
		p.SetFault(f)
		serve.WriteJSON(w, http.StatusOK, f)
	}
}

// withFaults returns a handler that applies the faults that affect all calls, and then
// calls handle.
func (p *Platform) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithoutCancel(r.Context()) // a call that was received is executed even if its caller disconnects, as by a paused process
		if serve.Sleep(ctx, p.Fault().Delay) != nil || p.gate.Pass(ctx) != nil {
			serve.AbortConn()
		}
		f := p.Fault()
		switch {
		case f.CloseConns:
			serve.AbortConn()
		case f.Down:
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		default:
			handle(w, r)
		}
	}
}
