package roster

import (
	"math"
	"sync"
	"time"

	"jacinthworks/pacer"
	"jacinthworks/route"
)

// The half-lives of what is remembered of an upstream.
const (
	// failHalf is that of failures: after three half-lives an upstream that
	// failed once is tried as if it had not. Upstreams restart within seconds.
	failHalf = 3 * time.Second
	// loadHalf is that of the load that other processes put on it, as its last
	// answer told: requests end within a second.
	loadHalf = 500 * time.Millisecond
	// speedKeep is the weight of what was known in each new measurement of its
	// speed: some ten answers tell.
	speedKeep = 0.8
	// sureAnswers is the weight of recent answers, and sureFails the part of
	// failures and refusals beside them, by which an upstream counts as sure to answer:
	// one answer within the last half-life, and neither since.
	sureAnswers = 0.5
	sureFails   = 0.1
	// failPrior is the weight, in answers, of the belief that it does not fail.
	failPrior = 1.5
)

// Stats is what this process knows of an upstream by its answers. The zero
// value knows nothing. It is safe for concurrent use; its lock is a leaf.
type Stats struct {
	mu sync.Mutex
	// running counts what this process has there, tokens its memory, queued
	// the prompt tokens that it has yet to read.
	running int
	tokens  int
	queued  int
	// others is what other processes had there at the time of the report.
	others     float64
	reportedAt time.Time
	// fails, refusals and answers are counts that decay.
	fails, refusals, answers float64
	decayedAt                time.Time
	// speed is the time of one unit of work: a call, or a prompt token.
	speed time.Duration
	// holdUntil keeps work away for a moment after it said that it is full.
	holdUntil time.Time
	// away keeps work away while it changes its role.
	away time.Time
	// order is the number of the last order that is known of.
	order uint64
	// refused counts refusals in a row of requests that it held room for, and
	// untaken connections in a row that it did not take.
	refused, untaken int
	// reads is when the prompts that it was given to read here will be read.
	reads time.Time
	// limit is the rate limit that it states.
	limit pacer.LimitState
	// paused keeps work away until its rate limit allows some.
	paused time.Time
	// stated is what it has said of itself beside.
	stated Announcement
}

// Cost is what one request takes of an upstream.
type Cost struct {
	// MemoryTokens is the memory it needs, Prompt the tokens to be read.
	MemoryTokens, PromptTokens int
}

// RequestStarted counts a request that is sent.
func (s *Stats) RequestStarted(w Cost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.tokens += w.MemoryTokens
	s.queued += w.PromptTokens
}

// RequestEnded counts one that is over.
func (s *Stats) RequestEnded(w Cost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.tokens -= w.MemoryTokens
	s.queued -= w.PromptTokens
}

// RecordSuccess notes an answer that came after the given time for so many units.
func (s *Stats) RecordSuccess(now time.Time, took time.Duration, units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.answers++
	s.refused, s.untaken = 0, 0
	each := took / time.Duration(max(units, 1))
	if s.speed == 0 {
		s.speed = each
		return
	}
	s.speed = time.Duration(speedKeep*float64(s.speed) + (1-speedKeep)*float64(each))
}

// RecordFailure notes a request that it failed.
func (s *Stats) RecordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.fails++
}

// HoldOff notes that it said that it has no room, and keeps work away until then.
func (s *Stats) HoldOff(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.holdUntil) {
		s.holdUntil = until
	}
}

// The time for which work is kept away doubles from the first to the longest
// with each refusal in a row.
const (
	refusedFirst   = time.Second
	refusedLongest = 8 * time.Second
)

// RecordRefusal notes that it refused a request for which it had held room, or one
// that needs none, as a prefill.
//
// Failure: an engine changes its role, which takes seconds; it holds room
// meanwhile, and refuses what comes for it, and the registry tells of the
// change when it is done. It shows as prompts read in vain, one after the
// other. Keeping away longer each time costs little where the refusal was a
// single one.
func (s *Stats) RecordRefusal(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.refusals++
	s.holdUntil = now.Add(min(refusedFirst<<min(s.refused, 10), refusedLongest))
	s.refused++
}

// The time for which work is kept away from an upstream that took no connection
// doubles from the first to the longest: a crashed one is back after some seconds,
// and one that was busy after some milliseconds.
const (
	untakenFirst   = 100 * time.Millisecond
	untakenLongest = time.Second
)

// RecordDialFailure notes that it took no connection.
//
// Failure: an upstream crashed, and its entry lives on for seconds. It shows as
// one refused connection for each request, and as prompts of which both tries met
// the same dead engines. It is tried again soon, by one request.
func (s *Stats) RecordDialFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := now.Add(min(untakenFirst<<min(s.untaken, 10), untakenLongest))
	if until.After(s.holdUntil) {
		s.holdUntil = until
	}
	s.untaken++
}

// QueuePrefill notes that it is given a prompt to read that takes so long, and gives the
// wait, up to the longest, until those before are read.
func (s *Stats) QueuePrefill(now time.Time, took, longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := min(max(0, s.reads.Sub(now)), longest)
	s.reads = now.Add(wait + took)
	return wait
}

// SuspendUntil keeps work away until then: it is known to take none.
func (s *Stats) SuspendUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = until
}

// AcceptOrder says whether an order to change the role, by its fencing number, is newer
// than all that were known of.
func (s *Stats) AcceptOrder(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number <= s.order {
		return false
	}
	s.order = number
	return true
}

// RoleChanged notes that it has changed its role: what was known of its speed and of
// its refusals was that of the other one.
func (s *Stats) RoleChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.holdUntil, s.refused, s.refusals, s.speed = time.Time{}, time.Time{}, 0, 0, 0
}

// RecordLoad notes the load that an answer told of: all requests there, running
// or waiting, of which this process knows its own.
func (s *Stats) RecordLoad(now time.Time, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = max(0, float64(all-s.running))
	s.reportedAt = now
}

// ObserveRateLimit takes what an answer said of its rate limit, and gives the rate that was
// believed before and the one that is now.
func (s *Stats) ObserveRateLimit(st pacer.Observation) (before, now pacer.Rate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.limit.Rate()
	if s.limit.Observe(st) {
		s.paused = time.Time{}
	}
	return before, s.limit.Rate()
}

// RateLimitObservation gives what the belief of its rate limit rests on.
func (s *Stats) RateLimitObservation() pacer.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.Observation()
}

// SetRateLimitWait keeps work away until then, since its rate limit allows none before.
func (s *Stats) SetRateLimitWait(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = until
}

// RateLimitWait gives for how long its rate limit allows no work.
func (s *Stats) RateLimitWait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.paused.Sub(now))
}

// RateLimit gives its rate limit, and how long ago an answer spoke of it.
func (s *Stats) RateLimit(now time.Time) (pacer.Rate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.Rate().Limited() {
		return pacer.Unlimited, 0
	}
	return s.limit.Rate(), s.limit.Age(now)
}

// MarkLeaving takes an answer that says that it leaves, and says whether it is the first.
func (s *Stats) MarkLeaving(now time.Time) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated.MarkLeaving(now)
}

// BackOff takes an answer that asks for a pause, and says whether it lasts longer by it.
func (s *Stats) BackOff(now time.Time, pause time.Duration) (longer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated.BackOff(now, pause)
}

func (s *Stats) access(now time.Time) Eligibility {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated.access(now)
}

// Announcement gives what it has said of itself.
func (s *Stats) Announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated
}

// Candidate gives the figures that a choice goes by.
func (s *Stats) Candidate(now time.Time) route.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	others := s.others * fade(now.Sub(s.reportedAt), loadHalf)
	return route.Candidate{
		OwnRequests:   s.running,
		OtherRequests: others,
		OwnTokens:     s.tokens,
		QueuedTokens:  s.queued,
		FailureRate:   s.fails / (s.fails + s.answers + failPrior),
		Responsive:    s.answers >= sureAnswers && s.fails+s.refusals < s.answers*sureFails,
		UnitTime:      s.speed,
		RecentlyFull:  now.Before(s.holdUntil) || now.Before(s.away) || now.Before(s.paused),
	}
}

func (s *Stats) decay(now time.Time) {
	if !s.decayedAt.IsZero() {
		by := fade(now.Sub(s.decayedAt), failHalf)
		s.fails *= by
		s.refusals *= by
		s.answers *= by
	}
	s.decayedAt = now
}

// fade gives what is left after a time, given the half-life.
func fade(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(half))
}
