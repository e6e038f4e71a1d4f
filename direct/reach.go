package direct

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/pacer"
	"jacinthworks/relay"
)

const (
	// reachPath is the peer endpoint that reports which other entries an entry reaches.
	reachPath = "/v1/reach"
	// maxReachSample is how many other entries are called in each probe, drawn at random:
	// enough to tell which side of a partitioned fleet this entry is on.
	maxReachSample = 16
	// indirectProbeTimeout bounds a probe on behalf of another entry, within the time that
	// the other one waits.
	indirectProbeTimeout = ownerTimeout / 2
)

// reachRequest asks which of some entries the called one reaches.
type reachRequest struct {
	Entries []domain.Host `json:"entries,omitempty"`
}

type reachResponse struct {
	Reached []domain.Host `json:"reached,omitempty"`
}

// watchPeers probes other entries while this one owns a rate limit.
func (s *Server) watchPeers(ctx context.Context) error {
	wake := s.ownerProber.Triggered()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		for ctx.Err() == nil {
			keys := s.ownerProber.Keys(time.Now())
			if len(keys) == 0 {
				break
			}
			s.probePeers(ctx, keys)
			group.Sleep(ctx, pacer.ProbeInterval)
		}
	}
}

// probePeers calls the entries that precede this one as owners of the keys, and then a
// sample of the others, which also probe those that did not answer.
func (s *Server) probePeers(ctx context.Context, keys []string) {
	now := time.Now()
	predecessors := s.allPrecedingOwners(now, keys)
	result := pacer.ProbeResult[domain.Host]{Predecessors: make(map[domain.Host]pacer.PeerState)}
	var unreachable []domain.Host
	for i, a := range callReach(ctx, predecessors, reachRequest{}) {
		name := predecessors[i].Name
		result.Predecessors[name] = peerStateOf(a.err)
		if result.Predecessors[name] == pacer.Unreachable {
			unreachable = append(unreachable, name)
		}
	}
	sample := randomSample(s.peers.fleet.OtherPeers(s.peers.fleet.MemberCount()), maxReachSample)
	for _, a := range callReach(ctx, sample, reachRequest{Entries: unreachable}) {
		switch peerStateOf(a.err) {
		case pacer.Alive:
			result.Answered++
		case pacer.Unreachable:
			result.Unreachable++
		}
		for _, name := range a.Reached {
			result.Predecessors[name] = pacer.Alive
		}
	}
	if s.ownerProber.SetResult(time.Now(), result) {
		s.Log.Info("entries reached", "answered", result.Answered, "silent", result.Unreachable, "before", result.Predecessors, "took", time.Since(now))
	}
}

// peerStateOf classifies the outcome of a call at another entry. An entry that drains, or
// whose host refuses the connection because no process listens, grants nothing; one that is
// cut off is unreachable and may still grant.
func peerStateOf(err error) pacer.PeerState {
	switch {
	case err == nil:
		return pacer.Alive
	case errors.Is(err, errPeerUnavailable), errors.Is(err, syscall.ECONNREFUSED):
		return pacer.Stopped
	}
	return pacer.Unreachable
}

// randomSample returns at most so many of the peers, at random.
func randomSample(all []*relay.Peer, limit int) []*relay.Peer {
	some := slices.Clone(all)
	rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(len(some), limit)]
}

// reachability describes how certain this entry is to be the only one that enforces the
// limit of a key for the fleet.
func (s *Server) reachability(now time.Time, key string) pacer.Reachability {
	return s.ownerProber.Reachability(now, peerNames(s.precedingOwners(now, key)))
}

// precedingOwners returns the entries that precede this one as owners of a key.
func (s *Server) precedingOwners(now time.Time, key string) []*relay.Peer {
	var predecessors []*relay.Peer
	for _, o := range s.peers.fleet.Owners(now, key, math.MaxInt) {
		if o.Peer == nil {
			break
		}
		predecessors = append(predecessors, o.Peer)
	}
	return predecessors
}

// allPrecedingOwners returns the entries that precede this one as owners of any of the
// keys.
func (s *Server) allPrecedingOwners(now time.Time, keys []string) []*relay.Peer {
	var all []*relay.Peer
	for _, key := range keys {
		for _, p := range s.precedingOwners(now, key) {
			if !slices.Contains(all, p) {
				all = append(all, p)
			}
		}
	}
	return all
}

// reachResult is the response of one entry, or the error of the call.
type reachResult struct {
	reachResponse
	err error
}

// callReach calls all given entries at once, and returns the results in their order.
func callReach(ctx context.Context, all []*relay.Peer, call reachRequest) []reachResult {
	var calls group.Group
	answers := make([]reachResult, len(all))
	for i, p := range all {
		calls.Call(ctx, string(p.Name), func(ctx context.Context) error {
			answers[i].err = callPeer(ctx, p, http.MethodPost, reachPath, ownerTimeout, call, &answers[i].reachResponse)
			return nil
		})
	}
	calls.Wait()
	return answers
}

// handleReach probes the given entries on behalf of another entry, and returns the entries
// that answer.
func (s *Server) handleReach(c reachRequest) (a reachResponse, ok bool) {
	var calls group.Group
	var mu sync.Mutex
	for _, p := range s.peers.fleet.OtherPeers(s.peers.fleet.MemberCount()) {
		if !slices.Contains(c.Entries, p.Name) {
			continue
		}
		calls.Call(s.backgroundCtx, string(p.Name), func(ctx context.Context) error {
			if err := callPeer(ctx, p, http.MethodGet, alivePath, indirectProbeTimeout, nil, nil); err != nil {
				return nil // reported by its absence from the response
			}
			mu.Lock()
			defer mu.Unlock()
			a.Reached = append(a.Reached, p.Name)
			return nil
		})
	}
	calls.Wait()
	return a, true
}

// peerNames returns the names of the peers.
func peerNames(all []*relay.Peer) (names []domain.Host) {
	for _, p := range all {
		names = append(names, p.Name)
	}
	return names
}
