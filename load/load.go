// Package load is an open-loop load generator. Requests arrive by a Poisson
// process with a fixed seed, whether or not earlier requests have ended, so that
// a slow system does not reduce the load on itself. The report holds what
// callers receive.
//
// # Usage
//
//	p := load.Plan{
//		Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7301")},
//		Token:   token, Rate: 50, Count: 1000, Duration: time.Minute,
//		Classes: []load.RequestClass{{Weight: 1, Service: "appraiser-lm", Kind: "appraisal", PromptTokens: 800, MaxTokens: 64}},
//	}
//	report, err := load.Run(ctx, p)
//	err = report.Write(os.Stdout) // tab-separated: metric value
//
// A request is good when it was answered completely and both its time to first
// token and the mean time between its tokens are within their targets; a plain
// call has only the first target. Latencies count from the planned arrival and
// include retries. client_lag is the delay between the planned arrival and the
// actual send, caused by timer resolution or lack of processor time in the
// client; differences in latency smaller than client_lag are not significant.
package load

import (
	"context"
	"net/netip"
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/send"
)

// DefaultMaxInFlight and DefaultGrace replace zero values of Plan.MaxInFlight and
// Plan.Grace; maxRetries is the maximum number of retries of one request.
const (
	DefaultMaxInFlight = 2000
	DefaultGrace       = 30 * time.Second
	maxRetries         = 3
)

// RequestClass describes one class of requests in the mix.
type RequestClass struct {
	// Weight is the relative frequency of the class: its part of all requests is
	// Weight divided by the sum of the weights of all classes.
	Weight  float64
	Service domain.Service
	Kind    domain.Kind
	// PromptTokens and MaxTokens are the size of a completion request; a prompt
	// token is four bytes. MaxTokens zero makes the request a plain call.
	PromptTokens, MaxTokens int
	// Method and Path are the HTTP method and path of a plain call to the service.
	Method, Path string
	// FirstTokenTarget and TokenGapTarget are the targets for the time to first token and for
	// the mean time between tokens; zero means no target.
	FirstTokenTarget, TokenGapTarget time.Duration
}

// Plan describes the load to generate. It is bounded in count and time.
type Plan struct {
	// Entries are the addresses of the entries, which receive the requests in
	// turn.
	Entries []netip.AddrPort
	// Token is the caller's bearer token.
	Token   string
	Classes []RequestClass
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Count and Duration bound the arrivals: arrivals end at the first bound
	// reached. Both are required.
	Count    int
	Duration time.Duration
	// Grace is added to Duration: requests in flight are cancelled once both have
	// passed.
	Grace time.Duration
	// MaxInFlight bounds the concurrent requests; an arrival above the bound is
	// counted but not sent.
	MaxInFlight int
	// Seed determines arrival times, classes and prompts.
	Seed uint64
	// RetryShare is the fraction of callers, from 0 to 1, that retry a refused
	// request after the delay in its Retry-After header; the other callers never
	// retry.
	RetryShare float64
}

// Check returns an error that lists all problems of the plan, or nil.
func (p *Plan) Check() error {
	var f check.Findings
	if len(p.Entries) == 0 {
		f.Add("entries", "are missing")
	}
	if p.Rate <= 0 {
		f.Add("rate", "is not positive: %g", p.Rate)
	}
	if p.Count <= 0 {
		f.Add("count", "is not positive: %d", p.Count)
	}
	if p.Duration <= 0 {
		f.Add("duration", "is not positive: %s", p.Duration)
	}
	if p.RetryShare < 0 || p.RetryShare > 1 {
		f.Add("honour", "is not between 0 and 1: %g", p.RetryShare)
	}
	total := 0.0
	for _, c := range p.Classes {
		total += c.Weight
	}
	if total <= 0 {
		f.Add("work", "has no share above 0")
	}
	return f.Err()
}

// Run generates the load and returns a report of it. It ends at the latest after
// Duration plus Grace; requests still in flight at that time are cancelled and
// reported as given up. It returns an error only for a plan that Check rejects.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = DefaultMaxInFlight
	}
	if p.Grace <= 0 {
		p.Grace = DefaultGrace
	}
	ctx, cancel := context.WithTimeout(ctx, p.Duration+p.Grace)
	defer cancel()
	r := &runner{plan: p, report: newReport()}
	for _, addr := range p.Entries {
		r.entries = append(r.entries, &send.Client{Addr: addr})
	}
	started := time.Now()
	r.sendAll(ctx, started)
	r.report.elapsed = time.Since(started)
	return r.report, nil
}

// runner holds the state of one run of a plan: a client for each entry, and the report.
type runner struct {
	plan    Plan
	entries []*send.Client
	report  *Report
}

// sendAll starts each request at its planned time and returns once all requests
// have ended.
func (r *runner) sendAll(ctx context.Context, started time.Time) {
	var g group.Group
	arrivals := newArrivalSequence(r.plan)
	inFlight := 0
	for a, ok := arrivals.next(); ok; a, ok = arrivals.next() {
		timer := time.NewTimer(time.Until(started.Add(a.offset)))
		for waiting := true; waiting; {
			select {
			case <-g.Exits():
				inFlight--
			case <-timer.C:
				waiting = false
			case <-ctx.Done():
				timer.Stop()
				g.Wait()
				return
			}
		}
		r.report.recordArrival()
		if inFlight >= r.plan.MaxInFlight {
			r.report.recordSkipped()
			continue
		}
		inFlight++
		planned := started.Add(a.offset)
		g.Go(ctx, "request", func(ctx context.Context) error {
			r.sendRequest(ctx, a, planned)
			return nil
		})
	}
	g.Wait()
}
