// Package fence ensures that only one side sends orders to an engine that ignores fencing
// tokens: the side beside the engine issues orders only while it holds the order lease, and
// stops before another process can acquire the lease. It performs no network calls; times
// are passed in.
//
// It guards against a side that was paused, or cut off from the platform, and continues to
// send orders after another side has taken over. An engine that checks fencing tokens
// refuses the old order. An engine that ignores them loads the old model over the new one,
// and both sides assume that their order is in force. The tests reproduce this, and show
// that it occurs when the safety margin is removed.
//
// The lease is a record in the platform, written by conditional update. Its holder measures
// the lease from before it sent the write that renewed it; any other process measures from
// after it has read that renewal. So the lease ends first for its holder, whatever the
// clocks show, as long as both clocks run at nearly the same rate. Times passed in must
// carry Go's monotonic reading: a wall clock that is set back would lengthen the lease.
//
// The guard does not cover a pause longer than OrderTimeout between Issue and the engine's
// acceptance of the order. Complete reports whether that happened, and the next holder
// reads the engine's state and sends its own order again.
//
// # Usage
//
//	g := fence.Guard{Holder: host, Incarnation: incarnation}
//	switch a := g.Next(now); a.Kind {
//	case fence.ReadRecord:  // read the record
//		g.Observe(now, record, version)
//	case fence.WriteRecord: // sent := now; write a.Record if at version a.Version
//		g.WriteSucceeded(sent, version) // or g.WriteConflicted() or g.RequestFailed(now)
//	case fence.WaitUntil:  // call Next again at a.Until
//	}
//	token, err := g.Issue(now)         // before an order, which carries the token
//	if !g.Covers(now, token) { ... }   // before an order that is sent later than it was issued
//	err = g.Complete(now, token)       // after it
package fence

import (
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/epoch"
)

const (
	// TTL is how long the lease lasts after its last renewal. It bounds how long no orders
	// are issued after the holder has died. During that time a changing load meets engines
	// in the wrong role: with 15 s, hosts stopped in turn left engines without orders for
	// 26 s.
	TTL = 8 * time.Second
	// RenewInterval is the age of the lease at which its holder renews it: one renewal may
	// fail before the holder stops issuing orders.
	RenewInterval = TTL / 4
	// OrderTimeout is the maximum time from Issue until the engine has accepted the order.
	// The adapter's timeout must be shorter.
	OrderTimeout = 4 * time.Second
	// MaxClockDrift is the maximum relative difference in rate between two monotonic
	// clocks. Crystals stay within 0.02%; 1% covers a clock that is being slewed.
	MaxClockDrift = 0.01
	// RetryInterval is the delay before the next request to the platform after a lost reply
	// or an error of the platform.
	RetryInterval = 500 * time.Millisecond
	// setUpEra is the highest era of a platform that was just set up: platforms count eras
	// from zero or from one.
	setUpEra = 1
)

// The errors of Issue and Complete.
var (
	// ErrNotHolder means that the side does not hold the lease, or not for long enough to
	// issue an order.
	ErrNotHolder = errors.New("fence: order lease not held")
	// ErrStaleToken means that the token is not higher than every token used before, or that
	// the holder's term has no token left.
	ErrStaleToken = errors.New("fence: old fencing number")
	// ErrOverrun means that the order may have reached the engine after the lease had
	// expired: read the engine's state before any other action.
	ErrOverrun = errors.New("fence: order overran the lease")
)

// Token is a fencing token. It increases with every order, also from one holder to the
// next.
type Token uint64

// sequenceBits allows a million orders in one term of the lease.
const sequenceBits = 20

// newToken combines a term and the number of an order in this term.
func newToken(term, sequence uint64) Token { return Token(term<<sequenceBits | sequence) }

// Term returns the part of the token that identifies the holder's term. It increases with
// the platform's version of the record at which the holder acquired the lease.
func (n Token) Term() uint64 { return uint64(n) >> sequenceBits }

// Record is the lease as the platform stores it.
type Record struct {
	Holder      domain.Host        `json:"holder"`
	Incarnation domain.Incarnation `json:"incarnation"`
	// Nonce distinguishes the writes of one holder, so that reading the record shows
	// whether a write whose reply was lost took effect.
	Nonce uint64 `json:"nonce"`
	// Released reports that the holder issued its last order before it wrote this record.
	Released bool `json:"released,omitempty"`
}

// ActionKind is the kind of an Action that Next returns.
type ActionKind string

// The kinds of actions: read the lease's record, write it, or wait.
const (
	ReadRecord  ActionKind = "read"
	WriteRecord ActionKind = "write"
	WaitUntil   ActionKind = "wait"
)

// Action is the action that the caller of Next must perform. Record and Version are set for
// WriteRecord, Until for WaitUntil.
type Action struct {
	Kind    ActionKind
	Record  Record
	Version epoch.Position
	Until   time.Time
}

// leaseState is what a Guard has learned about the lease.
type leaseState int

const (
	stateUnread  leaseState = iota // record not read yet: read it before any other action
	stateWaiting                   // another process may hold the lease: wait until its lease must have expired
	stateFree                      // no process can hold the lease: write
	stateHolding                   // this process acquired the lease: renew it
)

// Guard is the state machine of one process for one lease. Set Holder and Incarnation; the
// rest of the zero value is ready to use. It must be used by one goroutine only, which also
// sends the orders.
type Guard struct {
	Holder      domain.Host
	Incarnation domain.Incarnation
	// FreshStore reports that the platform's store was just set up, so that no process can have
	// held the lease before in the era that is read first.
	FreshStore bool

	state         leaseState
	version       epoch.Position // of the record as last read or written
	lastWrite     epoch.Position // of this process's last write that is confirmed
	firstReadAt   time.Time      // when version was first read
	waitFor       time.Duration  // time from firstReadAt until its holder's lease has expired
	renewalSentAt time.Time      // when the write that last renewed the lease was sent
	term          uint64         // term of the version at which this process acquired the lease
	ordersIssued  uint64         // orders issued in this term
	highestToken  Token          // the highest token issued
	nonce         uint64         // of this process's last write
	// hasRead reports that the record was read; firstEra is the era of the first read.
	hasRead     bool
	firstEra    uint64
	unconfirmed map[uint64]time.Time // send times of this process's writes with unknown outcome, by nonce
	retryAt     time.Time            // no request to the platform is sent before this time
}

// Next returns the action that the caller must perform now to acquire or keep the lease.
func (g *Guard) Next(now time.Time) Action {
	if g.state == stateHolding && !now.Before(g.renewalSentAt.Add(shortenByDrift(TTL))) {
		// The lease expired, for example during a pause. Another process may hold it: read
		// first.
		g.state = stateUnread
	}
	switch {
	case now.Before(g.retryAt):
		return Action{Kind: WaitUntil, Until: g.retryAt}
	case g.state == stateUnread:
		return Action{Kind: ReadRecord}
	case g.state == stateWaiting:
		// The last holder may be alive and not have noticed yet that its lease has expired.
		// Its TTL, measured from this process's first read of its renewal and lengthened by
		// the clock drift, ends after the holder's own measurement.
		if end := g.firstReadAt.Add(g.waitFor); now.Before(end) {
			return Action{Kind: WaitUntil, Until: end}
		}
		return Action{Kind: ReadRecord}
	case g.state == stateHolding && now.Before(g.renewalSentAt.Add(RenewInterval)):
		return Action{Kind: WaitUntil, Until: g.renewalSentAt.Add(RenewInterval)}
	}
	return g.newWrite(now)
}

// newWrite returns a write of this process's record with a new nonce.
func (g *Guard) newWrite(now time.Time) Action {
	g.nonce++
	if g.unconfirmed == nil {
		g.unconfirmed = make(map[uint64]time.Time)
	}
	g.unconfirmed[g.nonce] = now
	return Action{Kind: WriteRecord, Version: g.version, Record: Record{Holder: g.Holder, Incarnation: g.Incarnation, Nonce: g.nonce}}
}

// Observe processes a read of the record; answered is when the reply arrived. A version
// with revision zero means that there is no record.
func (g *Guard) Observe(answered time.Time, r Record, version epoch.Position) {
	sentAt, unconfirmed := g.unconfirmed[r.Nonce]
	missing := version.Revision() == 0
	ownRecord := r.Holder == g.Holder && r.Incarnation == g.Incarnation && !missing
	restored := g.mayBeRestored(version)
	if !g.hasRead {
		g.hasRead, g.firstEra = true, version.Era()
	}
	switch {
	case restored:
		g.observeRestored(answered, version)
	case ownRecord && unconfirmed:
		// The write whose reply was lost took effect.
		g.confirmWrite(sentAt, version)
	case ownRecord && version == g.lastWrite, missing && g.neverRestored(version):
		// No other process has written the record since this one did, or ever: no other
		// process can be issuing orders, and the write is conditional on this version.
		g.state, g.version = stateFree, version
	case version != g.version || g.firstReadAt.IsZero():
		g.state, g.version, g.firstReadAt, g.waitFor = stateWaiting, version, answered, lengthenByDrift(TTL)
		if r.Released {
			g.waitFor = lengthenByDrift(OrderTimeout)
		}
	case answered.Sub(g.firstReadAt) >= g.waitFor:
		g.state = stateFree
	default:
		g.state = stateWaiting
	}
}

// neverRestored reports whether the store cannot have been restored from an older snapshot
// before that version.
func (g *Guard) neverRestored(version epoch.Position) bool {
	freshStore := g.FreshStore && version.Era() <= setUpEra && (!g.hasRead || version.Era() == g.firstEra)
	return freshStore || !version.MayBeRestored()
}

// mayBeRestored reports whether this read may be the first after the store was restored
// from an older snapshot.
func (g *Guard) mayBeRestored(version epoch.Position) bool {
	return !g.neverRestored(version) && (!g.hasRead || version.Era() != g.version.Era())
}

// observeRestored processes the first read after the store was restored from an older
// snapshot.
//
// The snapshot may lack the holder's renewals or its whole record, or contain the record of
// an earlier holder that had released the lease; a process that relied on it could become a
// second holder. A process that holds the lease by its own measurement is the only holder
// and writes the record again; all other processes wait for the whole duration of a lease,
// whatever the record contains.
func (g *Guard) observeRestored(answered time.Time, version epoch.Position) {
	held := g.term != 0 && answered.Before(g.renewalSentAt.Add(shortenByDrift(TTL)))
	g.version, g.lastWrite = version, 0
	if held {
		g.state = stateFree
		return
	}
	g.state, g.firstReadAt, g.waitFor = stateWaiting, answered, lengthenByDrift(TTL)
}

// Invalidate makes the next action read the record again. Call it when another process may
// have written the record.
func (g *Guard) Invalidate() {
	if g.state == stateWaiting {
		g.state = stateUnread
	}
}

// Release ends the term and returns the write that notifies the other processes, or false
// if this process does not hold the lease. No order may be issued afterwards.
//
// Without this write, the successor of a holder that is stopped as planned would wait for
// the whole TTL, during which no order is issued. After OrderTimeout the last order has
// arrived or failed, so the successor waits only for that time.
func (g *Guard) Release(now time.Time) (Action, bool) {
	if !g.Holds(now) {
		return Action{}, false
	}
	g.term, g.state = 0, stateUnread
	release := g.newWrite(now)
	release.Record.Released = true
	return release, true
}

// WriteSucceeded records that the write took effect; sent is when it was sent.
func (g *Guard) WriteSucceeded(sent time.Time, version epoch.Position) { g.confirmWrite(sent, version) }

// WriteConflicted records that another process had written first, so that this write had no
// effect.
func (g *Guard) WriteConflicted() { g.state = stateUnread }

// RequestFailed records that the reply to a read or write was lost, or that the platform
// returned an error. A holder keeps its lease until the lease expires.
func (g *Guard) RequestFailed(now time.Time) {
	g.retryAt = now.Add(RetryInterval)
	g.state = stateUnread
}

// confirmWrite records that a write sent at the given time took effect: the lease lasts from then.
func (g *Guard) confirmWrite(sent time.Time, version epoch.Position) {
	// A new term starts whenever another process may have held the lease in between.
	continued := g.term != 0 && sent.Before(g.renewalSentAt.Add(shortenByDrift(TTL)))
	if !continued {
		g.term, g.ordersIssued = version.Term(), 0
	}
	g.state, g.version, g.lastWrite, g.renewalSentAt, g.firstReadAt = stateHolding, version, version, sent, time.Time{}
	clear(g.unconfirmed)
}

// Issue returns the fencing token for one order, or an error if the lease does not last
// until the order has certainly arrived.
func (g *Guard) Issue(now time.Time) (Token, error) {
	if g.term == 0 || !now.Before(g.issueUntil()) {
		return 0, errors.WithStack(ErrNotHolder)
	}
	g.ordersIssued++
	token := newToken(g.term, g.ordersIssued)
	if token <= g.highestToken || g.ordersIssued >= 1<<sequenceBits {
		return 0, errors.WithStack(ErrStaleToken)
	}
	g.highestToken = token
	return token, nil
}

// Covers reports whether an order with a token that was issued before may be sent now: the
// holder's term has not changed since, and the lease lasts until the order has certainly arrived.
func (g *Guard) Covers(now time.Time, token Token) bool {
	return token.Term() == g.term && g.Holds(now)
}

// Complete records that the engine has accepted the order, or that the order certainly had
// no effect. It returns ErrOverrun if the lease may have expired before that.
func (g *Guard) Complete(now time.Time, token Token) error {
	if token.Term() != g.term || !now.Before(g.renewalSentAt.Add(shortenByDrift(TTL))) {
		return errors.WithStack(ErrOverrun)
	}
	return nil
}

// Holds reports whether an order may be issued now.
func (g *Guard) Holds(now time.Time) bool { return g.term != 0 && now.Before(g.issueUntil()) }

// issueUntil returns the time at which the holder stops issuing orders: OrderTimeout before
// the earliest time at which another process may start.
func (g *Guard) issueUntil() time.Time {
	return g.renewalSentAt.Add(shortenByDrift(TTL) - OrderTimeout)
}

// shortenByDrift returns the duration that this clock shows at the earliest when d has passed on
// another clock.
func shortenByDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - MaxClockDrift))
}

// lengthenByDrift returns the duration that this clock shows at the latest when d has passed on
// another clock.
func lengthenByDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + MaxClockDrift))
}
