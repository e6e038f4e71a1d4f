// Package load is an open-loop load client: requests arrive by a Poisson
// process with a fixed seed, whether or not earlier ones have ended, so that a
// slow system does not slow its own load. It measures what callers receive.
//
// # Usage
//
//	p := load.Plan{
//		Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7301")},
//		Token:   token, Rate: 50, Count: 1000, Duration: time.Minute,
//		Work: []load.RequestClass{{Share: 1, Service: "appraiser-lm", Kind: "appraisal", PromptTokens: 800, MaxTokens: 64}},
//	}
//	report, err := load.Run(ctx, p)
//	err = report.Write(os.Stdout) // tab-separated: metric value
//
// A request is good when its whole answer came with its time to first token
// and the mean time between its tokens within both targets; a plain call has
// only the first. Times count from the planned arrival, returns included;
// client_lag says how late the client itself sent, for want of a finer timer or
// of processor time. Smaller differences than that it does not show.
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

// The bounds of a Plan that sets none.
const (
	DefaultMaxInFlight = 2000
	DefaultGrace       = 30 * time.Second
	maxReturns         = 3
)

// RequestClass is one sort of request in the mix.
type RequestClass struct {
	// Weight of the requests, against the shares of the others.
	Weight  float64
	Service domain.Service
	Kind    domain.Kind
	// PromptTokens and MaxTokens size a completion, each prompt token being
	// four bytes. MaxTokens zero makes it a plain call.
	PromptTokens, MaxTokens int
	// Method and Path are those of a plain call to the service.
	Method, Path string
	// FirstToken and TokenGap are the targets; zero is none.
	FirstToken, TokenGap time.Duration
}

// Plan says what load to make, bounded in count and time.
type Plan struct {
	// Entries take the requests in turn.
	Entries []netip.AddrPort
	// Token is the caller's bearer token.
	Token   string
	Classes []RequestClass
	// Rate is arrivals a second.
	Rate float64
	// Count and Duration bound the arrivals; the first to be reached ends
	// them. Both are needed.
	Count    int
	Duration time.Duration
	// Grace is how long requests in flight may go on after the last arrival.
	Grace time.Duration
	// MaxInFlight bounds requests at once; an arrival over it is counted, not
	// sent.
	MaxInFlight int
	// Seed fixes arrivals, mix and prompts.
	Seed uint64
	// RetryShare is the share of refused callers that return when Retry-After
	// says; the others do not return.
	RetryShare float64
}

// Check gives what is wrong with the plan.
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
	for _, w := range p.Classes {
		total += w.Weight
	}
	if total <= 0 {
		f.Add("work", "has no share above 0")
	}
	return f.Err()
}

// Run makes the load and reports it. It ends at the latest after Duration and
// Grace; what is then in flight counts as given up.
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
		r.entries = append(r.entries, &send.Client{Base: addr})
	}
	started := time.Now()
	r.arrive(ctx, started)
	r.report.took = time.Since(started)
	return r.report, nil
}

type runner struct {
	plan    Plan
	entries []*send.Client
	report  *Report
}

// arrive starts each request at its time and waits for the end of all.
func (r *runner) arrive(ctx context.Context, started time.Time) {
	var g group.Group
	arrivals := newArrivals(r.plan)
	flying := 0
	for a, ok := arrivals.next(); ok; a, ok = arrivals.next() {
		due := time.NewTimer(time.Until(started.Add(a.after)))
		for waiting := true; waiting; {
			select {
			case <-g.Exits():
				flying--
			case <-due.C:
				waiting = false
			case <-ctx.Done():
				due.Stop()
				g.Wait()
				return
			}
		}
		r.report.arrived()
		if flying >= r.plan.MaxInFlight {
			r.report.skipped()
			continue
		}
		flying++
		planned := started.Add(a.after)
		g.Go(ctx, "request", func(ctx context.Context) error {
			r.request(ctx, a, planned)
			return nil
		})
	}
	g.Wait()
}
