package route

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose measures one routing decision and the records of its result,
// while a quarter of the prefill engines is draining.
func BenchmarkChoose(b *testing.B) {
	for _, candidates := range []int{9, 290, 1000} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			source := random()
			prefills := candidates * 2 / 3
			m := newSelector(prefills, candidates-prefills,
				func(int) int { return source.IntN(8000) },
				func(int) int { return source.IntN(14) })
			for n := range prefills / 4 {
				m.Prefills.SetDraining(host("prefill", n), true)
			}
			j := Job{PromptTokens: 3000, MaxOutputTokens: 100, Prefix: 7, PrefixTokens: 1000, KVBytes: 4e8, KVLifetime: time.Second,
				FirstTokenTarget: time.Second, TokenGapTarget: 48 * time.Millisecond}
			b.ReportAllocs()
			for b.Loop() {
				p, _, ok := m.Choose(start, j, source)
				if !ok {
					b.Fatal("no pair")
				}
				m.JobStarted(start, p, j)
				m.Prefills.Update(p.Prefill, zone(0), start, PrefillReport{Rate: 20_000})
				m.Decodes.Update(p.Decode, zone(0), start, DecodeReport{FreeRequests: 4, FreeTokens: 1e6, Batch: 12, GapBase: gapBase, GapStep: gapStep})
			}
		})
	}
}
