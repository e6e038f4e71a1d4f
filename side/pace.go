package side

import (
	"sync"
	"time"
)

// fade is the weight of the newest measurement. One in eight follows a change
// of an engine's speed within a second of its tokens, and keeps one slow
// measurement from turning work away.
const fade = 1.0 / 8

// pace measures how fast the upstream is: prefill and import in tokens a
// second, and the time between tokens against the batch's size. The zero
// value has measured nothing; its lock is a leaf.
type pace struct {
	mu      sync.Mutex
	prefill speed
	link    speed
	// Means for the line that gap follows over batch size (least squares with
	// fading weights).
	seen                 bool
	batch, gap, bb, bgap float64
}

func faded(old, now float64) float64 {
	if old == 0 {
		return now
	}
	return old + fade*(now-old)
}

// speed is tokens a second, weighed by tokens.
//
// Failure: a prompt of ten tokens takes a millisecond for its round trip alone.
// Averaged by requests it makes an engine look a hundred times slower than it
// is, and long prompts are refused that could be served in time. Sums of tokens
// and of time hold, since a short prompt adds little to either.
type speed struct{ tokens, seconds float64 }

func (s *speed) add(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	s.tokens += float64(tokens) - fade*s.tokens
	s.seconds += took.Seconds() - fade*s.seconds
}

func (s *speed) perSecond() float64 {
	if s.seconds == 0 || s.tokens < measuredTokens {
		return 0
	}
	return s.tokens / s.seconds
}

// measuredTokens is how many tokens a speed must rest on before it is told: a
// twentieth of a second of prefill today, past what round trips weigh.
const measuredTokens = 1000

// prefilled takes a prefill's prompt and time, which hold its wait at the
// engine too.
func (p *pace) prefilled(tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefill.add(tokens, took)
}

// imported takes the size and time of a KV import.
func (p *pace) imported(tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.add(tokens, took)
}

// stepped takes the time between two tokens of one decode in a batch.
func (p *pace) stepped(batch int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, g := float64(batch), float64(took)
	if !p.seen {
		p.seen, p.batch, p.gap, p.bb, p.bgap = true, b, g, b*b, b*g
		return
	}
	p.batch = faded(p.batch, b)
	p.gap = faded(p.gap, g)
	p.bb = faded(p.bb, b*b)
	p.bgap = faded(p.bgap, b*g)
}

// figures gives what was measured; zero for what was not.
func (p *pace) figures() (prefill, link float64, base, step time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.seen {
		return p.prefill.perSecond(), p.link.perSecond(), 0, 0
	}
	spread := p.bb - p.batch*p.batch
	if spread < 0.25 { // the batch hardly changed: nothing is known of a slope
		return p.prefill.perSecond(), p.link.perSecond(), time.Duration(p.gap), 0
	}
	slope := max(0, (p.bgap-p.batch*p.gap)/spread)
	return p.prefill.perSecond(), p.link.perSecond(), time.Duration(max(0, p.gap-slope*p.batch)), time.Duration(slope)
}
