package queue

import (
	"math"
	"time"
)

// paceMemory is the part of the former estimate that an observation leaves: the
// last dozen requests make the estimate, about a second of work today.
const paceMemory = 0.92

// paceMargin is how many mean deviations an estimate adds to the mean. With
// none, half of the requests that are started at the last moment are late, and
// their prefill is wasted; two cover about nine in ten.
const paceMargin = 2

// The pace that is assumed until requests were seen: 20,000 prompt tokens a
// second and a token each 40 ms.
const (
	startPrefill = 50 * time.Microsecond
	startGap     = 40 * time.Millisecond
)

// LatencyEstimator measures how long requests take once they left the queue, as a time
// that each takes and a time for each token. Its estimates are an Item's
// FirstTokenLatency and TotalLatency. The zero value is ready to use.
type LatencyEstimator struct {
	// extra is seconds to the first token beyond the prefill itself, apart for
	// short and long prompts: a slow engine adds many times more to a long one.
	extra [lanes]average
	// gap is seconds between tokens.
	gap average
}

// average is a decaying mean with its mean deviation.
type average struct {
	mean, deviation float64
	seen            bool
}

func (a *average) add(v float64) {
	if !a.seen {
		a.mean, a.seen = v, true
		return
	}
	a.deviation += (1 - paceMemory) * (math.Abs(v-a.mean) - a.deviation)
	a.mean += (1 - paceMemory) * (v - a.mean)
}

func (a *average) high() float64 { return a.mean + paceMargin*a.deviation }

// Observe takes in a request that was answered: the times from leaving the queue
// to its first and its last token.
func (p *LatencyEstimator) Observe(prompt, output int, first, end time.Duration) {
	p.extra[laneOf(prompt)].add(max(0, first-prefill(prompt)).Seconds())
	if output > 1 {
		p.gap.add((end - first).Seconds() / float64(output-1))
	}
}

// Estimate gives the times from leaving the queue to the first and last token
// that about nine in ten requests stay within.
func (p *LatencyEstimator) Estimate(prompt, output int) (first, end time.Duration) {
	gap := startGap.Seconds()
	if p.gap.seen {
		gap = p.gap.high()
	}
	first = prefill(prompt) + seconds(p.extra[laneOf(prompt)].high())
	return first, first + seconds(gap*float64(output))
}

func prefill(prompt int) time.Duration { return time.Duration(prompt) * startPrefill }
