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

// TestMain fixes the seed of the rapid tests, so that each run draws the same values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet is a set of ledgers whose messages are delivered at once, except those to and from
// unreachable hosts.
type fleet struct {
	t           require.TestingT
	now         time.Time
	record      Record
	ledgers     map[domain.Host]*Ledger
	unreachable map[domain.Host]bool
}

// newFleet returns n members distributed over three zones under the first record.
func newFleet(t require.TestingT, n int) *fleet {
	f := &fleet{t: t, now: modelNow, ledgers: map[domain.Host]*Ledger{}, unreachable: map[domain.Host]bool{}}
	f.record = Record{Generation: Generation{Version: 1, CreatedObject: true}}
	zones := []domain.Zone{"salt-lake", "new-town", "howrah"}
	for i := range n {
		m := Member{Host: domain.Host(fmt.Sprintf("side-%d", i)), Zone: zones[i%3], Incarnation: 1}
		f.record.Members = append(f.record.Members, m)
		f.ledgers[m.Host] = f.ledger(m)
	}
	f.publish(f.record)
	return f
}

// ledger returns an empty ledger for a member.
func (f *fleet) ledger(m Member) *Ledger {
	return &Ledger{Self: m.Process(), Reachable: func(p Process) bool { return !f.unreachable[p.Host] }}
}

// publish applies a record on all reachable members and delivers their messages.
func (f *fleet) publish(record Record) {
	f.record = record
	for _, m := range record.Members {
		if !f.unreachable[m.Host] {
			out, err := f.ledgers[m.Host].Apply(record, f.now)
			require.NoError(f.t, err)
			f.deliver(out)
		}
	}
	for _, m := range record.Members {
		if !f.unreachable[m.Host] {
			f.deliver(f.ledgers[m.Host].Pending(f.now))
		}
	}
}

// restart publishes a record with a new incarnation of one host, which has an empty ledger.
func (f *fleet) restart(host domain.Host) {
	var list []Member
	for _, m := range f.record.Members {
		if m.Host == host {
			m.Incarnation++
			f.ledgers[host] = f.ledger(m)
		}
		list = append(list, m)
	}
	next := f.record.Next(list)
	next.Version = f.record.Version + 1
	f.publish(next)
}

// deliver passes messages to their receivers, and so on the messages that these send in reply.
func (f *fleet) deliver(out Outbox) {
	for _, o := range out.FenceRequests {
		l := f.ledgers[o.To.Host]
		if f.unreachable[o.To.Host] || f.unreachable[o.Owner.Host] {
			continue
		}
		if reply, err := l.Fence(o, f.now); err == nil {
			next, err := f.ledgers[o.Owner.Host].HandleFenceReply(reply, f.now)
			require.NoError(f.t, err)
			f.deliver(next)
		}
	}
	for _, o := range out.RestoreRequests {
		if f.unreachable[o.To.Host] {
			continue
		}
		if reply, err := f.ledgers[o.To.Host].Restore(o, f.now); err == nil {
			for _, l := range f.ledgers {
				require.NoError(f.t, l.HandleRestoreReply(reply))
			}
		}
	}
	for _, h := range out.Handovers {
		next, accepted, err := f.ledgers[h.Heir.Host].AcceptHandover(h, f.now)
		require.NoError(f.t, err)
		for _, l := range f.ledgers {
			if accepted && l.Self != h.Heir {
				require.NoError(f.t, l.HandoverDelivered(h.Shard))
			}
		}
		f.deliver(next)
	}
}

// owner returns the ledger that owns the shard at the newest epoch among reachable hosts.
func (f *fleet) owner(s Shard) *Ledger {
	var best *Ledger
	var newest Epoch
	for host, l := range f.ledgers {
		for _, o := range l.OwnedShards() {
			if o.Shard == s && !f.unreachable[host] && newest.Less(o.Epoch) {
				best, newest = l, o.Epoch
			}
		}
	}
	return best
}

// claim sends a claim to the key's owner; pick selects the runner among the eligible
// runners.
func (f *fleet) claim(k Key, attempt AttemptID, body BodyHash, pick int) (Grant, error) {
	eligible := f.record.Eligible(k.Shard())
	return f.owner(k.Shard()).Claim(Request{Key: k, Attempt: attempt, Body: body,
		Runner: eligible[pick%len(eligible)]}, f.now)
}

// send claims a key and, if the claim is granted, dispatches the request to the runner.
func (f *fleet) send(k Key, attempt AttemptID, body BodyHash, pick int) (Grant, error) {
	g, err := f.claim(k, attempt, body, pick)
	if err != nil {
		return g, err
	}
	return g, f.accept(g, body)
}

// accept dispatches a granted request to its runner.
func (f *fleet) accept(g Grant, body BodyHash) error {
	d := Dispatch{Token: g.Token, Attempt: g.Attempt, Body: body, To: g.Runner}
	return f.ledgers[g.Runner.Host].Accept(d, f.now)
}

// settle ends an attempt on its runner and sends the resolution to the owner.
func (f *fleet) settle(g Grant, state State) {
	resolution, err := f.ledgers[g.Runner.Host].Settle(g.Token.Key, g.Attempt, state, f.now)
	require.NoError(f.t, err)
	require.NoError(f.t, f.owner(g.Token.Shard).Resolve(resolution, f.now))
}

func testAttempt(n int) AttemptID {
	return AttemptID{Request: domain.RequestID(fmt.Sprintf("entry-1.7.%d", n)), Attempt: 1}
}

// requireCode requires that err is a Refusal with the code, and returns the refusal.
func requireCode(t require.TestingT, want Code, err error) *Refusal {
	var r *Refusal
	require.ErrorAs(t, err, &r)
	require.Equal(t, want, r.Code)
	return r
}
