// Package fence guards an engine that ignores fencing numbers. The side beside
// the engine gives orders only while it holds the order lease, and stops well
// before the lease can pass on. It imports no network; times are passed in.
//
// Load pattern: none; the failure is a side that was paused, or cut from the
// platform, and goes on giving orders after another has taken over. An engine
// that honours fencing numbers refuses the old order. One that ignores them
// loads the old model over the new one, and both sides believe that they have
// had their way. The tests bring this about, and show that it appears when the
// margin is taken away.
//
// The lease is a record in the platform, written by conditional update. Its
// holder counts its time from before it sent the write that renewed it; another
// counts from after it has read that renewal. So the holder's time ends first,
// whatever their clocks show, as long as both run at nearly the same rate.
// Times passed in must carry Go's monotonic reading: a wall clock that is set
// back would lengthen the lease.
//
// What the guard does not cover: a pause longer than OrderTimeout between May and
// the engine's taking of the order. Gave tells whether that came about, and
// the next holder reads the engine's state and gives its own order again.
//
// # Usage
//
//	g := fence.Guard{Holder: host, Incarnation: incarnation}
//	switch a := g.Next(now); a.Do {
//	case fence.Read:  // read the record
//		g.Saw(now, record, version)
//	case fence.Write: // sent := now; write a.Record if at version a.At
//		g.Wrote(sent, version) // or g.Conflicted() or g.NoAnswer(), as it went
//	case fence.Wait:  // call Next again at a.Until
//	}
//	number, err := g.May(now)          // before an order; the number goes with it
//	err = g.Gave(now, number)          // after it
package fence

import (
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/epoch"
)

const (
	// TTL is how long the lease lasts from its last renewal. It bounds how
	// long no orders are given after its holder died, in which a load that
	// shifts meets engines of the wrong role: with 15 s, hosts stopped in turn
	// left engines without orders for 26 s.
	TTL = 8 * time.Second
	// RenewInterval is the age at which a holder that has orders to give renews: one
	// renewal may fail before it stops giving orders.
	RenewInterval = TTL / 4
	// OrderTimeout is the longest that an order may take from May until the
	// engine has taken it. The adapter's timeout must be shorter.
	OrderTimeout = 4 * time.Second
	// MaxClockDrift is the share by which two monotonic clocks may differ in rate.
	// Crystals stay within 0.02%; 1% covers a clock that is being slewed.
	MaxClockDrift = 0.01
	// RetryInterval is the pause after an answer that was lost or refused.
	RetryInterval = 500 * time.Millisecond
	// setUpEra is the highest era of a platform that was just set up, whether it counts
	// from zero or from one.
	setUpEra = 1
)

// The errors of May and Gave.
var (
	// ErrNotHolder says that the side does not hold the lease, or not for long
	// enough to give an order.
	ErrNotHolder = errors.New("fence: order lease not held")
	// ErrStaleToken says that a higher number was given already.
	ErrStaleToken = errors.New("fence: old fencing number")
	// ErrOverrun says that the order may have reached the engine after the
	// lease had passed on: read the engine's state before anything else.
	ErrOverrun = errors.New("fence: order overran the lease")
)

// Token is a fencing number. It grows with every order, also from one holder
// to the next.
type Token uint64

// sequenceBits leaves a million orders to one holding of the lease.
const sequenceBits = 20

func number(term, sequence uint64) Token { return Token(term<<sequenceBits | sequence) }

// Term gives what of the number is the holder's: it grows with the platform's version
// of the record at which the holder took the lease.
func (n Token) Term() uint64 { return uint64(n) >> sequenceBits }

// Record is the lease as the platform holds it.
type Record struct {
	Holder      domain.Host        `json:"holder"`
	Incarnation domain.Incarnation `json:"incarnation"`
	// Nonce tells two writes of one holder apart, so that a lost answer is
	// settled by reading.
	Nonce uint64 `json:"nonce"`
	// Released says that the holder gave its last order before it wrote this.
	Released bool `json:"released,omitempty"`
}

// ActionKind is what the guard asks of its owner.
type ActionKind string

// The actions.
const (
	Read  ActionKind = "read"
	Write ActionKind = "write"
	Wait  ActionKind = "wait"
)

// Action is what to do next. Record and At are set for Write, Until for Wait.
type Action struct {
	Kind    ActionKind
	Record  Record
	Version epoch.Position
	Until   time.Time
}

type state int

const (
	unread  state = iota // nothing known: read before anything else
	waiting              // another holds it, or did: wait until it must have stopped
	free                 // nobody can hold it: write
	holding
)

// Guard is the state machine. Set Holder and Incarnation; the rest works from
// zero. It belongs to one goroutine, which also gives the orders.
type Guard struct {
	Holder      domain.Host
	Incarnation domain.Incarnation
	// Fresh says that the platform's store was just set up, so that nobody can have held
	// the lease before in the era that is found.
	Fresh bool

	state   state
	version epoch.Position // of the record as last read or written
	own     epoch.Position // of our last write that is known to have taken effect
	seen    time.Time      // when that version was first read
	ends    time.Duration  // from then to the end of its holder's time
	renewed time.Time      // when the write that renewed our lease was sent
	term    uint64         // version at which we took it
	given   uint64         // orders given in this term
	highest Token
	nonce   uint64
	// read says that the record was read, firstEra is the era of the first reading.
	read     bool
	firstEra uint64
	sent     map[uint64]time.Time // our writes without a known outcome, by nonce
	retry    time.Time
}

// Next says what to do now.
func (g *Guard) Next(now time.Time) Action {
	if g.state == holding && !now.Before(g.renewed.Add(shorter(TTL))) {
		// Lapsed, such as after a pause. Another may hold it: read first.
		g.state = unread
	}
	switch {
	case now.Before(g.retry):
		return Action{Kind: Wait, Until: g.retry}
	case g.state == unread:
		return Action{Kind: Read}
	case g.state == waiting:
		// Guard: the last holder may be alive and not yet know that its time
		// is over. Its TTL, counted from our first reading of its renewal, and
		// lengthened by drift, ends after its own count of it.
		if end := g.seen.Add(g.ends); now.Before(end) {
			return Action{Kind: Wait, Until: end}
		}
		return Action{Kind: Read}
	case g.state == holding && now.Before(g.renewed.Add(RenewInterval)):
		return Action{Kind: Wait, Until: g.renewed.Add(RenewInterval)}
	}
	return g.write(now)
}

func (g *Guard) write(now time.Time) Action {
	g.nonce++
	if g.sent == nil {
		g.sent = make(map[uint64]time.Time)
	}
	g.sent[g.nonce] = now
	return Action{Kind: Write, Version: g.version, Record: Record{Holder: g.Holder, Incarnation: g.Incarnation, Nonce: g.nonce}}
}

// Observe takes a reading of the record that was answered at the given time. A version
// with revision zero says that there is no record.
func (g *Guard) Observe(answered time.Time, r Record, version epoch.Position) {
	sent, ours := g.sent[r.Nonce]
	missing := version.Revision() == 0
	self := r.Holder == g.Holder && r.Incarnation == g.Incarnation && !missing
	copied := g.isCopy(version)
	if !g.read {
		g.read, g.firstEra = true, version.Era()
	}
	switch {
	case copied:
		g.sawCopy(answered, version)
	case self && ours:
		// The write whose answer was lost took effect.
		g.took(sent, version)
	case self && version == g.own, missing && g.isSound(version):
		// Nobody wrote since we did, or ever: nobody else can be giving
		// orders, and the write is conditional on its staying so.
		g.state, g.version = free, version
	case version != g.version || g.seen.IsZero():
		g.state, g.version, g.seen, g.ends = waiting, version, answered, longer(TTL)
		if r.Released {
			g.ends = longer(OrderTimeout)
		}
	case answered.Sub(g.seen) >= g.ends:
		g.state = free
	default:
		g.state = waiting
	}
}

// isSound says whether the platform can't have come back from a copy by then.
func (g *Guard) isSound(version epoch.Position) bool {
	set := g.Fresh && version.Era() <= setUpEra && (!g.read || version.Era() == g.firstEra)
	return set || !version.MayBeRestored()
}

// isCopy says whether a reading may be the first after the platform came back from a copy.
func (g *Guard) isCopy(version epoch.Position) bool {
	return !g.isSound(version) && (!g.read || version.Era() != g.version.Era())
}

// sawCopy takes the first reading after the platform came back from an older copy.
//
// Failure: the holder's renewals are gone from the copy, or its whole record, or the
// record tells of a holder before it that had released the lease. It shows as two
// holders. Whoever holds the lease by its own count holds it alone, and writes it anew;
// all others wait for the whole time of a lease, whatever the record says.
func (g *Guard) sawCopy(answered time.Time, version epoch.Position) {
	held := g.term != 0 && answered.Before(g.renewed.Add(shorter(TTL)))
	g.version, g.own = version, 0
	if held {
		g.state = free
		return
	}
	g.state, g.seen, g.ends = waiting, answered, longer(TTL)
}

// Invalidate has the record read again, where another is thought to have written it.
func (g *Guard) Invalidate() {
	if g.state == waiting {
		g.state = unread
	}
}

// Release ends the holding for good and gives the write that tells the others,
// or false where there is nothing to release. No order may be given after it.
//
// Failure: the holder is stopped as planned, and whoever is next waits for the
// whole TTL, in which no order is given. What is on its way of the last order
// has arrived after OrderTimeout, which is all that a successor waits for.
func (g *Guard) Release(now time.Time) (Action, bool) {
	if !g.Holds(now) {
		return Action{}, false
	}
	g.term, g.state = 0, unread
	a := g.write(now)
	a.Record.Released = true
	return a, true
}

// WriteSucceeded says that the write took effect. It was sent at the given time.
func (g *Guard) WriteSucceeded(sent time.Time, version epoch.Position) { g.took(sent, version) }

// WriteConflicted says that another wrote first: nothing was written.
func (g *Guard) WriteConflicted() { g.state = unread }

// RequestFailed says that the answer to a read or write was lost, or that the
// platform refused it. A holder keeps what it has until that ends.
func (g *Guard) RequestFailed(now time.Time) {
	g.retry = now.Add(RetryInterval)
	g.state = unread
}

func (g *Guard) took(sent time.Time, version epoch.Position) {
	// A new term whenever the lease may have been out of our hands.
	kept := g.term != 0 && sent.Before(g.renewed.Add(shorter(TTL)))
	if !kept {
		g.term, g.given = version.Term(), 0
	}
	g.state, g.version, g.own, g.renewed, g.seen = holding, version, version, sent, time.Time{}
	clear(g.sent)
}

// Issue gives the fencing number for one order, or an error if the lease does
// not last until the order has surely arrived.
func (g *Guard) Issue(now time.Time) (Token, error) {
	if g.term == 0 || !now.Before(g.stop()) {
		return 0, errors.WithStack(ErrNotHolder)
	}
	g.given++
	n := number(g.term, g.given)
	if n <= g.highest || g.given >= 1<<sequenceBits {
		return 0, errors.WithStack(ErrStaleToken)
	}
	g.highest = n
	return n, nil
}

// Complete says that the engine has taken the order, or that its outcome is known
// to be none. It returns ErrOverrun when the lease may have passed on by then.
func (g *Guard) Complete(now time.Time, n Token) error {
	if n.Term() != g.term || !now.Before(g.renewed.Add(shorter(TTL))) {
		return errors.WithStack(ErrOverrun)
	}
	return nil
}

// Holds reports whether an order may be given now.
func (g *Guard) Holds(now time.Time) bool { return g.term != 0 && now.Before(g.stop()) }

// stop is when the holder gives its last order: OrderTimeout before the earliest
// moment at which another may start.
func (g *Guard) stop() time.Time { return g.renewed.Add(shorter(TTL) - OrderTimeout) }

func shorter(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - MaxClockDrift)) }
func longer(d time.Duration) time.Duration  { return time.Duration(float64(d) * (1 + MaxClockDrift)) }
