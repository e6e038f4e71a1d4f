package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// TestMain fixes the seed of the random tests, so that each run is the same.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet is books whose messages arrive at once, but for those of hosts that
// are silent.
type fleet struct {
	t      require.TestingT
	now    time.Time
	record Record
	books  map[domain.Host]*Ledger
	silent map[domain.Host]bool
}

// newFleet gives n members spread over three zones under the first record.
func newFleet(t require.TestingT, n int) *fleet {
	f := &fleet{t: t, now: modelNow, books: map[domain.Host]*Ledger{}, silent: map[domain.Host]bool{}}
	f.record = Record{Generation: Generation{Version: 1, First: true}}
	zones := []domain.Zone{"salt-lake", "new-town", "howrah"}
	for i := range n {
		m := Member{Host: domain.Host(fmt.Sprintf("side-%d", i)), Zone: zones[i%3], Incarnation: 1}
		f.record.Members = append(f.record.Members, m)
		f.books[m.Host] = f.book(m)
	}
	f.publish(f.record)
	return f
}

func (f *fleet) book(m Member) *Ledger {
	return &Ledger{Self: m.Process(), Live: func(p Process) bool { return !f.silent[p.Host] }}
}

// publish lets all members learn a record.
func (f *fleet) publish(rec Record) {
	f.record = rec
	for _, m := range rec.Members {
		if !f.silent[m.Host] {
			out, err := f.books[m.Host].Apply(rec, f.now)
			require.NoError(f.t, err)
			f.deliver(out)
		}
	}
	for _, m := range rec.Members {
		if !f.silent[m.Host] {
			f.deliver(f.books[m.Host].Pending(f.now))
		}
	}
}

// replace publishes the members with another incarnation of one host.
func (f *fleet) replace(host domain.Host) {
	var list []Member
	for _, m := range f.record.Members {
		if m.Host == host {
			m.Incarnation++
			f.books[host] = f.book(m)
		}
		list = append(list, m)
	}
	next := f.record.Next(list)
	next.Version = f.record.Version + 1
	f.publish(next)
}

func (f *fleet) deliver(out Outbox) {
	for _, o := range out.Fences {
		b := f.books[o.To.Host]
		if f.silent[o.To.Host] || f.silent[o.Owner.Host] {
			continue
		}
		if reply, err := b.Fence(o, f.now); err == nil {
			next, err := f.books[o.Owner.Host].Fenced(reply, f.now)
			require.NoError(f.t, err)
			f.deliver(next)
		}
	}
	for _, o := range out.Restores {
		if f.silent[o.To.Host] {
			continue
		}
		if reply, err := f.books[o.To.Host].Restore(o, f.now); err == nil {
			for _, b := range f.books {
				require.NoError(f.t, b.Restored(reply))
			}
		}
	}
	for _, h := range out.Handovers {
		next, taken, err := f.books[h.To.Host].AcceptHandover(h, f.now)
		require.NoError(f.t, err)
		for _, b := range f.books {
			if taken && b.Self != h.To {
				require.NoError(f.t, b.Delivered(h.Shard))
			}
		}
		f.deliver(next)
	}
}

// owner gives the book that owns the shard at the newest epoch.
func (f *fleet) owner(s Shard) *Ledger {
	var best *Ledger
	var newest Epoch
	for host, b := range f.books {
		for _, o := range b.Owned() {
			if o.Shard == s && !f.silent[host] && newest.Less(o.Epoch) {
				best, newest = b, o.Epoch
			}
		}
	}
	return best
}

// claim asks the key's owner, and gives the runner too.
func (f *fleet) claim(k Key, try AttemptID, body Body, pick int) (Grant, error) {
	eligible := f.record.Eligible(k.Shard())
	return f.owner(k.Shard()).Claim(Request{Key: k, Try: try, Body: body,
		Runner: eligible[pick%len(eligible)]}, f.now)
}

// send claims a key and, when granted, dispatches it.
func (f *fleet) send(k Key, try AttemptID, body Body, pick int) (Grant, error) {
	g, err := f.claim(k, try, body, pick)
	if err != nil {
		return g, err
	}
	return g, f.accept(g, body)
}

func (f *fleet) accept(g Grant, body Body) error {
	d := Dispatch{Token: g.Token, Try: g.Try, Body: body, To: g.Runner}
	return f.books[g.Runner.Host].Accept(d, f.now)
}

// settle ends a try on its runner and tells the owner.
func (f *fleet) settle(g Grant, state State) {
	res, err := f.books[g.Runner.Host].Settle(g.Token.Key, g.Try, state, f.now)
	require.NoError(f.t, err)
	require.NoError(f.t, f.owner(g.Token.Shard).Resolve(res, f.now))
}

func try(n int) AttemptID {
	return AttemptID{Request: domain.RequestID(fmt.Sprintf("entry-1.7.%d", n)), Attempt: 1}
}

func requireCode(t require.TestingT, want Code, err error) *Refusal {
	var r *Refusal
	require.ErrorAs(t, err, &r)
	require.Equal(t, want, r.Code)
	return r
}
