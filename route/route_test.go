package route

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
)

// One seed, so that a run repeats.
var _ = flag.Set("rapid.seed", "20261202")

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

const (
	gapBase = 10 * time.Millisecond
	gapStep = 2 * time.Millisecond
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func host(role string, n int) domain.Host { return domain.Host(fmt.Sprintf("%s-%04d", role, n)) }

func zone(n int) domain.Zone {
	return []domain.Zone{"salt-lake", "new-town", "howrah"}[n%3]
}

// model makes pools with drawn queues and batches.
func model(prefills, decodes int, queued, batch func(n int) int) *EngineSelector {
	m := &EngineSelector{}
	for n := range prefills {
		m.Prefills.Update(host("prefill", n), zone(n), start, PrefillReport{QueuedTokens: queued(n), Rate: 20_000})
	}
	for n := range decodes {
		b := batch(n)
		m.Decodes.Update(host("decode", n), zone(n), start, DecodeReport{
			FreeRequests: 16 - b, FreeTokens: 200_000, Batch: b, GapBase: gapBase, GapStep: gapStep,
		})
	}
	return m
}

func none(int) int { return 0 }

// exhaustive scores every pair the plain way; infinite where the job cannot go.
func exhaustive(j Job, queued, batch []int) []float64 {
	var scores []float64
	for p, q := range queued {
		for _, b := range batch {
			gap := 0.010 + 0.002*float64(b+1)
			first := float64(q+j.PromptTokens)/20_000 + gap
			long := p%DefaultShortOnlyEvery == DefaultShortOnlyEvery-1 && j.PromptTokens >= longPrompt
			if b >= 16 || long || gap > j.TokenGap.Seconds() {
				scores = append(scores, math.Inf(1))
				continue
			}
			scores = append(scores, first/j.FirstTokenTarget.Seconds()+gap/j.TokenGap.Seconds())
		}
	}
	slices.Sort(scores)
	return scores
}

func TestSmallPoolAgreesWithExhaustiveChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queued := rapid.SliceOfN(rapid.IntRange(0, 60_000), 1, prefillSample).Draw(t, "queued")
		batch := rapid.SliceOfN(rapid.IntRange(0, 16), 1, decodeSample).Draw(t, "batch")
		m := model(len(queued), len(batch), func(n int) int { return queued[n] }, func(n int) int { return batch[n] })
		j := Job{PromptTokens: rapid.IntRange(1, 50_000).Draw(t, "prompt"), MaxOutputTokens: 100, FirstTokenTarget: time.Second, TokenGap: 40 * time.Millisecond}
		best := exhaustive(j, queued, batch)[0]
		_, g, ok := m.Choose(start, j, random())
		require.Equal(t, !math.IsInf(best, 1), ok)
		if ok {
			require.InDelta(t, best, g.Chosen.Score, 1e-6)
		}
	})
}

// In a large pool a choice sees a sample; the mean choice has to be among the
// best fifth of all pairs.
func TestLargePoolComesNearExhaustiveChoice(t *testing.T) {
	source := random()
	var queued, batch []int
	for range 200 {
		queued, batch = append(queued, source.IntN(60_000)), append(batch, source.IntN(15))
	}
	m := model(200, 200, func(n int) int { return queued[n] }, func(n int) int { return batch[n] })
	j := Job{PromptTokens: 2000, MaxOutputTokens: 100, FirstTokenTarget: time.Second, TokenGap: 48 * time.Millisecond}
	all := exhaustive(j, queued, batch)
	var sum float64
	for range 500 {
		_, g, ok := m.Choose(start, j, source)
		require.True(t, ok)
		sum += g.Chosen.Score
	}
	require.Less(t, sum/500, all[len(all)/5])
}

// Every appraisal of one second goes to one engine and waits there. All entries
// saw the same report in which it was idle, and reports lag. What was sent since
// the report has to count.
func TestNoHerdingBetweenReports(t *testing.T) {
	m := model(6, 3, none, none)
	j := Job{PromptTokens: 4000, MaxOutputTokens: 10}
	sent := map[domain.Host]int{}
	source := random()
	for range 24 {
		p, _, ok := m.Choose(start, j, source)
		require.True(t, ok)
		m.Started(start, p, j)
		sent[p.Prefill]++
		sent[p.Decode]++
	}
	for h, n := range sent {
		require.LessOrEqual(t, n, 9, h)
	}
	require.Len(t, sent, 9)
}

// A decode slot stays empty though requests wait. A report that crossed a newer
// one on the way was taken for the newest. It has to be ignored, and what the
// newest shows must not be counted twice.
func TestCrossedReportIsIgnored(t *testing.T) {
	m := model(1, 1, none, none)
	p := EnginePair{Prefill: host("prefill", 0), Decode: host("decode", 0)}
	m.Started(start.Add(time.Second), p, Job{PromptTokens: 100, MaxOutputTokens: 10})
	full := DecodeReport{FreeRequests: 0}
	free := DecodeReport{FreeRequests: 1, FreeTokens: 1000}
	m.Decodes.Update(p.Decode, zone(0), start.Add(2*time.Second), free)
	m.Decodes.Update(p.Decode, zone(0), start.Add(time.Second), full)
	m.Prefills.Update(p.Prefill, zone(0), start.Add(2*time.Second), PrefillReport{})
	_, g, ok := m.Choose(start.Add(2*time.Second), Job{PromptTokens: 100, MaxOutputTokens: 10}, random())
	require.True(t, ok)
	require.Equal(t, 1, g.Decodes[0].FreeRequests)
	m.Ended(start.Add(3*time.Second), p, Job{PromptTokens: 100, MaxOutputTokens: 10})
	_, g, _ = m.Choose(start.Add(3*time.Second), Job{PromptTokens: 100, MaxOutputTokens: 10}, random())
	require.Equal(t, 2, g.Decodes[0].FreeRequests)
}

func TestUnusableCandidatesAreNotChosen(t *testing.T) {
	cases := map[string]func(m *EngineSelector){
		"draining": func(m *EngineSelector) { m.Prefills.SetDraining(host("prefill", 0), true) },
		"ejected":  func(m *EngineSelector) { m.Prefills.SetTrafficShare(host("prefill", 0), 0) },
		"removed":  func(m *EngineSelector) { m.Prefills.Remove(host("prefill", 0)) },
		"stale": func(m *EngineSelector) {
			m.Prefills.Remove(host("prefill", 0))
			m.Prefills.Update(host("prefill", 0), zone(0), start.Add(-MaxReportAge-1), PrefillReport{})
		},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			m := model(2, 1, none, none)
			spoil(m)
			for range 20 {
				p, _, ok := m.Choose(start, Job{PromptTokens: 10}, random())
				require.True(t, ok)
				require.Equal(t, host("prefill", 1), p.Prefill)
			}
		})
	}
}

// A pedigree of 50,000 tokens is filled and thrown away. Its KV cache waited for
// a link that others filled, longer than the engine keeps it. The wait was
// known before the prefill started.
func TestPrefillIsNotStartedWhenItsCacheWouldBeEvicted(t *testing.T) {
	m := model(1, 1, none, none)
	path := ZonePair{From: zone(0), To: zone(0)}
	m.UpdateLink(path, start, LinkReport{Rate: 1e9, QueuedBytes: 5e9})
	j := Job{PromptTokens: 50_000, MaxOutputTokens: 10, KVBytes: 3e8, KVLifetime: 800 * time.Millisecond}
	_, g, ok := m.Choose(start, j, random()) // 2.5 s of prefill, then 2.5 s of queue
	require.False(t, ok)
	require.Equal(t, 1, g.Excluded.KVExpires)
	m.UpdateLink(path, start, LinkReport{Rate: 1e9, QueuedBytes: 2e9})
	_, _, ok = m.Choose(start, j, random())
	require.True(t, ok)
	j.WastedPrefillWeight = 300 // a quarter of the life is the limit now
	_, _, ok = m.Choose(start, j, random())
	require.False(t, ok)
}

func TestBeliefInCacheEventsDecays(t *testing.T) {
	var b beliefs
	b.event(start, "a", CacheEvent{Seq: 1, Prefix: 7, Tokens: 1000})
	require.Equal(t, 1000, b.tokens(start, "a", 7))
	require.Equal(t, 500, b.tokens(start.Add(beliefHalfLife), "a", 7))
	b.event(start, "a", CacheEvent{Seq: 3, Prefix: 8, Tokens: 10}) // 2 is missing
	require.Equal(t, 970, b.tokens(start, "a", 7))
	require.Equal(t, 10, b.tokens(start, "a", 8))
	b.event(start, "a", CacheEvent{Seq: 4, Prefix: 7, Evicted: true})
	b.event(start, "a", CacheEvent{Seq: 1, Prefix: 7, Tokens: 1000}) // late
	require.Zero(t, b.tokens(start, "a", 7))
	for n := range 2 * maxPrefixes {
		b.believe(start, "a", uint64(n+100), 1)
	}
	require.LessOrEqual(t, len(b.holders), maxPrefixes)
}

func TestCachedPrefixDrawsUnlessItsEngineIsBusy(t *testing.T) {
	m := model(60, 3, none, none)
	j := Job{PromptTokens: 10_000, Prefix: 7, PrefixTokens: 9000}
	m.CacheEvent(start, host("prefill", 40), CacheEvent{Seq: 1, Prefix: 7, Tokens: 9000})
	p, _, _ := m.Choose(start, j, random())
	require.Equal(t, host("prefill", 40), p.Prefill)
	m.Prefills.Update(p.Prefill, zone(40), start, PrefillReport{QueuedTokens: 40_000, Rate: 20_000})
	p, _, _ = m.Choose(start, j, random())
	require.NotEqual(t, host("prefill", 40), p.Prefill)
}

func TestAppWithLeastInFlight(t *testing.T) {
	var a AppSelector
	for n := range 2 {
		a.Pool.Update(host("app", n), zone(n), start, AppReport{InFlight: 3 * n, Limit: 8})
	}
	for range 11 {
		h, _, ok := a.Choose(start, nil, random())
		require.True(t, ok)
		a.Started(start, h)
	}
	require.Equal(t, 7, a.Pool.find(host("app", 0)).total.requests)
	_, _, ok := a.Choose(start, ZoneWeights{zone(5): 100}, random())
	require.False(t, ok)
}
