package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"jacinthworks/conns"
	"jacinthworks/domain"
	"jacinthworks/memory"
	"jacinthworks/meter"
)

// The parts of the descriptors that the connections of callers may take, those to upstreams for their requests, and
// those of other entries. The rest is for connections to the store and to other entries, for probes and for files.
const (
	callersDescriptors  = 0.4
	requestsDescriptors = 0.25
	peersDescriptors    = 0.2
)

// maxProbes is the most connections of health checks, and of readers of metrics.
const maxProbes = 32

const (
	headersRefusedTotal     = "jacinthworks_headers_refused_total"     // labels listener, reason
	connectionsRefusedTotal = "jacinthworks_connections_refused_total" // label listener
)

// guardedListener is a listener whose connections are bounded in number, and by what their requests hold while they
// are read.
type guardedListener struct {
	s    *Server
	name string
	// hasRoom reports whether one more connection may be opened.
	hasRoom func() bool
	// maxHeader is the most bytes of a header; zero is conns.MaxHeaderBytes.
	maxHeader func() int64
	idle      *conns.IdleCloser
	// readers are the requests that are being read.
	readers *memory.Readers
	// refused counts refusals since the last log line.
	refused atomic.Int64
}

// register registers the gauges of the listener.
func (g *guardedListener) register() {
	g.s.Meter.Gauge("jacinthworks_requests_reading", meter.Labels{"listener", g.name}, func() float64 { return float64(g.readers.Count()) })
}

// wrap returns the guarded listener.
func (g *guardedListener) wrap(l net.Listener) net.Listener {
	return &conns.Guard{
		Listener: &conns.BoundedListener{Listener: l, HasRoom: g.hasRoom, Idle: g.idle, Readers: g.readers, OnRefuse: func() {
			g.refused.Add(1)
			g.s.Meter.Inc(connectionsRefusedTotal, meter.Labels{"listener", g.name})
		}},
		MaxHeader: g.maxHeader, Readers: g.readers, Reserve: g.s.reserve,
		NewHolder: func(from netip.Addr) conns.Holder {
			return &memory.Hold[domain.Account]{Budget: &g.s.memory, Account: domain.Account(from.String())}
		},
		OnRefuse: func(reason string) {
			g.refused.Add(1)
			g.s.Meter.Inc(headersRefusedTotal, meter.Labels{"listener", g.name, "reason", reason})
		},
	}
}

// server returns a server for the requests of the listener. What it says of odd requests is only for debugging.
func (g *guardedListener) server(h http.Handler) *http.Server {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: g.s.Settings.Limits.HeaderTimeout,
		MaxHeaderBytes:    conns.MaxHeaderBytes,
		ConnState:         g.idle.ConnState,
		ErrorLog:          g.s.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		// net/http would answer OPTIONS * itself.
		DisableGeneralOptionsHandler: true,
	}
	conns.Prepare(server)
	return server
}

// guardCallers returns the guard of the listener for callers.
func (s *Server) guardCallers() *guardedListener {
	return &guardedListener{s: s, name: "callers", hasRoom: s.memory.HasRoomForConnection, maxHeader: s.maxHeader, readers: &s.readers, idle: &conns.IdleCloser{Limit: s.idleTimeout}}
}

// guardOther returns the guard of another listener, for a number of connections.
func (s *Server) guardOther(name string, connections int) *guardedListener {
	idle := &conns.IdleCloser{Limit: s.idleTimeout}
	return &guardedListener{s: s, name: name, maxHeader: func() int64 { return 0 }, readers: &memory.Readers{}, idle: idle,
		hasRoom: func() bool { return connections <= 0 || idle.Open() < connections }}
}

// maxHeader is the most bytes of the header of a caller's request.
func (s *Server) maxHeader() int64 {
	if c := s.config.Current(); c != nil {
		return c.Limits.MaxHeader
	}
	return 0
}

// openRequest counts a request that may need a connection to an upstream, and reports whether there is a descriptor for
// it. closeRequest must follow if there is.
func (s *Server) openRequest() bool {
	most := s.descriptorPart(requestsDescriptors)
	if n := s.openRequests.Add(1); most <= 0 || n <= int64(most) {
		return true
	}
	s.openRequests.Add(-1)
	return false
}

func (s *Server) closeRequest() { s.openRequests.Add(-1) }

// descriptorPart is a part of the descriptors that the process may open; zero if there is no limit.
func (s *Server) descriptorPart(part float64) int { return int(part * float64(s.Settings.Descriptors)) }

// watchRefusals logs now and then how many connections and headers were refused, if any.
func (s *Server) watchRefusals(ctx context.Context) error {
	t := time.NewTicker(memoryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		for _, g := range s.guards {
			if n := g.refused.Swap(0); n > 0 {
				s.Log.Warn("requests refused before they were read", append([]any{"listener", g.name, "refused", n, "reading", g.readers.Count()}, s.heldFields()...)...)
			}
		}
	}
}

// revokeSlowest has the request give way that arrives at the lowest rate, and reports whether there was one.
func (s *Server) revokeSlowest() bool {
	now := time.Now()
	for _, g := range s.guards {
		if g.readers.RevokeSlowest(now) {
			return true
		}
	}
	return false
}

// limitWrites bounds how long a write to another entry may block.
func (s *Server) limitWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(conns.NewDeadlineWriter(w, s.Settings.Limits.WriteTimeout), r)
	})
}

const (
	// peerBodyFactor is how many times its length a message of another entry holds while it is decoded.
	peerBodyFactor = 4
	// peerAllowance is the length, in bytes, up to which messages of other entries pass without a reservation: callers
	// that use up the memory must not keep entries from agreeing on limits.
	peerAllowance = 16 << 10
)

// holdPeerBody reserves memory for the bodies of messages of other entries.
func (s *Server) holdPeerBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		length := r.ContentLength
		if length < 0 {
			length = maxOwnerRequest
			r.Body = http.MaxBytesReader(w, r.Body, length)
		}
		var from domain.Account
		if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			from = domain.Account(a.Addr().String())
		}
		h := &memory.Hold[domain.Account]{Budget: &s.memory, Account: from}
		if length > peerAllowance && !s.reserve(h, peerBodyFactor*min(length, maxEvidence)) {
			s.Meter.Inc(memoryRefusedTotal, meter.Labels{"what", "peer_message"})
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer h.Release()
		next.ServeHTTP(w, r)
	})
}
