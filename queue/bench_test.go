package queue

import (
	"fmt"
	"testing"
	"time"

	"jacinthworks/domain"
)

// BenchmarkQueue measures enqueueing and dequeueing an item, with the given number
// of callers that each have one item waiting.
func BenchmarkQueue(b *testing.B) {
	for _, callers := range []int{9, 290, 2100} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			q := Queue{Limits: Limits{MaxItems: 4 * callers}}
			source := random()
			items := make([]Item, callers)
			for n := range items {
				items[n] = item(n, domain.Account(fmt.Sprint(n)), 100+source.IntN(20_000))
				items[n].Priority = n % PriorityCount
				items[n].Deadline = start.Add(time.Hour)
				q.Enqueue(start, items[n], source)
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				i, _ := q.Dequeue(now, AnyPrompt)
				i.Deadline = now.Add(time.Hour)
				if v := q.Enqueue(now, i, source); v.Refusal != nil {
					b.Fatal(v.Refusal)
				}
			}
		})
	}
}
