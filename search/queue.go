// Package search serializes the capacity searches of a service's requests: one request at a
// time asks engines for memory, in the order of the service's queue.
//
// When all engines are nearly full and all requests search at once, small requests take
// each bit of memory that is freed, and a request that needs more never finds enough.
//
// # Usage
//
//	var queues search.Queues
//	q := queues.For(service)
//	if refusal := q.Acquire(ctx, item, until); refusal != nil {
//		return refusal
//	}
//	defer q.Release()
//	select {
//	case <-q.FreedSignal(): // capacity may have been freed: search again
//	case <-ctx.Done():
//	}
package search

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/delay"
	"jacinthworks/domain"
	"jacinthworks/queue"
)

// Queue is the queue of one service's requests that wait for capacity. At most one of them
// holds the turn, the exclusive right to search. Obtain it from Queues; it must not be
// copied.
type Queue struct {
	// RetryAfter computes the delay after which refused requests should be retried, and
	// Stagger computes it while all upstreams have requested a backoff.
	RetryAfter delay.RetryEstimator
	Stagger    delay.Stagger

	mu    sync.Mutex // leaf lock: no other lock is acquired while it is held
	queue queue.Queue
	// grants has a channel for each queued request, on which it receives the turn (nil)
	// or a refusal.
	grants map[domain.RequestID]chan *queue.Refusal
	// turnHeld reports that a request holds the turn.
	turnHeld bool
	random   *rand.Rand
	// freed receives a signal when capacity may have been freed.
	freed chan struct{}
	// timeToFirstEvent is the smoothed time from the reservation of capacity to the first
	// event of an answer's stream.
	timeToFirstEvent time.Duration
	// lastFullAt is when an engine last had no capacity for a request.
	lastFullAt time.Time
	// largeDemand is the decaying maximum of the requests' memory demands, in tokens.
	largeDemand float64
}

// Queues holds the queue of each service. The zero value is ready to use; it must not be
// copied.
type Queues struct {
	mu     sync.Mutex // leaf lock: no other lock is acquired while it is held
	queues map[queueKey]*Queue
}

// queueKey is a service and which of its queues; begun is the lane of a software version, counted from one.
type queueKey struct {
	service domain.Service
	late    bool
	begun   int
}

// begunLanes is the number of queues among which the software versions of a service are divided, so that queues
// don't become more with each release.
const begunLanes = 8

// For returns the queue of a service.
func (q *Queues) For(s domain.Service) *Queue { return q.get(queueKey{service: s}) }

// Late returns the queue of a service's requests that can no longer meet their targets. It
// is separate, so that none of them holds the turn while another request waits for it.
func (q *Queues) Late(s domain.Service) *Queue { return q.get(queueKey{service: s, late: true}) }

// Begun returns the queue of a service's streams that have begun at a software version and may go on only there. It
// is separate, so that none of them, while the upstreams of its version are full, holds the turn of requests that
// others have room for.
func (q *Queues) Begun(s domain.Service, v domain.Software) *Queue {
	return q.get(queueKey{service: s, begun: 1 + int(xxhash.Sum64String(string(v))%begunLanes)})
}

// SignalFree signals the requests that hold the turns of a service's queues that capacity may have been freed, those whose
// streams have begun first.
func (q *Queues) SignalFree(s domain.Service) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for lane := begunLanes; lane >= 0; lane-- {
		if found := q.queues[queueKey{service: s, begun: lane}]; found != nil {
			found.signalFree()
		}
	}
}

func (q *Queues) get(k queueKey) *Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queues == nil {
		q.queues = make(map[queueKey]*Queue)
	}
	if q.queues[k] == nil {
		q.queues[k] = &Queue{
			grants: make(map[domain.RequestID]chan *queue.Refusal), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			freed: make(chan struct{}, 1), timeToFirstEvent: defaultTimeToFirstEvent,
		}
	}
	return q.queues[k]
}

const (
	// defaultTimeToFirstEvent is the first value of the average time to the first event: a
	// prompt of 3,000 tokens at 20 tokens a ms, and one decode step.
	defaultTimeToFirstEvent = 170 * time.Millisecond
	// previousAverageWeight is the weight of the previous average time to the first event
	// in each update.
	previousAverageWeight = 0.8
)

const (
	// headroomTime is how long, after an engine had no capacity, smaller requests have to
	// leave memory for larger ones.
	headroomTime = 2 * time.Second
	// headroomFraction is the fraction of the difference between the largest recent demand
	// and its own that a smaller request has to find free in addition. With a fraction of
	// 1 all sizes are served alike, but fewer requests in time.
	headroomFraction = 0.25
	// demandDecay multiplies the largest demand on each request, so that it halves in
	// about 70 requests.
	demandDecay = 0.99
)

// RecordFull records that an engine had no capacity for a request.
func (q *Queue) RecordFull(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastFullAt = now
}

// Headroom returns how much memory, in tokens, a request must find free beyond its own
// demand.
//
// When engines are nearly full, each bit of memory that is freed goes to the first request
// that fits into it: requests of 6,000 tokens were refused four times as often as those of
// 2,000. While engines are full, smaller requests therefore leave part of the memory that
// a large one needs.
func (q *Queue) Headroom(now time.Time, demand int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.largeDemand = max(demandDecay*q.largeDemand, float64(demand))
	if q.lastFullAt.IsZero() || now.Sub(q.lastFullAt) > headroomTime {
		return 0
	}
	return int(headroomFraction * max(0, q.largeDemand-float64(demand)))
}

// RecordFirstEvent updates the average time from the reservation of capacity to the first
// event of an answer's stream.
func (q *Queue) RecordFirstEvent(latency time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timeToFirstEvent = time.Duration(previousAverageWeight*float64(q.timeToFirstEvent) + (1-previousAverageWeight)*float64(latency))
}

// Acquire waits until the request holds the turn. If it returns nil, Release must be called;
// otherwise it returns the refusal. The request's wait expires at until.
func (q *Queue) Acquire(ctx context.Context, i queue.Item, until time.Time) *queue.Refusal {
	grant, refusal := q.enqueue(i)
	if grant == nil {
		return refusal
	}
	expiry := time.NewTimer(time.Until(until))
	defer expiry.Stop()
	for {
		select {
		case refusal := <-grant:
			return refusal
		case <-expiry.C:
			q.mu.Lock()
			q.refuseExpired(time.Now())
			q.mu.Unlock()
			expiry.Reset(expiryRecheck)
		case <-ctx.Done():
			return q.cancel(i, grant)
		}
	}
}

// expiryRecheck is the delay before expired requests are looked for again where the timer
// has fired and the request is still queued: a timer may fire early by less than this.
const expiryRecheck = 5 * time.Millisecond

func (q *Queue) enqueue(i queue.Item) (chan *queue.Refusal, *queue.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refuseExpired(now)
	d := q.queue.Enqueue(now, i, q.random)
	if d.Refusal != nil {
		return nil, d.Refusal
	}
	grant := make(chan *queue.Refusal, 1)
	q.grants[i.ID] = grant
	q.sendRefusals(d.ShedItems)
	if !q.turnHeld {
		q.grantNext(now)
	}
	return grant, nil
}

// cancel removes a request whose caller has disconnected. If the request has been granted
// the turn in the meantime, the turn is passed on.
func (q *Queue) cancel(i queue.Item, grant chan *queue.Refusal) *queue.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if !q.queue.Remove(now, i.ID) {
		if refusal := <-grant; refusal == nil {
			q.grantNext(now)
		}
	}
	delete(q.grants, i.ID)
	return &queue.Refusal{Reason: domain.ReasonCallerGone}
}

// Release grants the turn to the next request in the queue.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refuseExpired(now)
	q.grantNext(now)
}

// RefuseExpired returns the refusal of the request that holds the turn and found no capacity in
// time. Other requests that have expired meanwhile are refused as well. Release must still
// be called.
func (q *Queue) RefuseExpired(i queue.Item) *queue.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.queue.Requeue(now, i)
	own := &queue.Refusal{Reason: domain.ReasonTooLate, Detail: queue.DetailExpired}
	for _, r := range q.queue.RemoveExpired(now, q.random) {
		if r.Item.ID == i.ID {
			own = &r.Refusal
			continue
		}
		q.sendRefusals([]queue.Refused{r})
	}
	q.queue.Remove(now, i.ID)
	return own
}

func (q *Queue) refuseExpired(now time.Time) { q.sendRefusals(q.queue.RemoveExpired(now, q.random)) }

func (q *Queue) sendRefusals(items []queue.Refused) {
	for _, r := range items {
		if grant := q.grants[r.Item.ID]; grant != nil {
			delete(q.grants, r.Item.ID)
			grant <- &r.Refusal
		}
	}
}

func (q *Queue) grantNext(now time.Time) {
	i, ok := q.queue.Dequeue(now, queue.AnyPrompt)
	q.turnHeld = ok
	if ok {
		grant := q.grants[i.ID]
		delete(q.grants, i.ID)
		grant <- nil
	}
}

func (q *Queue) signalFree() {
	select {
	case q.freed <- struct{}{}:
	default:
	}
}

// FreedSignal returns the channel that receives a signal when capacity may have been freed.
func (q *Queue) FreedSignal() <-chan struct{} { return q.freed }

// FirstEventLatency returns the average time from the reservation of capacity to the first
// event of an answer's stream.
func (q *Queue) FirstEventLatency() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.timeToFirstEvent
}
