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

// announced is the shutdown and the backoff that one instance announced to the model.
type announced struct {
	leaving      bool
	backoffUntil time.Time
}

// eligibilityModel compares the eligibility that a directory returns with the eligibility expected
// from the registry entries and the announcements of each instance.
type eligibilityModel struct {
	r             Directory
	now           time.Time
	announcements map[InstanceKey]announced
	// entries are the registry entries last applied to the directory; upstreams are all upstreams
	// that a request may still hold a pointer to, members of the directory or not.
	entries   map[ID]Server
	upstreams []*Upstream
	// earlierEntries are entries of instances that a later one has replaced.
	earlierEntries []Server
	lastStart      time.Time
}

func newEligibilityModel() *eligibilityModel {
	m := &eligibilityModel{now: time.Now(), announcements: make(map[InstanceKey]announced), entries: make(map[ID]Server)}
	m.lastStart = m.now.Truncate(time.Millisecond)
	m.r.Log = hclog.NewNullLogger()
	return m
}

// register applies a registry entry of the same instance, draining or not, or of a later instance.
func (m *eligibilityModel) register(t *rapid.T) {
	id := ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"))
	e, known := m.entries[id]
	if !known || rapid.IntRange(0, 3).Draw(t, "later") == 0 {
		if known {
			m.earlierEntries = append(m.earlierEntries, e)
		}
		m.lastStart = m.lastStart.Add(time.Millisecond)
		e = Server{Start: Start{ID: id, Born: m.lastStart}, Service: "cards", Addr: netip.MustParseAddrPort("127.0.0.1:9")}
	}
	e.Draining = rapid.Bool().Draw(t, "draining")
	m.entries[id] = e
	m.r.Apply(m.now, []feed.Change[Server]{{Item: feed.Item[Server]{Name: string(id), Value: e}}})
	m.upstreams = append(m.upstreams, m.r.Upstream(id))
}

// dropEntry deletes the registry entry of an upstream, which may go on serving.
func (m *eligibilityModel) dropEntry(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	m.r.Apply(m.now, deletion(id))
}

// restoreEntries applies the latest entry of each upstream again, even if it was deleted since.
func (m *eligibilityModel) restoreEntries(*rapid.T) {
	for id, e := range m.entries {
		m.r.Apply(m.now, []feed.Change[Server]{{Item: feed.Item[Server]{Name: string(id), Value: e}}})
	}
}

// applyLateEntry applies the registry entry of an earlier instance after the later instance's entry.
func (m *eligibilityModel) applyLateEntry(t *rapid.T) {
	if len(m.earlierEntries) == 0 {
		return
	}
	e := rapid.SampledFrom(m.earlierEntries).Draw(t, "earlier")
	if m.r.Upstream(e.ID) != nil {
		m.r.Apply(m.now, []feed.Change[Server]{{Item: feed.Item[Server]{Name: string(e.ID), Value: e}}})
	}
}

// respond records a response, with or without an announcement, from one of the upstreams in
// m.upstreams.
func (m *eligibilityModel) respond(t *rapid.T) {
	if len(m.upstreams) == 0 {
		return
	}
	u := rapid.SampledFrom(m.upstreams).Draw(t, "upstream")
	key := u.Server().Key()
	s := m.announcements[key]
	switch rapid.IntRange(0, 3).Draw(t, "says") {
	case 0:
		u.Stats.MarkLeaving(m.now)
		s.leaving = true
	case 1:
		delay := time.Duration(rapid.IntRange(-1000, 4000).Draw(t, "pause")) * time.Millisecond
		u.Stats.RequestBackoff(m.now, delay)
		if until := m.now.Add(delay); delay > 0 && until.After(s.backoffUntil) {
			s.backoffUntil = until
		}
	default: // an answer without an announcement ends no exclusion
		u.Stats.RecordSuccess(m.now, time.Millisecond, 1)
	}
	m.announcements[key] = s
}

func (m *eligibilityModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pass")) * time.Millisecond)
}

// check compares the eligibility of each upstream with the model.
func (m *eligibilityModel) check(t *rapid.T) {
	for id := range m.entries {
		u := m.r.Upstream(id)
		if u == nil {
			continue
		}
		server := u.Server()
		if !server.Same(m.entries[id].Start) {
			t.Fatalf("%s: the directory holds an earlier instance", id)
		}
		s, got := m.announcements[server.Key()], u.Eligibility(m.now)
		want := Eligibility{}
		switch {
		case server.Draining:
			want.Reason = ExcludedDraining
		case s.leaving:
			want.Reason = ExcludedLeaving
		case s.backoffUntil.After(m.now):
			want = Eligibility{Reason: ExcludedBackoff, Remaining: s.backoffUntil.Sub(m.now)}
		}
		if got != want {
			t.Fatalf("%s: eligibility %+v, want %+v", id, got, want)
		}
	}
	for _, u := range m.upstreams {
		if m.r.Upstream(u.Server().ID) != u && u.Eligibility(m.now).Eligible() {
			t.Fatalf("%s: not in the directory but eligible", u.Server().ID)
		}
	}
}

// Guards against an exclusion that outlasts its cause or ends before it, for any order of
// responses, registry changes, restarts and deleted entries.
func TestEligibilityMatchesModelForAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEligibilityModel()
		t.Repeat(map[string]func(*rapid.T){
			"register": m.register, "lapse": m.dropEntry, "back": m.restoreEntries, "late": m.applyLateEntry, "answer": m.respond, "pass": m.advance, "": m.check,
		})
	})
}

// Guards against allocations in a check that runs for every upstream of a pool on each request.
func TestEligibilityDoesNotAllocate(t *testing.T) {
	r := newDirectoryOf(1)
	u, now := r.Upstreams("cards")[0], time.Now()
	require.Zero(t, testing.AllocsPerRun(100, func() { u.Eligibility(now) }))
}

func newDirectoryOf(n int) *Directory {
	r := &Directory{Log: hclog.NewNullLogger()}
	var all []feed.Item[Server]
	for i := range n {
		all = append(all, item(fmt.Sprint("i-", i), false))
	}
	r.SetAll(time.Now(), all)
	return r
}

// BenchmarkEligibility measures Eligibility for 640 upstreams; ns/op covers all of them.
func BenchmarkEligibility(b *testing.B) {
	all, now := newDirectoryOf(640).Upstreams("cards"), time.Now()
	b.ReportAllocs()
	for b.Loop() {
		for _, u := range all {
			u.Eligibility(now)
		}
	}
}
