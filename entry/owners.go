package entry

import (
	"encoding/json"
	"sync"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/peers"
	"jacinthworks/wire"
)

// owners is who owns which shard of which service, as the sides say. The
// newest epoch that was heard counts. It is a hint: a side that does not own a
// shard says so. The zero value is ready to use; its lock is a leaf.
type owners struct {
	mu  sync.Mutex
	all map[ownedShard]ownerSeen
}

type ownedShard struct {
	service domain.Service
	shard   claim.Shard
}

type ownerSeen struct {
	host     domain.Host
	epoch    claim.Epoch
	complete bool
}

// hear takes a side's list of what it owns.
func (o *owners) hear(from domain.Host, list wire.Owned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[ownedShard]ownerSeen)
	}
	for _, s := range list.Shards {
		at := ownedShard{service: list.Service, shard: s.Shard}
		if seen := o.all[at]; !s.Epoch.Less(seen.epoch) {
			o.all[at] = ownerSeen{host: from, epoch: s.Epoch, complete: s.Complete}
		}
	}
}

func (o *owners) of(s domain.Service, n claim.Shard) domain.Host {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.all[ownedShard{service: s, shard: n}].host
}

// served says whether every shard of a service has an owner that grants keys.
func (o *owners) served(s domain.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n := range claim.Shards {
		if !o.all[ownedShard{service: s, shard: claim.Shard(n)}].complete {
			return false
		}
	}
	return true
}

// ownerOf gives the link to the owner of the request's shard, if connected.
func (e *Entry) ownerOf(r *request) *peers.Link {
	l := e.sides.Find(e.owners.of(r.service, r.claimKey().Shard()))
	if l == nil || l.Peer() == nil {
		return nil
	}
	return l
}

// takeOwned takes a side's notification.
func (e *Entry) takeOwned(from domain.Host, params json.RawMessage) {
	var list wire.Owned
	if json.Unmarshal(params, &list) == nil {
		e.owners.hear(from, list)
	}
}
