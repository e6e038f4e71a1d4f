package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthworks/domain"
)

// MaxReportAge is the age up to which a host's report is used. Reports arrive several
// times per second. Without a report for this long, the host is unreachable, or this
// process was paused and its reports are out of date.
const MaxReportAge = 2 * time.Second

// probesPerCandidate is how many pool members at most are examined for each candidate
// wanted. It makes a choice cost the same in a pool of nine and of a thousand. With three
// in four candidates full, 16 probes for four candidates all fail in one choice of 100.
const probesPerCandidate = 4

// Pool holds the candidates of one role and their last reports. The zero value is
// empty and ready to use.
type Pool[R any] struct {
	// ShortOnlyEvery reserves one candidate in this many for short prompts; zero
	// means DefaultShortOnlyEvery, a negative value reserves none. Set it before Update.
	ShortOnlyEvery int

	members []*member[R]
	index   map[domain.Host]int
}

// member is a candidate of a pool.
type member[R any] struct {
	host       domain.Host
	zone       domain.Zone
	report     R
	reportedAt time.Time
	// draining is set while the candidate's side reports that it is draining.
	// withheldShare is the fraction of its traffic that an ejected candidate does
	// not get, from 0 (gets all) to 1 (gets none).
	draining      bool
	withheldShare float64
	// shortOnly reports whether the candidate gets no long prompts; see
	// assignShortOnly.
	shortOnly bool
	// unreported is the load that this process added or removed after the last
	// report.
	unreported      []load
	unreportedTotal load
}

// load is a change of a candidate's load that its report does not include yet.
type load struct {
	at       time.Time
	requests int
	tokens   int
}

// Update records a report. The time at is on this process's clock and not later
// than the report was made: it is when the message was sent that the report
// answers. A report older than the last one is ignored, because messages can
// overtake each other.
func (p *Pool[R]) Update(h domain.Host, z domain.Zone, at time.Time, r R) {
	m := p.find(h)
	if m == nil {
		m = p.add(h, z)
	}
	if at.Before(m.reportedAt) {
		return
	}
	m.zone, m.reportedAt, m.report = z, at, r
	m.dropReported(at)
}

// SetDraining records whether the candidate's side reports that it is draining.
func (p *Pool[R]) SetDraining(h domain.Host, draining bool) {
	if m := p.find(h); m != nil {
		m.draining = draining
	}
}

// SetTrafficShare limits an ejected candidate to a share of the traffic it would
// get: 0 for none, 1 for all.
func (p *Pool[R]) SetTrafficShare(h domain.Host, share float64) {
	if m := p.find(h); m != nil {
		m.withheldShare = 1 - min(max(share, 0), 1)
	}
}

// Remove removes a candidate.
func (p *Pool[R]) Remove(h domain.Host) {
	n, ok := p.index[h]
	if !ok {
		return
	}
	p.swap(n, len(p.members)-1)
	p.members = p.members[:len(p.members)-1]
	delete(p.index, h)
	p.assignShortOnly()
}

// Len returns the number of candidates, usable or not.
func (p *Pool[R]) Len() int { return len(p.members) }

func (p *Pool[R]) find(h domain.Host) *member[R] {
	if n, ok := p.index[h]; ok {
		return p.members[n]
	}
	return nil
}

func (p *Pool[R]) add(h domain.Host, z domain.Zone) *member[R] {
	if p.index == nil {
		p.index = make(map[domain.Host]int)
	}
	m := &member[R]{host: h, zone: z}
	p.index[h] = len(p.members)
	p.members = append(p.members, m)
	p.assignShortOnly()
	return m
}

func (p *Pool[R]) swap(a, b int) {
	p.members[a], p.members[b] = p.members[b], p.members[a]
	p.index[p.members[a].host] = a
	p.index[p.members[b].host] = b
}

// DefaultShortOnlyEvery reserves one prefill engine in three for short prompts.
// Short prompts are a seventh (Tollygunge) to a third (Registry) of all prompt
// tokens, and need spare capacity to meet a target of seconds; see
// docs/decisions.md.
const DefaultShortOnlyEvery = 3

// assignShortOnly reserves every ShortOnlyEvery-th candidate, in order of host
// name, for short prompts. Entries that track the same hosts reserve the same
// candidates without coordination.
func (p *Pool[R]) assignShortOnly() {
	every := p.ShortOnlyEvery
	if every == 0 {
		every = DefaultShortOnlyEvery
	}
	sorted := slices.Clone(p.members)
	slices.SortFunc(sorted, func(a, b *member[R]) int { return cmp.Compare(a.host, b.host) })
	for n, m := range sorted {
		m.shortOnly = every > 0 && n%every == every-1
	}
}

// sample draws usable candidates at random until accept has accepted the wanted
// number, and examines at most probesPerCandidate candidates for each one wanted.
// It returns the number of unusable candidates. It reorders the pool's members.
func (p *Pool[R]) sample(now time.Time, random *rand.Rand, wanted int, accept func(*member[R]) bool) (unusable int) {
	limit := min(wanted*probesPerCandidate, len(p.members))
	for n := 0; n < limit && wanted > 0; n++ {
		p.swap(n, n+random.IntN(len(p.members)-n))
		m := p.members[n]
		if !m.usable(now, random) {
			unusable++
			continue
		}
		if accept(m) {
			wanted--
		}
	}
	return unusable
}

// usable reports whether the candidate may get requests at present.
func (m *member[R]) usable(now time.Time, random *rand.Rand) bool {
	if m.draining || now.Sub(m.reportedAt) > MaxReportAge {
		return false
	}
	return m.withheldShare == 0 || random.Float64() >= m.withheldShare
}

// addLoad records load that the report does not include yet; negative for load that
// ended. Without it, choosing the best of a random sample still herds: all
// decisions of one process between two reports see the same idle candidate.
func (m *member[R]) addLoad(l load) {
	m.unreported = append(m.unreported, l)
	m.unreportedTotal.requests += l.requests
	m.unreportedTotal.tokens += l.tokens
}

// dropReported drops the load changes up to the given time, which the report made
// then includes.
func (m *member[R]) dropReported(at time.Time) {
	kept := m.unreported[:0]
	m.unreportedTotal = load{}
	for _, l := range m.unreported {
		if l.at.After(at) {
			kept = append(kept, l)
			m.unreportedTotal.requests += l.requests
			m.unreportedTotal.tokens += l.tokens
		}
	}
	m.unreported = kept
}
