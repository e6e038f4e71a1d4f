// Package store is the stand-in for the platform: an object API with versions,
// conditional updates and watches, a host list that lags, and a weight store.
// It keeps everything in memory and misbehaves as told.
//
// # Usage
//
//	var p store.Platform
//	s := serve.Server{Handler: &p}
//	addr, err := s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
//	p.Misbehave(store.Fault{LoseAnswers: 1})
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

// Fault is how the platform misbehaves. The zero value is good behaviour; a
// fault that is set takes the place of the one before.
type Fault struct {
	// Down answers each call with 503 and does nothing.
	Down bool `json:"down,omitempty"`
	// Cut closes each call's connection and does nothing.
	Cut bool `json:"cut,omitempty"`
	// Frozen leaves each call without an answer until it is over; a write then
	// takes effect, late, whether or not its caller waits.
	Frozen bool `json:"frozen,omitempty"`
	// Delay is waited before each call, in nanoseconds; a write takes effect
	// after it, whether or not its caller waits.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswers is how many of the next writes take effect while their
	// answer is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// StaleReads gives each read and watch the version before the last.
	StaleReads bool `json:"stale_reads,omitempty"`
	// WatchSilent leaves watches without an answer.
	WatchSilent bool `json:"watch_silent,omitempty"`
	// HostLag is how late the host list is, in nanoseconds.
	HostLag time.Duration `json:"host_lag,omitempty"`
}

// Counts is how many calls came, by kind; a watch counts once.
type Counts struct {
	Get     int `json:"get"`
	List    int `json:"list"`
	Watch   int `json:"watch"`
	Put     int `json:"put"`
	Delete  int `json:"delete"`
	Hosts   int `json:"hosts"`
	Weights int `json:"weights"`
	// Limited is how many were refused for the rate.
	Limited int `json:"limited"`
}

type object struct {
	now, before infra.Object
}

// Platform is the stand-in. The zero value is ready to use and has no rate
// limits; it must not be copied after its first use.
type Platform struct {
	// WriteRate and ReadRate limit calls a second; zero is no limit.
	WriteRate, ReadRate int

	gate serve.Gate
	once sync.Once
	mux  http.ServeMux

	mu            sync.Mutex
	fault         Fault
	counts        Counts
	writes, reads meter
	version       infra.Version
	objects       map[string]object
	changed       chan struct{}
	hosts         map[domain.Host]infra.ListedHost
	listed        serve.Delayed[[]infra.ListedHost]
	weights       map[string]infra.WeightsInfo
}

// ServeHTTP answers a call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.open)
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) open() {
	p.mux.HandleFunc("GET /objects", p.met(p.list))
	p.mux.HandleFunc("GET /objects/{name...}", p.met(p.get))
	p.mux.HandleFunc("PUT /objects/{name...}", p.met(p.put))
	p.mux.HandleFunc("DELETE /objects/{name...}", p.met(p.remove))
	p.mux.HandleFunc("GET /hosts", p.met(p.listHosts))
	p.mux.HandleFunc("PUT /hosts/{name}", p.putHost)
	p.mux.HandleFunc("DELETE /hosts/{name}", p.removeHost)
	p.mux.HandleFunc("GET /weights/{model}", p.met(p.getWeights))
	p.mux.HandleFunc("PUT /weights/{model}", p.putWeights)
	p.mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { serve.Write(w, http.StatusOK, p.Fault()) })
	p.mux.HandleFunc("POST /fault", p.postFault)
	p.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { serve.Write(w, http.StatusOK, p.Counts()) })
}

// SetFault sets the fault in the place of the one before.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	p.fault = f
	p.wake() // a stale read may have hidden a version from watches
	p.mu.Unlock()
	p.gate.Freeze(f.Frozen)
}

// Fault gives the fault in force.
func (p *Platform) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Counts gives the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if serve.Read(w, r, &f) {
		p.SetFault(f)
		serve.Write(w, http.StatusOK, f)
	}
}

// met puts the faults that meet every call before its handler.
func (p *Platform) met(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given := context.WithoutCancel(r.Context()) // what was given is done, as by a paused process
		if serve.Sleep(given, p.Fault().Delay) != nil || p.gate.Pass(given) != nil {
			serve.AbortConn()
		}
		f := p.Fault()
		switch {
		case f.Cut:
			serve.AbortConn()
		case f.Down:
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		default:
			handle(w, r)
		}
	}
}
