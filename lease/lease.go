// Package lease acquires and renews a lease in the platform: a Keeper reads and writes the
// record as its fence.Guard requests.
//
// # Usage
//
//	k := lease.Keeper{Records: objects, Name: "orders/engine-1", Guard: fence.Guard{Holder: host, Incarnation: n}}
//	token, err := k.Acquire(ctx)        // waits until an order may be issued
//
//	wait := k.Step(ctx)                 // or one action at a time, for a process
//	token, err := k.Issue(time.Time{})  // that keeps the lease
//	if !k.Covers(token) { ... }         // before an order that is sent later than it was issued
//	err = k.Complete(token)
//
// A Keeper must be used by one goroutine only.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/clock"
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
	// Name is the name of the record in the object API.
	Name  string
	Guard fence.Guard
	// Now is the clock; nil means clock.Boottime.
	Now func() time.Time
}

// now returns the time of the keeper's clock.
func (k *Keeper) now() time.Time {
	if k.Now != nil {
		return k.Now()
	}
	return clock.Boottime()
}

// Holds reports whether an order may be issued now.
func (k *Keeper) Holds() bool { return k.Guard.Holds(k.now()) }

// Issue returns the fencing token for one order. It ignores the time passed in, which comes
// from another clock than the lease's.
func (k *Keeper) Issue(time.Time) (fence.Token, error) { return k.Guard.Issue(k.now()) }

// Covers reports whether an order with the token, which was issued before, may be sent now.
func (k *Keeper) Covers(token fence.Token) bool { return k.Guard.Covers(k.now(), token) }

// Complete records that an order was accepted, or that it certainly had no effect; see
// fence.Guard.Complete.
func (k *Keeper) Complete(token fence.Token) error { return k.Guard.Complete(k.now(), token) }

// Acquire performs the guard's actions until an order may be issued, and returns the order's
// fencing token.
func (k *Keeper) Acquire(ctx context.Context) (fence.Token, error) {
	for ctx.Err() == nil {
		if token, err := k.Issue(time.Time{}); err == nil {
			return token, nil
		}
		wait := k.Step(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return 0, errors.Wrap(fence.ErrNotHolder, "lease: acquire")
}

// Step performs one action of the guard and returns the delay until the next Step.
func (k *Keeper) Step(ctx context.Context) time.Duration {
	switch action := k.Guard.Next(k.now()); action.Kind {
	case fence.ReadRecord:
		k.readRecord(ctx)
	case fence.WriteRecord:
		k.writeRecord(ctx, action)
	case fence.WaitUntil:
		return action.Until.Sub(k.now())
	}
	return 0
}

// Invalidate makes the next Step read the record again. Call it when another process may
// have released the lease.
func (k *Keeper) Invalidate() { k.Guard.Invalidate() }

// Release ends the lease if this process holds it; Step must not be called afterwards. It
// reports whether the release was written, so that other processes can read it.
func (k *Keeper) Release(ctx context.Context) bool {
	release, held := k.Guard.Release(k.now())
	if !held {
		return false
	}
	text, err := json.Marshal(release.Record)
	if err == nil {
		_, err = k.Records.Put(ctx, k.Name, text, infra.Version(release.Version))
	}
	return err == nil
}

// readRecord reads the record and passes it to the guard.
func (k *Keeper) readRecord(ctx context.Context) {
	object, err := k.Records.Get(ctx, k.Name)
	if errors.Is(err, infra.ErrNotFound) {
		k.Guard.Observe(k.now(), fence.Record{}, epoch.Position(object.Version))
		return
	}
	if err != nil {
		k.Guard.RequestFailed(k.now())
		return
	}
	// The record may have been overwritten with a value that cannot be decoded. If such a
	// read counted as failed, no process would ever acquire the lease again. Instead, the
	// unknown writer counts as a holder whose lease expires like any other.
	var record fence.Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		record = fence.Record{}
	}
	k.Guard.Observe(k.now(), record, epoch.Position(object.Version))
}

// writeRecord writes the record by conditional update and passes the outcome to the guard.
func (k *Keeper) writeRecord(ctx context.Context, action fence.Action) {
	sent := k.now()
	text, err := json.Marshal(action.Record)
	if err != nil {
		k.Guard.RequestFailed(k.now())
		return
	}
	version, err := k.Records.Put(ctx, k.Name, text, infra.Version(action.Version))
	switch {
	case err == nil:
		k.Guard.WriteSucceeded(sent, epoch.Position(version))
	case errors.Is(err, infra.ErrConflict):
		k.Guard.WriteConflicted()
	default:
		k.Guard.RequestFailed(k.now())
	}
}
