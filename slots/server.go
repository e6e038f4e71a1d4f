package slots

import (
	"math"
	"time"

	"jacinthworks/domain"
)

// Server is a server of the pool.
type Server struct {
	ID    string
	Zone  domain.Zone
	Slots int
}

// Outcome is how a granted slot was used.
type Outcome string

// The outcomes.
const (
	OK     Outcome = "ok"
	Failed Outcome = "failed"
	// Full means that the server refused the call without running it.
	Full Outcome = "full"
	// Unsent means that the server accepted no connection.
	Unsent Outcome = "unsent"
	// Gone means that the slot was not used, or that the caller is gone.
	Gone Outcome = "gone"
)

// Valid reports whether the outcome is one of the above.
func (o Outcome) Valid() bool {
	switch o {
	case OK, Failed, Full, Unsent, Gone:
		return true
	}
	return false
}

// Result is what the use of a slot showed.
type Result struct {
	Outcome Outcome
	// Took is the time from the send to the answer.
	Took time.Duration
	// HostLoad is the time that work takes on the server's host relative to its usual time there;
	// zero if not stated.
	HostLoad float64
	// InFlight is the stated number of calls at the server; negative if not stated.
	InFlight int
}

const (
	// serverRetention is how long a server that is not listed keeps what was learned of it.
	serverRetention = 30 * time.Second
	// defaultDuration is the duration of a call until one was measured.
	defaultDuration = 50 * time.Millisecond
	// durationSmoothing is the weight of a new measurement in the average duration of calls at
	// one concurrency: at 50 calls a second it averages over 0.4 s, and its error is a sixth of
	// the deviation of a single call.
	durationSmoothing = 0.05
	// minObservations is how many measurements make an average known.
	minObservations = 10
	// durationLifetime is how long the average duration at a concurrency is used to choose the
	// limit after its last measurement. After it, the concurrency is tried again.
	durationLifetime = 5 * time.Second
	// limitTolerance is the part of the highest goodput that a higher concurrency must reach to
	// be preferred, so that the error of the averages does not lower the limit.
	limitTolerance = 0.9
	// minOverheadSlots is the number of slots that must be idle on average because of the way
	// of messages, before one more call than the server has slots is granted.
	minOverheadSlots = 0.2
	// fullMemory is how long after a refusal a server gets no call beyond its slots.
	fullMemory = 10 * time.Second
	// hostLoadLifetime is how long a stated load of a host is used; hosts change it every 600 ms.
	hostLoadLifetime = 700 * time.Millisecond
	// othersHalfLife is the half-life of the number of calls of processes that did not ask for a
	// slot: plain calls end within some 100 ms.
	othersHalfLife = 200 * time.Millisecond
	// A server that accepted no connection gets no calls for minCooldown. The time doubles with
	// each further one, up to maxCooldown: a crashed server restarts within seconds.
	minCooldown = 100 * time.Millisecond
	maxCooldown = time.Second
)

// server is what the pool knows of one server.
type server struct {
	Server
	// present means that the server is listed; seenAt is when it was listed last.
	present bool
	seenAt  time.Time
	// running counts the granted calls that have not ended, and limit bounds them together with
	// the calls of others.
	running, limit int
	// others is the number of calls of processes that did not ask, as last stated.
	others   float64
	othersAt time.Time
	// load is the time that work takes on the host relative to its usual time.
	load   float64
	loadAt time.Time
	// durations holds the averages by concurrency, from 1, at the usual load of the host.
	durations []durationAverage
	fullAt    time.Time
	// unsentInRow counts the consecutive calls for which it accepted no connection.
	unsentInRow  int
	coolingUntil time.Time
	// faults counts calls and failures by route, and failureRate is the part that failed lately.
	// failing means that more calls fail than at other servers; okInRow counts the consecutive
	// answers since.
	faults      map[string]*faultCount
	failureRate float64
	failing     bool
	okInRow     int
	// grantedAt is when it got its last call.
	grantedAt time.Time
	// overheadPart is the part of the time of a slot during which its call is on the way.
	overheadPart float64
}

// durationAverage is the average duration of calls at one concurrency.
type durationAverage struct {
	mean  time.Duration
	count int
	at    time.Time
}

func (a durationAverage) known() bool { return a.count >= minObservations }

func (a durationAverage) fresh(now time.Time) bool {
	return a.known() && now.Sub(a.at) <= durationLifetime
}

// usable reports whether the server accepts calls.
func (s *server) usable(now time.Time) bool {
	return s.present && s.limit > 0 && !now.Before(s.coolingUntil)
}

// free is the number of calls that the server can get now.
func (s *server) free(now time.Time) int { return s.limit - s.running - s.otherCalls(now) }

// otherCalls is the number of calls of processes that did not ask.
func (s *server) otherCalls(now time.Time) int {
	if s.others == 0 {
		return 0
	}
	return int(math.Round(s.others * math.Exp2(-max(0, now.Sub(s.othersAt).Seconds())/othersHalfLife.Seconds())))
}

// hostLoad is the load of the server's host, 1 if it is not known.
func (s *server) hostLoad(now time.Time) float64 {
	if s.load <= 0 || now.Sub(s.loadAt) > hostLoadLifetime {
		return 1
	}
	return s.load
}

// duration is the expected duration of a call while so many calls run at the server, at the
// present load of its host.
func (s *server) duration(now time.Time, concurrency int) time.Duration {
	return time.Duration(float64(s.usualDuration(now, concurrency)) * s.hostLoad(now))
}

// usualDuration is the expected duration at the usual load of the host. A concurrency that was not
// measured lately is expected to take as long as the next lower one that was, so that it is tried.
func (s *server) usualDuration(now time.Time, concurrency int) time.Duration {
	highest := min(max(concurrency, 1), len(s.durations))
	for n := highest; n >= 1; n-- {
		if a := s.durations[n-1]; a.fresh(now) {
			return a.mean
		}
	}
	for n := highest; n >= 1; n-- {
		if a := s.durations[n-1]; a.known() {
			return a.mean
		}
	}
	for _, a := range s.durations[highest:] {
		if a.known() {
			return a.mean
		}
	}
	return defaultDuration
}

// updateLimit sets the limit to the concurrency with the highest goodput: the number of calls
// completed in a second, provided that they take less than the time until their targets.
func (s *server) updateLimit(now time.Time, window time.Duration) {
	if s.Slots <= 0 {
		s.limit = 0
		return
	}
	highest := s.Slots
	if s.overheadPart*float64(s.Slots) >= minOverheadSlots && now.Sub(s.fullAt) > fullMemory {
		highest++
	}
	best := 0.0
	s.limit = 1
	for n := 1; n <= highest; n++ {
		d := s.usualDuration(now, n)
		if n > 1 && window > 0 && d > window {
			break
		}
		goodput := float64(n) / d.Seconds()
		if goodput >= limitTolerance*best {
			s.limit = n
		}
		best = max(best, goodput)
	}
	// Under constant overload all calls run at the limit, and whether fewer would take less time
	// is not measured.
	if n := s.limit; n > 1 && n <= len(s.durations) && s.durations[n-1].fresh(now) && !s.durations[n-2].fresh(now) {
		s.limit--
	}
}

// ended records the end of a granted call.
func (s *server) ended(now time.Time, g *grant, r Result, window time.Duration) {
	if r.HostLoad > 0 {
		s.load, s.loadAt = r.HostLoad, now
	}
	if r.InFlight >= 0 {
		own := s.running
		if r.Outcome == Full {
			own-- // the refused call is not among them
		}
		s.others, s.othersAt = float64(max(0, r.InFlight-own)), now
	}
	s.running--
	switch r.Outcome {
	case OK:
		s.unsentInRow = 0
		s.recordDuration(now, g, r.Took)
	case Failed:
		s.unsentInRow = 0
	case Full:
		s.fullAt = now
		if r.InFlight < 0 {
			s.others, s.othersAt = float64(max(0, s.Slots-s.running)), now
		}
	case Unsent:
		s.coolingUntil = now.Add(min(minCooldown<<min(s.unsentInRow, 10), maxCooldown))
		s.unsentInRow++
	}
	s.updateLimit(now, window)
}

// recordDuration records the duration of a call, at the mean concurrency during it.
func (s *server) recordDuration(now time.Time, g *grant, took time.Duration) {
	if took <= 0 {
		return
	}
	held := max(now.Sub(g.grantedAt), took)
	s.overheadPart += smoothing * (1 - took.Seconds()/held.Seconds() - s.overheadPart)
	at := (g.concurrency + s.running + 1 + s.otherCalls(now) + 1) / 2
	at = min(max(at, 1), s.Slots+1)
	for len(s.durations) < at {
		s.durations = append(s.durations, durationAverage{})
	}
	a := &s.durations[at-1]
	if a.known() && !a.fresh(now) {
		*a = durationAverage{}
	}
	usual := time.Duration(float64(took) / s.hostLoad(now))
	a.count++
	a.mean += time.Duration(max(1/float64(a.count), durationSmoothing) * float64(usual-a.mean))
	a.at = now
}
