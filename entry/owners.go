package entry

import (
	"encoding/json"
	"sync"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/peers"
	"jacinthworks/wire"
)

// owners holds the owner of each shard of each service, as reported by the sides. The
// report with the newest epoch counts. The contents are a hint: a side that does not own
// a shard refuses claims for it. The zero value is ready to use. Its lock is a leaf lock:
// no other lock is acquired while it is held.
type owners struct {
	mu  sync.Mutex
	all map[shardKey]ownerReport
}

type shardKey struct {
	service domain.Service
	shard   claim.Shard
}

type ownerReport struct {
	host     domain.Host
	epoch    claim.Epoch
	complete bool
}

// update applies a side's list of the shards that it owns.
func (o *owners) update(from domain.Host, list wire.OwnedShards) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[shardKey]ownerReport)
	}
	for _, s := range list.Shards {
		at := shardKey{service: list.Service, shard: s.Shard}
		if seen := o.all[at]; !s.Epoch.Less(seen.epoch) {
			o.all[at] = ownerReport{host: from, epoch: s.Epoch, complete: s.Complete}
		}
	}
}

// host returns the reported owner of a shard, or "" if none was reported.
func (o *owners) host(s domain.Service, n claim.Shard) domain.Host {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.all[shardKey{service: s, shard: n}].host
}

// complete reports whether every shard of the service has an owner that grants claims.
func (o *owners) complete(s domain.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n := range claim.Shards {
		if !o.all[shardKey{service: s, shard: claim.Shard(n)}].complete {
			return false
		}
	}
	return true
}

// ownerOf returns the link to the owner of the shard of the request's key, or nil if it
// is not connected.
func (e *Entry) ownerOf(r *request) *peers.Link {
	l := e.sides.Find(e.owners.host(r.service, r.claimKey().Shard()))
	if l == nil || l.Peer() == nil {
		return nil
	}
	return l
}

// handleOwned handles a side's notification of the shards that it owns.
func (e *Entry) handleOwned(from domain.Host, params json.RawMessage) {
	var list wire.OwnedShards
	if json.Unmarshal(params, &list) == nil {
		e.owners.update(from, list)
	}
}
