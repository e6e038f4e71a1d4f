package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/feed"
)

// told is what a start has said, as the model has it.
type told struct {
	leaving bool
	until   time.Time
}

// model holds a directory against what each start has said and the registry says.
type model struct {
	r    Roster
	now  time.Time
	said map[InstanceKey]told
	// entries are the registry's as this process last heard of them, held all upstreams
	// that requests may still have.
	entries map[ID]Server
	held    []*Upstream
	// earlier are entries of starts that later ones have followed.
	earlier []Server
	born    time.Time
}

func newModel() *model {
	m := &model{now: time.Now(), said: make(map[InstanceKey]told), entries: make(map[ID]Server)}
	m.born = m.now.Truncate(time.Millisecond)
	m.r.Log = hclog.NewNullLogger()
	return m
}

// register has the registry speak of an upstream: as it is, draining, or as a later start.
func (m *model) register(t *rapid.T) {
	id := ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"))
	e, known := m.entries[id]
	if !known || rapid.IntRange(0, 3).Draw(t, "later") == 0 {
		if known {
			m.earlier = append(m.earlier, e)
		}
		m.born = m.born.Add(time.Millisecond)
		e = Server{Start: Start{ID: id, Born: m.born}, Service: "cards", Addr: netip.MustParseAddrPort("127.0.0.1:9")}
	}
	e.Draining = rapid.Bool().Draw(t, "draining")
	m.entries[id] = e
	m.r.Apply(m.now, []feed.Change[Server]{{Item: feed.Item[Server]{Name: string(id), Value: e}}})
	m.held = append(m.held, m.r.Upstream(id))
}

// lapse has the registry drop an upstream, which may go on serving.
func (m *model) lapse(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	m.r.Apply(m.now, gone(id))
}

// back has the registry speak again of what it dropped, as it was.
func (m *model) back(*rapid.T) {
	for id, e := range m.entries {
		m.r.Apply(m.now, []feed.Change[Server]{{Item: feed.Item[Server]{Name: string(id), Value: e}}})
	}
}

// late has word of an earlier start come after that of the later one.
func (m *model) late(t *rapid.T) {
	if len(m.earlier) == 0 {
		return
	}
	e := rapid.SampledFrom(m.earlier).Draw(t, "earlier")
	if m.r.Upstream(e.ID) != nil {
		m.r.Apply(m.now, []feed.Change[Server]{{Item: feed.Item[Server]{Name: string(e.ID), Value: e}}})
	}
}

// answer has one of the upstreams that requests have say something, in whatever order.
func (m *model) answer(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	u := rapid.SampledFrom(m.held).Draw(t, "upstream")
	key := u.Server().Key()
	s := m.said[key]
	switch rapid.IntRange(0, 3).Draw(t, "says") {
	case 0:
		u.Stats.MarkLeaving(m.now)
		s.leaving = true
	case 1:
		pause := time.Duration(rapid.IntRange(-1000, 4000).Draw(t, "pause")) * time.Millisecond
		u.Stats.BackOff(m.now, pause)
		if until := m.now.Add(pause); pause > 0 && until.After(s.until) {
			s.until = until
		}
	default: // nothing, which ends nothing
		u.Stats.RecordSuccess(m.now, time.Millisecond, 1)
	}
	m.said[key] = s
}

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pass")) * time.Millisecond)
}

// check holds each member's access against the model.
func (m *model) check(t *rapid.T) {
	for id := range m.entries {
		u := m.r.Upstream(id)
		if u == nil {
			continue
		}
		server := u.Server()
		if !server.Same(m.entries[id].Start) {
			t.Fatalf("%s is of an earlier start", id)
		}
		s, got := m.said[server.Key()], u.Eligibility(m.now)
		want := Eligibility{}
		switch {
		case server.Draining:
			want.Reason = ExcludedDraining
		case s.leaving:
			want.Reason = ExcludedLeaving
		case s.until.After(m.now):
			want = Eligibility{Reason: ExcludedBackoff, Remaining: s.until.Sub(m.now)}
		}
		if got != want {
			t.Fatalf("%s: %+v, not %+v", id, got, want)
		}
	}
	for _, u := range m.held {
		if m.r.Upstream(u.Server().ID) != u && u.Eligibility(m.now).Eligible() {
			t.Fatalf("%s has left the directory and is open", u.Server().ID)
		}
	}
}

// Guards against a bound that outlives its cause or ends before it, for any order of
// answers, of words of the registry, of later starts and of lapses.
func TestAccessHoldsForAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"register": m.register, "lapse": m.lapse, "back": m.back, "late": m.late, "answer": m.answer, "pass": m.pass, "": m.check,
		})
	})
}

// Guards against a question that costs more than what it saves at a large pool.
func TestAccessAllocatesNothing(t *testing.T) {
	r := pool(1)
	u, now := r.Upstreams("cards")[0], time.Now()
	require.Zero(t, testing.AllocsPerRun(100, func() { u.Eligibility(now) }))
}

func pool(n int) *Roster {
	r := &Roster{Log: hclog.NewNullLogger()}
	var all []feed.Item[Server]
	for i := range n {
		all = append(all, item(fmt.Sprint("i-", i), false))
	}
	r.SetAll(time.Now(), all)
	return r
}

// BenchmarkAccess measures the question at each of 640 upstreams; ns/op is that of all.
func BenchmarkAccess(b *testing.B) {
	all, now := pool(640).Upstreams("cards"), time.Now()
	b.ReportAllocs()
	for b.Loop() {
		for _, u := range all {
			u.Eligibility(now)
		}
	}
}
