package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/send"
)

// The latency histograms of a report count microseconds up to ten minutes, with
// three significant decimal digits.
const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Outcomes of a request that was neither answered completely nor refused.
const (
	reasonTruncated domain.Reason = "truncated"
	reasonGivenUp   domain.Reason = "given_up"
	reasonNotSent   domain.Reason = "not_sent"
	reasonBroken    domain.Reason = "broken"
)

// sample holds the times at which the caller of one request received the tokens of
// its answer.
type sample struct {
	class *RequestClass
	// planned is the planned arrival, firstAt and lastAt are the times of the
	// first and the latest token.
	planned time.Time
	firstAt time.Time
	lastAt  time.Time
	tokens  int
	gaps    []time.Duration
}

// recordToken records the arrival of a token, or of the whole answer of a plain
// call.
func (s *sample) recordToken() {
	now := time.Now()
	if s.tokens == 0 {
		s.firstAt = now
	} else {
		s.gaps = append(s.gaps, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.tokens++
}

func (s *sample) firstTokenLatency() time.Duration { return s.firstAt.Sub(s.planned) }

// meetsTargets reports whether a complete answer met the targets of its class.
func (s *sample) meetsTargets() bool {
	if s.class.FirstTokenTarget > 0 && s.firstTokenLatency() > s.class.FirstTokenTarget {
		return false
	}
	if s.class.TokenGapTarget == 0 || len(s.gaps) == 0 {
		return true
	}
	return s.lastAt.Sub(s.firstAt)/time.Duration(len(s.gaps)) <= s.class.TokenGapTarget
}

// Report holds what the callers received. It is safe for concurrent use.
type Report struct {
	elapsed time.Duration

	mu         sync.Mutex
	arrivals   int
	skipped    int
	retries    int
	answered   int
	good       int
	tokens     int
	firstToken *hdrhistogram.Histogram
	tokenGaps  *hdrhistogram.Histogram
	plain      *hdrhistogram.Histogram
	clientLag  *hdrhistogram.Histogram
	refused    map[domain.Reason]int
	failed     map[domain.Reason]int
}

func newReport() *Report {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, significantDigits) }
	return &Report{
		firstToken: histogram(), tokenGaps: histogram(), plain: histogram(), clientLag: histogram(),
		refused: map[domain.Reason]int{}, failed: map[domain.Reason]int{},
	}
}

func (r *Report) recordArrival() { r.increment(&r.arrivals) }

func (r *Report) recordSkipped() { r.increment(&r.skipped) }

func (r *Report) recordRetry() { r.increment(&r.retries) }

func (r *Report) increment(count *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*count++
}

// recordClientLag records the delay between the planned arrival of a request and
// now, the time of its send. The client itself adds this delay to the request's
// latency.
func (r *Report) recordClientLag(planned time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.clientLag, time.Since(planned))
}

// recordEnd records the outcome of one request after its last attempt.
func (r *Report) recordEnd(s sample, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += s.tokens
	var refused *refusal
	switch {
	case errors.As(err, &refused):
		r.refused[refused.Reason]++
	case err != nil:
		r.failed[failureReason(err)]++
	default:
		r.recordAnswer(s)
	}
}

// failureReason returns the outcome of a request that ended with err, which is
// not a refusal.
func failureReason(err error) domain.Reason {
	switch {
	case errors.Is(err, errTruncated):
		return reasonTruncated
	case send.StageOf(err) == send.NotSent:
		return reasonNotSent
	case send.StageOf(err) == send.Canceled:
		return reasonGivenUp
	}
	return reasonBroken
}

// recordAnswer records a complete answer. An answer without tokens has no
// latency and is not good.
func (r *Report) recordAnswer(s sample) {
	r.answered++
	if s.tokens == 0 {
		return
	}
	if s.meetsTargets() {
		r.good++
	}
	if s.class.MaxTokens == 0 {
		recordDuration(r.plain, s.firstTokenLatency())
		return
	}
	recordDuration(r.firstToken, s.firstTokenLatency())
	for _, gap := range s.gaps {
		recordDuration(r.tokenGaps, gap)
	}
}

// recordDuration adds a duration to a histogram; a duration outside the
// histogram's range counts as the nearest bound of the range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

// Write writes the report as one line per metric: name, tab, value. It returns
// the error of the first write that failed.
func (r *Report) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := r.elapsed.Seconds()
	lines := []string{
		metricLine("seconds", seconds), metricLine("arrivals", float64(r.arrivals)),
		metricLine("over_in_flight", float64(r.skipped)), metricLine("returns", float64(r.retries)),
		metricLine("answered", float64(r.answered)), metricLine("good", float64(r.good)),
		metricLine("goodput_per_s", float64(r.good)/max(seconds, 1e-9)),
		metricLine("goodput_share", float64(r.good)/max(float64(r.arrivals), 1)),
		metricLine("tokens_per_s", float64(r.tokens)/max(seconds, 1e-9)),
	}
	lines = append(lines, quantileLines("ttft", r.firstToken)...)
	lines = append(lines, quantileLines("tbt", r.tokenGaps)...)
	lines = append(lines, quantileLines("plain", r.plain)...)
	lines = append(lines, quantileLines("client_lag", r.clientLag)...)
	lines = append(lines, countLines("refused_", r.refused)...)
	lines = append(lines, countLines("failed_", r.failed)...)
	for _, l := range lines {
		if _, err := io.WriteString(w, l); err != nil {
			return errors.Wrap(err, "load: write the report")
		}
	}
	return nil
}

func metricLine(metric string, value float64) string { return fmt.Sprintf("%s\t%.6g\n", metric, value) }

// quantileLines returns metric lines with p50, p95 and p99 in milliseconds, or
// no lines if the histogram is empty.
func quantileLines(name string, h *hdrhistogram.Histogram) []string {
	if h.TotalCount() == 0 {
		return nil
	}
	var lines []string
	for _, q := range []float64{50, 95, 99} {
		milliseconds := float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
		lines = append(lines, metricLine(fmt.Sprintf("%s_p%g_ms", name, q), milliseconds))
	}
	return lines
}

// countLines returns a metric line with the number of requests for each reason,
// sorted by metric name.
func countLines(prefix string, counts map[domain.Reason]int) []string {
	var lines []string
	for reason, n := range counts {
		lines = append(lines, metricLine(prefix+string(reason), float64(n)))
	}
	slices.Sort(lines)
	return lines
}
