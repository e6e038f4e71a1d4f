package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthworks/domain"
)

// MaxReportAge is the age from which a report says nothing any more. Reports come
// several times a second; without one for this long the host is lost, or this
// process was paused and knows nothing yet.
const MaxReportAge = 2 * time.Second

// probes bounds how many candidates are looked at for each one wanted, so that
// a choice costs the same in a pool of nine and of a thousand. With three in
// four candidates full, 16 probes for four draws all fail in one choice of 100.
const probes = 4

// Pool holds the candidates of one role and what each last reported. The zero
// value is empty and ready to use.
type Pool[R any] struct {
	// ShortOnlyEvery keeps long prompts away from one candidate in this many; zero
	// stands for DefaultShortOnlyEvery, negative for none. Set it before Update.
	ShortOnlyEvery int

	members []*member[R]
	index   map[domain.Host]int
}

// member is one candidate.
type member[R any] struct {
	host   domain.Host
	zone   domain.Zone
	report R
	at     time.Time
	// draining is the side's own word; withheld is the part of its work that
	// an ejected candidate does not get, from 0 to 1.
	draining bool
	withheld float64
	// shortOnly keeps long prompts away (see rankShortOnly).
	shortOnly bool
	// own is what this process sent or ended since the report.
	own   []load
	total load
}

// load is a change of a candidate's load that its report does not show yet.
type load struct {
	at       time.Time
	requests int
	tokens   int
}

// Update records a report. The time is on this process's clock and no later
// than the report was made: that at which the message was sent that the report
// answers. An older report than the one known is ignored, since messages cross.
func (p *Pool[R]) Update(h domain.Host, z domain.Zone, at time.Time, r R) {
	m := p.find(h)
	if m == nil {
		m = p.add(h, z)
	}
	if at.Before(m.at) {
		return
	}
	m.zone, m.at, m.report = z, at, r
	m.forget(at)
}

// SetDraining records whether the candidate's side says it is draining.
func (p *Pool[R]) SetDraining(h domain.Host, draining bool) {
	if m := p.find(h); m != nil {
		m.draining = draining
	}
}

// SetTrafficShare gives an ejected candidate only part of the work it would get: 0
// for none, 1 for all.
func (p *Pool[R]) SetTrafficShare(h domain.Host, share float64) {
	if m := p.find(h); m != nil {
		m.withheld = 1 - min(max(share, 0), 1)
	}
}

// Remove forgets a candidate that has left.
func (p *Pool[R]) Remove(h domain.Host) {
	n, ok := p.index[h]
	if !ok {
		return
	}
	p.swap(n, len(p.members)-1)
	p.members = p.members[:len(p.members)-1]
	delete(p.index, h)
	p.rankShortOnly()
}

// Len is the number of candidates known.
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
	p.rankShortOnly()
	return m
}

func (p *Pool[R]) swap(a, b int) {
	p.members[a], p.members[b] = p.members[b], p.members[a]
	p.index[p.members[a].host] = a
	p.index[p.members[b].host] = b
}

// DefaultShortOnlyEvery makes one prefill engine in three take no long prompts. Short
// work is a seventh (Tollygunge) to a third (Registry) of all prompt tokens, and
// needs slack to meet a target of seconds; docs/decisions.md has the runs.
const DefaultShortOnlyEvery = 3

// rankShortOnly marks every ShortOnlyEvery-th candidate by name. All entries that know the
// same hosts mark the same ones, without asking each other.
func (p *Pool[R]) rankShortOnly() {
	part := p.ShortOnlyEvery
	if part == 0 {
		part = DefaultShortOnlyEvery
	}
	sorted := slices.Clone(p.members)
	slices.SortFunc(sorted, func(a, b *member[R]) int { return cmp.Compare(a.host, b.host) })
	for n, m := range sorted {
		m.shortOnly = part > 0 && n%part == part-1
	}
}

// draw offers usable candidates drawn at random until want of them were taken,
// looking at probes of them for each at the most, and gives the number that were
// not usable. It shuffles the front of the list.
func (p *Pool[R]) draw(now time.Time, random *rand.Rand, want int, take func(*member[R]) bool) (unusable int) {
	limit := min(want*probes, len(p.members))
	for n := 0; n < limit && want > 0; n++ {
		p.swap(n, n+random.IntN(len(p.members)-n))
		m := p.members[n]
		if !m.usable(now, random) {
			unusable++
			continue
		}
		if take(m) {
			want--
		}
	}
	return unusable
}

// usable says whether the candidate may get work now.
func (m *member[R]) usable(now time.Time, random *rand.Rand) bool {
	if m.draining || now.Sub(m.at) > MaxReportAge {
		return false
	}
	return m.withheld == 0 || random.Float64() >= m.withheld
}

// took records load that the report does not show yet; negative for load that
// ended. Two choices without it still herd: all that one process decides
// between two reports sees the same empty candidate.
func (m *member[R]) took(l load) {
	m.own = append(m.own, l)
	m.total.requests += l.requests
	m.total.tokens += l.tokens
}

// forget drops what a report made at the given time shows.
func (m *member[R]) forget(at time.Time) {
	keep := m.own[:0]
	m.total = load{}
	for _, l := range m.own {
		if l.at.After(at) {
			keep = append(keep, l)
			m.total.requests += l.requests
			m.total.tokens += l.tokens
		}
	}
	m.own = keep
}
