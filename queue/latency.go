package queue

import (
	"math"
	"time"
)

// retainedWeight is the weight, 0 to 1, that the previous mean latency keeps at each
// observed request: the mean covers about the last dozen requests, which is about a
// second of work at the present load.
const retainedWeight = 0.92

// deviationFactor is the number of mean absolute deviations that a latency estimate adds
// to the mean. With none, half of the requests that are dequeued at the last moment miss
// their target, and their prefill is wasted; with two, about nine in ten meet it.
const deviationFactor = 2

// The speed assumed until requests have been observed: 20,000 prompt tokens per
// second, and 40 ms between output tokens.
const (
	defaultPrefillPerToken = 50 * time.Microsecond
	defaultTokenInterval   = 40 * time.Millisecond
)

// LatencyEstimator estimates how long requests take after they leave the queue,
// from a fixed time for each request and a time for each token. Its estimates are
// meant for Item.FirstTokenLatency and Item.TotalLatency. The zero value is ready
// to use.
type LatencyEstimator struct {
	// overhead is the time to the first token, in seconds, beyond the default
	// prefill time. Short and long prompts have separate means, because a slow
	// engine delays a long prompt many times more.
	overhead [laneCount]decayingMean
	// tokenInterval is the time between output tokens, in seconds.
	tokenInterval decayingMean
}

// decayingMean is an exponentially weighted mean with its mean absolute deviation.
type decayingMean struct {
	mean, meanDeviation float64
	seen                bool // a value has been added
}

func (a *decayingMean) add(v float64) {
	if !a.seen {
		a.mean, a.seen = v, true
		return
	}
	a.meanDeviation += (1 - retainedWeight) * (math.Abs(v-a.mean) - a.meanDeviation)
	a.mean += (1 - retainedWeight) * (v - a.mean)
}

func (a *decayingMean) upperBound() float64 { return a.mean + deviationFactor*a.meanDeviation }

// Observe records a request that was answered: its numbers of prompt and output tokens,
// and the times from leaving the queue to the first and the last token.
func (p *LatencyEstimator) Observe(prompt, output int, first, end time.Duration) {
	p.overhead[laneFor(prompt)].add(max(0, first-prefillTime(prompt)).Seconds())
	if output > 1 {
		p.tokenInterval.add((end - first).Seconds() / float64(output-1))
	}
}

// Estimate returns the times from leaving the queue to the first and the last token of
// a request with that many prompt and output tokens. About nine in ten such requests
// are faster.
func (p *LatencyEstimator) Estimate(prompt, output int) (first, end time.Duration) {
	tokenInterval := defaultTokenInterval.Seconds()
	if p.tokenInterval.seen {
		tokenInterval = p.tokenInterval.upperBound()
	}
	first = prefillTime(prompt) + cappedDuration(p.overhead[laneFor(prompt)].upperBound())
	return first, first + cappedDuration(tokenInterval*float64(output))
}

// prefillTime returns the prefill time of a prompt at the default speed.
func prefillTime(prompt int) time.Duration { return time.Duration(prompt) * defaultPrefillPerToken }
