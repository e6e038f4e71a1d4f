// Package feed keeps a copy of a collection that another system holds. It lists the
// collection, watches it for changes, and lists it again when the source no longer has
// the history of changes that a watch needs.
//
// # Usage
//
//	f := feed.Feed[roster.Server]{
//		Name: "servers", Source: source, Log: log,
//		OnList:   func(now time.Time, all []feed.Item[roster.Server]) { ... },
//		OnChange: func(now time.Time, changes []feed.Change[roster.Server]) { ... },
//	}
//	err := f.Run(ctx)
//
// OnConfirm tells up to when the copy has all changes of the source. OnDisconnect and OnReconnect mark
// the start and the end of the time during which the source does not answer; a source that is silent
// counts as answering until a call has failed, so that they do not tell how old the copy is.
package feed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/clock"
	"jacinthworks/epoch"
	"jacinthworks/group"
)

// Revision orders the changes of a collection, including a source that was restored from
// an older snapshot.
type Revision = epoch.Position

// Item is one member of a collection.
type Item[T any] struct {
	Name     string
	Revision Revision
	Value    T
	// DecodeErr is the error that decoding the value returned; Value is not set then. It
	// is nil if the value was decoded.
	DecodeErr error
}

// Page is a part of the list of a collection, as of a revision.
type Page[T any] struct {
	Items    []Item[T]
	Revision Revision
	// More reports whether items follow the last item of the page.
	More bool
}

// Pager collects the pages of a list. The zero value starts a list.
//
// After a failed page, a Pager continues at that page. When every process of a fleet
// starts at once and lists all upstreams in tens of pages, a source with a limit on calls
// per second refuses half of the calls. A list that started again after each refusal
// would never end; one that continues takes only as many successful calls as it has
// pages.
type Pager[T any] struct {
	items    []Item[T]
	revision Revision
	// after is the name after which the next page begins.
	after string
}

// Next reads the next page and reports whether it was the last one. After an error, the
// next call reads the same page again.
func (p *Pager[T]) Next(ctx context.Context, from Source[T], stale bool) (last bool, err error) {
	page, err := from.List(ctx, p.after, stale)
	if err != nil {
		return false, err
	}
	// Pages of different eras belong to different snapshots of the collection.
	if len(p.items) > 0 && page.Revision.Era() != p.revision.Era() {
		*p = Pager[T]{}
		return false, nil
	}
	// Items may change between the reads of two pages; a watch from the lowest revision
	// returns these changes.
	if len(p.items) == 0 || page.Revision < p.revision {
		p.revision = page.Revision
	}
	last = !page.More || len(page.Items) == 0
	after := continueAfter(p.after, page.Items)
	if !last && after == p.after {
		return false, errors.Wrap(ErrMalformed, noProgress)
	}
	p.items, p.after = append(p.items, page.Items...), after
	return last, nil
}

// continueAfter returns the name after which the next page begins: the greatest so far, whatever names
// the items of the page state. It equals after if no item of the page comes later.
func continueAfter[T any](after string, items []Item[T]) string {
	for _, i := range items {
		after = max(after, i.Name)
	}
	return after
}

// ListAll returns all items of a collection. It reads page by page, and returns the first
// error.
func ListAll[T any](ctx context.Context, from Source[T], stale bool) ([]Item[T], error) {
	var p Pager[T]
	for {
		last, err := p.Next(ctx, from, stale)
		if err != nil {
			return nil, err
		}
		if last {
			return p.items, nil
		}
	}
}

// Values returns the values of the items that were decoded.
func Values[T any](all []Item[T]) []T {
	var values []T
	for _, i := range all {
		if i.DecodeErr == nil {
			values = append(values, i.Value)
		}
	}
	return values
}

// Change is an item that was added, changed or deleted.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// ErrRateLimited is the error of a call that the source refused because it receives too
// many calls.
//
// When hundreds of processes lose a source or start at the same time, and each retries
// every 400 ms for several feeds, the retries alone exceed the source's limit, and it
// keeps refusing all of them although it works. Retry delays that keep growing, up to
// maxRateLimitDelay, bring the calls below the limit.
var ErrRateLimited = errors.New("feed: source refused the call: too many calls")

// ErrCompacted is the error of a watch whose start revision is older than the changes
// that the source keeps: the collection must be listed.
var ErrCompacted = errors.New("feed: source no longer has the changes after the revision")

// ErrEraChanged is the error of a watch whose start revision belongs to another era: the
// source was restored from an older snapshot, and the collection must be listed.
var ErrEraChanged = errors.New("feed: source has another era than the revision")

// ErrTooLarge is the error of a watch whose answer is larger than what this process reads: the
// collection must be listed, since a list has pages, and each item only once.
var ErrTooLarge = errors.New("feed: answer exceeds the limit")

// ErrMalformed is the error of an answer that can't be decoded.
var ErrMalformed = errors.New("feed: answer can't be decoded")

// noProgress is the cause of the error of a list whose next page would be the same one again.
const noProgress = "feed: no item of a page has a name after those of the pages before"

// Source provides a collection.
type Source[T any] interface {
	// List returns a page of the items: those after the given name, or the first ones
	// if it is empty. stale allows a page that is seconds old.
	List(ctx context.Context, after string, stale bool) (Page[T], error)
	// Watch waits at most the given time for changes after the revision. It returns the
	// changes and the revision to continue from. No change within the time is not an
	// error: the answer then comes when the time has passed.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change[T], Revision, error)
}

// Confirmer is a Source that passes on answers which others have received from the source.
type Confirmer interface {
	// ConfirmedAt returns the time, by clock.Boottime, up to which the last answer has all changes; zero
	// if that is not known.
	ConfirmedAt() time.Time
}

// ConfirmedAt returns the time up to which the answer to a watch has all changes of the source, by the clock of sent
// and received.
//
// An answer may be read long after it was made, such as by a process that was suspended meanwhile. So it counts
// from when the call was sent, and one without changes from the end of the wait, before which it is not made.
func ConfirmedAt(sent, received time.Time, wait time.Duration, changes int) time.Time {
	if until := sent.Add(wait); changes == 0 && !received.Before(until) {
		return until
	}
	return sent
}

// ShortenedWatch returns how long the next watch waits for a change: full, less the age of the copy's confirmation.
//
// An answer with changes confirms the copy only up to when the call was sent, and a slow answer is old when it arrives.
// With a full wait after it, the next confirmation would come up to two waits after the last one.
func ShortenedWatch(full, age time.Duration) time.Duration {
	return min(full, max(MinWatchTimeout, full-age))
}

// Timeouts and delays of a Feed.
const (
	// DefaultWatchTimeout is how long a watch waits. A connection may stop delivering
	// messages without being closed, which is noticed only when a watch gets no answer in
	// time; so this timeout and answerMargin bound how old a copy can get unnoticed. Their
	// sum must stay below the two seconds within which a change must be in force.
	DefaultWatchTimeout = time.Second
	// MinWatchTimeout is the shortest wait of a watch while the source answers. It bounds the calls to the source
	// while changes or slow answers keep the copy old.
	MinWatchTimeout = 100 * time.Millisecond
	// answerMargin is how long an answer may take beyond the time for which a watch
	// waits.
	answerMargin = 800 * time.Millisecond
	// listTimeout bounds one call of Source.List, which may try relays before the store.
	listTimeout = 3 * time.Second
	// The delay before a retry doubles from minRetryDelay to maxRetryDelay, which is well
	// below the two seconds within which a change must be in force.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxRateLimitDelay is the longest retry delay after ErrRateLimited. With jitter the
	// delay stays below three seconds.
	maxRateLimitDelay = 1600 * time.Millisecond
	// maxRateLimitErrors is the number of ErrRateLimited errors in a row after which a
	// process that has listed the collection uses maxRateLimitDelay too.
	maxRateLimitErrors = 5
	// maxEraDelay is the longest delay before the list of a new era. The delay is random,
	// since all processes detect the new era at once.
	maxEraDelay = 300 * time.Millisecond
	// disconnectedWatchTimeout is how long a watch waits while the source does not
	// answer.
	disconnectedWatchTimeout = 10 * time.Millisecond
)

// Feed keeps a copy of a collection. The exported fields must be set before Run; Run's
// goroutine calls all functions except AnswerAge.
type Feed[T any] struct {
	Name   string
	Source Source[T]
	Log    hclog.Logger
	// WatchTimeout is how long a watch waits; zero means DefaultWatchTimeout.
	WatchTimeout time.Duration
	// StaleStart makes the first list a stale one. When every process of a fleet starts
	// at the same moment, all of them list all upstreams in many pages, and the source
	// limits the calls per second of all processes together. Stale pages do not count
	// towards that limit. A list after lost history is never stale, since it must contain
	// the changes that the watch missed.
	StaleStart bool
	// Now is the clock of OnConfirm; nil means clock.Boottime.
	Now func() time.Time
	// BatchDelay, if set, returns the delay between changes and the next watch, in
	// which further changes accumulate. A delay below minBatchDelay counts as
	// minBatchDelay.
	BatchDelay func() time.Duration
	// OnList receives the whole collection, and OnChange the changes since. Both also
	// receive items that could not be decoded. Were one such item an error for the whole
	// list or batch, the process would have no collection, or would receive no more
	// changes.
	OnList   func(now time.Time, all []Item[T])
	OnChange func(now time.Time, changes []Change[T])
	// OnConfirm, if set, is called after each answer that confirms the copy, once its changes were passed on.
	// The copy has all changes up to the given time.
	OnConfirm func(at time.Time)
	// OnDisconnect and OnReconnect, if set, are called when the source stops answering
	// and when it answers again.
	OnDisconnect func(now time.Time)
	OnReconnect  func(now time.Time)
	// OnRestore, if set, is called just before OnList when the list is of a new era:
	// items may be older than in the copy, or missing.
	OnRestore func(now time.Time)
	// OnCall, if set, is called after each call of the source with its error.
	OnCall func(err error)
	// OnUndecodable, if set, is called for each version of an item that can't be decoded.
	OnUndecodable func()

	lastAnswer   atomic.Pointer[time.Time]
	revision     Revision
	listed       bool
	pager        Pager[T]
	listSentAt   time.Time // when the first page was asked for, by clock.Boottime
	confirmedAt  time.Time // as last passed to OnConfirm; zero if the source did not state it
	disconnected bool
	retryDelay   time.Duration
	// rateLimitErrors counts the ErrRateLimited errors since the source last answered.
	rateLimitErrors int
	undecodable     Undecodable
}

// AnswerAge returns the time since the source last answered, and false if it never did. It may
// be called from any goroutine.
func (f *Feed[T]) AnswerAge(now time.Time) (time.Duration, bool) {
	lastAnswer := f.lastAnswer.Load()
	if lastAnswer == nil {
		return 0, false
	}
	return now.Sub(*lastAnswer), true
}

// Run lists and watches the collection until ctx ends, then returns nil.
func (f *Feed[T]) Run(ctx context.Context) error {
	f.listed, f.pager = false, Pager[T]{} // Run may be called again after a panic within a change
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if f.OnCall != nil {
			f.OnCall(err)
		}
		switch {
		case errors.Is(err, ErrCompacted):
			f.Log.Info("history compacted, listing the collection again", "feed", f.Name, "revision", f.revision.String())
			f.listed = false
		case errors.Is(err, ErrTooLarge) && f.listed:
			f.Log.Info("answer to a watch too large, listing the collection again", "feed", f.Name, "revision", f.revision.String())
			f.listed = false
			group.Sleep(ctx, minRetryDelay/2+rand.N(minRetryDelay))
		case errors.Is(err, ErrEraChanged):
			f.listed = false
			group.Sleep(ctx, rand.N(maxEraDelay))
		case err != nil:
			f.handleError(ctx, err)
		}
	}
	return nil
}

// step reads one page of a list or makes one watch, and passes the result to OnList or
// OnChange.
func (f *Feed[T]) step(ctx context.Context) error {
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		stale := f.StaleStart && f.revision == 0
		if len(f.pager.items) == 0 {
			f.listSentAt = f.now()
		}
		last, err := f.pager.Next(ctx, f.Source, stale)
		if err != nil {
			return err
		}
		now := f.recordAnswer()
		if !last {
			return nil
		}
		all := f.pager
		f.pager = Pager[T]{}
		f.setListed(now, all.revision)
		for _, i := range all.items {
			f.reportUndecodable(i)
		}
		f.OnList(now, all.items)
		if !stale {
			f.confirm(f.listSentAt)
		}
		return nil
	}
	full := f.WatchTimeout
	if full <= 0 {
		full = DefaultWatchTimeout
	}
	sent, wait := f.now(), full
	if !f.confirmedAt.IsZero() {
		wait = ShortenedWatch(full, sent.Sub(f.confirmedAt))
	}
	// A watch with the usual wait would return only with the next change, and OnReconnect
	// would be called that late. A short wait detects at once that the source answers.
	if f.disconnected {
		full, wait = disconnectedWatchTimeout, disconnectedWatchTimeout
	}
	// A large answer takes as long after a short wait as after a full one.
	ctx, cancel := context.WithTimeout(ctx, full+answerMargin)
	defer cancel()
	changes, revision, err := f.Source.Watch(ctx, f.revision, wait)
	received := f.now()
	if err != nil {
		f.relistAfterTimeout(ctx)
		return err
	}
	now := f.recordAnswer()
	f.revision = max(f.revision, revision)
	if len(changes) > 0 {
		for _, c := range changes {
			f.reportUndecodable(c.Item)
		}
		f.OnChange(now, changes)
	}
	f.confirm(ConfirmedAt(sent, received, wait, len(changes)))
	if len(changes) > 0 {
		group.Sleep(ctx, f.batchDelay())
	}
	return nil
}

func (f *Feed[T]) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return clock.Boottime()
}

// confirm reports up to when the copy has all changes: at, or what the source states.
func (f *Feed[T]) confirm(at time.Time) {
	if c, relays := f.Source.(Confirmer); relays {
		at = c.ConfirmedAt()
	}
	f.confirmedAt = at
	if f.OnConfirm != nil && !at.IsZero() {
		f.OnConfirm(at)
	}
}

// setListed records the revision of a complete list, and calls OnRestore if it is of a
// new era.
func (f *Feed[T]) setListed(now time.Time, revision Revision) {
	before := f.revision
	f.revision, f.listed = revision, true
	if before == 0 || before.Era() == revision.Era() {
		return
	}
	f.Log.Warn("source restored from an older snapshot", "feed", f.Name, "revision", revision.String(), "revision_before", before.String())
	if f.OnRestore != nil {
		f.OnRestore(now)
	}
}

// relistAfterTimeout makes the next step list the collection if a watch ran out of time.
// A process that missed many versions of a large item gets all of them in one answer,
// which over a slow link can take longer than a watch may. Each further watch would start
// from the same revision, so that the process would receive no changes until the source
// discards the history. A list has each item once, however many versions were missed.
func (f *Feed[T]) relistAfterTimeout(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Log.Info("watch timed out, listing the collection again", "feed", f.Name, "revision", f.revision.String())
		f.listed = false
	}
}

// minBatchDelay is the shortest delay between changes and the next watch, in which
// further changes accumulate. When a fleet starts, fifty upstreams may register within
// three seconds. Without the delay each registration would end the watch of each process,
// and the number of calls would be the product of both numbers. The bounds on when a
// change must be in force are seconds.
const minBatchDelay = 100 * time.Millisecond

func (f *Feed[T]) batchDelay() time.Duration {
	if f.BatchDelay == nil {
		return minBatchDelay
	}
	return max(minBatchDelay, f.BatchDelay())
}

// reportUndecodable reports an item that can't be decoded.
func (f *Feed[T]) reportUndecodable(i Item[T]) {
	f.undecodable.Feed, f.undecodable.Log, f.undecodable.OnItem = f.Name, f.Log, f.OnUndecodable
	f.undecodable.Observe(i.Name, i.Revision, i.DecodeErr)
}

// recordAnswer records an answer of the source, resets the retry delay, and calls
// OnReconnect if the source did not answer before. It returns the time of the answer.
func (f *Feed[T]) recordAnswer() time.Time {
	now := time.Now()
	f.lastAnswer.Store(&now)
	f.retryDelay, f.rateLimitErrors = 0, 0
	if f.disconnected {
		f.disconnected = false
		f.Log.Info("regained", "feed", f.Name, "revision", f.revision.String())
		if f.OnReconnect != nil {
			f.OnReconnect(now)
		}
	}
	return now
}

// lossReason returns why a source counts as lost: one that answers what can't be decoded needs other
// measures than one that is not reached.
func lossReason(err error) string {
	switch {
	case errors.Is(err, ErrMalformed):
		return "answer_not_decodable"
	case errors.Is(err, ErrTooLarge):
		return "answer_too_large"
	case errors.Is(err, ErrRateLimited):
		return "rate_limited"
	}
	return "call_failed"
}

// handleError records a failed call, calls OnDisconnect if the source answered before,
// and sleeps for the retry delay. The delay has jitter, so that processes that lost the
// source together do not reconnect together.
func (f *Feed[T]) handleError(ctx context.Context, err error) {
	if !f.disconnected {
		f.disconnected = true
		f.Log.Warn("lost", "feed", f.Name, "revision", f.revision.String(), "why", lossReason(err), "err", err)
		if f.OnDisconnect != nil {
			f.OnDisconnect(time.Now())
		}
	}
	maxDelay := maxRetryDelay
	// A process that has listed the collection and is refused for some seconds must not
	// wait for seconds more: a change would come into force too late. A process without the
	// collection uses the long delay at once, and all others after maxRateLimitErrors
	// refusals: their calls alone may exceed the source's limit.
	if errors.Is(err, ErrRateLimited) {
		f.rateLimitErrors++
		if !f.listed || f.rateLimitErrors > maxRateLimitErrors {
			maxDelay = maxRateLimitDelay
		}
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxDelay)
	group.Sleep(ctx, f.retryDelay/2+rand.N(f.retryDelay))
}
