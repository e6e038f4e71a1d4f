// Package lease keeps a fence.Guard in step with its record in the platform:
// it reads and writes the record as the guard asks.
//
// # Usage
//
//	k := lease.Keeper{Records: objects, Name: "orders/engine-1", Guard: fence.Guard{Holder: host, Incarnation: n}}
//	number, err := k.Hold(ctx)        // waits until an order may be given
//
//	until := k.Step(ctx)              // or, for a standing holder, one action
//	number, err := k.May(time.Time{}) // at a time
//	err = k.Gave(number)
//
// A Keeper belongs to one goroutine.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"jacinthworks/epoch"
	"jacinthworks/fence"
	"jacinthworks/infra"
)

// Records is the part of the platform's object API that a lease needs.
type Records interface {
	Get(ctx context.Context, name string) (infra.Object, error)
	Put(ctx context.Context, name string, value []byte, at infra.Version) (infra.Version, error)
}

// Keeper holds a lease, or waits for it.
type Keeper struct {
	Records Records
	// Name is the record's.
	Name  string
	Guard fence.Guard
	// Now is the clock; nil is Boottime.
	Now func() time.Time
}

// Boottime is a clock that counts the time for which the host was suspended.
//
// Failure: a host is suspended while it holds the lease, another takes over,
// and the first wakes and goes on. Go's monotonic clock stands still meanwhile,
// so that by it the lease still holds. It shows as orders of two holders. This
// clock shows the time that has passed, and no step of the time of day moves it.
func Boottime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}

func (k *Keeper) now() time.Time {
	if k.Now != nil {
		return k.Now()
	}
	return Boottime()
}

// Holds says whether an order may be given now.
func (k *Keeper) Holds() bool { return k.Guard.Holds(k.now()) }

// Issue gives the fencing number for one order. It takes no notice of the time
// given, which is on another clock than the lease's.
func (k *Keeper) Issue(time.Time) (fence.Token, error) { return k.Guard.Issue(k.now()) }

// Complete says that an order was taken, or is known not to have been.
func (k *Keeper) Complete(n fence.Token) error { return k.Guard.Complete(k.now(), n) }

// Acquire does what the guard asks until an order may be given.
func (k *Keeper) Acquire(ctx context.Context) (fence.Token, error) {
	for ctx.Err() == nil {
		if number, err := k.Issue(time.Time{}); err == nil {
			return number, nil
		}
		wait := k.Step(ctx)
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return 0, errors.Wrap(fence.ErrNotHolder, "lease")
}

// Step does one thing that the guard asks for, and gives the time to the next.
func (k *Keeper) Step(ctx context.Context) time.Duration {
	switch a := k.Guard.Next(k.now()); a.Kind {
	case fence.Read:
		k.read(ctx)
	case fence.Write:
		k.write(ctx, a)
	case fence.Wait:
		return a.Until.Sub(k.now())
	}
	return 0
}

// Invalidate has the record read again by the next Step, where another is thought to
// have released the lease.
func (k *Keeper) Invalidate() { k.Guard.Invalidate() }

// Release gives the lease up for good, if it is held: no Step may follow. It
// reports whether the others can know.
func (k *Keeper) Release(ctx context.Context) bool {
	a, held := k.Guard.Release(k.now())
	if !held {
		return false
	}
	text, err := json.Marshal(a.Record)
	if err == nil {
		_, err = k.Records.Put(ctx, k.Name, text, infra.Version(a.Version))
	}
	return err == nil
}

func (k *Keeper) read(ctx context.Context) {
	o, err := k.Records.Get(ctx, k.Name)
	if errors.Is(err, infra.ErrNotFound) {
		k.Guard.Observe(k.now(), fence.Record{}, epoch.Position(o.Version))
		return
	}
	if err != nil {
		k.Guard.RequestFailed(k.now())
		return
	}
	// Failure: something else writes over the record, which can't be read then. It
	// shows as a lease that nobody takes any more. Whoever wrote it is taken for a
	// holder, whose time ends as any other's.
	var r fence.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		r = fence.Record{}
	}
	k.Guard.Observe(k.now(), r, epoch.Position(o.Version))
}

func (k *Keeper) write(ctx context.Context, a fence.Action) {
	sent := k.now()
	text, err := json.Marshal(a.Record)
	if err != nil {
		k.Guard.RequestFailed(k.now())
		return
	}
	v, err := k.Records.Put(ctx, k.Name, text, infra.Version(a.Version))
	switch {
	case err == nil:
		k.Guard.WriteSucceeded(sent, epoch.Position(v))
	case errors.Is(err, infra.ErrConflict):
		k.Guard.WriteConflicted()
	default:
		k.Guard.RequestFailed(k.now())
	}
}
