package side

import (
	"context"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// Retention of ended orders. An entry asks for the outcome of an attempt within
// the attempt's deadline, which is minutes at most; operators who ask later use
// the trace that the entry wrote. maxEnded bounds memory: two requests per
// second per side over ten minutes are 1,200 orders.
const (
	endedRetention = 10 * time.Minute
	maxEnded       = 4096
)

// stateLag is the maximum age of the state that an engine reports. A request
// that ended within this time may still be listed as running there, and must
// not be cancelled because of that.
const stateLag = 400 * time.Millisecond

// orderState is the progress of an order.
type orderState int

const (
	orderWaiting orderState = iota // accepted, not sent to the upstream
	orderSent                      // sent to the upstream, which may have begun it
	orderEnded
)

// order is one stage of one attempt that an entry asked this side to run.
type order struct {
	run    wire.RunRequest
	entry  domain.Host
	state  orderState
	sentAt time.Time // when it was sent to the upstream
	tokens []string
	// last is set once the token that ends the answer was added.
	last    bool
	outcome wire.Outcome
	// attached is the number of entries that follow the order.
	attached int
	// detachedAt is when the last attached entry detached; zero while an entry
	// is attached.
	detachedAt time.Time
	endedAt    time.Time
	cancel     context.CancelFunc
	// abandoned is set once no entry wants the outcome any more.
	abandoned bool
	// endedDetached is set if no entry was attached when the order ended.
	endedDetached bool
	// changed is closed and replaced when a token is added or the order ends.
	changed chan struct{}
}

// OrderTable tracks the orders that a side was asked to run. An attempt begins
// at most once; an attempt that was refused before it arrived never begins; an
// order that was cancelled or refused is never sent to the upstream; an order
// ends once. The zero value is ready to use. One lock guards all of it; while
// it is held, only the cancel functions of the orders' contexts are called.
type OrderTable struct {
	mu     sync.Mutex
	orders map[wire.AttemptRef]*order
	// running holds the orders that have not ended. The checks at each call,
	// heartbeat and sweep iterate over running, because orders also holds
	// thousands of ended orders.
	running map[wire.AttemptRef]*order
	// refusedAttempts holds the attempts that were refused before they
	// arrived, and the time of the refusal.
	refusedAttempts map[wire.AttemptRef]time.Time
	// endedOrders lists the ended orders in the order of their ends.
	endedOrders []wire.AttemptRef
	// highestRemoved is the highest request number among the removed
	// orders, by the incarnation of the entry that numbered the request.
	highestRemoved map[trace.ID]uint64
}

// begin accepts an order, or refuses it if its attempt was refused before or is
// in the table already.
func (l *OrderTable) begin(run wire.RunRequest, entry domain.Host, cancel context.CancelFunc) (*order, *wire.RefusalError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	// An entry may abandon an attempt and report not_run while the order is
	// still on its way to a side that was frozen; the work must not run after
	// that refusal. An order arrives at most once, so that an attempt that is
	// in refused when its order arrives never runs.
	if _, refusedBefore := l.refusedAttempts[run.AttemptRef]; refusedBefore {
		return nil, &wire.RefusalError{Reason: domain.ReasonLost, Execution: domain.NotRun, Detail: "the attempt was given up before it arrived"}
	}
	if o := l.orders[run.AttemptRef]; o != nil {
		return nil, &wire.RefusalError{Reason: domain.ReasonInProgress, Execution: domain.Unknown, Detail: "the attempt is here already"}
	}
	o := &order{run: run, entry: entry, cancel: cancel, attached: 1, changed: make(chan struct{})}
	l.orders[run.AttemptRef] = o
	l.running[run.AttemptRef] = o
	return o, nil
}

// markSent marks the order as sent to the upstream, and reports whether it may
// be sent: an abandoned or ended order may not. Once markSent has returned true,
// the outcome is not_run only if the upstream itself reports so.
func (l *OrderTable) markSent(o *order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.abandoned || o.state != orderWaiting {
		return false
	}
	o.state, o.sentAt = orderSent, time.Now()
	return true
}

// addToken adds a token of the answer. It ignores a token whose offset is not
// the number of tokens received so far, and any token after the order's end.
func (l *OrderTable) addToken(o *order, offset int, text string, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.state == orderEnded || offset != len(o.tokens) {
		return
	}
	o.tokens = append(o.tokens, text)
	o.last = last
	o.notifyChanged()
}

// end stores the outcome of the order. Only the first call for an order has an
// effect.
func (l *OrderTable) end(o *order, outcome wire.Outcome, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.state == orderEnded {
		return
	}
	if o.state == orderWaiting {
		outcome.Execution = domain.NotRun
	}
	outcome.AttemptRef, outcome.Tokens = o.run.AttemptRef, len(o.tokens)
	o.state, o.outcome, o.endedAt = orderEnded, outcome, now
	// An attached entry detaches as soon as it receives the outcome, so that a
	// later check would see no attached entry.
	o.endedDetached = o.attached == 0
	delete(l.running, o.run.AttemptRef)
	l.endedOrders = append(l.endedOrders, o.run.AttemptRef)
	o.notifyChanged()
	l.removeOld(now)
}

// settle returns the outcome of an attempt. An attempt that has not arrived, or
// that was not sent to the upstream yet, is refused permanently.
func (l *OrderTable) settle(ref wire.AttemptRef, now time.Time) wire.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	o := l.orders[ref]
	if o == nil {
		l.refusedAttempts[ref] = now
		return wire.Outcome{AttemptRef: ref, Execution: l.unknownAttemptRan(ref), Reason: domain.ReasonLost}
	}
	switch o.state {
	case orderWaiting:
		o.abandoned = true
		o.cancel()
		return wire.Outcome{AttemptRef: ref, Execution: domain.NotRun, Reason: domain.ReasonLost}
	case orderSent:
		return wire.Outcome{AttemptRef: ref, Execution: domain.Unknown, Reason: domain.ReasonInProgress}
	}
	return o.outcome
}

// abandon cancels the work of an attempt whose outcome is not wanted any more,
// and refuses the attempt if it has not arrived.
func (l *OrderTable) abandon(ref wire.AttemptRef, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	o := l.orders[ref]
	if o == nil {
		l.refusedAttempts[ref] = now
		return
	}
	o.abandoned = true
	o.cancel()
}

// attach registers one more entry that follows the order, and returns nil for
// an unknown attempt. The caller must call detach.
func (l *OrderTable) attach(ref wire.AttemptRef) *order {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orders[ref]
	if o == nil {
		return nil
	}
	o.attached++
	o.detachedAt = time.Time{}
	return o
}

// detach unregisters one entry that followed the order.
func (l *OrderTable) detach(o *order, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.attached--
	if o.attached == 0 {
		o.detachedAt = now
	}
}

// tokensFrom returns the tokens from an offset on, whether the order has ended,
// and a channel that is closed at the order's next change.
func (l *OrderTable) tokensFrom(o *order, from int) (tokens []string, ended bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < len(o.tokens) {
		tokens = o.tokens[from:len(o.tokens):len(o.tokens)]
	}
	return tokens, o.state == orderEnded, o.changed
}

// abandonOrphans abandons the prefill and decode orders that have had no
// attached entry for at least the given time, and returns their references.
// Calls to application servers continue to run: their outcome is still wanted
// by a caller that retries with the same idempotency key.
func (l *OrderTable) abandonOrphans(now time.Time, after time.Duration) []wire.AttemptRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	var abandoned []wire.AttemptRef
	for ref, o := range l.running {
		if o.abandoned || ref.Stage == wire.StageCall {
			continue
		}
		if o.attached == 0 && now.Sub(o.detachedAt) >= after {
			o.abandoned = true
			o.cancel()
			abandoned = append(abandoned, ref)
		}
	}
	return abandoned
}

// mayHoldMemory reports whether the request may hold engine memory. It may if
// one of its orders is not abandoned and is in progress, ended less than
// stateLag ago, or ended with KV cache whose lifetime has not passed.
func (l *OrderTable) mayHoldMemory(id domain.RequestID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ref, o := range l.orders {
		if ref.Request != id || o.abandoned {
			continue
		}
		if o.state != orderEnded || now.Sub(o.endedAt) < stateLag {
			return true
		}
		if kv := o.outcome.KV; kv != nil && now.Sub(o.endedAt) < kv.TTL {
			return true
		}
	}
	return false
}

// runningCount returns the number of orders that have not ended.
func (l *OrderTable) runningCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}

// endedDetached reports whether no entry was attached when the order ended.
func (l *OrderTable) endedDetached(o *order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return o.endedDetached
}

// init makes the maps of a zero OrderTable. The caller holds the lock.
func (l *OrderTable) init() {
	if l.orders == nil {
		l.orders = make(map[wire.AttemptRef]*order)
		l.running = make(map[wire.AttemptRef]*order)
		l.refusedAttempts = make(map[wire.AttemptRef]time.Time)
		l.highestRemoved = make(map[trace.ID]uint64)
	}
}

// unknownAttemptRan returns whether an attempt that is not in the table ran:
// NotRun or Unknown. An attempt that ran is removed once thousands of later
// calls have ended, and must not be reported as not run. An entry numbers its
// requests in ascending order, so that only an attempt whose request number is
// higher than every removed one has certainly never been in the table.
func (l *OrderTable) unknownAttemptRan(ref wire.AttemptRef) domain.Execution {
	incarnation, number := splitRequestID(ref.Request)
	if highest, removed := l.highestRemoved[incarnation]; removed && number <= highest {
		return domain.Unknown
	}
	return domain.NotRun
}

// splitRequestID splits a request id into the id of the entry's incarnation,
// which is the request id without its number, and the number. It returns zero
// values for an id that cannot be parsed.
func splitRequestID(id domain.RequestID) (incarnation trace.ID, number uint64) {
	parts, err := trace.ParseID(id)
	if err != nil {
		return trace.ID{}, 0
	}
	number, parts.Number = parts.Number, 0
	return parts, number
}

// removeOld removes the orders that ended at least endedRetention ago, and the
// oldest ended orders beyond maxEnded. It removes old refusals once there are
// more than maxEnded.
func (l *OrderTable) removeOld(now time.Time) {
	for len(l.endedOrders) > 0 {
		o := l.orders[l.endedOrders[0]]
		if len(l.endedOrders) <= maxEnded && now.Sub(o.endedAt) < endedRetention {
			break
		}
		incarnation, number := splitRequestID(o.run.Request)
		l.highestRemoved[incarnation] = max(l.highestRemoved[incarnation], number)
		delete(l.orders, l.endedOrders[0])
		l.endedOrders = l.endedOrders[1:]
	}
	if len(l.refusedAttempts) <= maxEnded {
		return
	}
	for ref, at := range l.refusedAttempts {
		if now.Sub(at) >= endedRetention {
			delete(l.refusedAttempts, ref)
		}
	}
}

// notifyChanged wakes the goroutines that wait for a change of the order. The
// caller holds the table's lock.
func (o *order) notifyChanged() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// queuedPromptTokens returns the number of prompt tokens of the prefills that
// have not ended.
func (l *OrderTable) queuedPromptTokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := 0
	for ref, o := range l.running {
		if ref.Stage == wire.StagePrefill && o.run.Prefill != nil {
			tokens += o.run.Prefill.PromptTokens
		}
	}
	return tokens
}
