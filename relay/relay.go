// Package relay brings the changes of a collection to many processes through few
// watches of its source. Some processes of a fleet, the relays, watch the source
// themselves; the others ask a relay, and the source only where no relay answers.
//
// Load pattern: one change wakes the watch of every process, so that the calls to
// the source are the product of changes and processes. With 68 processes half of
// all calls of a quiet day were for upstreams that registered one after the other.
//
// What a process learns through a relay is what the source said, in the source's
// revisions: a relay holds the newest change of each member since its own list, and
// gives those after the revision that the other names. It answers only while it
// has heard from the source itself within Fresh. So a copy is at most Fresh and a
// round trip older than one that is watched directly, also where the relay is cut
// off from the source; a relay that is frozen, or gone, is found by the poll that
// it does not answer. Nothing that a relay holds is kept anywhere: each process
// that starts lists the source itself.
//
// # Usage
//
//	fleet := relay.Fleet{Self: "front-1"}
//	hub := &relay.Hub[roster.Server]{}
//	source := relay.Source[roster.Server]{Name: "upstreams", Direct: store, Hub: hub, Fleet: &fleet, Log: log}
//	mux.Handle("GET "+relay.Path+"upstreams", relay.Handler(hub)) // where the others ask
//	fleet.Set(members, true)                                      // whenever the members are read
//	f := feed.Feed[roster.Server]{Source: source, ...}
package relay

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/lease"
)

const (
	// relayWait is how long a relay's watch of the source waits: the answer, with
	// or without changes, is what its freshness is counted from.
	relayWait = time.Second
	// Fresh is the age of its last answer from the source up to which a relay
	// answers others: a watch, and a source that takes most of a second to answer.
	Fresh = relayWait + 800*time.Millisecond
	// PollWait is how long a poll of a relay waits for a change, and pollPatience
	// what the answer may take beyond it: by then a frozen relay is found, well
	// within the seconds in which a change is to be in force.
	PollWait     = time.Second
	pollPatience = 500 * time.Millisecond
	// directEvery is the time between two calls to the source while relays answer
	// that the source does not answer them.
	//
	// Load pattern: the source is away, and every process asks it several times a
	// second. Relays, which go on asking, tell of its return at once; the calls
	// left are for a source that turns just the relays away.
	directEvery = 2 * time.Second
)

// ErrStale says that a relay can't vouch for what it holds.
var ErrStale = errors.New("relay: not fresh")

// Source is a collection's source that asks relays first.
type Source[T any] struct {
	// Name is the collection's, in the log and among the processes.
	Name   string
	Direct feed.Source[T]
	Hub    *Hub[T]
	Fleet  *Fleet
	Log    hclog.Logger
}

// List gives a page from the source itself.
func (s Source[T]) List(ctx context.Context, after string, stale bool) (feed.Page[T], error) {
	p, err := s.Direct.List(ctx, after, stale)
	if err == nil {
		s.Hub.Listed(lease.Boottime(), after == "", stale, p)
	}
	return p, err
}

// Watch waits for changes at a relay or, for a relay and where none answers, at
// the source.
func (s Source[T]) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[T], feed.Revision, error) {
	now := lease.Boottime()
	plan := s.Fleet.plan(now)
	if plan.alone {
		s.Hub.from(s.Log, s.Name, "", false, "no relays")
		return s.direct(ctx, after, wait)
	}
	why := "is a relay"
	if !plan.self {
		why = "all relays rest"
	}
	for _, p := range plan.ask {
		changes, at, err := poll[T](ctx, p, s.Name, after, min(wait, PollWait))
		switch {
		case err == nil:
			p.answered()
			s.Hub.Relayed(after, changes, at)
			s.Hub.from(s.Log, s.Name, string(p.Name), false, "answers")
			return changes, at, nil
		case ctx.Err() != nil:
			return nil, 0, err
		case errors.Is(err, feed.ErrHistory):
			// It started later than this process. The source still knows.
			plan.stale = false
		case !errors.Is(err, ErrStale):
			p.failed(lease.Boottime())
			plan.stale = false
		}
		why = err.Error()
	}
	if !plan.self && plan.stale && !s.Hub.mayAsk(lease.Boottime()) {
		return nil, 0, errors.Wrap(ErrStale, "relay: all relays")
	}
	s.Hub.from(s.Log, s.Name, "", plan.self, why)
	return s.direct(ctx, after, min(wait, relayWait))
}

// directPatience is what the source may take beyond the wait of a watch.
const directPatience = 800 * time.Millisecond

func (s Source[T]) direct(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[T], feed.Revision, error) {
	within, cancel := context.WithTimeout(ctx, wait+directPatience)
	defer cancel()
	changes, at, err := s.Direct.Watch(within, after, wait)
	switch {
	case errors.Is(err, feed.ErrEra):
		return nil, 0, err // it answers, and is listed next
	case err != nil:
		s.Hub.Lost(lease.Boottime())
		return nil, 0, err
	}
	s.Hub.Watched(lease.Boottime(), after, changes, at)
	return changes, at, nil
}
