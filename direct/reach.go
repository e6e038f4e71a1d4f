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
	// reachPath is where an entry is asked which others it reaches.
	reachPath = "/v1/reach"
	// reachMost is how many of the others are asked each time, drawn at random: enough
	// to tell a side of a fleet that was cut in two.
	reachMost = 16
	// reachIndirect bounds a call that is made for another entry, within the time that
	// entry waits.
	reachIndirect = keeperWithin / 2
)

// reachCall asks which of some entries another one reaches.
type reachCall struct {
	Entries []domain.Host `json:"entries,omitempty"`
}

type reachAnswer struct {
	Reached []domain.Host `json:"reached,omitempty"`
}

// lookAround looks for other entries while this one counts for all by some key.
func (s *Server) lookAround(ctx context.Context) error {
	woken := s.reach.Triggered()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-woken:
		}
		for ctx.Err() == nil {
			keys := s.reach.Keys(time.Now())
			if len(keys) == 0 {
				break
			}
			s.lookOnce(ctx, keys)
			group.Sleep(ctx, pacer.ProbeInterval)
		}
	}
}

// lookOnce asks those that go before this entry, and then some of the others, which
// also look for those that did not answer.
func (s *Server) lookOnce(ctx context.Context, keys []string) {
	now := time.Now()
	before := s.allBefore(now, keys)
	g := pacer.ProbeResult[domain.Host]{Predecessors: make(map[domain.Host]pacer.PeerState)}
	var missing []domain.Host
	for i, a := range askReach(ctx, before, reachCall{}) {
		name := before[i].Name
		g.Predecessors[name] = presence(a.err)
		if g.Predecessors[name] == pacer.Unreachable {
			missing = append(missing, name)
		}
	}
	sample := drawn(s.peers.fleet.Others(s.peers.fleet.MemberCount()), reachMost)
	for _, a := range askReach(ctx, sample, reachCall{Entries: missing}) {
		switch presence(a.err) {
		case pacer.Alive:
			g.Answered++
		case pacer.Unreachable:
			g.Unreachable++
		}
		for _, name := range a.Reached {
			g.Predecessors[name] = pacer.Alive
		}
	}
	if s.reach.SetResult(time.Now(), g) {
		s.Log.Info("entries reached", "answered", g.Answered, "silent", g.Unreachable, "before", g.Predecessors, "took", time.Since(now))
	}
}

// presence sorts the end of a call at another entry. One that leaves, or whose host
// refuses the connection since no process listens, gives out nothing; one that is cut
// off is silent.
func presence(err error) pacer.PeerState {
	switch {
	case err == nil:
		return pacer.Alive
	case errors.Is(err, errLeaving), errors.Is(err, syscall.ECONNREFUSED):
		return pacer.Stopped
	}
	return pacer.Unreachable
}

// drawn gives at most so many of the entries, at random.
func drawn(all []*relay.Peer, most int) []*relay.Peer {
	some := slices.Clone(all)
	rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(len(some), most)]
}

// standing is how sure this entry is to be the only one that counts by a key.
func (s *Server) standing(now time.Time, key string) pacer.Reachability {
	return s.reach.Reachability(now, names(s.before(now, key)))
}

// before gives the entries that count by a key before this one does.
func (s *Server) before(now time.Time, key string) []*relay.Peer {
	var before []*relay.Peer
	for _, o := range s.peers.fleet.Owners(now, key, math.MaxInt) {
		if o.Peer == nil {
			break
		}
		before = append(before, o.Peer)
	}
	return before
}

// allBefore gives the entries that count before this one does by any of the keys.
func (s *Server) allBefore(now time.Time, keys []string) []*relay.Peer {
	var all []*relay.Peer
	for _, key := range keys {
		for _, p := range s.before(now, key) {
			if !slices.Contains(all, p) {
				all = append(all, p)
			}
		}
	}
	return all
}

// reached is what one entry answered.
type reached struct {
	reachAnswer
	err error
}

// askReach asks the entries at once, and gives the answers in their order.
func askReach(ctx context.Context, all []*relay.Peer, call reachCall) []reached {
	var calls group.Group
	answers := make([]reached, len(all))
	for i, p := range all {
		calls.Go(ctx, string(p.Name), func(ctx context.Context) error {
			answers[i].err = callPeer(ctx, p, http.MethodPost, reachPath, keeperWithin, call, &answers[i].reachAnswer)
			return nil
		})
	}
	calls.Wait()
	return answers
}

// answerReach tells another entry which of those that it misses answer here.
func (s *Server) answerReach(c reachCall) (a reachAnswer, ok bool) {
	var calls group.Group
	var mu sync.Mutex
	for _, p := range s.peers.fleet.Others(s.peers.fleet.MemberCount()) {
		if !slices.Contains(c.Entries, p.Name) {
			continue
		}
		calls.Go(s.workCtx, string(p.Name), func(ctx context.Context) error {
			if err := callPeer(ctx, p, http.MethodGet, alivePath, reachIndirect, nil, nil); err != nil {
				return nil // told by its absence
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

// names gives those of the entries.
func names(all []*relay.Peer) (names []domain.Host) {
	for _, p := range all {
		names = append(names, p.Name)
	}
	return names
}
