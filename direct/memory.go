package direct

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/conns"
	"jacinthworks/domain"
	"jacinthworks/memory"
	"jacinthworks/meter"
)

const (
	// memoryInterval is the time between two looks at the resident memory.
	memoryInterval = time.Second
	// bodyStep is the part of a body or response of unknown length, in bytes, for which memory is reserved
	// before it is read.
	bodyStep = 8 << 10
	// growthFactor is how many times its length a buffer holds that grows as it is read.
	growthFactor = 2
	// memoryRetryAfter is when a request may come again that was refused for want of memory.
	memoryRetryAfter = time.Second
)

const (
	memoryRefusedTotal = "jacinthworks_memory_refused_total" // label what
	memoryHeld         = "jacinthworks_memory_held_bytes"    // label what
)

// maxRevoked bounds how many requests that are being read give way to one reservation.
const maxRevoked = 32

// holdMemory reserves memory for a request until its end, and reports whether there is room.
func (s *Server) holdMemory(r *request, bytes int64) bool {
	if r.hold.Budget == nil {
		r.hold.Budget, r.hold.Account = &s.memory, r.account
	}
	return s.reserve(&r.hold, bytes)
}

// reserve reserves memory. If there is no room, requests that arrive slowly give way.
func (s *Server) reserve(h conns.Holder, bytes int64) bool {
	for range maxRevoked {
		if h.Reserve(bytes) {
			return true
		}
		if !s.revokeSlowest() {
			return false
		}
		s.Meter.Inc(memoryRefusedTotal, meter.Labels{"what", "slow_request"})
	}
	return h.Reserve(bytes)
}

// releaseMemory gives back what a request reserved.
func (s *Server) releaseMemory(r *request) {
	if r.hold.Budget != nil {
		r.hold.Release()
	}
}

// memoryFailure refuses a request for which there is no memory, or no descriptor.
func (s *Server) memoryFailure(what string) *failure {
	s.Meter.Inc(memoryRefusedTotal, meter.Labels{"what", what})
	return &failure{ran: domain.NotRun, reason: domain.ReasonNoRoom, detail: "there is no room for the " + what, retryAfter: memoryRetryAfter}
}

// trackConnections counts the connections of callers, and passes their states on.
func (s *Server) trackConnections(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.memory.OpenConnection()
		case http.StateClosed, http.StateHijacked:
			s.memory.CloseConnection()
		}
		next(c, state)
	}
}

// registerMemory registers the gauges of what callers hold.
func (s *Server) registerMemory() {
	s.Meter.Gauge("jacinthworks_memory_limit_bytes", nil, func() float64 { return float64(s.Settings.MemoryLimit) })
	s.Meter.Gauge("jacinthworks_requests_open", nil, func() float64 { return float64(s.openRequests.Load()) })
	s.Meter.Gauge(memoryHeld, meter.Labels{"what", "requests"}, func() float64 { n, _, _ := s.memory.Held(); return float64(n) })
	s.Meter.Gauge(memoryHeld, meter.Labels{"what", "connections"}, func() float64 { _, n, _ := s.memory.Held(); return float64(n) })
}

// watchMemory logs when the resident memory comes near the limit, and when connections were refused.
func (s *Server) watchMemory(ctx context.Context) error {
	if s.Settings.MemoryLimit <= 0 {
		return nil
	}
	t := time.NewTicker(memoryInterval)
	defer t.Stop()
	for near := false; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		resident, err := residentMemory()
		if err != nil {
			return err
		}
		was := near
		near = resident >= memory.WarningLevel(s.Settings.MemoryLimit)
		if near != was {
			s.logMemory(near, resident)
		}
	}
}

// logMemory logs that the resident memory came near the limit, or is below again, and what holds it.
func (s *Server) logMemory(near bool, resident int64) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fields := append([]any{"resident", resident, "limit", s.Settings.MemoryLimit, "heap", m.HeapAlloc, "stacks", m.StackInuse, "heap_idle", m.HeapIdle - m.HeapReleased,
		"goroutines", runtime.NumGoroutine()}, s.heldFields()...)
	if near {
		s.Log.Warn("memory near its limit", fields...)
		return
	}
	s.Log.Info("memory no longer near its limit", fields...)
}

func (s *Server) heldFields() []any {
	requests, connections, open := s.memory.Held()
	return []any{"held_for_requests", requests, "held_for_connections", connections, "connections", open}
}

// residentMemory is the resident memory of this process in bytes.
func residentMemory() (int64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, errors.Wrap(err, "direct: reading the resident memory")
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.Errorf("direct: reading the resident memory from %q", text)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "direct: reading the resident memory")
}
