package slots

import (
	"math"
	"time"
)

const (
	// faultHalfLife is the half-life of the counts of a server's calls and failures. It holds some
	// 80 calls of a server with 30 calls a second.
	faultHalfLife = 2 * time.Second
	// routeHalfLife is the half-life of the counts of all calls of a route, and routeWeight the
	// number of calls as which their failure rate counts beside the recent calls of other
	// servers. initialFailureRate is the rate of a route without calls.
	routeHalfLife      = time.Minute
	routeWeight        = 10
	initialFailureRate = 0.03
	// A server is failing if its failures exceed those expected by faultDeviations standard
	// deviations, and by minExcessRate of its calls.
	faultDeviations = 3
	minExcessRate   = 0.15
	// maxFailureRate is the failure rate above which a failing server gets only probes.
	maxFailureRate = 0.5
	// maxRepeatableFailureRate is the same for calls that can be repeated.
	maxRepeatableFailureRate = 0.9
	// A failing server gets a probe every probeInterval, and shortProbeInterval after one that
	// was answered. After probesToRecover consecutive answers it is not failing any more. Calls
	// that can't be repeated are used as probes only after lostProbeInterval without another.
	probeInterval      = time.Second
	shortProbeInterval = 100 * time.Millisecond
	lostProbeInterval  = 2 * time.Second
	probesToRecover    = 4
	// maxRoutes bounds the routes that are told apart.
	maxRoutes = 256
)

// faultCount counts calls and failures, decaying.
type faultCount struct {
	calls, failures float64
	at              time.Time
}

// decay brings the counts to now.
func (c *faultCount) decay(now time.Time, halfLife time.Duration) {
	factor := math.Exp2(-max(0, now.Sub(c.at).Seconds()) / halfLife.Seconds())
	c.calls, c.failures, c.at = c.calls*factor, c.failures*factor, now
}

func (c *faultCount) add(now time.Time, halfLife time.Duration, failed bool) {
	c.decay(now, halfLife)
	c.calls++
	if failed {
		c.failures++
	}
}

// faultsOf returns the count of a route, nil if there are too many.
func faultsOf(counts *map[string]*faultCount, route string) *faultCount {
	if *counts == nil {
		*counts = make(map[string]*faultCount)
	}
	if c := (*counts)[route]; c != nil {
		return c
	}
	if len(*counts) >= maxRoutes {
		return nil
	}
	c := &faultCount{}
	(*counts)[route] = c
	return c
}

// recordOutcome records the outcome of a call, and decides whether its server is failing.
func (p *Pool) recordOutcome(now time.Time, s *server, route string, failed bool) {
	own, all := faultsOf(&s.faults, route), faultsOf(&p.routes, route)
	if own == nil || all == nil {
		return
	}
	own.add(now, faultHalfLife, failed)
	all.add(now, routeHalfLife, failed)
	if s.failing {
		if s.okInRow++; failed {
			s.okInRow = 0
		}
		if s.okInRow >= probesToRecover {
			p.setFailing(s, false)
			s.faults = nil
		}
	}
	observed, expected, calls := 0.0, 0.0, 0.0
	for name, c := range s.faults {
		c.decay(now, faultHalfLife)
		calls += c.calls
		observed += c.failures
		expected += c.calls * p.usualFailureRate(now, s, name)
	}
	if calls == 0 {
		return
	}
	s.failureRate = observed / calls
	excess := observed - expected
	if !s.failing && excess > faultDeviations*math.Sqrt(expected+1) && excess > minExcessRate*calls {
		p.setFailing(s, true)
	}
}

func (p *Pool) setFailing(s *server, failing bool) {
	s.failing, s.okInRow = failing, 0
	if p.OnFailing != nil {
		p.OnFailing(s.ID, failing, s.failureRate)
	}
}

// usualFailureRate is the part of the route's calls that fail at other servers than s. Routes fail
// at different rates whatever the server.
func (p *Pool) usualFailureRate(now time.Time, s *server, route string) float64 {
	rate := initialFailureRate
	if all := p.routes[route]; all.calls > 0 {
		rate = (all.failures + initialFailureRate) / (all.calls + 1)
	}
	calls, failures := float64(routeWeight), routeWeight*rate
	for _, o := range p.sorted {
		if c := o.faults[route]; c != nil && o != s && !o.failing {
			c.decay(now, faultHalfLife)
			calls += c.calls
			failures += c.failures
		}
	}
	return failures / calls
}

// probeDue reports whether a failing server should get the call as a probe.
func (s *server) probeDue(now time.Time, w *waiter) bool {
	interval := probeInterval
	if s.okInRow > 0 {
		interval = shortProbeInterval
	}
	if !w.Repeatable {
		interval = lostProbeInterval
	}
	return s.failing && now.Sub(s.grantedAt) >= interval
}
