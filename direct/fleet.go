package direct

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/fence"
	"jacinthworks/plat"
	"jacinthworks/roster"
	"jacinthworks/work"
)

const (
	// memberKind is the collection of the entries' records.
	memberKind = "entries/"
	// memberEvery is how often an entry writes its record anew, and
	// memberGone when one that is not written any more counts no longer.
	memberEvery = 30 * time.Second
	memberGone  = 4 * memberEvery
	// memberRetry is the pause after a write that failed.
	memberRetry = 2 * time.Second
	// membersUnknown is among how many entries the budget is shared out until
	// the records were read: more than most deployments have.
	membersUnknown = 32
)

// Member is an entry's record in the platform.
type Member struct {
	Name work.Host `json:"name"`
	// Beat changes with each writing.
	Beat uint64 `json:"beat"`
	// Changing are the engines that this entry has lately told to change their
	// role.
	Changing []Change `json:"changing,omitempty"`
}

// Change is an order to an engine that keeps it away for a time.
type Change struct {
	Upstream roster.ID    `json:"upstream"`
	Fence    fence.Number `json:"fence"`
}

// members counts the entries, among which the fixed number of repeats is
// shared out.
//
// Failure: each of twenty-four entries takes an eighth of the fleet's repeats.
// It shows under faults, as three times as many repeats as the operators allow.
// A record for each entry holds since a lost one counts on for minutes, which
// only makes the others' shares smaller.
type members struct {
	mu    sync.Mutex // a leaf
	seen  map[string]time.Time
	known atomic.Bool
}

// listed takes all records.
func (m *members) listed(now time.Time, all []feed.Item[Member]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]time.Time)
	for _, i := range all {
		seen[i.Name] = now
	}
	m.seen = seen
	m.known.Store(true)
}

// changed takes changed records.
func (m *members) changed(now time.Time, changes []feed.Change[Member]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		if c.Gone {
			delete(m.seen, c.Name)
			continue
		}
		m.seen[c.Name] = now
	}
}

// count gives the number of entries.
func (m *members) count(now time.Time) int {
	if !m.known.Load() {
		return membersUnknown
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for name, at := range m.seen {
		if now.Sub(at) > memberGone {
			delete(m.seen, name)
			continue
		}
		n++
	}
	return max(n, 1)
}

// memberFeed follows the entries' records.
func (s *Server) memberFeed() *feed.Feed[Member] {
	return &feed.Feed[Member]{
		Name: "entries", Source: s.Members, Log: s.Log, Wait: s.Settings.WatchWait,
		Listed: s.membersListed, Changed: s.membersChanged,
	}
}

func (s *Server) membersListed(now time.Time, all []feed.Item[Member]) {
	s.members.listed(now, all)
	for _, i := range all {
		s.heed(now, i.Value)
	}
}

func (s *Server) membersChanged(now time.Time, changes []feed.Change[Member]) {
	s.members.changed(now, changes)
	for _, c := range changes {
		if !c.Gone {
			s.heed(now, c.Value)
		}
	}
}

// register writes this entry's record, from time to time until ctx ends.
func (s *Server) register(ctx context.Context) error {
	if s.Records == nil {
		return nil
	}
	for beat := uint64(1); ctx.Err() == nil; beat++ {
		wait := memberEvery
		if err := s.writeMember(ctx, beat); err != nil {
			s.Log.Debug("own record not written", "err", err)
			wait = memberRetry
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-s.changing.wake():
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// writeMember writes the record over whatever is there: nobody else writes it
// but an earlier start of this entry.
func (s *Server) writeMember(ctx context.Context, beat uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	name := memberKind + string(s.Settings.Name)
	value, err := json.Marshal(Member{Name: s.Settings.Name, Beat: beat, Changing: s.changing.list(time.Now())})
	if err != nil {
		return errors.Wrap(err, "direct: own record")
	}
	old, err := s.Records.Get(ctx, name)
	if err != nil && !errors.Is(err, plat.ErrMissing) {
		return err
	}
	_, err = s.Records.Put(ctx, name, value, old.Version)
	return err
}
