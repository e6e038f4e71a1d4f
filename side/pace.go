package side

import (
	"sync"
	"time"
)

// decay is the weight of the newest measurement in the moving averages of the
// upstream's speed. With 1/8, the averages follow a change of the engine's
// speed within one second of tokens, and a single slow measurement does not
// cause refusals.
const decay = 1.0 / 8

// speedEstimator estimates the speed of the upstream: prefill and KV import in
// tokens per second, and the time between tokens as a linear function of the
// batch size. The zero value has no measurements. mu is a leaf lock: no other
// lock is acquired while it is held.
type speedEstimator struct {
	mu      sync.Mutex
	prefill tokenRate
	imports tokenRate
	// Exponentially weighted means for a least-squares fit of the token gap
	// over the batch size: of batch size, of gap in nanoseconds, of batch
	// size squared, and of batch size times gap. measured is set once there
	// is a gap.
	measured                                           bool
	meanBatch, meanGap, meanBatchSquared, meanBatchGap float64
}

// movingAverage returns the exponential moving average after a new value. An
// old average of 0 counts as no measurement.
func movingAverage(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + decay*(value-old)
}

// tokenRate is a rate in tokens per second, weighted by tokens. A prompt of ten
// tokens takes a millisecond for its round trip alone; an average over requests
// would make an engine look a hundred times slower than it is, and long prompts
// that could be served in time would be refused. The quotient of decaying sums
// of tokens and time avoids that, because a short prompt adds little to either
// sum.
type tokenRate struct{ tokens, seconds float64 }

// add records that a number of tokens took the given time. It ignores values
// that are not positive.
func (s *tokenRate) add(tokens int, elapsed time.Duration) {
	if elapsed <= 0 || tokens <= 0 {
		return
	}
	s.tokens += float64(tokens) - decay*s.tokens
	s.seconds += elapsed.Seconds() - decay*s.seconds
}

// perSecond returns the rate in tokens per second, or 0 if it is based on fewer
// than minRateTokens.
func (s *tokenRate) perSecond() float64 {
	if s.seconds == 0 || s.tokens < minRateTokens {
		return 0
	}
	return s.tokens / s.seconds
}

// minRateTokens is how many tokens a rate must be based on before it is
// reported. It is a twentieth of a second of prefill, so that the round trip
// time carries little weight.
const minRateTokens = 1000

// recordPrefill records the prompt tokens and the duration of a prefill. The
// duration includes the wait in the engine's queue.
func (p *speedEstimator) recordPrefill(tokens int, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefill.add(tokens, elapsed)
}

// recordImport records the tokens and the duration of a KV cache import.
func (p *speedEstimator) recordImport(tokens int, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.imports.add(tokens, elapsed)
}

// recordTokenGap records the time between two tokens of one decode, and the
// number of orders that ran at that time.
func (p *speedEstimator) recordTokenGap(batch int, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	batchSize, gap := float64(batch), float64(elapsed)
	if !p.measured {
		p.measured, p.meanBatch, p.meanGap, p.meanBatchSquared, p.meanBatchGap = true, batchSize, gap, batchSize*batchSize, batchSize*gap
		return
	}
	p.meanBatch = movingAverage(p.meanBatch, batchSize)
	p.meanGap = movingAverage(p.meanGap, gap)
	p.meanBatchSquared = movingAverage(p.meanBatchSquared, batchSize*batchSize)
	p.meanBatchGap = movingAverage(p.meanBatchGap, batchSize*gap)
}

// estimates returns the prefill rate and the KV import rate in tokens per second,
// and the estimated time between tokens: base plus step for each order in the
// batch. A value without enough measurements is zero.
func (p *speedEstimator) estimates() (prefill, imports float64, base, step time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.measured {
		return p.prefill.perSecond(), p.imports.perSecond(), 0, 0
	}
	variance := p.meanBatchSquared - p.meanBatch*p.meanBatch
	if variance < 0.25 { // the batch size hardly varied, so a slope cannot be estimated
		return p.prefill.perSecond(), p.imports.perSecond(), time.Duration(p.meanGap), 0
	}
	slope := max(0, (p.meanBatchGap-p.meanBatch*p.meanGap)/variance)
	return p.prefill.perSecond(), p.imports.perSecond(), time.Duration(max(0, p.meanGap-slope*p.meanBatch)), time.Duration(slope)
}
