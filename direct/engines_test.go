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

// newPool returns n engines, a third of them prefill engines, and one that is draining.
func newPool(t *testing.T, n int) []*roster.Upstream {
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
	return s.activeEngines("m")
}

func TestSampleReturnsAllEnginesOfASmallPool(t *testing.T) {
	require.Len(t, sample(newPool(t, 45), "entry-1"), 45)
}

// Guards against one entry that polls each engine of a pool of thousands every second, with
// a connection to each, and runs out of memory first.
func TestSampleIsBoundedAndStableInALargePool(t *testing.T) {
	all := newPool(t, 2900)
	first := sample(all, "entry-1")
	require.Len(t, first, maxPolledEngines)
	require.Equal(t, first, sample(all, "entry-1"), "connections are reused")
	require.NotEqual(t, first, sample(all, "entry-2"))
	prefill := 0
	for _, u := range first {
		if u.Server().Role == domain.RolePrefill {
			prefill++
		}
	}
	require.InDelta(t, maxPolledEngines/3, prefill, maxPolledEngines/8, "each role in proportion")
	require.GreaterOrEqual(t, overlap(first, sample(all[1:], "entry-1")), maxPolledEngines-1, "an engine that leaves replaces no other")
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

// Guards against zero demand when all decode engines have crashed for good: without them no
// memory is in use, and all requests would be refused until the end.
func TestDemandViewAsksForADecodeEngineIfNoneIsLeft(t *testing.T) {
	v := &paths.Service{Name: "m"}
	state := func(id string, r domain.Role, used int) engineState {
		return engineState{
			server: roster.Server{Start: roster.Start{ID: roster.ID(id)}},
			state:  EngineState{Role: r, KVCapacity: 100, KVUsed: used},
		}
	}
	prefillPool, decodePool := roles.Pool{Model: "m", Role: domain.RolePrefill}, roles.Pool{Model: "m", Role: domain.RoleDecode}
	prefillOnly := []engineState{state("a", domain.RolePrefill, 0), state("b", domain.RolePrefill, 0), state("c", domain.RolePrefill, 0)}
	demand := demandView(v, prefillOnly, prefillRatio{}, nil)
	require.Positive(t, demand.Demand[decodePool])
	p := roles.Planner{Timing: roles.TimingFor(6 * time.Second)}
	orders := p.Plan(time.Now(), demand, func(time.Time) (fence.Token, error) { return 1, nil })
	require.Len(t, orders, 1)
	require.Equal(t, decodePool, orders[0].To)

	both := append(prefillOnly, state("d", domain.RoleDecode, 50))
	require.Zero(t, demandView(v, both, prefillRatio{}, nil).Demand[decodePool], "the ratio is not known yet")
	demand = demandView(v, both, prefillRatio{ratio: 0.4, known: true, sufficient: true}, nil)
	require.InDelta(t, 0.5, demand.Demand[decodePool], 1e-9)
	require.InDelta(t, prefillWeight*0.4*0.5, demand.Demand[prefillPool], 1e-9)
}

// Guards against role changes that are based on the first requests alone. By a first
// request with an answer of a few tokens, prefill needs more engines than decode; ten of 28
// decode engines were ordered to change, and were not available for the first burst.
func TestPlannerKeepsDecodeEnginesUntilTheProfileIsSufficient(t *testing.T) {
	var profile roles.Profile
	now := time.Now()
	profile.RecordRequest(now, 3000, 64, 0.1)
	profile.RecordPrefill(now, 3000, 100*time.Millisecond)
	profile.RecordAnswer(now, 104, 400*time.Millisecond)
	ratio, known := profile.Ratio()
	require.True(t, known)
	require.Greater(t, ratio, 1.0)
	var states []engineState
	for n := range 45 {
		e := engineState{server: roster.Server{Start: roster.Start{ID: roster.ID(strconv.Itoa(n))}}, state: EngineState{Role: domain.RoleDecode, KVCapacity: 100, KVUsed: 30}}
		if n < 17 {
			e.state.Role, e.state.KVUsed = domain.RolePrefill, 0
		}
		states = append(states, e)
	}
	plan := func(sufficient bool) []roles.Order {
		p := roles.Planner{Timing: roles.TimingFor(6 * time.Second)}
		demand := demandView(&paths.Service{Name: "m"}, states, prefillRatio{ratio: ratio, known: true, sufficient: sufficient}, nil)
		issue := func(time.Time) (fence.Token, error) { return 1, nil }
		return append(p.Plan(now, demand, issue), p.Plan(now.Add(time.Second), demand, issue)...)
	}
	require.Empty(t, plan(profile.Sufficient()))
	require.NotEmpty(t, plan(true), "a sufficient profile takes engines from decode")
}
