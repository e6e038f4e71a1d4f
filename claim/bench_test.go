package claim

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// benchRequest returns a claim request of the size that entries send: a UUID as key and a
// request ID that contains the entry's name.
func benchRequest(i int, runner Process) Request {
	return Request{Key: Key{Account: "tollygunge", Name: fmt.Sprintf("%032x-key", i)},
		Attempt: AttemptID{Request: domain.RequestID("entry-12.1764700000." + strconv.Itoa(i)), Attempt: 1},
		Body:    BodyHash(i), Runner: runner}
}

func benchOwner(t require.TestingT) (*Owner, Process) {
	f := newFleet(t, 9)
	o := &f.owner(0).shards[0].owner
	o.Limits.MaxKeys = 1 << 30
	return o, o.runnerSets[0].eligible[0]
}

func BenchmarkClaim(b *testing.B) {
	o, runner := benchOwner(b)
	asks := make([]Request, b.N)
	for i := range asks {
		asks[i] = benchRequest(i, runner)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range asks {
		if _, err := o.Claim(asks[i], modelNow); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAccept(b *testing.B) {
	r := Runner{Self: Process{"side-1", 1}, Limits: Limits{MaxKeys: 1 << 30}}
	list := make([]Dispatch, b.N)
	for i := range list {
		request := benchRequest(i, r.Self)
		list[i] = Dispatch{Token: Token{Key: request.Key, Epoch: Epoch{1, 0}}, Attempt: request.Attempt, Body: request.Body, To: r.Self}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range list {
		if err := r.Accept(list[i], modelNow); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClaimRefused measures a claim that is refused because its key is in progress, as
// in a burst of requests with one key.
func BenchmarkClaimRefused(b *testing.B) {
	o, runner := benchOwner(b)
	request := benchRequest(1, runner)
	_, err := o.Claim(request, modelNow)
	require.NoError(b, err)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := o.Claim(request, modelNow); err == nil {
			b.Fatal("granted twice")
		}
	}
}

// BenchmarkBytesPerKey reports the bytes that one key, with its strings, takes in an
// owner's memory and in a JSON message.
func BenchmarkBytesPerKey(b *testing.B) {
	const keys = 32768
	var memory, message float64
	for range b.N {
		o, runner := benchOwner(b)
		before := liveHeapBytes()
		for i := range keys {
			if _, err := o.Claim(benchRequest(i, runner), modelNow); err != nil {
				b.Fatal(err)
			}
		}
		memory += (liveHeapBytes() - before) / keys
		message += jsonBytes(b, o) / keys
	}
	b.ReportMetric(memory/float64(b.N), "owner_B/key")
	b.ReportMetric(message/float64(b.N), "message_B/key")
}

func jsonBytes(t require.TestingT, o *Owner) float64 {
	text, err := json.Marshal(o.keys.entries(modelNow, nil))
	require.NoError(t, err)
	o.keys = nil
	return float64(len(text))
}

// liveHeapBytes returns the bytes of live heap objects. It collects garbage twice, because
// sync.Pool releases its contents only in the second cycle.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkTakeover measures a successor that merges the lists of six runners with 341 keys
// each: one shard of 2,048 keys, or 131,072 keys over all shards.
func BenchmarkTakeover(b *testing.B) {
	f := newFleet(b, 9)
	runners := f.record.Eligible(0)
	var replies []FenceReply
	for i, p := range runners {
		r := FenceReply{Epoch: Epoch{1, 1}, Runner: p, PreviousFence: Epoch{1, 0}, RestoredVersion: 1}
		for j := range 341 {
			request := benchRequest(i*341+j, p)
			r.Entries = append(r.Entries, ListedKey{Key: request.Key, Attempt: request.Attempt, Runner: p, State: StateRan})
		}
		replies = append(replies, r)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		o := Owner{Self: f.record.Ranked(0)[1].Process()}
		require.NoError(b, o.Start(f.record, modelNow))
		for _, r := range replies {
			o.HandleFenceReply(r, modelNow)
		}
		if _, complete := o.Epoch(); !complete {
			b.Fatal("view is not complete")
		}
	}
}

func BenchmarkRanked(b *testing.B) {
	f := newFleet(b, 9)
	b.ReportAllocs()
	for i := range b.N {
		f.record.Ranked(Shard(i % Shards))
	}
}

// BenchmarkApplyRecord measures a member that applies a record with MaxPast past
// generations and continues to own its shards.
func BenchmarkApplyRecord(b *testing.B) {
	f := newFleet(b, 9)
	for range MaxPast {
		next := f.record.Next(f.record.Members)
		next.Version = f.record.Version + 1
		f.record = next
	}
	text, err := json.Marshal(f.record)
	require.NoError(b, err)
	ledger := f.ledgers["side-0"]
	b.ResetTimer()
	for range b.N {
		f.record.Version++
		_, err := ledger.Apply(f.record, modelNow)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(ledger.OwnedShards())), "shards")
	b.ReportMetric(float64(len(text)), "record_B")
}
