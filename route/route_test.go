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

// A fixed seed makes runs reproducible.
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

// newSelector returns a selector for pools with the given prefill queues and decode
// batches.
func newSelector(prefills, decodes int, queued, batch func(n int) int) *EngineSelector {
	selector := &EngineSelector{}
	for n := range prefills {
		selector.Prefills.Update(host("prefill", n), zone(n), start, PrefillReport{QueuedTokens: queued(n), Rate: 20_000})
	}
	for n := range decodes {
		b := batch(n)
		selector.Decodes.Update(host("decode", n), zone(n), start, DecodeReport{
			FreeRequests: 16 - b, FreeTokens: 200_000, Batch: b, GapBase: gapBase, GapStep: gapStep,
		})
	}
	return selector
}

func noLoad(int) int { return 0 }

// sortedScoresOfAllPairs returns the scores of all pairs for the job, lowest first; a
// pair that cannot take the job scores infinity.
func sortedScoresOfAllPairs(j Job, queued, batch []int) []float64 {
	var scores []float64
	for p, q := range queued {
		for _, b := range batch {
			gap := 0.010 + 0.002*float64(b+1)
			first := float64(q+j.PromptTokens)/20_000 + gap
			long := p%DefaultShortOnlyEvery == DefaultShortOnlyEvery-1 && j.PromptTokens >= longPromptTokens
			if b >= 16 || long || gap > j.TokenGapTarget.Seconds() {
				scores = append(scores, math.Inf(1))
				continue
			}
			scores = append(scores, first/j.FirstTokenTarget.Seconds()+gap/j.TokenGapTarget.Seconds())
		}
	}
	slices.Sort(scores)
	return scores
}

func TestChooseInSmallPoolMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queued := rapid.SliceOfN(rapid.IntRange(0, 60_000), 1, prefillSampleSize).Draw(t, "queued")
		batch := rapid.SliceOfN(rapid.IntRange(0, 16), 1, decodeSampleSize).Draw(t, "batch")
		selector := newSelector(len(queued), len(batch), func(n int) int { return queued[n] }, func(n int) int { return batch[n] })
		j := Job{PromptTokens: rapid.IntRange(1, 50_000).Draw(t, "prompt"), MaxOutputTokens: 100, FirstTokenTarget: time.Second, TokenGapTarget: 40 * time.Millisecond}
		best := sortedScoresOfAllPairs(j, queued, batch)[0]
		_, evaluation, ok := selector.Choose(start, j, random())
		require.Equal(t, !math.IsInf(best, 1), ok)
		if ok {
			require.InDelta(t, best, evaluation.Chosen.Score, 1e-6)
		}
	})
}

// In a large pool a choice sees only a sample; the mean score must be among those
// of the best fifth of all pairs.
func TestChooseInLargePoolIsAmongBestFifthOfPairs(t *testing.T) {
	source := random()
	var queued, batch []int
	for range 200 {
		queued, batch = append(queued, source.IntN(60_000)), append(batch, source.IntN(15))
	}
	selector := newSelector(200, 200, func(n int) int { return queued[n] }, func(n int) int { return batch[n] })
	j := Job{PromptTokens: 2000, MaxOutputTokens: 100, FirstTokenTarget: time.Second, TokenGapTarget: 48 * time.Millisecond}
	all := sortedScoresOfAllPairs(j, queued, batch)
	var sum float64
	for range 500 {
		_, evaluation, ok := selector.Choose(start, j, source)
		require.True(t, ok)
		sum += evaluation.Chosen.Score
	}
	require.Less(t, sum/500, all[len(all)/5])
}

// Reports are delayed, so all requests of one second see the same idle engine, go
// to it and wait there. The load sent since the report must be added to it.
func TestChooseSpreadsRequestsBetweenReports(t *testing.T) {
	selector := newSelector(6, 3, noLoad, noLoad)
	j := Job{PromptTokens: 4000, MaxOutputTokens: 10}
	sent := map[domain.Host]int{}
	source := random()
	for range 24 {
		p, _, ok := selector.Choose(start, j, source)
		require.True(t, ok)
		selector.JobStarted(start, p, j)
		sent[p.Prefill]++
		sent[p.Decode]++
	}
	for h, n := range sent {
		require.LessOrEqual(t, n, 9, h)
	}
	require.Len(t, sent, 9)
}

// A report that was overtaken by a newer one must not replace it: a decode slot
// would stay empty while requests wait. Load that the newest report includes must
// not be counted twice.
func TestUpdateIgnoresReportOlderThanLast(t *testing.T) {
	selector := newSelector(1, 1, noLoad, noLoad)
	p := EnginePair{Prefill: host("prefill", 0), Decode: host("decode", 0)}
	selector.JobStarted(start.Add(time.Second), p, Job{PromptTokens: 100, MaxOutputTokens: 10})
	full := DecodeReport{FreeRequests: 0}
	free := DecodeReport{FreeRequests: 1, FreeTokens: 1000}
	selector.Decodes.Update(p.Decode, zone(0), start.Add(2*time.Second), free)
	selector.Decodes.Update(p.Decode, zone(0), start.Add(time.Second), full)
	selector.Prefills.Update(p.Prefill, zone(0), start.Add(2*time.Second), PrefillReport{})
	_, evaluation, ok := selector.Choose(start.Add(2*time.Second), Job{PromptTokens: 100, MaxOutputTokens: 10}, random())
	require.True(t, ok)
	require.Equal(t, 1, evaluation.Decodes[0].FreeRequests)
	selector.JobEnded(start.Add(3*time.Second), p, Job{PromptTokens: 100, MaxOutputTokens: 10})
	_, evaluation, _ = selector.Choose(start.Add(3*time.Second), Job{PromptTokens: 100, MaxOutputTokens: 10}, random())
	require.Equal(t, 2, evaluation.Decodes[0].FreeRequests)
}

func TestChooseSkipsUnusableCandidates(t *testing.T) {
	cases := map[string]func(selector *EngineSelector){
		"draining": func(selector *EngineSelector) { selector.Prefills.SetDraining(host("prefill", 0), true) },
		"ejected":  func(selector *EngineSelector) { selector.Prefills.SetTrafficShare(host("prefill", 0), 0) },
		"removed":  func(selector *EngineSelector) { selector.Prefills.Remove(host("prefill", 0)) },
		"stale": func(selector *EngineSelector) {
			selector.Prefills.Remove(host("prefill", 0))
			selector.Prefills.Update(host("prefill", 0), zone(0), start.Add(-MaxReportAge-1), PrefillReport{})
		},
	}
	for name, makeUnusable := range cases {
		t.Run(name, func(t *testing.T) {
			selector := newSelector(2, 1, noLoad, noLoad)
			makeUnusable(selector)
			for range 20 {
				p, _, ok := selector.Choose(start, Job{PromptTokens: 10}, random())
				require.True(t, ok)
				require.Equal(t, host("prefill", 1), p.Prefill)
			}
		})
	}
}

// The KV cache of a 50,000-token prefill waits for a busy link for longer than the
// engine keeps it, and the prefill is wasted. The wait is known in advance, so the
// prefill must not be started.
func TestChooseExcludesPairWhoseKVCacheWouldExpire(t *testing.T) {
	selector := newSelector(1, 1, noLoad, noLoad)
	path := ZonePair{From: zone(0), To: zone(0)}
	selector.UpdateLink(path, start, LinkReport{Rate: 1e9, QueuedBytes: 5e9})
	j := Job{PromptTokens: 50_000, MaxOutputTokens: 10, KVBytes: 3e8, KVLifetime: 800 * time.Millisecond}
	_, evaluation, ok := selector.Choose(start, j, random()) // 2.5 s of prefill, then 2.5 s of queue
	require.False(t, ok)
	require.Equal(t, 1, evaluation.Excluded.KVExpires)
	selector.UpdateLink(path, start, LinkReport{Rate: 1e9, QueuedBytes: 2e9})
	_, _, ok = selector.Choose(start, j, random())
	require.True(t, ok)
	j.WastedPrefillWeight = 300 // the limit is now a quarter of the lifetime
	_, _, ok = selector.Choose(start, j, random())
	require.False(t, ok)
}

func TestCacheIndexDecaysWithAgeAndMissedEvents(t *testing.T) {
	var b cacheIndex
	b.applyEvent(start, "a", CacheEvent{Seq: 1, Prefix: 7, Tokens: 1000})
	require.Equal(t, 1000, b.expectedTokens(start, "a", 7))
	require.Equal(t, 500, b.expectedTokens(start.Add(cacheHalfLife), "a", 7))
	b.applyEvent(start, "a", CacheEvent{Seq: 3, Prefix: 8, Tokens: 10}) // event 2 is missed
	require.Equal(t, 970, b.expectedTokens(start, "a", 7))
	require.Equal(t, 10, b.expectedTokens(start, "a", 8))
	b.applyEvent(start, "a", CacheEvent{Seq: 4, Prefix: 7, Evicted: true})
	b.applyEvent(start, "a", CacheEvent{Seq: 1, Prefix: 7, Tokens: 1000}) // duplicate
	require.Zero(t, b.expectedTokens(start, "a", 7))
	for n := range 2 * maxPrefixes {
		b.add(start, "a", uint64(n+100), 1)
	}
	require.LessOrEqual(t, len(b.holders), maxPrefixes)
}

func TestChoosePrefersCachedPrefixUnlessEngineIsBusy(t *testing.T) {
	selector := newSelector(60, 3, noLoad, noLoad)
	j := Job{PromptTokens: 10_000, Prefix: 7, PrefixTokens: 9000}
	selector.CacheEvent(start, host("prefill", 40), CacheEvent{Seq: 1, Prefix: 7, Tokens: 9000})
	p, _, _ := selector.Choose(start, j, random())
	require.Equal(t, host("prefill", 40), p.Prefill)
	selector.Prefills.Update(p.Prefill, zone(40), start, PrefillReport{QueuedTokens: 40_000, Rate: 20_000})
	p, _, _ = selector.Choose(start, j, random())
	require.NotEqual(t, host("prefill", 40), p.Prefill)
}

func TestAppSelectorChoosesLeastInFlight(t *testing.T) {
	var a AppSelector
	for n := range 2 {
		a.Pool.Update(host("app", n), zone(n), start, AppReport{InFlight: 3 * n, Limit: 8})
	}
	for range 11 {
		h, _, ok := a.Choose(start, nil, random())
		require.True(t, ok)
		a.CallStarted(start, h)
	}
	require.Equal(t, 7, a.Pool.find(host("app", 0)).unreportedTotal.requests)
	_, _, ok := a.Choose(start, ZoneWeights{zone(5): 100}, random())
	require.False(t, ok)
}
