// Package feed keeps a copy of a collection that another system holds: it
// lists the collection, watches it for changes, and lists it anew where the
// history of changes is gone.
//
// # Usage
//
//	f := feed.Feed[roster.Server]{
//		Name: "servers", Source: source, Log: log,
//		Listed:  func(now time.Time, all []feed.Item[roster.Server]) { ... },
//		Changed: func(now time.Time, changes []feed.Change[roster.Server]) { ... },
//	}
//	err := f.Run(ctx)
//
// The copy is as old as the last answer: Age says how old, and Lost and
// Regained mark the times between which nothing is heard.
package feed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"jacinthworks/epoch"
	"jacinthworks/group"
)

// Revision orders the changes of a collection, also where its source comes back from an
// older copy.
type Revision = epoch.Position

// Item is one member of a collection.
type Item[T any] struct {
	Name     string
	Revision Revision
	Value    T
	// DecodeErr is what kept the value from being read, which is not set then; nil
	// for what was read.
	DecodeErr error
}

// Page is a part of a collection, as of a revision.
type Page[T any] struct {
	Items    []Item[T]
	Revision Revision
	// More says that there are items after these.
	More bool
}

// Pager gathers the pages of a list. The zero value begins one.
//
// Load pattern: every process of a fleet starts at once, and each lists all
// upstreams in tens of pages. A source that takes so many calls a second refuses
// half of them. A list that begins anew after each refusal is never done; one that
// goes on at the page that was refused is, in as many calls as it has pages.
type Pager[T any] struct {
	items []Item[T]
	at    Revision
}

// Next reads one page more, and says whether it was the last. After an error the
// same page is next.
func (p *Pager[T]) Next(ctx context.Context, from Source[T], stale bool) (last bool, err error) {
	page, err := from.List(ctx, p.after(), stale)
	if err != nil {
		return false, err
	}
	// Pages of different eras are of different copies of the collection.
	if len(p.items) > 0 && page.Revision.Era() != p.at.Era() {
		*p = Pager[T]{}
		return false, nil
	}
	// What has changed in one page by the time of another, a watch from the
	// lowest revision tells again.
	if len(p.items) == 0 || page.Revision < p.at {
		p.at = page.Revision
	}
	p.items = append(p.items, page.Items...)
	return !page.More || len(page.Items) == 0, nil
}

// after is the name after which the next page begins: the last one that could
// be read.
func (p *Pager[T]) after() string {
	for n := len(p.items) - 1; n >= 0; n-- {
		if p.items[n].Name != "" {
			return p.items[n].Name
		}
	}
	return ""
}

// ListAll reads all pages, and fails with the first that does.
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

// Values gives the values that were read.
func Values[T any](all []Item[T]) []T {
	var values []T
	for _, i := range all {
		if i.DecodeErr == nil {
			values = append(values, i.Value)
		}
	}
	return values
}

// Change is an item that is new or other than before, or that is gone.
type Change[T any] struct {
	Item[T]
	Deleted bool
}

// ErrRateLimited says that the source refuses a call since it gets too many.
//
// Load pattern: hundreds of processes lose a source at once, or start at once, and
// ask again every 400 ms, each for several feeds. That alone is more than the
// source takes, which goes on refusing all of them when it is well. Pauses that
// grow on let the calls fall under what it takes.
var ErrRateLimited = errors.New("feed: too many calls")

// ErrCompacted says that the changes after the revision asked for are not kept
// any more: the collection has to be listed.
var ErrCompacted = errors.New("feed: history is gone")

// ErrEraChanged says that the source has come back from an older copy, so that the revision
// asked for means nothing to it: the collection has to be listed.
var ErrEraChanged = errors.New("feed: another era")

// Source is where a collection comes from.
type Source[T any] interface {
	// List gives a page of the items: those after a name, the first ones for "".
	// A stale page may be seconds old.
	List(ctx context.Context, after string, stale bool) (Page[T], error)
	// Watch waits at most the given time for changes after the revision, and
	// gives them with the revision to go on from. No change is no error.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change[T], Revision, error)
}

// The times of a Feed that sets none.
const (
	// DefaultWatchTimeout is how long a watch waits. An open connection may go silent
	// for good, which shows only as a watch that is not answered; so this and
	// the patience below bound how old a copy can get unnoticed.
	DefaultWatchTimeout = 2 * time.Second
	// patience is how long the answer may take beyond the wait.
	patience = 800 * time.Millisecond
	// listWithin bounds a list, which may take several calls.
	listWithin = 3 * time.Second
	// The pause before another try doubles from the first to the last. The
	// last is well under the two seconds in which a change is to be in force.
	firstPause = 100 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// busyPause is the last one after refusals for too many calls. With its
	// jitter it stays under three seconds.
	busyPause = 1600 * time.Millisecond
	// refusalsMost is how many of them a process that knows the collection takes before it
	// pauses as long as one that does not.
	refusalsMost = 5
	// eraPause is the longest pause before the list of a new era, which all processes
	// hear of at once.
	eraPause = 300 * time.Millisecond
	// returnWait is the wait of a watch while the source is lost.
	returnWait = 10 * time.Millisecond
)

// Feed follows a collection. Set the fields before Run; the functions are
// called from Run's goroutine only.
type Feed[T any] struct {
	Name   string
	Source Source[T]
	Log    hclog.Logger
	// Wait is how long a watch waits; zero is DefaultWatchTimeout.
	Wait time.Duration
	// StaleStart has the first list be a stale one.
	//
	// Load pattern: every process of a fleet starts at the same moment and lists
	// all upstreams, in many pages, of which a source takes so many a second from
	// all together. Stale pages do not count. A list after lost history is never
	// stale: it has to tell what the watch did not.
	StaleStart bool
	// BatchDelay, if set, gives the pause after changes, in which further ones come
	// together; less than the default counts as that.
	BatchDelay func() time.Duration
	// OnList takes the whole collection, Changed the changes since; those that
	// could not be read are among both.
	//
	// Failure: one member of the collection can't be read, and with it none. It
	// shows as a process that knows nothing, or hears of nothing new.
	OnList   func(now time.Time, all []Item[T])
	OnChange func(now time.Time, changes []Change[T])
	// OnDisconnect and Regained, if set, are told when the source stops answering,
	// and when it answers again.
	OnDisconnect func(now time.Time)
	OnReconnect  func(now time.Time)
	// OnRestore, if set, is told just before Listed that the list is of a new era: members
	// may be older than what was known, or missing.
	OnRestore func(now time.Time)

	heard    atomic.Pointer[time.Time]
	revision Revision
	listed   bool
	pages    Pager[T]
	lost     bool
	pause    time.Duration
	// refusals counts those for too many calls since the source last answered.
	refusals int
	// unread are the versions of members that were logged as unreadable.
	unread map[string]unreadAt
}

// unreadAt is a version of a member; noted tells it from none.
type unreadAt struct {
	at    Revision
	noted bool
}

// unreadMost bounds the members that are remembered as unreadable.
const unreadMost = 1000

// Age is how long ago the source last answered; false when it never did.
func (f *Feed[T]) Age(now time.Time) (time.Duration, bool) {
	at := f.heard.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// Run follows the collection until ctx ends.
func (f *Feed[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrCompacted):
			f.Log.Info("history gone, listing anew", "feed", f.Name, "revision", f.revision.String())
			f.listed = false
		case errors.Is(err, ErrEraChanged):
			f.listed = false
			group.Sleep(ctx, rand.N(eraPause))
		case err != nil:
			f.missed(ctx, err)
		}
	}
	return nil
}

// step makes one call and passes on what came of it.
func (f *Feed[T]) step(ctx context.Context) error {
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, listWithin)
		defer cancel()
		stale := f.StaleStart && f.revision == 0
		last, err := f.pages.Next(ctx, f.Source, stale)
		if err != nil {
			return err
		}
		now := f.answered()
		if !last {
			return nil
		}
		all := f.pages
		f.pages = Pager[T]{}
		f.begin(now, all.at)
		for _, i := range all.items {
			f.noteUnread(i)
		}
		f.OnList(now, all.items)
		return nil
	}
	wait := f.Wait
	if wait <= 0 {
		wait = DefaultWatchTimeout
	}
	// Failure: the source is back, and the watch that finds it waits for a
	// change. It shows as a return that is told with the next change. A short
	// wait tells it at once.
	if f.lost {
		wait = returnWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	changes, at, err := f.Source.Watch(ctx, f.revision, wait)
	if err != nil {
		f.outgrown(ctx)
		return err
	}
	now := f.answered()
	f.revision = max(f.revision, at)
	if len(changes) > 0 {
		for _, c := range changes {
			f.noteUnread(c.Item)
		}
		f.OnChange(now, changes)
		group.Sleep(ctx, f.gathering())
	}
	return nil
}

// begin takes the revision of a list, which may be of a new era.
func (f *Feed[T]) begin(now time.Time, at Revision) {
	before := f.revision
	f.revision, f.listed = at, true
	if before == 0 || before.Era() == at.Era() {
		return
	}
	f.Log.Warn("source came back from a copy", "feed", f.Name, "revision", at.String(), "revision_before", before.String())
	if f.OnRestore != nil {
		f.OnRestore(now)
	}
}

// outgrown has the collection listed anew after a watch that ran out of time.
//
// Failure: a process missed many versions of a large member, over a thin link. The
// watch gives all of them in one answer, which takes longer than a watch may, and
// each further one begins anew. It shows as a process that hears of nothing until
// the history is gone. A list has each member once, however much was missed.
func (f *Feed[T]) outgrown(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Log.Info("watch out of time, listing anew", "feed", f.Name, "revision", f.revision.String())
		f.listed = false
	}
}

// gather is the pause after changes, in which further ones come together.
//
// Load pattern: a fleet starts, and fifty upstreams register within three
// seconds. Each one alone ends the watch of each process, so that the calls are
// the product of both numbers. Bounds on what changes are seconds.
const gather = 100 * time.Millisecond

func (f *Feed[T]) gathering() time.Duration {
	if f.BatchDelay == nil {
		return gather
	}
	return max(gather, f.BatchDelay())
}

// noteUnread writes one line for each version of a member that can't be read,
// however often it is listed.
func (f *Feed[T]) noteUnread(i Item[T]) {
	switch {
	case i.DecodeErr == nil:
		delete(f.unread, i.Name)
	case f.unread[i.Name] != unreadAt{i.Revision, true}:
		if f.unread == nil || len(f.unread) >= unreadMost {
			f.unread = make(map[string]unreadAt)
		}
		f.unread[i.Name] = unreadAt{i.Revision, true}
		f.Log.Warn("unreadable, passed over", "feed", f.Name, "name", i.Name, "revision", i.Revision.String(), "err", i.DecodeErr)
	}
}

// answered notes that the source answered.
func (f *Feed[T]) answered() time.Time {
	now := time.Now()
	f.heard.Store(&now)
	f.pause, f.refusals = 0, 0
	if f.lost {
		f.lost = false
		f.Log.Info("regained", "feed", f.Name, "revision", f.revision.String())
		if f.OnReconnect != nil {
			f.OnReconnect(now)
		}
	}
	return now
}

// missed notes a call that failed, and pauses. The pause has jitter, so that
// processes that lost the source together do not come back together.
func (f *Feed[T]) missed(ctx context.Context, err error) {
	if !f.lost {
		f.lost = true
		f.Log.Warn("lost", "feed", f.Name, "revision", f.revision.String(), "err", err)
		if f.OnDisconnect != nil {
			f.OnDisconnect(time.Now())
		}
	}
	most := lastPause
	// Failure: a process that knows a collection is refused for some seconds, and
	// then waits for seconds more. It shows as a change that is in force too late.
	// One that knows nothing yet waits that long at once, the others when they were
	// refused again and again: else they alone may be more than the source takes.
	if errors.Is(err, ErrRateLimited) {
		f.refusals++
		if !f.listed || f.refusals > refusalsMost {
			most = busyPause
		}
	}
	f.pause = min(max(2*f.pause, firstPause), most)
	group.Sleep(ctx, f.pause/2+rand.N(f.pause))
}
