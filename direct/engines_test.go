package direct

import (
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/fence"
	"jacinthworks/paths"
	"jacinthworks/roles"
	"jacinthworks/roster"
)

// pool gives engines, a third of them for prefill.
func pool(t *testing.T, n int) []*roster.Upstream {
	t.Helper()
	s := &Server{}
	s.roster.Log = hclog.NewNullLogger()
	var all []feed.Item[roster.Server]
	for i := range n {
		role := domain.RoleDecode
		if i%3 == 0 {
			role = domain.RolePrefill
		}
		id := roster.ID("i-" + strconv.Itoa(i))
		all = append(all, feed.Item[roster.Server]{Name: string(id), Value: roster.Server{Start: roster.Start{ID: id}, Service: "m", Role: role}})
	}
	all = append(all, feed.Item[roster.Server]{Name: "leaves", Value: roster.Server{Start: roster.Start{ID: "leaves"}, Service: "m", Role: domain.RoleDecode, Draining: true}})
	s.roster.SetAll(time.Now(), all)
	return s.engines("m")
}

func TestFewEnginesAreAllAsked(t *testing.T) {
	require.Len(t, sample(pool(t, 45), "entry-1"), 45)
}

// Story: a pool grows to thousands. The one entry that asks each of them every
// second holds a connection to each, and is the first to run out of memory.
func TestOfManyEnginesASampleIsAsked(t *testing.T) {
	all := pool(t, 2900)
	first := sample(all, "entry-1")
	require.Len(t, first, askedMost)
	require.Equal(t, first, sample(all, "entry-1"), "connections are used again")
	require.NotEqual(t, first, sample(all, "entry-2"))
	prefill := 0
	for _, u := range first {
		if u.Server().Role == domain.RolePrefill {
			prefill++
		}
	}
	require.InDelta(t, askedMost/3, prefill, askedMost/8, "of each role its part")
	require.GreaterOrEqual(t, overlap(first, sample(all[1:], "entry-1")), askedMost-1, "one that goes changes no other")
}

func overlap(a, b []*roster.Upstream) int {
	n := 0
	for _, u := range a {
		for _, v := range b {
			if u == v {
				n++
			}
		}
	}
	return n
}

// Story: all decode engines crash for good. No memory is taken any more, so that no
// pool seems to ask for an engine, and all requests are refused until the end.
func TestWithoutDecodeEnginesOneIsAskedFor(t *testing.T) {
	v := &paths.Service{Name: "m"}
	state := func(id string, r domain.Role, taken int) engineState {
		return engineState{
			server: roster.Server{Start: roster.Start{ID: roster.ID(id)}},
			state:  State{Role: r, KVCapacity: 100, KVUsed: taken},
		}
	}
	prefills, decodes := roles.Pool{Model: "m", Role: domain.RolePrefill}, roles.Pool{Model: "m", Role: domain.RoleDecode}
	alone := []engineState{state("a", domain.RolePrefill, 0), state("b", domain.RolePrefill, 0), state("c", domain.RolePrefill, 0)}
	seen := view(v, alone, mixRatio{})
	require.Positive(t, seen.Demand[decodes])
	p := roles.Planner{Timing: roles.TimingFor(6 * time.Second)}
	orders := p.Plan(time.Now(), seen, func(time.Time) (fence.Token, error) { return 1, nil })
	require.Len(t, orders, 1)
	require.Equal(t, decodes, orders[0].To)

	both := append(alone, state("d", domain.RoleDecode, 50))
	require.Zero(t, view(v, both, mixRatio{}).Demand[decodes], "nothing is known of the mix yet")
	seen = view(v, both, mixRatio{ratio: 0.4, known: true, sure: true})
	require.InDelta(t, 0.5, seen.Demand[decodes], 1e-9)
	require.InDelta(t, prefillPart*0.4*0.5, seen.Demand[prefills], 1e-9)
}

// Story: the load begins, and the first request has an answer of a few tokens. By it
// alone prefill needs more engines than decode; ten of 28 decode engines were told
// to change, and the first burst found them away.
func TestFewRequestsTakeNoDecodeEngine(t *testing.T) {
	var m roles.Profile
	now := time.Now()
	m.RecordRequest(now, 3000, 64, 0.1)
	m.RecordPrefill(now, 3000, 100*time.Millisecond)
	m.RecordAnswer(now, 104, 400*time.Millisecond)
	ratio, known := m.Ratio()
	require.True(t, known)
	require.Greater(t, ratio, 1.0)
	var states []engineState
	for n := range 45 {
		e := engineState{server: roster.Server{Start: roster.Start{ID: roster.ID(strconv.Itoa(n))}}, state: State{Role: domain.RoleDecode, KVCapacity: 100, KVUsed: 30}}
		if n < 17 {
			e.state.Role, e.state.KVUsed = domain.RolePrefill, 0
		}
		states = append(states, e)
	}
	plan := func(sure bool) []roles.Order {
		p := roles.Planner{Timing: roles.TimingFor(6 * time.Second)}
		seen := view(&paths.Service{Name: "m"}, states, mixRatio{ratio: ratio, known: true, sure: sure})
		next := func(time.Time) (fence.Token, error) { return 1, nil }
		return append(p.Plan(now, seen, next), p.Plan(now.Add(time.Second), seen, next)...)
	}
	require.Empty(t, plan(m.Sufficient()))
	require.NotEmpty(t, plan(true), "many requests like it do")
}
