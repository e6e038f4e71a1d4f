package side

import (
	"encoding/json"
	"sync"
	"time"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/peers"
	"jacinthworks/wire"
)

// Times of claims. None of them bears on safety, which rests on fences alone;
// they set how soon a shard is served again. A member that owns nothing waits
// for a lost owner's heartbeats to be missed (0.8 s) and takeOverAfter, longer
// by takeOverStep for each rank before its own, so that one and not all of
// them takes over.
const (
	claimEvery    = 100 * time.Millisecond
	takeOverAfter = 600 * time.Millisecond
	takeOverStep  = 400 * time.Millisecond
	// firstOwnerAfter is the wait where no owner was ever heard of, as when a
	// service starts: long enough to hear of one that there is.
	firstOwnerAfter = 300 * time.Millisecond
	expireEvery     = time.Minute
	claimWithin     = 400 * time.Millisecond
	// retention is how long a key is remembered: a caller's retries over an
	// evening. At the letter's two keyed requests a second and side it is
	// 43,200 keys.
	retention = 6 * time.Hour
	// recordQuiet is how long a record must stand before the book learns it,
	// recordLatest the longest that it waits. A service that starts changes
	// its record a dozen times in a tenth of a second, and each change would
	// move shards on before the last move has arrived.
	recordQuiet  = 150 * time.Millisecond
	recordLatest = time.Second
	// overdueAfter is how long a key may stay granted before its runner is
	// asked what became of it: longer than any deadline in use, since a try
	// that is asked about before it arrives is refused for good.
	overdueAfter = 15 * time.Minute
)

// claims is the side's part in claiming: its book, the other members, and who
// is known to own which shard. Its lock is taken before no other.
type claims struct {
	book    claim.Ledger
	members peers.Directory

	mu     sync.Mutex
	peers  map[*wire.Peer]bool
	owners map[claim.Shard]ownerSeen
	missed map[claim.Shard]time.Time
	told   []claim.Ownership
	// next is the newest record not learned yet.
	next              *claim.Record
	nextAt, nextSince time.Time
	// settled is the version at which nothing was pending any more, gaveBack
	// the time of the last look; only keepClaims uses them.
	settled  uint64
	gaveBack time.Time
	// asked is when another member last asked for something.
	asked time.Time
}

// ownerSeen is the newest owner of a shard that was heard of, and from whom.
type ownerSeen struct {
	host  domain.Host
	epoch claim.Epoch
}

func (s *Side) initClaims() {
	c := &s.claims
	c.book.Self = claim.Process{Host: s.Settings.Name, Incarnation: s.incarnation}
	c.book.Limits = claim.Limits{Retention: retention}
	c.book.Live = c.live
	c.peers = make(map[*wire.Peer]bool)
	c.owners = make(map[claim.Shard]ownerSeen)
	c.missed = make(map[claim.Shard]time.Time)
	local := *s.local()
	local.OnOpen, local.OnClose = nil, nil
	local.HandleNotification = func(p *wire.Peer, method string, params json.RawMessage) {
		var o wire.Owned
		if method == wire.MethodOwned && json.Unmarshal(params, &o) == nil {
			c.hear(p.RemoteHello().Host, o.Shards)
		}
	}
	c.members.Local = &local
}

// live says whether a member may be given a shard: connected, or so new that
// it has not been dialled yet.
func (c *claims) live(p claim.Process) bool {
	l := c.members.Find(p.Host)
	return l != nil && l.Member.Process() == p && (l.Peer() != nil || l.FailedDials() < 2)
}

// opened and closed keep the connections that others made to this side.
func (c *claims) opened(p *wire.Peer, s domain.Service) {
	c.mu.Lock()
	c.peers[p] = true
	c.mu.Unlock()
	_ = p.Notify(wire.MethodOwned, wire.Owned{Service: s, Shards: c.book.Owned()})
}

func (c *claims) closed(p *wire.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, p)
}

// hear notes which shards another member owns.
func (c *claims) hear(from domain.Host, shards []claim.Ownership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(map[claim.Shard]bool, len(shards))
	for _, o := range shards {
		held[o.Shard] = true
		_ = c.book.Superseded(o.Shard, o.Epoch) // errs on a shard that there is not
		if seen := c.owners[o.Shard]; !o.Epoch.Less(seen.epoch) {
			c.owners[o.Shard] = ownerSeen{host: from, epoch: o.Epoch}
		}
	}
	for shard, seen := range c.owners {
		if seen.host == from && !held[shard] {
			c.owners[shard] = ownerSeen{epoch: seen.epoch}
		}
	}
}

// tellOwned tells every connection of the shards owned, when that changed. A
// shard is told as complete once its runners are vouched for, too: an entry
// that has just started waits for that, so that a host lost in a service's
// first second leaves no key in doubt.
func (s *Side) tellOwned(pending claim.Outbox) {
	c := &s.claims
	owned := c.book.Owned()
	for _, r := range pending.Restores {
		for i := range owned {
			if owned[i].Shard == r.Shard {
				owned[i].Complete = false
			}
		}
	}
	c.mu.Lock()
	if equal(owned, c.told) {
		c.mu.Unlock()
		return
	}
	c.told = owned
	c.mu.Unlock()
	c.tell(wire.MethodOwned, wire.Owned{Service: s.Settings.Service, Shards: owned})
}

// tell notifies every process that has connected to this side.
func (c *claims) tell(method string, v any) {
	c.mu.Lock()
	peers := make([]*wire.Peer, 0, len(c.peers))
	for p := range c.peers {
		peers = append(peers, p)
	}
	c.mu.Unlock()
	for _, p := range peers {
		_ = p.Notify(method, v)
	}
}

func equal(a, b []claim.Ownership) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
