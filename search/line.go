// Package search lets requests look for room one at a time, in the order of their queue.
//
// The load pattern it answers: engines are full. Where all look at once, a small request
// takes each place that comes free, and one that needs more memory never finds enough of it.
//
// # Usage
//
//	var lines search.Queues
//	l := lines.Line(service)
//	if refusal := l.Enter(ctx, item, until); refusal != nil {
//		return refusal
//	}
//	defer l.Leave()
//	select {
//	case <-l.Freed(): // a place may have come free
//	case <-ctx.Done():
//	}
package search

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthworks/delay"
	"jacinthworks/domain"
	"jacinthworks/queue"
)

// Queue is that of one service. Get it from Lines; it must not be copied.
type Queue struct {
	// RetryAfter say when what is refused should return, Stagger the same where upstreams
	// have asked for a pause.
	RetryAfter delay.RetryEstimator
	Stagger    delay.Stagger

	mu     sync.Mutex // a leaf
	queue  queue.Queue
	turns  map[domain.RequestID]chan *queue.Refusal
	busy   bool
	random *rand.Rand
	// freed is told when a place may have come free.
	freed chan struct{}
	// toFirst is the time from finding room to the first event, as measured.
	toFirst time.Duration
	// short is when an engine last had no room.
	short time.Time
	// large is the memory that a large request needs, as seen lately.
	large float64
}

// Queues holds the line of each service. The zero value is ready to use; it must not be
// copied.
type Queues struct {
	mu sync.Mutex // a leaf
	of map[domain.Service]*Queue
}

// For gives the line of a service.
func (l *Queues) For(s domain.Service) *Queue {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.of == nil {
		l.of = make(map[domain.Service]*Queue)
	}
	if l.of[s] == nil {
		l.of[s] = &Queue{
			turns: make(map[domain.RequestID]chan *queue.Refusal), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			freed: make(chan struct{}, 1), toFirst: firstGuess,
		}
	}
	return l.of[s]
}

const (
	// firstGuess stands in until a stream has begun: a prompt of 3,000 tokens
	// at 20 tokens a ms, and a step of its decode.
	firstGuess = 170 * time.Millisecond
	// firstKeep is the weight of what was known in each new measurement.
	firstKeep = 0.8
)

const (
	// contended is how long after an engine had no room smaller requests leave
	// room for larger ones.
	contended = 2 * time.Second
	// marginPart is the part of what a large request needs more that a smaller
	// one has to find free as well. A whole part levels the sizes, and serves fewer in
	// time.
	marginPart = 0.25
	// largeFade is how the need of the largest request seen falls with each
	// request: by half in some 70.
	largeFade = 0.99
)

// RecordFull notes that an engine had no room.
func (l *Queue) RecordFull(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.short = now
}

// Headroom gives how much more memory than it needs a request must find.
//
// Load pattern: engines are nearly full, and what comes free is taken at once
// by whoever fits into it. Requests of 6,000 tokens were refused four times as
// often as those of 2,000. While requests are refused, smaller ones have to
// Leave part of a large one's room.
func (l *Queue) Headroom(now time.Time, need int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.large = max(largeFade*l.large, float64(need))
	if l.short.IsZero() || now.Sub(l.short) > contended {
		return 0
	}
	return int(marginPart * max(0, l.large-float64(need)))
}

// RecordFirstEvent notes the time from finding room to the first event.
func (l *Queue) RecordFirstEvent(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toFirst = time.Duration(firstKeep*float64(l.toFirst) + (1-firstKeep)*float64(took))
}

// Acquire waits for the request's turn. A refusal says that there is none; else
// Leave must be called.
func (l *Queue) Acquire(ctx context.Context, i queue.Item, until time.Time) *queue.Refusal {
	turn, refusal := l.arrive(i)
	if turn == nil {
		return refusal
	}
	lapse := time.NewTimer(time.Until(until))
	defer lapse.Stop()
	for {
		select {
		case refusal := <-turn:
			return refusal
		case <-lapse.C:
			l.mu.Lock()
			l.sweep(time.Now())
			l.mu.Unlock()
			lapse.Reset(lapseAgain)
		case <-ctx.Done():
			return l.abandon(i, turn)
		}
	}
}

// lapseAgain is the time to the next look at a wait that should have lapsed; a
// timer may be early by less than that.
const lapseAgain = 5 * time.Millisecond

func (l *Queue) arrive(i queue.Item) (chan *queue.Refusal, *queue.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sweep(now)
	v := l.queue.Enqueue(now, i, l.random)
	if v.Refusal != nil {
		return nil, v.Refusal
	}
	turn := make(chan *queue.Refusal, 1)
	l.turns[i.ID] = turn
	l.refuse(v.Shed)
	if !l.busy {
		l.next(now)
	}
	return turn, nil
}

// abandon takes out a request whose caller is gone, and passes on a turn that
// it was given meanwhile.
func (l *Queue) abandon(i queue.Item, turn chan *queue.Refusal) *queue.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.queue.Remove(now, i.ID) {
		if refusal := <-turn; refusal == nil {
			l.next(now)
		}
	}
	delete(l.turns, i.ID)
	return &queue.Refusal{Reason: domain.ReasonCallerGone}
}

// Release passes the turn on.
func (l *Queue) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sweep(now)
	l.next(now)
}

// Expire gives the refusal of the request whose turn it is and for which no
// room was found in time.
func (l *Queue) Expire(i queue.Item) *queue.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.queue.Requeue(now, i)
	own := &queue.Refusal{Reason: domain.ReasonTooLate, Detail: queue.DetailExpired}
	for _, r := range l.queue.RemoveExpired(now, l.random) {
		if r.Item.ID == i.ID {
			own = &r.Refusal
			continue
		}
		l.refuse([]queue.Refused{r})
	}
	l.queue.Remove(now, i.ID)
	return own
}

func (l *Queue) sweep(now time.Time) { l.refuse(l.queue.RemoveExpired(now, l.random)) }

func (l *Queue) refuse(all []queue.Refused) {
	for _, r := range all {
		if turn := l.turns[r.Item.ID]; turn != nil {
			delete(l.turns, r.Item.ID)
			turn <- &r.Refusal
		}
	}
}

func (l *Queue) next(now time.Time) {
	i, ok := l.queue.Dequeue(now, queue.AnyPrompt)
	l.busy = ok
	if ok {
		turn := l.turns[i.ID]
		delete(l.turns, i.ID)
		turn <- nil
	}
}

// SignalFree tells the one whose turn it is that a place may have come free.
func (l *Queue) SignalFree() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Freed is told when a place may have come free.
func (l *Queue) Freed() <-chan struct{} { return l.freed }

// TimeToFirstEvent is the time from finding room to the first event, as measured.
func (l *Queue) TimeToFirstEvent() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.toFirst
}
