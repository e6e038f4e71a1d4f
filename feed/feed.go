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

	"jacinthworks/group"
)

// Revision orders the changes of a collection.
type Revision uint64

// Item is one member of a collection.
type Item[T any] struct {
	Name     string
	Revision Revision
	Value    T
	// Unread is what kept the value from being read, which is not set then; nil
	// for what was read.
	Unread error
}

// Values gives the values that were read.
func Values[T any](all []Item[T]) []T {
	var values []T
	for _, i := range all {
		if i.Unread == nil {
			values = append(values, i.Value)
		}
	}
	return values
}

// Change is an item that is new or other than before, or that is gone.
type Change[T any] struct {
	Item[T]
	Gone bool
}

// ErrHistory says that the changes after the revision asked for are not kept
// any more: the collection has to be listed.
var ErrHistory = errors.New("feed: history is gone")

// Source is where a collection comes from.
type Source[T any] interface {
	// List gives all items, as of the revision.
	List(ctx context.Context) ([]Item[T], Revision, error)
	// Watch waits at most the given time for changes after the revision, and
	// gives them with the revision to go on from. No change is no error.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change[T], Revision, error)
}

// The times of a Feed that sets none.
const (
	// DefaultWait is how long a watch waits. An open connection may go silent
	// for good, which shows only as a watch that is not answered; so this and
	// the patience below bound how old a copy can get unnoticed.
	DefaultWait = 2 * time.Second
	// patience is how long the answer may take beyond the wait.
	patience = 800 * time.Millisecond
	// listWithin bounds a list, which may take several calls.
	listWithin = 3 * time.Second
	// The pause before another try doubles from the first to the last. The
	// last is well under the two seconds in which a change is to be in force.
	firstPause = 100 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// returnWait is the wait of a watch while the source is lost.
	returnWait = 10 * time.Millisecond
)

// Feed follows a collection. Set the fields before Run; the functions are
// called from Run's goroutine only.
type Feed[T any] struct {
	Name   string
	Source Source[T]
	Log    hclog.Logger
	// Wait is how long a watch waits; zero is DefaultWait.
	Wait time.Duration
	// Listed takes the whole collection, those that could not be read among it,
	// Changed what was read of the changes since.
	//
	// Failure: one member of the collection can't be read, and with it none. It
	// shows as a process that knows nothing, or hears of nothing new.
	Listed  func(now time.Time, all []Item[T])
	Changed func(now time.Time, changes []Change[T])
	// Lost and Regained, if set, are told when the source stops answering,
	// and when it answers again.
	Lost     func(now time.Time)
	Regained func(now time.Time)

	heard    atomic.Pointer[time.Time]
	revision Revision
	listed   bool
	lost     bool
	pause    time.Duration
}

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
		case errors.Is(err, ErrHistory):
			f.Log.Info("history gone, listing anew", "feed", f.Name, "revision", f.revision)
			f.listed = false
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
		all, at, err := f.Source.List(ctx)
		if err != nil {
			return err
		}
		now := f.answered()
		f.revision, f.listed = at, true
		for _, i := range all {
			f.noteUnread(i)
		}
		f.Listed(now, all)
		return nil
	}
	wait := f.Wait
	if wait <= 0 {
		wait = DefaultWait
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
		return err
	}
	now := f.answered()
	f.revision = max(f.revision, at)
	if len(changes) > 0 {
		f.Changed(now, f.read(changes))
		group.Pause(ctx, gather)
	}
	return nil
}

// gather is the pause after changes, in which further ones come together.
//
// Load pattern: a fleet starts, and fifty upstreams register within three
// seconds. Each one alone ends the watch of each process, so that the calls are
// the product of both numbers. Bounds on what changes are seconds.
const gather = 100 * time.Millisecond

// read gives the changes without those that could not be read.
func (f *Feed[T]) read(changes []Change[T]) []Change[T] {
	var all []Change[T]
	for _, c := range changes {
		if f.noteUnread(c.Item); c.Unread == nil {
			all = append(all, c)
		}
	}
	return all
}

func (f *Feed[T]) noteUnread(i Item[T]) {
	if i.Unread != nil {
		f.Log.Warn("unreadable, passed over", "feed", f.Name, "name", i.Name, "revision", i.Revision, "err", i.Unread)
	}
}

// answered notes that the source answered.
func (f *Feed[T]) answered() time.Time {
	now := time.Now()
	f.heard.Store(&now)
	f.pause = 0
	if f.lost {
		f.lost = false
		f.Log.Info("regained", "feed", f.Name, "revision", f.revision)
		if f.Regained != nil {
			f.Regained(now)
		}
	}
	return now
}

// missed notes a call that failed, and pauses. The pause has jitter, so that
// processes that lost the source together do not come back together.
func (f *Feed[T]) missed(ctx context.Context, err error) {
	if !f.lost {
		f.lost = true
		f.Log.Warn("lost", "feed", f.Name, "revision", f.revision, "err", err)
		if f.Lost != nil {
			f.Lost(time.Now())
		}
	}
	f.pause = min(max(2*f.pause, firstPause), lastPause)
	group.Pause(ctx, f.pause/2+rand.N(f.pause))
}
