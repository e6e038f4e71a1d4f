package claim

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
)

// referenceModel is the expected behaviour without failures: one map.
type referenceModel map[Key]*referenceKey

type referenceKey struct {
	grant Grant
	body  BodyHash
	ran   bool
}

// expectedCode returns the code with which a claim must be refused; empty if it must be granted.
func (m referenceModel) expectedCode(k Key, body BodyHash) Code {
	known, listed := m[k]
	switch {
	case !listed:
		return ""
	case known.body != body:
		return CodeOtherBody
	case known.ran:
		return CodeAlreadyRan
	}
	return CodeInProgress
}

// Without failures, any sequence of sends, settlements, planned stops, unnecessary
// takeovers and new records gives callers the same results as one map.
func TestLedgersMatchReferenceMapWithoutFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		f, n, attempts := newFleet(r, 5), referenceModel{}, 0
		key := rapid.Custom(func(r *rapid.T) Key {
			return Key{Account: "stud", Name: rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(r, "name")}
		})
		r.Repeat(map[string]func(*rapid.T){
			"send": func(r *rapid.T) {
				k, body := key.Draw(r, "key"), BodyHash(rapid.IntRange(1, 2).Draw(r, "body"))
				attempts++
				want := n.expectedCode(k, body)
				g, err := f.send(k, testAttempt(attempts), body, rapid.IntRange(0, 9).Draw(r, "runner"))
				if want != "" {
					requireCode(r, want, err)
					return
				}
				require.NoError(r, err)
				n[k] = &referenceKey{grant: g, body: body}
			},
			"end": func(r *rapid.T) {
				k := key.Draw(r, "key")
				old, listed := n[k]
				if !listed || old.ran {
					r.Skip("not running")
				}
				if old.ran = rapid.Bool().Draw(r, "ran"); old.ran {
					f.settle(old.grant, StateRan)
					return
				}
				f.settle(old.grant, StateNotRun)
				delete(n, k)
			},
			"planned stop": func(r *rapid.T) {
				s := key.Draw(r, "key").Shard()
				old := f.owner(s)
				rank, _ := f.record.Rank(s, old.Self)
				heir := f.record.Ranked(s)[(int(rank)+1)%len(f.record.Members)].Process()
				out, err := old.Retire(s, heir, f.now)
				require.NoError(r, err)
				f.deliver(out)
			},
			"takeover": func(r *rapid.T) {
				s := key.Draw(r, "key").Shard()
				m := rapid.SampledFrom(f.record.Members).Draw(r, "member")
				out, err := f.ledgers[m.Host].TakeOver(s, f.now)
				require.NoError(r, err)
				f.deliver(out)
			},
			"record": func(r *rapid.T) {
				next := f.record.Next(f.record.Members)
				next.Version = f.record.Version + 1
				f.publish(next)
			},
		})
	})
}

// Eight entries concurrently send the same thousand keys to the owners and runners. Exactly
// one runner accepts each key, once.
func TestLedgersAcceptEachKeyOnceUnderConcurrentEntries(t *testing.T) {
	f := newFleet(t, 9)
	owners := map[Shard]*Ledger{}
	for s := Shard(0); s < Shards; s++ {
		owners[s] = f.owner(s)
	}
	var accepted atomic.Int64
	var entries sync.WaitGroup
	for e := range 8 {
		entries.Go(func() {
			for i := range 1000 {
				k := Key{Account: "stud", Name: string(rune('a'+i%26)) + string(rune('0'+i/26))}
				runners := f.record.Eligible(k.Shard())
				request := Request{Key: k, Attempt: AttemptID{Request: domain.RequestID(rune('0' + e)), Attempt: domain.Attempt(i)},
					Runner: runners[(e+i)%len(runners)]}
				g, err := owners[k.Shard()].Claim(request, f.now)
				if err == nil && f.accept(g, 0) == nil {
					accepted.Add(1)
				}
			}
		})
	}
	entries.Wait()
	require.EqualValues(t, 1000, accepted.Load())
}
