// Package relay distributes the changes of a collection to many processes through few watches of
// its source. Some processes of a fleet, the relays, watch the source. The other processes poll a
// relay, and call the source only if no relay answers.
//
// Without relays, one change wakes the watch of every process, so that the number of calls to the
// source is the product of changes and processes. With 68 processes, half of all calls of a quiet
// day were caused by upstreams that registered one after the other.
//
// A process gets through a relay exactly what the source reported, with the source's revisions: a
// relay holds the newest change of each member, and returns the changes after the revision that a
// process asks for. It reports how long ago the source confirmed the answer, and answers only while
// that is at most MaxAge. In a large fleet, intermediate processes between the relays and the
// remaining processes answer while it is at most MaxRelayedAge. So a copy is older than one from a
// direct watch by at most that age and a round trip, even if a relay is cut off from the source. A
// relay that is frozen or has been removed is detected by the poll that it does not answer. A relay
// stores nothing persistently: it lists the source when it starts.
//
// # Usage
//
//	fleet := relay.Fleet{Self: "front-1", SelfAddr: addr, Seeds: seeds}
//	fleet.SetSeedPeers(recorded) // the relays on record, asked until the members are known
//	replica := &relay.Replica[roster.Server]{}
//	source := relay.Source[roster.Server]{Name: "upstreams", Origin: store, Replica: replica, Fleet: &fleet, Log: log}
//	mux.Handle("GET "+relay.URLPrefix+"upstreams", relay.Handler(replica)) // serves other processes
//	fleet.SetMembers(members, true)                                   // after each reading of the members
//	f := feed.Feed[roster.Server]{Source: source, ...}
package relay

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/clock"
	"jacinthworks/feed"
	"jacinthworks/group"
)

const (
	// relayWatchTimeout is how long a relay's watch of the source waits for a change, less the age
	// of its copy. Each answer, with or without changes, confirms that the relay is fresh.
	relayWatchTimeout = time.Second
	// MaxAge is the maximum age of the last answer from the source with which a relay answers
	// other processes. It allows for one watch and for a source that takes most of a second
	// to answer.
	MaxAge = relayWatchTimeout + 800*time.Millisecond
	// MaxRelayedAge is the maximum age of the last answer from the source with which an
	// intermediate process, which gets changes from a relay, answers other processes. One
	// poll of the relay may add PollTimeout and pollGrace to MaxAge.
	MaxRelayedAge = MaxAge + PollTimeout + pollGrace
	// PollTimeout is how long a poll of a relay waits for a change, and pollGrace how much
	// longer the answer may take. After that time a frozen relay is detected, well within the
	// seconds in which a change must be in force.
	PollTimeout = time.Second
	pollGrace   = 500 * time.Millisecond
	// listTimeout is how long a relay that has just started may take for its own list.
	listTimeout = 400 * time.Millisecond
	// refusedRetryTime is how long a list is retried while the relays refuse connections,
	// because their hosts run and their processes do not yet. refusedRetryInterval is the
	// mean time between two attempts.
	refusedRetryTime     = 500 * time.Millisecond
	refusedRetryInterval = 40 * time.Millisecond
	// staleRetryTime is how long relays that are not fresh are polled again before this
	// process calls the source itself, and staleRetryInterval the mean time between two polls.
	// If the source breaks off waiting watches or has dropped its history, the relays are
	// fresh again within about 100 ms. If every process called the source meanwhile, the
	// source would get as many calls as there are processes.
	staleRetryTime     = 500 * time.Millisecond
	staleRetryInterval = 150 * time.Millisecond
	// firstWatchTimeout is how long the watch of a relay waits if the source has not answered
	// this process yet. It is short because until the answer the relay serves no process.
	firstWatchTimeout = 10 * time.Millisecond
	// directInterval is the time between two calls of this process to the source while the
	// relays answer that they are not fresh. Without it, every process would call an
	// unreachable source several times a second. The relays continue to call the source and
	// report its recovery at once; the calls that remain cover a source that refuses only
	// the relays.
	directInterval = 2 * time.Second
)

// boottime is the clock that measures the age of answers. Tests replace it.
var boottime = clock.Boottime

// ErrStale means that a relay's copy was not confirmed by the source recently enough.
var ErrStale = errors.New("relay: not fresh")

// Source is a feed.Source that asks relays first and Origin if no relay answers.
type Source[T any] struct {
	// Name is the name of the collection in log lines and in the URL path of relays.
	Name    string
	Origin  feed.Source[T]
	Replica *Replica[T]
	Fleet   *Fleet
	Log     hclog.Logger
}

// List returns the whole collection from a relay. If this process is a relay, or if no relay
// answers, List returns a page from the source. When many processes start at once, or after the
// source has dropped its history, lists of the source by every process would cost it calls and
// bytes in proportion to the product of processes and members.
func (s Source[T]) List(ctx context.Context, after string, stale bool) (feed.Page[T], error) {
	plan := s.Fleet.plan(boottime())
	if after == "" && !plan.noRelays && !plan.isRelay {
		if p, ok := s.listFromRelays(ctx); ok {
			return p, nil
		}
	}
	// Other processes list at a relay, so its own list must not be old.
	stale = stale && !plan.isRelay
	sent := boottime()
	p, err := s.Origin.List(ctx, after, stale)
	if err == nil {
		s.Replica.ApplyListPage(sent, after == "", stale, p)
	}
	return p, err
}

// ConfirmedAt returns the time up to which the last answer has all changes of the source; zero if that is not
// known. It makes Source a feed.Confirmer.
func (s Source[T]) ConfirmedAt() time.Time { return s.Replica.ConfirmedAt() }

// listFromRelays lists the collection at the relays. It retries for refusedRetryTime while relays
// refuse connections. The bool reports whether a relay answered.
func (s Source[T]) listFromRelays(ctx context.Context) (feed.Page[T], bool) {
	start := boottime()
	for {
		result, err := Hedge(ctx, HedgeDelay, s.Fleet.plan(boottime()).peers, s.listFromPeer)
		page := result.page
		elapsed := boottime().Sub(start)
		switch {
		case err == nil:
			s.Replica.ApplySnapshot(result.confirmedAt, page)
			s.Log.Info("collection listed by a relay", "feed", s.Name, "members", len(page.Items), "revision", page.Revision.String(), "took", elapsed)
			return page, true
		case !errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || elapsed > refusedRetryTime:
			s.Log.Info("collection not listed by relays", "feed", s.Name, "err", err, "took", elapsed)
			return feed.Page[T]{}, false
		}
		group.Sleep(ctx, refusedRetryInterval/2+rand.N(refusedRetryInterval))
	}
}

// relayedPage is a collection from a relay, and the time at which the source confirmed it.
type relayedPage[T any] struct {
	page        feed.Page[T]
	confirmedAt time.Time
}

// listFromPeer lists the collection at one relay. A relay at an earlier revision than this process
// is an error.
func (s Source[T]) listFromPeer(ctx context.Context, p *Peer) (relayedPage[T], error) {
	page, confirmedAt, err := list[T](ctx, p, s.Name, listTimeout)
	switch {
	case err == nil && page.Revision < s.Replica.Revision():
		err = errBehind
	case err == nil:
		p.recordSuccess()
	case errors.Is(err, ErrStale), errors.Is(err, syscall.ECONNREFUSED), ctx.Err() != nil:
	default:
		p.recordFailure(boottime())
	}
	return relayedPage[T]{page, confirmedAt}, err
}

// Watch waits for changes after a revision at a relay. If this process is a relay, or if no relay
// answers, Watch waits at the source.
func (s Source[T]) Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[T], feed.Revision, error) {
	plan := s.Fleet.plan(boottime())
	if plan.noRelays {
		s.Replica.setSender(s.Log, s.Name, "", false, "no relays")
		return s.watchOrigin(ctx, after, wait)
	}
	if plan.isRelay {
		s.Replica.setSender(s.Log, s.Name, "", true, "is a relay")
		return s.watchOrigin(ctx, after, min(wait, s.Replica.sourceWatchTimeout(boottime())))
	}
	changes, at, err := s.pollRelays(ctx, after, wait)
	retryUntil := plan.retryUntil(boottime())
	for errors.Is(err, ErrStale) && boottime().Before(retryUntil) && s.Replica.mayAskSource(boottime()) && ctx.Err() == nil {
		group.Sleep(ctx, staleRetryInterval/2+rand.N(staleRetryInterval))
		pollStart := boottime()
		changes, at, err = s.pollRelays(ctx, after, wait)
		if now := boottime(); now.Sub(pollStart) > staleRetryInterval {
			retryUntil = plan.retryUntil(now) // a relay was fresh for a part of this poll
		}
	}
	switch {
	case err == nil, errors.Is(err, feed.ErrCompacted), ctx.Err() != nil:
		return changes, at, err
	case errors.Is(err, ErrStale) && !s.Replica.mayAskSource(boottime()):
		return nil, 0, errors.Wrap(err, "relay: all relays answer that they are not fresh")
	}
	s.Replica.setSender(s.Log, s.Name, "", false, err.Error())
	return s.watchOrigin(ctx, after, min(wait, relayWatchTimeout))
}

// errAllInBackoff means that all relays are in backoff after failures.
var errAllInBackoff = errors.New("relay: all relays are in backoff")

// pollRelays polls the relays for changes, one after the other, until one answers. ErrStale means
// that all relays answer and none is fresh, feed.ErrCompacted that the collection must be listed.
func (s Source[T]) pollRelays(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[T], feed.Revision, error) {
	plan := s.Fleet.plan(boottime())
	lastErr := errAllInBackoff
	allStale := plan.noneInBackoff && len(plan.peers) > 0
	for _, p := range plan.peers {
		answer, err := poll[T](ctx, p, s.Name, after, min(wait, PollTimeout))
		switch {
		case err == nil:
			p.recordSuccess()
			s.Replica.ApplyRelayed(answer.confirmedAt, after, answer.changes, answer.revision)
			s.Replica.setSender(s.Log, s.Name, string(p.Name), false, "answers")
			return answer.changes, answer.revision, nil
		case ctx.Err() != nil, errors.Is(err, feed.ErrCompacted):
			return nil, 0, err
		case !errors.Is(err, ErrStale):
			p.recordFailure(boottime())
			allStale = false
		}
		lastErr = err
	}
	if !allStale && errors.Is(lastErr, ErrStale) {
		return nil, 0, errors.Errorf("%v; other relays do not answer", lastErr)
	}
	return nil, 0, lastErr
}

// sourceGrace is how much longer than the wait of a watch the source may take to answer.
const sourceGrace = 800 * time.Millisecond

// watchOrigin watches the source and applies its answer to the replica.
func (s Source[T]) watchOrigin(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Change[T], feed.Revision, error) {
	watchCtx, cancel := context.WithTimeout(ctx, wait+sourceGrace)
	defer cancel()
	sent := boottime()
	changes, at, err := s.Origin.Watch(watchCtx, after, wait)
	received := boottime()
	switch {
	case errors.Is(err, feed.ErrEraChanged), errors.Is(err, feed.ErrTooLarge):
		return nil, 0, err // the source answers, and the caller lists it next
	case err != nil:
		s.Replica.MarkSourceLost(boottime())
		return nil, 0, err
	}
	s.Replica.ApplyWatch(feed.ConfirmedAt(sent, received, wait, len(changes)), after, changes, at)
	return changes, at, nil
}
