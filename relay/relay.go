// Package relay brings the changes of a collection to many processes through few
// watches of its source. Some processes of a fleet, the relays, watch the source
// themselves; the others ask a relay, and the source only where no relay answers.
//
// Load pattern: one change wakes the watch of every process, so that the calls to
// the source are the product of changes and processes. With 68 processes half of
// all calls of a quiet day were for upstreams that registered one after the other.
//
// What a process learns through a relay is what the source said, in the source's
// revisions: a relay holds the newest change of each member, and gives those after the
// revision that the other names. It says how long ago the source told it, and answers only
// while that is within Fresh; in a large fleet, where processes stand between the relays
// and the rest, these answer within MaxRelayedAge. So a copy is at most that and a round trip
// older than one that is watched directly, also where a relay is cut off from the source;
// a relay that is frozen, or gone, is found by the poll that it does not answer. Nothing that a relay holds is kept anywhere: each process
// that starts lists the source itself.
//
// # Usage
//
//	fleet := relay.Fleet{Self: "front-1", SelfAddr: addr, Seeds: seeds}
//	fleet.Seed(recorded) // the relays on record, asked before the members are known
//	hub := &relay.Replica[roster.Server]{}
//	source := relay.Source[roster.Server]{Name: "upstreams", Direct: store, Hub: hub, Fleet: &fleet, Log: log}
//	mux.Handle("GET "+relay.Path+"upstreams", relay.Handler(hub)) // where the others ask
//	fleet.Set(members, true)                                      // whenever the members are read
//	f := feed.Feed[roster.Server]{Source: source, ...}
package relay

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/feed"
	"jacinthworks/group"
	"jacinthworks/lease"
)

const (
	// relayWait is how long a relay's watch of the source waits: the answer, with
	// or without changes, is what its freshness is counted from.
	relayWait = time.Second
	// MaxAge is the age of its last answer from the source up to which a relay
	// answers others: a watch, and a source that takes most of a second to answer.
	MaxAge = relayWait + 800*time.Millisecond
	// MaxRelayedAge is the same for one that was told by another relay: it polls that one
	// for so much longer, at the most.
	MaxRelayedAge = MaxAge + PollTimeout + pollPatience
	// PollTimeout is how long a poll of a relay waits for a change, and pollPatience
	// what the answer may take beyond it: by then a frozen relay is found, well
	// within the seconds in which a change is to be in force.
	PollTimeout  = time.Second
	pollPatience = 500 * time.Millisecond
	// listWait is how long a relay that has just started may take for its own list.
	listWait = 400 * time.Millisecond
	// upWithin is how long relays are tried whose hosts are up and whose processes are
	// not, upAgain the time between two tries.
	upWithin = 500 * time.Millisecond
	upAgain  = 40 * time.Millisecond
	// staleWithin is how long relays that have just lost the source are polled again
	// before it is asked itself, staleAgain the time between two polls.
	//
	// Load pattern: the source breaks off waiting watches, or has forgotten its history.
	// The relays are back within some 100 ms; asked by each process meanwhile, it gets as
	// many calls as there are processes.
	staleWithin = 500 * time.Millisecond
	staleAgain  = 150 * time.Millisecond
	// firstWait is the wait of a watch by a relay that has not heard the source yet: until
	// then it answers nobody.
	firstWait = 10 * time.Millisecond
	// directEvery is the time between two calls to the source while relays answer
	// that the source does not answer them.
	//
	// Load pattern: the source is away, and every process asks it several times a
	// second. Relays, which go on asking, tell of its return at once; the calls
	// left are for a source that turns just the relays away.
	directEvery = 2 * time.Second
)

// boottime is the clock by which the age of what was heard is counted.
var boottime = lease.Boottime

// ErrStale says that a relay can't vouch for what it holds.
var ErrStale = errors.New("relay: not fresh")

// Source is a collection's source that asks relays first.
type Source[T any] struct {
	// Name is the collection's, in the log and among the processes.
	Name    string
	Origin  feed.Source[T]
	Replica *Replica[T]
	Fleet   *Fleet
	Log     hclog.Logger
}

// List gives the collection as a relay has it or, for a relay and where none answers, a
// page from the source itself.
//
// Load pattern: many processes start at once, or the source has forgotten its history.
// Each of them lists all members: at the source, calls and bytes are the product of
// processes and members.
func (s Source[T]) List(ctx context.Context, after string, stale bool) (feed.Page[T], error) {
	plan := s.Fleet.plan(boottime())
	if after == "" && !plan.alone && !plan.self {
		if p, ok := s.listed(ctx); ok {
			return p, nil
		}
	}
	// Others list at a relay: what it lists itself is not to be old.
	stale = stale && !plan.self
	p, err := s.Origin.List(ctx, after, stale)
	if err == nil {
		s.Replica.ApplyListPage(boottime(), after == "", stale, p)
	}
	return p, err
}

// listed asks the relays for the collection, and for a short time those again that are
// not up yet.
func (s Source[T]) listed(ctx context.Context) (feed.Page[T], bool) {
	began := boottime()
	for {
		from, err := Hedge(ctx, HedgeDelay, s.Fleet.plan(boottime()).ask, s.listAt)
		page := from.page
		took := boottime().Sub(began)
		switch {
		case err == nil:
			s.Replica.ApplySnapshot(from.heard, page)
			s.Log.Info("collection listed by a relay", "feed", s.Name, "members", len(page.Items), "revision", page.Revision.String(), "took", took)
			return page, true
		case !errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || took > upWithin:
			s.Log.Info("collection not listed by relays", "feed", s.Name, "err", err, "took", took)
			return feed.Page[T]{}, false
		}
		group.Sleep(ctx, upAgain/2+rand.N(upAgain))
	}
}

// copied is a collection as a relay gave it, and when the source told it.
type copied[T any] struct {
	page  feed.Page[T]
	heard time.Time
}

// listAt asks one relay for the collection.
func (s Source[T]) listAt(ctx context.Context, p *Peer) (copied[T], error) {
	page, heard, err := list[T](ctx, p, s.Name, listWait)
	switch {
	case err == nil && page.Revision < s.Replica.Revision():
		err = errBehind
	case err == nil:
		p.answered()
	case errors.Is(err, ErrStale), errors.Is(err, syscall.ECONNREFUSED), ctx.Err() != nil:
	default:
		p.failed(boottime())
	}
	return copied[T]{page, heard}, err
}

// Watch waits for changes at a relay and, for a relay and where none answers, at
// the source.
func (s Source[T]) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[T], feed.Revision, error) {
	plan := s.Fleet.plan(boottime())
	if plan.alone {
		s.Replica.from(s.Log, s.Name, "", false, "no relays")
		return s.direct(ctx, after, wait)
	}
	if plan.self {
		s.Replica.from(s.Log, s.Name, "", true, "is a relay")
		return s.direct(ctx, after, min(wait, s.Replica.watchWait()))
	}
	changes, at, err := s.polled(ctx, after, wait)
	patience := plan.patience(boottime())
	for errors.Is(err, ErrStale) && boottime().Before(patience) && s.Replica.mayAsk(boottime()) && ctx.Err() == nil {
		group.Sleep(ctx, staleAgain/2+rand.N(staleAgain))
		began := boottime()
		changes, at, err = s.polled(ctx, after, wait)
		if now := boottime(); now.Sub(began) > staleAgain {
			patience = plan.patience(now) // a relay was back meanwhile
		}
	}
	switch {
	case err == nil, errors.Is(err, feed.ErrCompacted), ctx.Err() != nil:
		return changes, at, err
	case errors.Is(err, ErrStale) && !s.Replica.mayAsk(boottime()):
		return nil, 0, errors.Wrap(err, "relay: all relays")
	}
	s.Replica.from(s.Log, s.Name, "", false, err.Error())
	return s.direct(ctx, after, min(wait, relayWait))
}

// errResting says that all relays are left alone for now.
var errResting = errors.New("relay: all relays rest")

// polled asks the relays for changes, one after the other. ErrStale says that all of them
// answer and none hears the source, feed.ErrCompacted that the collection has to be listed.
func (s Source[T]) polled(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[T], feed.Revision, error) {
	plan := s.Fleet.plan(boottime())
	cause := errResting
	allStale := plan.stale && len(plan.ask) > 0
	for _, p := range plan.ask {
		t, err := poll[T](ctx, p, s.Name, after, min(wait, PollTimeout))
		switch {
		case err == nil:
			p.answered()
			s.Replica.ApplyRelayed(t.heard, after, t.changes, t.at)
			s.Replica.from(s.Log, s.Name, string(p.Name), false, "answers")
			return t.changes, t.at, nil
		case ctx.Err() != nil, errors.Is(err, feed.ErrCompacted):
			return nil, 0, err
		case !errors.Is(err, ErrStale):
			p.failed(boottime())
			allStale = false
		}
		cause = err
	}
	if !allStale && errors.Is(cause, ErrStale) {
		return nil, 0, errors.Errorf("%v; others do not answer", cause)
	}
	return nil, 0, cause
}

// directPatience is what the source may take beyond the wait of a watch.
const directPatience = 800 * time.Millisecond

func (s Source[T]) direct(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[T], feed.Revision, error) {
	within, cancel := context.WithTimeout(ctx, wait+directPatience)
	defer cancel()
	changes, at, err := s.Origin.Watch(within, after, wait)
	switch {
	case errors.Is(err, feed.ErrEraChanged):
		return nil, 0, err // it answers, and is listed next
	case err != nil:
		s.Replica.MarkSourceLost(boottime())
		return nil, 0, err
	}
	s.Replica.ApplyWatch(boottime(), after, changes, at)
	return changes, at, nil
}
