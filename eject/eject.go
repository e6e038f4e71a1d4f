// Package eject implements outlier ejection: it removes slow and failing upstreams from a pool
// by comparison with their peers. It imports no network; times are passed in.
//
// It guards against an upstream that becomes slow (a throttled processor, a failing link) or
// refuses connections while requests keep arriving. A router that only counts requests in
// flight sends a slow upstream its share until its slots are full, and sends even more to one
// that fails fast, since its slots are always free. Without ejection, one outlier upstream of
// nine delays or fails a ninth of the requests or more for as long as the fault lasts; in the
// simulation of the tests 1,377 of 12,000 requests are late without ejection and 112 with it.
//
// Ejection must not make an overload worse. An upstream is compared with the median of its
// peers and not with a fixed limit, so a load that slows all of them ejects none. At most a
// third of a pool is ejected at a time and at most one upstream per second, and each returns
// with a slow start, so that neither its ejection nor its return is a step in the load of the
// others. A connection on which nothing is received any more ejects nobody: established
// connections can be dead while new ones work, so only a new dial shows the state of the
// upstream.
//
// # Usage
//
//	var p eject.Pool
//	p.SetMembers(now, hosts)                       // on each change of the pool
//	p.RecordAnswer(now, host, elapsed, tokens)     // after each answer
//	p.RecordFailure(now, host, eject.FreshDial)    // after a new dial has failed
//	for _, c := range p.Evaluate(now) {            // once a second
//		log.Info("ejection", "host", c.Host, "ejected", c.Ejected, "grounds", c.Reason)
//	}
//	weight := p.Weight(now, host)                  // for the selection of an upstream
package eject

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"jacinthworks/domain"
)

const (
	// SlowRatio is the multiple of the peers' median latency per token above which an upstream is
	// slow. Different batch sizes alone make healthy upstreams differ about twofold.
	SlowRatio = 3.0
	// MinSlowGap is the minimum difference from the median above which an upstream is slow. Smaller
	// differences are scheduling noise, which no caller notices.
	MinSlowGap = 2 * time.Millisecond
	// MinAnswers is the number of answers per measurement of an upstream's latency per
	// token; a mean of eight evens out a single stall.
	MinAnswers = 8
	// ConsecutiveSlow is the number of consecutive slow measurements that eject an upstream.
	ConsecutiveSlow = 3
	// ConsecutiveFailures is the number of consecutive failures of new dials or calls that eject
	// an upstream. One may be due to a restart of the listener, two to a lost packet and the
	// loss of its retransmission.
	ConsecutiveFailures = 3
	// MinPeers is the minimum number of measured peers for a comparison: with one peer it is
	// unknown which of the two is the outlier.
	MinPeers = 2
	// MinInterval is the minimum time between two ejections, and between two returns, in a
	// pool, so that the other upstreams take over the load of one at a time.
	MinInterval = time.Second
	// MinEjectionTime is the duration of the first ejection, MaxEjectionTime the maximum. Each
	// ejection soon after the previous one lasts twice as long, so that an upstream that
	// alternates between slow and healthy does not alternate between ejection and return.
	MinEjectionTime = 10 * time.Second
	MaxEjectionTime = 5 * time.Minute
	// RampTime is the duration of the slow start after a return, in which the weight rises from
	// InitialWeight to 1. At InitialWeight, an upstream of nine receives less than one request
	// in a hundred: enough to measure it, with few requests at risk.
	RampTime      = 20 * time.Second
	InitialWeight = 0.05
)

// Failure is a kind of failure of an upstream.
type Failure string

// The kinds of failures of an upstream.
const (
	// SilentConnection is an established connection on which no message is received within the
	// timeout. It ejects nobody; dial again and record the result.
	SilentConnection Failure = "silent_connection"
	// FreshDial is a new dial that failed, or a connection that failed or received nothing
	// right after its dial.
	FreshDial Failure = "fresh_dial"
	// FreshCall is a call to which the upstream itself responded with a failure.
	FreshCall Failure = "fresh_call"
)

// Change is one ejection or return, for the log.
type Change struct {
	Host    domain.Host
	Ejected bool
	// Reason explains the ejection or return in one line.
	Reason string
	// Until is the earliest time at which an ejection ends; zero for a return.
	Until time.Time
}

// Pool tracks the upstreams of one pool. The zero value is an empty pool, ready to use; it must
// not be copied. It is safe for concurrent use; its lock is a leaf lock, under which no other
// is acquired.
type Pool struct {
	mu           sync.Mutex
	members      map[domain.Host]*member
	lastEjection time.Time
	lastReturn   time.Time
}

// member is the state of one upstream: in service (ejected is false and returnedAt is zero),
// ejected (until ejectedUntil, at least), or in slow start (for RampTime from returnedAt).
type member struct {
	// Sums over the answers since the last measurement.
	elapsed time.Duration
	tokens  int
	answers int

	perToken       time.Duration // the last measurement; zero if there is none
	slowCount      int           // consecutive slow measurements
	newMeasurement bool          // perToken is new since the last Evaluate
	failureCount   int           // consecutive failures
	ejected        bool
	ejectedUntil   time.Time
	ejectionTime   time.Duration // duration of the last ejection
	returnedAt     time.Time
	ejectedAt      time.Time
}

// SetMembers sets the members of the pool. A new upstream starts in service; the state of a
// removed one is discarded. If the pool shrinks, ejected upstreams are returned to service
// until no more than a third is ejected; these changes are returned.
func (p *Pool) SetMembers(now time.Time, hosts []domain.Host) []Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.members
	p.members = make(map[domain.Host]*member, len(hosts))
	for _, h := range hosts {
		if m := old[h]; m != nil {
			p.members[h] = m
			continue
		}
		p.members[h] = &member{}
	}
	var changes []Change
	for p.ejectedCount() > p.maxEjected() {
		h := p.nextReturn()
		p.members[h].startRamp(now)
		changes = append(changes, Change{Host: h, Reason: "the pool has fewer members"})
	}
	return changes
}

// RecordAnswer records an answer: its number of tokens, and the time from its start at the
// upstream to its last token, without the wait before it. For a prefill, tokens is the number
// of prompt tokens. Zero tokens, as for a request to an application server, count as one.
func (p *Pool) RecordAnswer(_ time.Time, h domain.Host, elapsed time.Duration, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[h]
	if m == nil {
		return
	}
	m.failureCount = 0
	m.elapsed += elapsed
	m.tokens += max(1, tokens)
	m.answers++
	if m.answers < MinAnswers {
		return
	}
	m.perToken = m.elapsed / time.Duration(m.tokens)
	m.newMeasurement = true
	m.elapsed, m.tokens, m.answers = 0, 0, 0
}

// RecordFailure records a failure of an upstream. A SilentConnection does not count towards
// ejection.
func (p *Pool) RecordFailure(_ time.Time, h domain.Host, f Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// When a network device between two hosts drops established connections while new ones
	// work, all connections to a healthy upstream go silent at once. Counting them would eject it.
	if m := p.members[h]; m != nil && f != SilentConnection {
		m.failureCount++
	}
}

// Weight returns the fraction of its usual load that an upstream should receive, from 0 if it
// is ejected to 1. The weight of an unknown upstream is 1.
func (p *Pool) Weight(now time.Time, h domain.Host) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[h]
	switch {
	case m == nil || !m.ejected && m.returnedAt.IsZero():
		return 1
	case m.ejected:
		return 0
	}
	progress := float64(now.Sub(m.returnedAt)) / float64(RampTime)
	return min(1, max(InitialWeight, InitialWeight+(1-InitialWeight)*progress))
}

// Evaluate compares the members, and ejects at most one and returns at most one to service.
// It should be called about once a second.
func (p *Pool) Evaluate(now time.Time) []Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []Change
	if c, ok := p.returnOne(now); ok {
		changes = append(changes, c)
	}
	p.updateSlowCounts()
	if c, ok := p.ejectWorst(now); ok {
		changes = append(changes, c)
	}
	return changes
}

// updateSlowCounts updates the count of slow measurements of each member with a new measurement.
func (p *Pool) updateSlowCounts() {
	var sorted []time.Duration
	for _, m := range p.members {
		if !m.ejected && m.perToken > 0 {
			sorted = append(sorted, m.perToken)
		}
	}
	slices.Sort(sorted)
	for _, m := range p.members {
		if m.ejected || !m.newMeasurement {
			continue
		}
		m.newMeasurement = false
		if isSlow(m.perToken, sorted) {
			m.slowCount++
			continue
		}
		m.slowCount = 0
	}
}

// isSlow reports whether a latency per token is slow in comparison with the median of the
// peers' latencies. sorted holds the latencies of all members, including d, in ascending order.
func isSlow(d time.Duration, sorted []time.Duration) bool {
	peers := len(sorted) - 1
	if peers < MinPeers {
		return false
	}
	// Omitting d from sorted shifts the elements after it down by one index.
	index, _ := slices.BinarySearch(sorted, d)
	middle := (peers - 1) / 2
	if index <= middle {
		middle++
	}
	median := sorted[middle]
	return float64(d) > SlowRatio*float64(median) && d-median > MinSlowGap
}

// ejectWorst ejects the worst of the members that are slow or failing: failing members
// before slow ones, then the one with the highest latency per token.
func (p *Pool) ejectWorst(now time.Time) (Change, bool) {
	if p.ejectedCount() >= p.maxEjected() || now.Sub(p.lastEjection) < MinInterval {
		return Change{}, false
	}
	var worst domain.Host
	for _, h := range p.sortedHosts() {
		m := p.members[h]
		outlier := m.failureCount >= ConsecutiveFailures || m.slowCount >= ConsecutiveSlow
		if m.ejected || !outlier {
			continue
		}
		if worst == "" || m.worseThan(p.members[worst]) {
			worst = h
		}
	}
	if worst == "" {
		return Change{}, false
	}
	m := p.members[worst]
	reason := fmt.Sprintf("%s per token, over %.0f times the peers' median, in %d consecutive measurements", m.perToken, SlowRatio, m.slowCount)
	if m.failureCount >= ConsecutiveFailures {
		reason = fmt.Sprintf("%d consecutive failures of new dials or calls", m.failureCount)
	}
	m.eject(now)
	p.lastEjection = now
	return Change{Host: worst, Ejected: true, Reason: reason, Until: m.ejectedUntil}, true
}

func (p *Pool) returnOne(now time.Time) (Change, bool) {
	h := p.nextReturn()
	if h == "" || now.Before(p.members[h].ejectedUntil) || now.Sub(p.lastReturn) < MinInterval {
		return Change{}, false
	}
	p.members[h].startRamp(now)
	p.lastReturn = now
	return Change{Host: h, Reason: "the ejection time has passed"}, true
}

// nextReturn returns the ejected member whose ejection ends first, or "".
func (p *Pool) nextReturn() domain.Host {
	var next domain.Host
	for _, h := range p.sortedHosts() {
		if m := p.members[h]; m.ejected && (next == "" || m.ejectedUntil.Before(p.members[next].ejectedUntil)) {
			next = h
		}
	}
	return next
}

// sortedHosts returns the members in a stable order, so that the same recorded answers and
// failures lead to the same decisions.
func (p *Pool) sortedHosts() []domain.Host {
	hosts := make([]domain.Host, 0, len(p.members))
	for h := range p.members {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b domain.Host) int { return cmp.Compare(a, b) })
	return hosts
}

func (p *Pool) ejectedCount() int {
	n := 0
	for _, m := range p.members {
		if m.ejected {
			n++
		}
	}
	return n
}

// maxEjected returns the maximum number of ejected members: a third, rounded down, so that a
// pool of two has no ejections.
func (p *Pool) maxEjected() int { return len(p.members) / 3 }

func (m *member) worseThan(o *member) bool {
	if (m.failureCount >= ConsecutiveFailures) != (o.failureCount >= ConsecutiveFailures) {
		return m.failureCount >= ConsecutiveFailures
	}
	return m.perToken > o.perToken
}

func (m *member) eject(now time.Time) {
	recent := !m.ejectedAt.IsZero() && now.Sub(m.ejectedAt) < m.ejectionTime+2*MaxEjectionTime
	if recent {
		m.ejectionTime = min(2*m.ejectionTime, MaxEjectionTime)
	} else {
		m.ejectionTime = MinEjectionTime
	}
	*m = member{ejected: true, ejectedAt: now, ejectionTime: m.ejectionTime, ejectedUntil: now.Add(m.ejectionTime)}
}

// startRamp returns the member to service with a slow start. Measurements from before the
// ejection are discarded.
func (m *member) startRamp(now time.Time) {
	*m = member{returnedAt: now, ejectedAt: m.ejectedAt, ejectionTime: m.ejectionTime}
}
