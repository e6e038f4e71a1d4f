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

// Timings of shard ownership. Safety depends on fences alone; the timings set
// how soon a shard has an owner again. After an owner crashes, a member waits
// until the owner's heartbeats time out (0.8 s), then takeoverDelay, then
// takeoverRankDelay for each member ranked before it as the shard's owner, so
// that only one member takes over.
const (
	claimInterval     = 100 * time.Millisecond
	takeoverDelay     = 600 * time.Millisecond
	takeoverRankDelay = 400 * time.Millisecond
	// firstOwnerDelay replaces takeoverDelay for a shard for which no owner
	// has been observed, as at the start of a service. It leaves an existing
	// owner enough time to announce itself.
	firstOwnerDelay = 300 * time.Millisecond
	// expiryInterval is the time between two removals of expired keys, and
	// between two checks for overdue keys.
	expiryInterval = time.Minute
	// claimTimeout bounds the calls of one delivery of the claim ledger's
	// messages, and of one check for overdue keys.
	claimTimeout = 400 * time.Millisecond
	// retention is how long an idempotency key is kept: it covers a
	// caller's retries over an evening. At two keyed requests per second
	// per side, a side keeps 43,200 keys.
	retention = 6 * time.Hour
	// recordDebounce is how long a membership record must be unchanged before
	// it is applied; recordMaxDelay is the longest that a record waits. A
	// service that starts changes its record a dozen times in a tenth of a
	// second, and applying each version would move shards again before the
	// previous move has arrived.
	recordDebounce = 150 * time.Millisecond
	recordMaxDelay = time.Second
	// overdueAfter is how long a key may stay granted before its runner is
	// asked for the outcome. It is longer than any deadline in use, because a
	// runner permanently refuses an attempt about which it is asked before the
	// attempt arrives.
	overdueAfter = 15 * time.Minute
)

// claims is the side's state in the claim protocol: its claim ledger, the
// connections to the other members, and the observed owner of each shard. mu
// may be held while the ledger acquires its own lock, never the reverse.
type claims struct {
	ledger  claim.Ledger
	members peers.Directory

	mu              sync.Mutex
	inboundPeers    map[*wire.Peer]bool
	owners          map[claim.Shard]observedOwner
	unownedSince    map[claim.Shard]time.Time
	announcedShards []claim.Ownership
	// pendingRecord is the newest record that is not applied yet, or nil. It
	// was received at pendingAt; pendingSince is when the first record since
	// the last applied one was received.
	pendingRecord           *claim.Record
	pendingAt, pendingSince time.Time
	// settledVersion is the record version for which no message was pending
	// any more; lastReturnCheck is when returnShards last ran. Only keepClaims
	// uses these two fields, without the lock.
	settledVersion  uint64
	lastReturnCheck time.Time
	// lastCall is when this side last received a call of the claim protocol.
	lastCall time.Time
}

// observedOwner is the newest announced owner of a shard. host is empty once
// that owner has announced that it no longer owns the shard.
type observedOwner struct {
	host  domain.Host
	epoch claim.Epoch
}

// initClaims sets the initial state of the claim protocol, and the handlers of
// the connections that this side opens to other members.
func (s *Side) initClaims() {
	state := &s.claims
	state.ledger.Self = claim.Process{Host: s.Settings.Name, Incarnation: s.incarnation}
	state.ledger.Limits = claim.Limits{KeyRetention: retention}
	state.ledger.Reachable = state.mayOwn
	state.inboundPeers = make(map[*wire.Peer]bool)
	state.owners = make(map[claim.Shard]observedOwner)
	state.unownedSince = make(map[claim.Shard]time.Time)
	handlers := *s.handlers()
	handlers.OnOpen, handlers.OnClose = nil, nil
	handlers.HandleNotification = func(peer *wire.Peer, method string, params json.RawMessage) {
		var owned wire.OwnedShards
		if method == wire.MethodOwnedShards && json.Unmarshal(params, &owned) == nil {
			state.observeOwned(peer.RemoteHello().Host, owned.Shards)
		}
	}
	state.members.Local = &handlers
}

// mayOwn reports whether a process may be assigned a shard: it is a member, and
// it is connected or fewer than two dials to it have failed, so that a new
// member that has not been dialed yet is included.
func (c *claims) mayOwn(process claim.Process) bool {
	link := c.members.Find(process.Host)
	return link != nil && link.Member.Process() == process && (link.Peer() != nil || link.FailedDials() < 2)
}

// addInbound registers a connection that another process opened to this side,
// and sends it the shards that this side owns.
func (c *claims) addInbound(peer *wire.Peer, service domain.Service) {
	c.mu.Lock()
	c.inboundPeers[peer] = true
	c.mu.Unlock()
	_ = peer.Notify(wire.MethodOwnedShards, wire.OwnedShards{Service: service, Shards: c.ledger.OwnedShards()})
}

// removeInbound removes a closed connection that another process had opened.
func (c *claims) removeInbound(peer *wire.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inboundPeers, peer)
}

// observeOwned records the complete list of shards that a member announced as
// its own. Shards that the member announced earlier and no longer lists have no
// observed owner afterwards.
func (c *claims) observeOwned(from domain.Host, shards []claim.Ownership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	announced := make(map[claim.Shard]bool, len(shards))
	for _, o := range shards {
		announced[o.Shard] = true
		_ = c.ledger.RecordNewerEpoch(o.Shard, o.Epoch) // fails only for a shard number that does not exist
		if previous := c.owners[o.Shard]; !o.Epoch.Less(previous.epoch) {
			c.owners[o.Shard] = observedOwner{host: from, epoch: o.Epoch}
		}
	}
	for shard, previous := range c.owners {
		if previous.host == from && !announced[shard] {
			c.owners[shard] = observedOwner{epoch: previous.epoch}
		}
	}
}

// announceOwned sends the list of owned shards to every connected process if the
// list has changed. A shard is announced as complete only when no restore
// request for it is pending: an entry that has just started waits for complete
// shards, so that a host that crashes in a service's first second leaves no key
// with an unknown outcome.
func (s *Side) announceOwned(pending claim.Outbox) {
	state := &s.claims
	owned := state.ledger.OwnedShards()
	for _, r := range pending.RestoreRequests {
		for i := range owned {
			if owned[i].Shard == r.Shard {
				owned[i].Complete = false
			}
		}
	}
	state.mu.Lock()
	if sameOwnerships(owned, state.announcedShards) {
		state.mu.Unlock()
		return
	}
	state.announcedShards = owned
	state.mu.Unlock()
	state.notifyAll(wire.MethodOwnedShards, wire.OwnedShards{Service: s.Settings.Service, Shards: owned})
}

// notifyAll sends a notification to every process that has connected to this
// side.
func (c *claims) notifyAll(method string, message any) {
	c.mu.Lock()
	peers := make([]*wire.Peer, 0, len(c.inboundPeers))
	for p := range c.inboundPeers {
		peers = append(peers, p)
	}
	c.mu.Unlock()
	for _, p := range peers {
		_ = p.Notify(method, message)
	}
}

// sameOwnerships reports whether two lists have the same elements in the same order.
func sameOwnerships(a, b []claim.Ownership) bool {
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
