// Package delay knows of callers that come again: how long ago they first asked, and when
// one that is refused should return.
//
// The load patterns it answers: a burst is refused in part, and what was refused returns.
// Taken for fresh, the returns take the places of requests that can still be served in
// time, and so on after the burst; told to return in the next second, all of them meet the
// same burst once more.
//
// # Usage
//
//	var ages delay.AgeEstimator
//	first := now.Add(-ages.Of(route, within)) // when the caller first asked
//
//	var returns delay.RetryEstimator
//	retryAfter := returns.After(now)
//
// The package reads no clock.
package delay

import (
	"sync"
	"time"
)

// AgeEstimator knows how long the callers of each route wait when they ask for the
// first time. One that asks again has less time left, and tells by it how long
// ago it first asked. The zero value is ready to use; it must not be copied.
type AgeEstimator struct {
	mu     sync.Mutex // a leaf
	routes map[string]*patience
}

// Estimate gives how long ago a caller that waits for so long first asked, at the
// least.
func (a *AgeEstimator) Estimate(route string, within time.Duration) time.Duration {
	if within <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.routes == nil {
		a.routes = make(map[string]*patience)
	}
	p := a.routes[route]
	if p == nil {
		p = &patience{}
		a.routes[route] = p
	}
	p.add(within)
	return max(0, time.Duration(p.fresh()*float64(p.longest))-within)
}

const (
	// agesFade is how what is known falls with each request: by half in about
	// 350, so that a caller with far more time than all others is forgotten.
	agesFade = 0.998
	// waitBuckets divide the longest time.
	waitBuckets = 50
	// freshLeast is the part of the fullest bucket's weight that makes a bucket
	// one of first sends. Returns come later by seconds, and fewer.
	freshLeast = 0.1
	// freshGap is how many empty buckets in a row end the first sends.
	freshGap = 2
	// freshKnown is the weight from which the buckets tell anything, and
	// freshGuess the part of the longest time that stands in until then.
	freshKnown = 10
	freshGuess = 0.82
)

// patience is how long the callers of a route wait.
//
// Failure: callers that all wait about as long are told apart from returns by a
// fixed part of that time. Where they wait 12 to 14 s, a part of 0.98 takes two
// in three first sends for late; where all wait 14 s, 0.82 takes returns after
// two seconds for first sends. The weights show where first sends end.
type patience struct {
	longest time.Duration
	weights [waitBuckets + 1]float64
	total   float64
}

func (p *patience) add(within time.Duration) {
	p.longest = time.Duration(agesFade * float64(p.longest))
	if within > p.longest {
		p.longest = within
	}
	p.total = 0
	for n := range p.weights {
		p.weights[n] *= agesFade
		p.total += p.weights[n]
	}
	p.weights[int(waitBuckets*float64(within)/float64(p.longest))]++
	p.total++
}

// fresh is the part of the longest time down to which requests count as asked
// for the first time.
func (p *patience) fresh() float64 {
	if p.total < freshKnown {
		return freshGuess
	}
	peak := 0.0
	for _, w := range p.weights {
		peak = max(peak, w)
	}
	lowest, empty := waitBuckets, 0
	for n := waitBuckets; n >= 0 && empty < freshGap; n-- {
		if p.weights[n] >= freshLeast*peak {
			lowest, empty = n, 0
			continue
		}
		empty++
	}
	return float64(lowest-1) / waitBuckets
}
