// Package speed estimates how fast each upstream of a pool is: the time that it takes for a
// unit of work, which is a prompt token, an event of an answer or a call.
//
// It answers this load: upstreams of one pool whose own times differ by a factor of two or
// more, on hosts whose other work slows them down for fractions of a second. Without it,
// prompts queue at slow engines while fast ones are idle, and answers hold the memory of slow
// engines more than twice as long while memory of fast ones is free.
//
// The time for a unit of work has three factors: the upstream's own time, which stays the
// same for the life of its process, the slowdown by the requests that it serves at once, and
// the current load of its host. The stated load of the host is divided out. Where it is not
// stated, it must not look like a slow upstream, so the estimate is the median over
// intervals, each of which counts once however many observations fall into it. The slowdown
// by requests is estimated for the whole pool, from how the times of each upstream vary with
// its own load.
//
// # Usage
//
//	var p speed.Pool[string]
//	p.Record(now, "engine-1", speed.Observation{Units: 3200, Took: 80 * time.Millisecond, HostLoad: 1})
//	t, ok := p.UnitTime(now, "engine-1") // 25 us
//	p.Merge(now, estimatesOfAnotherProcess)
//	f := p.Factor("engine-1") // 1: as fast as the median
//
// The package reads no clock.
package speed

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Observation is one piece of work that an upstream did.
type Observation struct {
	// Units is the amount of work, and Took the time that it took.
	Units int
	Took  time.Duration
	// Load is the number of other requests that the upstream served meanwhile; zero if that
	// is unknown or does not matter.
	Load float64
	// HostLoad is the time that work took on the host relative to its usual time; zero if
	// unknown.
	HostLoad float64
}

// Estimate is what one process knows of an upstream.
type Estimate[K comparable] struct {
	Key K
	// UnitTime is the upstream's own time for a unit of work.
	UnitTime time.Duration
	// Count is the number of observed intervals, and Age the time since the last one.
	Count int
	Age   time.Duration
}

const (
	// interval is the time within which observations of an upstream count as one. The load
	// of a host lasts for some 600 ms, and one answer yields several observations of it.
	interval = 500 * time.Millisecond
	// windowSize is the number of intervals that the median is taken over. If the host is
	// slow in 15 of 100 intervals, it is in most of 15 once in 1,600 times.
	windowSize = 15
	// confidentCount is the number of own intervals from which the estimate of other
	// processes, if it is older, is not used.
	confidentCount = 5
	// minFactorCount is the number of intervals from which an upstream's speed is compared
	// with that of others: a single one may show the load of its host.
	minFactorCount = 2
	// maxAge is the age from which an estimate is not used, and is removed.
	maxAge = 10 * time.Minute
	// sweepInterval is the time between two removals of old estimates.
	sweepInterval = time.Minute
	// reportedChange is the change of an upstream's factor from which Record reports it.
	reportedChange = 1.25
)

// Pool holds the estimates of the upstreams of one pool, which do the same kind of work. The
// zero value is empty and ready to use; it must not be copied. It is safe for concurrent use;
// its lock is a leaf lock, under which no other is acquired.
type Pool[K comparable] struct {
	mu        sync.Mutex
	upstreams map[K]*upstream
	slowdown  slowdown
	// median is the median of the upstreams' unit times in seconds; it is computed from
	// sorted when stale is set.
	median  float64
	stale   bool
	sorted  []float64
	sweptAt time.Time
}

// upstream is what is known of one upstream. Times are in seconds per unit.
type upstream struct {
	// value is the estimate from own and merged, and at the time of the last observation of
	// either. They come first, since placements read them of all upstreams of a pool.
	value  float64
	at     time.Time
	window [windowSize]float64
	// count is the number of intervals ever observed; the last one began at beganAt and has
	// so many observations.
	count        int
	beganAt      time.Time
	observations int
	// own is the estimate from window, and ownAt the time of the last observation.
	own   float64
	ownAt time.Time
	// merged is the estimate of other processes.
	merged      float64
	mergedCount int
	mergedAt    time.Time
	means       means
	// reported is the factor that Record last reported, zero for 1.
	reported float64
}

// Record adds an observation; one without work or time is ignored. It reports whether the
// upstream's factor has changed by a quarter or more since Record last reported a change.
func (p *Pool[K]) Record(now time.Time, k K, o Observation) (changed bool) {
	if o.Units <= 0 || o.Took <= 0 || !(o.Load >= 0) || math.IsInf(o.Load, 0) || !(o.HostLoad >= 0) || math.IsInf(o.HostLoad, 0) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	u := p.entry(k)
	unitTime := o.Took.Seconds() / float64(o.Units)
	if o.HostLoad > 0 {
		unitTime /= o.HostLoad
	}
	p.slowdown.learn(&u.means, o.Load, unitTime)
	u.add(now, unitTime/p.slowdown.factor(o.Load))
	p.stale = true
	if u.count < minFactorCount {
		return false
	}
	factor, before := p.factor(u), cmp.Or(u.reported, 1)
	if max(factor/before, before/factor) < reportedChange {
		return false
	}
	u.reported = factor
	return true
}

func (p *Pool[K]) entry(k K) *upstream {
	if p.upstreams == nil {
		p.upstreams = make(map[K]*upstream)
	}
	u := p.upstreams[k]
	if u == nil {
		u = &upstream{}
		p.upstreams[k] = u
	}
	return u
}

// add adds a time to the last interval, or starts an interval with it.
func (u *upstream) add(now time.Time, unitTime float64) {
	if u.count == 0 || now.Sub(u.beganAt) >= interval {
		u.beganAt, u.observations = now, 0
		u.count++
	}
	last := &u.window[(u.count-1)%windowSize]
	*last = (*last*float64(u.observations) + unitTime) / float64(u.observations+1)
	u.observations++
	var sorted [windowSize]float64
	all := sorted[:copy(sorted[:], u.window[:min(u.count, windowSize)])]
	slices.Sort(all)
	u.own, u.ownAt = all[(len(all)-1)/2], now
	u.combine()
}

// combine sets the estimate: the own one, or the mean of it and that of other processes,
// weighted by their numbers of observations, while the own one is new or older.
func (u *upstream) combine() {
	u.at = u.ownAt
	if u.mergedAt.After(u.ownAt) {
		u.at = u.mergedAt
	}
	switch {
	case u.mergedCount == 0 || u.count >= confidentCount && !u.ownAt.Before(u.mergedAt):
		u.value = u.own
	case u.count == 0:
		u.value = u.merged
	default:
		own, merged := float64(min(u.count, windowSize)), float64(min(u.mergedCount, windowSize))
		u.value = math.Exp((own*math.Log(u.own) + merged*math.Log(u.merged)) / (own + merged))
	}
}

// sweep removes the estimates that are too old, which are mostly of upstreams that are gone.
func (p *Pool[K]) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for k, u := range p.upstreams {
		if now.Sub(u.at) >= maxAge {
			delete(p.upstreams, k)
			p.stale = true
		}
	}
}

// UnitTime returns the upstream's own time for a unit of work, without the load of its host;
// false if it is unknown.
func (p *Pool[K]) UnitTime(now time.Time, k K) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[k]
	if u == nil || now.Sub(u.at) >= maxAge {
		return 0, false
	}
	return duration(u.value), true
}

// ExpectedUnitTime returns UnitTime or, if that is unknown, the median of the pool; zero if
// nothing is known.
func (p *Pool[K]) ExpectedUnitTime(now time.Time, k K) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[k]; u != nil && now.Sub(u.at) < maxAge {
		return duration(u.value)
	}
	return duration(p.medianTime())
}

// Factor returns the upstream's time for a unit of work relative to the median of the pool; 1
// if it is unknown or was observed in one interval only.
func (p *Pool[K]) Factor(k K) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[k]
	if u == nil || u.count+u.mergedCount < minFactorCount {
		return 1
	}
	return p.factor(u)
}

func (p *Pool[K]) factor(u *upstream) float64 { return u.value / p.medianTime() }

// Observations returns the number of intervals in which this process, and those whose
// estimates were merged, observed the upstream.
func (p *Pool[K]) Observations(k K) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[k]; u != nil {
		return u.count + u.mergedCount
	}
	return 0
}

func (p *Pool[K]) medianTime() float64 {
	if !p.stale {
		return p.median
	}
	p.stale, p.median, p.sorted = false, 0, p.sorted[:0]
	for _, u := range p.upstreams {
		p.sorted = append(p.sorted, u.value)
	}
	if len(p.sorted) > 0 {
		slices.Sort(p.sorted)
		p.median = p.sorted[(len(p.sorted)-1)/2]
	}
	return p.median
}

// Estimates returns the estimates from this process's own observations, the freshest first.
// Merged ones are left out, so that processes that merge each other's do not count an
// observation twice.
func (p *Pool[K]) Estimates(now time.Time) []Estimate[K] {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Estimate[K]
	for k, u := range p.upstreams {
		if age := now.Sub(u.ownAt); u.count > 0 && age < maxAge {
			all = append(all, Estimate[K]{Key: k, UnitTime: duration(u.own), Count: u.count, Age: age})
		}
	}
	slices.SortFunc(all, func(a, b Estimate[K]) int { return cmp.Compare(a.Age, b.Age) })
	return all
}

// Merge takes over the estimates of other processes, which may contain several of one
// upstream; their median, weighted by the numbers of observations, is used. They replace the
// estimates merged before unless those are fresher, and never own ones that are fresher.
// Estimates without time or observations are ignored.
func (p *Pool[K]) Merge(now time.Time, all []Estimate[K]) {
	byKey := make(map[K][]Estimate[K])
	for _, e := range all {
		if e.UnitTime > 0 && e.Count > 0 && e.Age >= 0 && e.Age < maxAge {
			byKey[e.Key] = append(byKey[e.Key], e)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	for k, estimates := range byKey {
		unitTime, count, age := combineEstimates(estimates)
		u := p.entry(k)
		if at := now.Add(-age); u.mergedCount == 0 || !at.Before(u.mergedAt) {
			u.merged, u.mergedCount, u.mergedAt = unitTime.Seconds(), count, at
			u.combine()
		}
	}
	p.stale = true
}

// combineEstimates returns the weighted median of the estimates, the sum of their counts and
// the least of their ages.
func combineEstimates[K comparable](all []Estimate[K]) (unitTime time.Duration, count int, age time.Duration) {
	slices.SortFunc(all, func(a, b Estimate[K]) int { return cmp.Compare(a.UnitTime, b.UnitTime) })
	age = all[0].Age
	for _, e := range all {
		count, age = count+min(e.Count, maxMergedCount), min(age, e.Age)
	}
	below := 0
	for _, e := range all {
		if below += min(e.Count, maxMergedCount); 2*below >= count {
			return e.UnitTime, count, age
		}
	}
	return 0, 0, age
}

// maxMergedCount bounds the number of observations by which an estimate of another process is
// weighted: a median over windowSize intervals does not improve with more.
const maxMergedCount = 1000

// Forget removes what is known of an upstream.
func (p *Pool[K]) Forget(k K) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.upstreams, k)
	p.stale = true
}

// Retain removes what is known of the upstreams for which keep returns false.
func (p *Pool[K]) Retain(keep func(K) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.upstreams {
		if !keep(k) {
			delete(p.upstreams, k)
			p.stale = true
		}
	}
}

func duration(seconds float64) time.Duration {
	return time.Duration(math.Round(seconds * float64(time.Second)))
}
