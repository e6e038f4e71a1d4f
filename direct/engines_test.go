package direct

import (
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
	"jacinthworks/fence"
	"jacinthworks/paths"
	"jacinthworks/place"
	"jacinthworks/roster"
	"jacinthworks/work"
)

// pool gives engines, a third of them for prefill.
func pool(t *testing.T, n int) []*roster.Upstream {
	t.Helper()
	s := &Server{}
	s.roster.Log = hclog.NewNullLogger()
	var all []feed.Item[roster.Server]
	for i := range n {
		role := work.RoleDecode
		if i%3 == 0 {
			role = work.RolePrefill
		}
		id := roster.ID("i-" + strconv.Itoa(i))
		all = append(all, feed.Item[roster.Server]{Name: string(id), Value: roster.Server{Start: roster.Start{ID: id}, Service: "m", Role: role}})
	}
	all = append(all, feed.Item[roster.Server]{Name: "leaves", Value: roster.Server{Start: roster.Start{ID: "leaves"}, Service: "m", Role: work.RoleDecode, Draining: true}})
	s.roster.Listed(time.Now(), all)
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
		if u.Server().Role == work.RolePrefill {
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
	state := func(id string, r work.Role, taken int) engineState {
		return engineState{
			server: roster.Server{Start: roster.Start{ID: roster.ID(id)}},
			state:  State{Role: r, Memory: 100, Taken: taken},
		}
	}
	prefills, decodes := place.Pool{Model: "m", Role: work.RolePrefill}, place.Pool{Model: "m", Role: work.RoleDecode}
	alone := []engineState{state("a", work.RolePrefill, 0), state("b", work.RolePrefill, 0), state("c", work.RolePrefill, 0)}
	seen := view(v, alone, 0, false)
	require.Positive(t, seen.Demand[decodes])
	p := place.Planner{Tempo: place.TempoOf(6 * time.Second)}
	orders := p.Plan(time.Now(), seen, func(time.Time) (fence.Number, error) { return 1, nil })
	require.Len(t, orders, 1)
	require.Equal(t, decodes, orders[0].To)

	both := append(alone, state("d", work.RoleDecode, 50))
	require.Zero(t, view(v, both, 0, false).Demand[decodes], "nothing is known of the mix yet")
	seen = view(v, both, 0.4, true)
	require.InDelta(t, 0.5, seen.Demand[decodes], 1e-9)
	require.InDelta(t, prefillPart*0.4*0.5, seen.Demand[prefills], 1e-9)
}
