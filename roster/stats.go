package roster

import (
	"math"
	"sync"
	"time"

	"jacinthworks/pacer"
	"jacinthworks/route"
)

// Half-lives and weights of the decaying statistics.
const (
	// failureHalfLife is the half-life of failures, refusals and successes. After three half-lives
	// an upstream that failed once is selected as if it had not: upstreams restart within seconds.
	failureHalfLife = 3 * time.Second
	// loadHalfLife is the half-life of the load that other processes put on the upstream, as its
	// last response reported it: requests end within a second.
	loadHalfLife = 500 * time.Millisecond
	// unitTimeSmoothing is the weight of the previous average in the moving average of the time per
	// unit of work; it averages over about ten responses.
	unitTimeSmoothing = 0.8
	// An upstream counts as responsive if its decayed count of successes is at least
	// responsiveMinSuccesses, and its failures and refusals are below responsiveMaxFailures times
	// the successes: one success within the last half-life, and no failure or refusal since.
	responsiveMinSuccesses    = 0.5
	responsiveMaxFailureRatio = 0.1
	// failureRatePrior is added to the number of responses that the failure rate is computed from,
	// so that one failure among few responses does not count as a rate near 1.
	failureRatePrior = 1.5
)

// Stats holds this process's observations of one upstream's load, failures and announcements. The
// zero value holds no observations. It is safe for concurrent use; its lock is a leaf lock: no
// other lock is acquired while it is held.
type Stats struct {
	mu sync.Mutex
	// inFlight counts the requests that this process has in flight at the upstream. memoryTokens is
	// the KV memory they use, and promptTokens their prompt tokens still to be prefilled.
	inFlight     int
	memoryTokens int
	promptTokens int
	// otherRequests is the number of requests of other processes at the time of the last load
	// report.
	otherRequests float64
	reportedAt    time.Time
	hostLoad      hostLoad
	// failures, refusals and successes are counts that decay.
	failures, refusals, successes float64
	decayedAt                     time.Time
	// unitTime is the moving average of the time per unit of work: a call, or a prompt token.
	unitTime time.Duration
	// skipUntil excludes the upstream for a short time after it refused a request for lack of
	// capacity or accepted no connection.
	skipUntil time.Time
	// suspendedUntil excludes the upstream while it changes its role.
	suspendedUntil time.Time
	// lastOrder is the fencing token of the newest role change order that was accepted.
	lastOrder uint64
	// refusalsInRow counts consecutive refusals of requests that the upstream had reserved capacity
	// for or that need no reservation, and dialFailuresInRow consecutive failures to connect.
	refusalsInRow, dialFailuresInRow int
	// prefillsDone is when the prefills queued at the upstream by QueuePrefill will be done.
	prefillsDone time.Time
	// rateLimit is the rate limit that the upstream states in its responses.
	rateLimit pacer.LimitState
	// rateLimitUntil excludes the upstream until its rate limit allows another request.
	rateLimitUntil time.Time
	// announcement holds the shutdown and the backoff that the upstream announced.
	announcement Announcement
}

// Cost is what one request uses of an upstream.
type Cost struct {
	// MemoryTokens is the KV memory the request needs, PromptTokens the tokens to prefill.
	MemoryTokens, PromptTokens int
}

// RequestStarted counts a request that is being sent.
func (s *Stats) RequestStarted(c Cost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.memoryTokens += c.MemoryTokens
	s.promptTokens += c.PromptTokens
}

// RequestEnded ends a request counted by RequestStarted, with the same cost.
func (s *Stats) RequestEnded(c Cost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.memoryTokens -= c.MemoryTokens
	s.promptTokens -= c.PromptTokens
}

// RecordSuccess records a response that took the given time for the given number of units of work.
func (s *Stats) RecordSuccess(now time.Time, took time.Duration, units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.successes++
	s.refusalsInRow, s.dialFailuresInRow = 0, 0
	perUnit := took / time.Duration(max(units, 1))
	if s.unitTime == 0 {
		s.unitTime = perUnit
		return
	}
	s.unitTime = time.Duration(unitTimeSmoothing*float64(s.unitTime) + (1-unitTimeSmoothing)*float64(perUnit))
}

// RecordFailure records a request that the upstream failed.
func (s *Stats) RecordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failures++
}

// Refusals returns the decayed numbers of refusals and of successes.
func (s *Stats) Refusals(now time.Time) (refusals, successes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.refusals, s.successes
}

// ExcludeUntil records that the upstream has no capacity left, and excludes it until the given time.
func (s *Stats) ExcludeUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.skipUntil) {
		s.skipUntil = until
	}
}

// After a refusal the upstream is excluded for refusalBackoffMin. The time doubles with each
// consecutive refusal, up to refusalBackoffMax.
const (
	refusalBackoffMin = time.Second
	refusalBackoffMax = 8 * time.Second
)

// RecordRefusal records that the upstream refused a request for which it had reserved capacity, or
// one that needs no reservation, such as a prefill.
//
// An engine that changes its role, which takes seconds, still grants reservations but refuses the
// requests for them, and the registry reports the change only when it is complete. Each such
// refusal wastes a prefill. Doubling the exclusion costs little if the refusal was a single one.
func (s *Stats) RecordRefusal(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.refusals++
	s.skipUntil = now.Add(min(refusalBackoffMin<<min(s.refusalsInRow, 10), refusalBackoffMax))
	s.refusalsInRow++
}

// After a failure to connect the upstream is excluded for dialBackoffMin. The time doubles with
// each consecutive failure, up to dialBackoffMax: a crashed upstream restarts within seconds, and
// one that was only busy accepts connections again within milliseconds.
const (
	dialBackoffMin = 100 * time.Millisecond
	dialBackoffMax = time.Second
)

// RecordDialFailure records that the upstream accepted no connection.
//
// The registry entry of a crashed upstream lasts for some seconds. Without the exclusion each
// request would fail to connect once, and both attempts of a prompt could go to crashed engines.
func (s *Stats) RecordDialFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := now.Add(min(dialBackoffMin<<min(s.dialFailuresInRow, 10), dialBackoffMax))
	if until.After(s.skipUntil) {
		s.skipUntil = until
	}
	s.dialFailuresInRow++
}

// IsUnreachable reports whether the last dials failed, and the backoff after them has not passed.
func (s *Stats) IsUnreachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialFailuresInRow > 0 && now.Before(s.skipUntil)
}

// QueuePrefill adds a prefill of the given duration to the queue of this upstream. It returns how
// long the caller should wait, up to longest, until the prefills queued before are done.
func (s *Stats) QueuePrefill(now time.Time, took, longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := min(max(0, s.prefillsDone.Sub(now)), longest)
	s.prefillsDone = now.Add(wait + took)
	return wait
}

// SuspendForRoleChange excludes the upstream until the given time, when its role change is due: until then
// it accepts no requests.
func (s *Stats) SuspendForRoleChange(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedUntil = until
}

// AcceptOrder reports whether an order to change the role has a newer fencing token than all orders
// accepted before, and records the token if so.
func (s *Stats) AcceptOrder(token uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token <= s.lastOrder {
		return false
	}
	s.lastOrder = token
	return true
}

// RoleChanged records that the upstream has changed its role. It drops what belongs to the former
// role: the unit time, the refusals, the suspension and the exclusion after refusals or failures to
// connect.
func (s *Stats) RoleChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedUntil, s.skipUntil, s.refusalsInRow, s.refusals, s.unitTime = time.Time{}, time.Time{}, 0, 0, 0
}

// RecordLoad records the load reported in a response: the number of all requests at the upstream,
// running or queued, including those of this process.
func (s *Stats) RecordLoad(now time.Time, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.otherRequests = max(0, float64(total-s.inFlight))
	s.reportedAt = now
}

// RecordHostLoad records the figure that the upstream stated about how long work takes on its host.
func (s *Stats) RecordHostLoad(now time.Time, stated float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLoad.record(now, stated)
}

// HostLoad returns the time that work takes on the upstream's host relative to its usual time there,
// as last stated, and the age of that statement; false if there was none.
func (s *Stats) HostLoad(now time.Time) (load float64, age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostLoad.current(), now.Sub(s.hostLoad.at), s.hostLoad.stated > 0
}

// ObserveRateLimit updates the rate limit by what a response stated, and returns the rates in force
// before and after.
func (s *Stats) ObserveRateLimit(o pacer.Observation) (before, after pacer.Rate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.rateLimit.Rate()
	if s.rateLimit.Observe(o) {
		s.rateLimitUntil = time.Time{}
	}
	return before, s.rateLimit.Rate()
}

// RateLimitObservation returns the observation that the current rate limit is based on.
func (s *Stats) RateLimitObservation() pacer.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimit.Current()
}

// SetRateLimitWait excludes the upstream until the given time, before which its rate limit allows
// no request.
func (s *Stats) SetRateLimitWait(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimitUntil = until
}

// RateLimitWait returns the time until the rate limit allows a request; zero if it does now.
func (s *Stats) RateLimitWait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.rateLimitUntil.Sub(now))
}

// RateLimit returns the rate limit and the time since a response last stated it.
func (s *Stats) RateLimit(now time.Time) (pacer.Rate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rateLimit.Rate().Limited() {
		return pacer.Unlimited, 0
	}
	return s.rateLimit.Rate(), s.rateLimit.Age(now)
}

// MarkLeaving records a response that announces the shutdown of the upstream, and reports whether
// it is the first one.
func (s *Stats) MarkLeaving(now time.Time) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement.MarkLeaving(now)
}

// RequestBackoff records a response that requests backoff for the given time, and reports whether it
// extends the backoff.
func (s *Stats) RequestBackoff(now time.Time, delay time.Duration) (extended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement.RequestBackoff(now, delay)
}

func (s *Stats) eligibility(now time.Time) Eligibility {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement.eligibility(now)
}

// Announcement returns the shutdown and the backoff that the upstream announced.
func (s *Stats) Announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement
}

// Candidate returns the statistics in the form that upstream selection compares. The exclusions by
// SuspendForRoleChange and SetRateLimitWait appear as Excluded too.
func (s *Stats) Candidate(now time.Time) route.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	otherRequests := s.otherRequests * decayFactor(now.Sub(s.reportedAt), loadHalfLife)
	return route.Candidate{
		OwnRequests:   s.inFlight,
		OtherRequests: otherRequests,
		OwnTokens:     s.memoryTokens,
		QueuedTokens:  s.promptTokens,
		FailureRate:   s.failures / (s.failures + s.successes + failureRatePrior),
		Responsive:    s.successes >= responsiveMinSuccesses && s.failures+s.refusals < s.successes*responsiveMaxFailureRatio,
		UnitTime:      s.unitTime,
		CoolingDown:   now.Before(s.skipUntil) || now.Before(s.suspendedUntil) || now.Before(s.rateLimitUntil),
	}
}

func (s *Stats) decay(now time.Time) {
	if !s.decayedAt.IsZero() {
		factor := decayFactor(now.Sub(s.decayedAt), failureHalfLife)
		s.failures *= factor
		s.refusals *= factor
		s.successes *= factor
	}
	s.decayedAt = now
}

// decayFactor returns the fraction, 0 to 1, that is left of a decaying value after the time age.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
