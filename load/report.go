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

// What the histograms hold: microseconds up to ten minutes, three digits.
const (
	mostMicroseconds  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// The ends of a request that is neither answered nor refused.
const (
	endTruncated domain.Reason = "truncated"
	endGivenUp   domain.Reason = "given_up"
	endNotSent   domain.Reason = "not_sent"
	endBroken    domain.Reason = "broken"
)

// sample is what one request's caller saw.
type sample struct {
	work    *RequestClass
	planned time.Time
	first   time.Time
	last    time.Time
	tokens  int
	gaps    []time.Duration
}

// token notes a token, or the whole answer of a plain call.
func (s *sample) token() {
	now := time.Now()
	if s.tokens == 0 {
		s.first = now
	} else {
		s.gaps = append(s.gaps, now.Sub(s.last))
	}
	s.last = now
	s.tokens++
}

func (s *sample) firstToken() time.Duration { return s.first.Sub(s.planned) }

// good says whether a whole answer met both targets.
func (s *sample) good() bool {
	if s.work.FirstToken > 0 && s.firstToken() > s.work.FirstToken {
		return false
	}
	if s.work.TokenGap == 0 || len(s.gaps) == 0 {
		return true
	}
	return s.last.Sub(s.first)/time.Duration(len(s.gaps)) <= s.work.TokenGap
}

// Report is what callers received. It is safe for use by many goroutines.
type Report struct {
	took time.Duration

	mu       sync.Mutex
	arrivals int
	unsent   int
	returns  int
	answered int
	met      int
	tokens   int
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	plain    *hdrhistogram.Histogram
	lag      *hdrhistogram.Histogram
	refused  map[domain.Reason]int
	failed   map[domain.Reason]int
}

func newReport() *Report {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostMicroseconds, significantDigits) }
	return &Report{
		first: histogram(), between: histogram(), plain: histogram(), lag: histogram(),
		refused: map[domain.Reason]int{}, failed: map[domain.Reason]int{},
	}
}

func (r *Report) arrived() { r.add(&r.arrivals) }

func (r *Report) skipped() { r.add(&r.unsent) }

func (r *Report) returned() { r.add(&r.returns) }

func (r *Report) add(count *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*count++
}

// began records how late the client itself was: the share of every time that
// is not the system's.
func (r *Report) began(planned time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lag, time.Since(planned))
}

// ended records the end of one request.
func (r *Report) ended(s sample, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += s.tokens
	var refused *refusal
	switch {
	case errors.As(err, &refused):
		r.refused[refused.Reason]++
	case err != nil:
		r.failed[endOf(err)]++
	default:
		r.answer(s)
	}
}

func endOf(err error) domain.Reason {
	switch {
	case errors.Is(err, errTruncated):
		return endTruncated
	case send.StageOf(err) == send.NotSent:
		return endNotSent
	case send.StageOf(err) == send.Canceled:
		return endGivenUp
	}
	return endBroken
}

func (r *Report) answer(s sample) {
	r.answered++
	if s.tokens == 0 {
		return
	}
	if s.good() {
		r.met++
	}
	if s.work.MaxTokens == 0 {
		record(r.plain, s.firstToken())
		return
	}
	record(r.first, s.firstToken())
	for _, gap := range s.gaps {
		record(r.between, gap)
	}
}

// record notes a time; one out of the histogram's range counts as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), mostMicroseconds))
}

// Write writes the report, one metric a line, tab-separated from its value.
func (r *Report) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := r.took.Seconds()
	lines := []string{
		line("seconds", seconds), line("arrivals", float64(r.arrivals)),
		line("over_in_flight", float64(r.unsent)), line("returns", float64(r.returns)),
		line("answered", float64(r.answered)), line("good", float64(r.met)),
		line("goodput_per_s", float64(r.met)/max(seconds, 1e-9)),
		line("goodput_share", float64(r.met)/max(float64(r.arrivals), 1)),
		line("tokens_per_s", float64(r.tokens)/max(seconds, 1e-9)),
	}
	lines = append(lines, quantiles("ttft", r.first)...)
	lines = append(lines, quantiles("tbt", r.between)...)
	lines = append(lines, quantiles("plain", r.plain)...)
	lines = append(lines, quantiles("client_lag", r.lag)...)
	lines = append(lines, counts("refused_", r.refused)...)
	lines = append(lines, counts("failed_", r.failed)...)
	for _, l := range lines {
		if _, err := io.WriteString(w, l); err != nil {
			return errors.Wrap(err, "load: writing report")
		}
	}
	return nil
}

func line(metric string, value float64) string { return fmt.Sprintf("%s\t%.6g\n", metric, value) }

// quantiles gives p50, p95 and p99 in milliseconds; nothing for no samples.
func quantiles(name string, h *hdrhistogram.Histogram) []string {
	if h.TotalCount() == 0 {
		return nil
	}
	var lines []string
	for _, q := range []float64{50, 95, 99} {
		milliseconds := float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
		lines = append(lines, line(fmt.Sprintf("%s_p%g_ms", name, q), milliseconds))
	}
	return lines
}

func counts(prefix string, of map[domain.Reason]int) []string {
	var lines []string
	for reason, n := range of {
		lines = append(lines, line(prefix+string(reason), float64(n)))
	}
	slices.Sort(lines)
	return lines
}
