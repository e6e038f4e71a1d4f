package resume_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/resume"
)

// The simulated deployment: nine engines, each with memory for ten streams that run for 4 s to 8 s, and four entries.
const (
	simEntries  = 4
	simMemory   = 40_000
	simTokens   = 4_000 // of a stream, give or take a quarter
	simMean     = 6 * time.Second
	simTick     = 20 * time.Millisecond
	simWait     = 1500 * time.Millisecond // for room, before a request is refused
	simBack     = time.Second             // until a refused caller comes back
	simPatience = 9 * time.Second         // of the callers of streams that broke
	simLateRoom = simMemory / 5           // that a late request must leave free
)

// simEngine is an engine with its free memory, and the streams that it runs.
type simEngine struct {
	software domain.Software
	free     int
	runs     []simRun
}

type simRun struct {
	end    time.Duration
	tokens int
}

// endRuns frees the memory of the streams that have ended.
func (e *simEngine) endRuns(now time.Duration) {
	e.runs = slices.DeleteFunc(e.runs, func(r simRun) bool {
		if r.end > now {
			return false
		}
		e.free += r.tokens
		return true
	})
}

// simRequest is a stream that begins, or one that is resumed at a version.
type simRequest struct {
	id       domain.RequestID
	software domain.Software // empty for one that begins
	tokens   int
	came     time.Duration
	until    time.Duration // its caller gives up
	tries    int
}

// simEntry has a book and the requests that wait, resumed streams first.
type simEntry struct {
	book    resume.Book
	waiting []*simRequest
}

// simulation plays a break of all streams and what follows.
type simulation struct {
	// late takes resumed streams for late requests, as the queue of an entry once did. kept keeps room by a Book; otherwise
	// resumed streams only go first among those that wait at their entry.
	late, kept bool

	random    *rand.Rand
	now       time.Duration
	engines   []*simEngine
	entries   [simEntries]*simEntry
	comeBack  []*simRequest
	lastID    int
	perSecond float64 // new streams

	// new and resumed count attempts; begun and continued those that got room.
	new, begun, resumed, continued int
}

func (s *simulation) at() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) request(software domain.Software) *simRequest {
	s.lastID++
	return &simRequest{id: domain.RequestID(fmt.Sprint(s.lastID)), software: software, tokens: simTokens*3/4 + s.random.IntN(simTokens/2), until: s.now + simPatience}
}

// place gives the request the memory of the engine with most of it, among those of its version.
func (s *simulation) place(e *simEntry, r *simRequest) bool {
	if !slices.ContainsFunc(s.engines, func(g *simEngine) bool { return g.free >= r.tokens }) {
		return false
	}
	var kept map[domain.Software]int
	if s.kept && r.software == "" {
		kept = e.book.Keep(s.at(), s.engines[0].software != s.engines[len(s.engines)-1].software)
	}
	all := slices.Clone(s.engines)
	slices.SortStableFunc(all, func(a, b *simEngine) int {
		return cmp.Or(cmp.Compare(kept[a.software], kept[b.software]), cmp.Compare(b.free, a.free))
	})
	for _, g := range all {
		needed := r.tokens + kept[g.software]
		if s.late && r.software != "" {
			needed += simLateRoom
		}
		if (r.software == "" || r.software == g.software) && g.free >= needed {
			g.runs = append(g.runs, simRun{s.now + 4*time.Second + time.Duration(s.random.Int64N(int64(4*time.Second))), r.tokens})
			g.free -= r.tokens
			return true
		}
	}
	return false
}

func (s *simulation) arrive(r *simRequest) {
	e := s.entries[s.random.IntN(simEntries)]
	r.came = s.now
	r.tries++
	if r.software == "" {
		s.new++
	} else {
		s.resumed++
		e.book.Wait(s.at(), resume.Stream{ID: r.id, Software: r.software, Tokens: r.tokens, Until: s.at().Add(r.until - s.now)})
	}
	switch {
	case s.place(e, r):
		s.succeed(e, r)
	case s.late && r.software != "":
		s.refuse(e, r)
	default:
		e.waiting = append(e.waiting, r)
		slices.SortStableFunc(e.waiting, func(a, b *simRequest) int { return cmp.Compare(b.software, a.software) })
	}
}

func (s *simulation) succeed(e *simEntry, r *simRequest) {
	if r.software == "" {
		s.begun++
		return
	}
	s.continued++
	e.book.Settle(r.id)
}

// refuse refuses a request, which comes back unless its caller has given up; new ones come back once.
func (s *simulation) refuse(e *simEntry, r *simRequest) {
	back := s.now + simBack
	if r.software != "" {
		e.book.Return(resume.Stream{ID: r.id, Software: r.software, Tokens: r.tokens, Until: s.at().Add(r.until - s.now)}, s.at().Add(simBack))
	}
	if back < r.until && (r.software != "" || r.tries < 2) {
		s.comeBack = append(s.comeBack, r)
	}
}

func (s *simulation) step() {
	for _, g := range s.engines {
		g.endRuns(s.now)
	}
	for range s.poisson(s.perSecond * simTick.Seconds()) {
		s.arrive(s.request(""))
	}
	for i := 0; i < len(s.comeBack); {
		if r := s.comeBack[i]; r.came+simBack <= s.now {
			s.comeBack = slices.Delete(s.comeBack, i, i+1)
			s.arrive(r)
			continue
		}
		i++
	}
	for _, n := range s.random.Perm(simEntries) {
		e := s.entries[n]
		var left []*simRequest
		for _, r := range e.waiting {
			switch {
			case s.place(e, r):
				s.succeed(e, r)
			case s.now-r.came >= simWait:
				s.refuse(e, r)
			default:
				left = append(left, r)
			}
		}
		e.waiting = left
	}
	s.now += simTick
}

func (s *simulation) poisson(mean float64) (n int) {
	for left := s.random.ExpFloat64(); left < mean; left += s.random.ExpFloat64() {
		n++
	}
	return n
}

// play lets new streams come at the given part of what the engines can run, and after 8 s has some streams of single
// versions resumed within two seconds. It counts what happens from then on.
func (s *simulation) play(seed uint64, versions []domain.Software, resumed map[domain.Software]int, load float64) {
	s.random = rand.New(rand.NewPCG(seed, 2))
	for n := range s.entries {
		s.entries[n] = &simEntry{}
	}
	for _, v := range versions {
		s.engines = append(s.engines, &simEngine{software: v, free: simMemory})
	}
	s.perSecond = load * float64(len(versions)*simMemory/simTokens) / simMean.Seconds()
	for s.now < 8*time.Second {
		s.step()
	}
	s.new, s.begun, s.resumed, s.continued = 0, 0, 0, 0
	due := make(map[time.Duration][]domain.Software)
	for _, v := range slices.Sorted(maps.Keys(resumed)) {
		for range resumed[v] {
			at := s.now + time.Duration(s.random.Int64N(int64(2*time.Second)))/simTick*simTick
			due[at] = append(due[at], v)
		}
	}
	for end := s.now + 10*time.Second; s.now < end; {
		for _, v := range due[s.now] {
			s.arrive(s.request(v))
		}
		s.step()
	}
}

// shares returns the parts of the attempts of resumed and of new streams that got room.
func (s *simulation) shares() (resumed, begun float64) {
	return float64(s.continued) / float64(max(1, s.resumed)), float64(s.begun) / float64(max(1, s.new))
}

var (
	oneVersion    = []domain.Software{"v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1"}
	twoVersions   = []domain.Software{"v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2", "v2"}
	threeVersions = []domain.Software{"v1", "v1", "v2", "v2", "v3", "v3", "v3", "v3", "v3"}
)

// Guards against resumed streams that are refused at the few engines of their version, while new ones, which may begin
// anywhere, take each bit of room there: without kept room, those that go on are under half of the share of new ones that begin.
func TestResumedStreamsGoOnWhereNewOnesFillTheirVersion(t *testing.T) {
	for name, c := range map[string]struct {
		versions []domain.Software
		resumed  map[domain.Software]int
	}{
		"two versions":   {twoVersions, map[domain.Software]int{"v1": 20}},
		"three versions": {threeVersions, map[domain.Software]int{"v1": 15, "v2": 15}},
		"one version":    {oneVersion, map[domain.Software]int{"v1": 40}},
	} {
		for _, load := range []float64{0.9, 1.3, 2} {
			const seeds = 4
			var resumed, begun [3]float64
			for seed := range uint64(seeds) {
				for i, s := range []*simulation{{late: true}, {}, {kept: true}} {
					s.play(seed, c.versions, c.resumed, load)
					r, b := s.shares()
					resumed[i], begun[i] = resumed[i]+r/seeds, begun[i]+b/seeds
				}
			}
			t.Logf("%s, load %.1f: resumed %.2f as late ones, %.2f first in the queue, %.2f with kept room; new %.2f, %.2f, %.2f",
				name, load, resumed[0], resumed[1], resumed[2], begun[0], begun[1], begun[2])
			require.Greater(t, resumed[2], begun[2]/2, "the rule")
			require.Greater(t, resumed[2], resumed[1])
			require.Less(t, resumed[0], begun[0]/2, "the load breaks the rule where resumed streams count as late")
		}
	}
}

// Guards against room that is kept although nothing is resumed: new streams would be refused while engines have room.
func TestNoRoomIsKeptWithoutResumedStreams(t *testing.T) {
	for _, versions := range [][]domain.Software{oneVersion, twoVersions, threeVersions} {
		for _, load := range []float64{0.9, 1.3} {
			without, with := &simulation{}, &simulation{kept: true}
			without.play(1, versions, nil, load)
			with.play(1, versions, nil, load)
			require.Equal(t, without.begun, with.begun)
			require.Equal(t, without.new, with.new)
		}
	}
}
