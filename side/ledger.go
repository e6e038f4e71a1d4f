package side

import (
	"context"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/trace"
	"jacinthworks/wire"
)

// How much of the past a ledger keeps. An entry asks after an attempt within
// its deadline, minutes at most; a person asks later, through the entry's
// written story. The count bounds memory at the letter's rates: two requests
// a second and side for ten minutes is 1,200.
const (
	keepEnded = 10 * time.Minute
	keepMost  = 4096
)

// reportLag is how old an engine's report may be. What ended since still stands
// in it, and is not cancelled for that.
const reportLag = 400 * time.Millisecond

// step is how far an order has come.
type step int

const (
	stepWaiting step = iota // accepted, the upstream knows nothing of it
	stepHanded              // the upstream may have begun it
	stepEnded
)

// order is one attempt at one stage, as its side knows it.
type order struct {
	run      wire.Run
	entry    domain.Host
	step     step
	tokens   []string
	last     bool
	outcome  wire.Outcome
	attached int
	// detached is when the last entry let go; zero while one is attached.
	detached time.Time
	ended    time.Time
	cancel   context.CancelFunc
	// gone says that nobody wants the outcome any more.
	gone bool
	// untaken says that no entry was attached when the order ended.
	untaken bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// OrderTable is the exact account of what a side was asked to do. Its rules: an
// attempt begins at most once; an attempt refused beforehand never begins; no
// order that was cancelled or refused is handed to the upstream; an order ends
// once. The zero value is ready to use. One lock guards it all; nothing is
// called while it is held.
type OrderTable struct {
	mu     sync.Mutex
	orders map[wire.AttemptRef]*order
	// live are the orders that have not ended. What is asked at each call,
	// heartbeat and sweep goes over these: orders remembers thousands.
	live    map[wire.AttemptRef]*order
	refused map[wire.AttemptRef]time.Time
	ended   []wire.AttemptRef
	// forgotten is the highest number of a request that was dropped, by the
	// life of the entry that numbered it.
	forgotten map[trace.ID]uint64
}

// begin takes an order in, or refuses it.
func (l *OrderTable) begin(run wire.Run, entry domain.Host, cancel context.CancelFunc) (*order, *wire.RefusalError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	// The failure: an entry gave the attempt up and said not_run while the
	// order was still on its way to a side that was frozen. It shows as work
	// that runs after its refusal. Refusing by name beforehand holds, because
	// the order can arrive no more than once and meets the name.
	if _, given := l.refused[run.AttemptRef]; given {
		return nil, &wire.RefusalError{Reason: domain.ReasonLost, Ran: domain.NotRun, Detail: "the attempt was given up before it arrived"}
	}
	if o := l.orders[run.AttemptRef]; o != nil {
		return nil, &wire.RefusalError{Reason: domain.ReasonInProgress, Ran: domain.Unknown, Detail: "the attempt is here already"}
	}
	o := &order{run: run, entry: entry, cancel: cancel, attached: 1, changed: make(chan struct{})}
	l.orders[run.AttemptRef] = o
	l.live[run.AttemptRef] = o
	return o, nil
}

// hand marks the order as handed to the upstream, or reports false if it was
// given up before. After true, only the upstream's word can make it not_run.
func (l *OrderTable) hand(o *order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.gone || o.step != stepWaiting {
		return false
	}
	o.step = stepHanded
	return true
}

// token adds the token at the given offset; one at another offset is dropped.
func (l *OrderTable) token(o *order, offset int, text string, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.step == stepEnded || offset != len(o.tokens) {
		return
	}
	o.tokens = append(o.tokens, text)
	o.last = last
	o.wake()
}

// end settles the order; only the first end counts.
func (l *OrderTable) end(o *order, out wire.Outcome, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.step == stepEnded {
		return
	}
	if o.step == stepWaiting {
		out.Ran = domain.NotRun
	}
	out.AttemptRef, out.Tokens = o.run.AttemptRef, len(o.tokens)
	o.step, o.outcome, o.ended = stepEnded, out, now
	// The entry that follows lets go as soon as it hears of the end: whether
	// one was there is decided now.
	o.untaken = o.attached == 0
	delete(l.live, o.run.AttemptRef)
	l.ended = append(l.ended, o.run.AttemptRef)
	o.wake()
	l.forget(now)
}

// settle gives the account of an attempt, and refuses it for good if it is
// not known here or was not handed over yet.
func (l *OrderTable) settle(ref wire.AttemptRef, now time.Time) wire.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	o := l.orders[ref]
	if o == nil {
		l.refused[ref] = now
		return wire.Outcome{AttemptRef: ref, Ran: l.ranUnseen(ref), Reason: domain.ReasonLost}
	}
	switch o.step {
	case stepWaiting:
		o.gone = true
		o.cancel()
		return wire.Outcome{AttemptRef: ref, Ran: domain.NotRun, Reason: domain.ReasonLost}
	case stepHanded:
		return wire.Outcome{AttemptRef: ref, Ran: domain.Unknown, Reason: domain.ReasonInProgress}
	}
	return o.outcome
}

// giveUp marks the order as unwanted and stops its work.
func (l *OrderTable) giveUp(ref wire.AttemptRef, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	o := l.orders[ref]
	if o == nil {
		l.refused[ref] = now
		return
	}
	o.gone = true
	o.cancel()
}

// attach joins the order; the caller must detach.
func (l *OrderTable) attach(ref wire.AttemptRef) *order {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orders[ref]
	if o == nil {
		return nil
	}
	o.attached++
	o.detached = time.Time{}
	return o
}

func (l *OrderTable) detach(o *order, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.attached--
	if o.attached == 0 {
		o.detached = now
	}
}

// follow gives the tokens from an offset on, whether the order has ended, and
// a channel that closes at the next change.
func (l *OrderTable) follow(o *order, from int) (tokens []string, ended bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < len(o.tokens) {
		tokens = o.tokens[from:len(o.tokens):len(o.tokens)]
	}
	return tokens, o.step == stepEnded, o.changed
}

// orphans gives up orders for models that no entry has been attached to for
// the given time, and names them. A plain call is left to run: its outcome is
// still wanted, by whoever sends the same key again.
func (l *OrderTable) orphans(now time.Time, after time.Duration) []wire.AttemptRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refs []wire.AttemptRef
	for ref, o := range l.live {
		if o.gone || ref.Stage == wire.StageCall {
			continue
		}
		if o.attached == 0 && now.Sub(o.detached) >= after {
			o.gone = true
			o.cancel()
			refs = append(refs, ref)
		}
	}
	return refs
}

// holds says whether the request may rightly hold engine memory: an order of
// it is in progress, or its prefill's cache still has life and an attempt
// that wants it.
func (l *OrderTable) holds(id domain.RequestID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ref, o := range l.orders {
		if ref.Request != id || o.gone {
			continue
		}
		if o.step != stepEnded || now.Sub(o.ended) < reportLag {
			return true
		}
		if kv := o.outcome.KV; kv != nil && now.Sub(o.ended) < kv.Life {
			return true
		}
	}
	return false
}

// busy counts the orders in progress.
func (l *OrderTable) busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.live)
}

// untaken says whether the order ended with no entry attached to it.
func (l *OrderTable) untaken(o *order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return o.untaken
}

func (l *OrderTable) init() {
	if l.orders == nil {
		l.orders = make(map[wire.AttemptRef]*order)
		l.live = make(map[wire.AttemptRef]*order)
		l.refused = make(map[wire.AttemptRef]time.Time)
		l.forgotten = make(map[trace.ID]uint64)
	}
}

// ranUnseen is the account of an attempt that is not remembered. The failure:
// it ran, and thousands of short calls have ended since. It shows as a true
// "ran" that is told as "not run". An entry numbers its requests in order, so
// that only one above all those dropped can never have been here.
func (l *OrderTable) ranUnseen(ref wire.AttemptRef) domain.Execution {
	life, number := numbered(ref.Request)
	if highest, dropped := l.forgotten[life]; dropped && number <= highest {
		return domain.Unknown
	}
	return domain.NotRun
}

// numbered takes a request id apart into the entry's life, which is the id
// without its number, and the number.
func numbered(id domain.RequestID) (life trace.ID, number uint64) {
	parts, err := trace.ParseID(id)
	if err != nil {
		return trace.ID{}, 0
	}
	number, parts.Number = parts.Number, 0
	return parts, number
}

// forget drops what ended too long ago, and the oldest beyond the bound.
func (l *OrderTable) forget(now time.Time) {
	for len(l.ended) > 0 {
		o := l.orders[l.ended[0]]
		if len(l.ended) <= keepMost && now.Sub(o.ended) < keepEnded {
			break
		}
		life, number := numbered(o.run.Request)
		l.forgotten[life] = max(l.forgotten[life], number)
		delete(l.orders, l.ended[0])
		l.ended = l.ended[1:]
	}
	if len(l.refused) <= keepMost {
		return
	}
	for ref, at := range l.refused {
		if now.Sub(at) >= keepEnded {
			delete(l.refused, ref)
		}
	}
}

func (o *order) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// promptTokens counts the prompt tokens of prefills in progress.
func (l *OrderTable) promptTokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for ref, o := range l.live {
		if ref.Stage == wire.StagePrefill && o.run.Prefill != nil {
			n += o.run.Prefill.PromptTokens
		}
	}
	return n
}
