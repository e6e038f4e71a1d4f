package queue

import "time"

// paceMemory is the part of the former estimate that an observation leaves: the
// last dozen requests make the estimate, about a second of work today.
const paceMemory = 0.92

// The pace that is assumed until requests were seen: 20,000 prompt tokens a
// second and a token each 40 ms.
const (
	startPrefill = 50 * time.Microsecond
	startGap     = 40 * time.Millisecond
)

// Pace measures how long requests take once they left the queue, as a time
// that each takes and a time for each token. Its estimates are an Item's
// ToFirstToken and ToEnd. The zero value is ready to use.
type Pace struct {
	// extra is seconds to the first token beyond the prefill itself, gap is
	// seconds between tokens.
	extra, gap float64
	seen       bool
}

// Observe takes in a request that was answered: the times from leaving the queue
// to its first and its last token.
func (p *Pace) Observe(prompt, output int, first, end time.Duration) {
	extra := max(0, first-prefill(prompt)).Seconds()
	gap := startGap.Seconds()
	if output > 1 {
		gap = (end - first).Seconds() / float64(output-1)
	}
	if !p.seen {
		p.extra, p.gap, p.seen = extra, gap, true
		return
	}
	p.extra += (1 - paceMemory) * (extra - p.extra)
	p.gap += (1 - paceMemory) * (gap - p.gap)
}

// Estimate gives the times from leaving the queue to the first and last token.
func (p *Pace) Estimate(prompt, output int) (first, end time.Duration) {
	gap := startGap.Seconds()
	if p.seen {
		gap = p.gap
	}
	first = prefill(prompt) + seconds(p.extra)
	return first, first + seconds(gap*float64(output))
}

func prefill(prompt int) time.Duration { return time.Duration(prompt) * startPrefill }
