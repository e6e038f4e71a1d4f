package trace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jacinthworks/domain"
)

// BenchmarkRecord measures recording the five events of an entry's span, including
// TakePending.
func BenchmarkRecord(b *testing.B) {
	var r Recorder
	b.ReportAllocs()
	for n := range b.N {
		entry, _, _ := appraisalEvents(uint64(n))
		recordAll(&r, entry)
		if n%FlushSpans == 0 {
			r.TakePending()
		}
	}
}

// BenchmarkFixture measures the cost of building the events of BenchmarkRecord.
func BenchmarkFixture(b *testing.B) {
	b.ReportAllocs()
	for n := range b.N {
		entry, _, _ := appraisalEvents(uint64(n))
		_ = entry
	}
}

// BenchmarkPack measures packing batches of entries' spans into segments.
func BenchmarkPack(b *testing.B) {
	x := rand.New(rand.NewPCG(1, 2))
	side := func() domain.Host { return domain.Host(fmt.Sprintf("side-%d", x.IntN(9))) }
	var batch []*Span
	for n := range FlushSpans {
		entry, _, _ := appraisalEvents(uint64(n))
		entry[0].Caller = domain.Account(fmt.Sprintf("stud-%d", x.IntN(2100)))
		entry[4].Tokens = x.IntN(900)
		for i := range entry { // vary times, upstreams and costs, so that they compress like real spans
			entry[i].Time = start.Add(time.Duration(n*1000+i*20)*time.Millisecond + time.Duration(x.IntN(15e6)))
			entry[i].Upstream, entry[i].Decode = side(), side()
		}
		for range 4 {
			c := Candidate{Host: side(), Cost: time.Duration(x.IntN(1e9))}
			entry[2].Evaluation.Candidates = append(entry[2].Evaluation.Candidates, c)
		}
		s := newSpan(EntrySpan, entry)
		batch = append(batch, &s)
	}
	p := Packer{Host: "entry-1", Incarnation: 3}
	size := 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		segments, err := p.Pack(start, batch)
		if err != nil {
			b.Fatal(err)
		}
		size = 0
		for _, s := range segments {
			size += len(s.Data)
		}
	}
	b.ReportMetric(float64(size)/float64(len(batch)), "bytes/story")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(batch)), "ns/story")
}
