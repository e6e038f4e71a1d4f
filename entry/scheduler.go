package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/queue"
	"jacinthworks/route"
	"jacinthworks/table"
)

// tickInterval bounds how late a waiting request is refused once it can no longer meet
// its target, and how late free capacity is used that no heartbeat reports.
const tickInterval = 20 * time.Millisecond

// turn is a request that waits to be sent to an upstream; result receives how the wait
// ended.
type turn struct {
	item  queue.Item
	job   route.Job
	kind  domain.Kind
	plain bool
	// mayRunKey reports whether the shard of the request's idempotency key allows a
	// host; nil without a key.
	mayRunKey func(domain.Host) bool
	// unservedSince is the time from which no allowed host takes work; zero while an
	// allowed host takes work.
	unservedSince time.Time
	result        chan turnResult
}

// turnResult is how a wait ended: with the upstreams chosen, or with a refusal.
type turnResult struct {
	pair    route.EnginePair
	app     domain.Host
	model   route.Evaluation
	apps    route.AppEvaluation
	refused *queue.Refusal
}

// scheduler holds the queue of one service and the reported state of its upstreams. All
// selections of an entry for a service go through its scheduler, one after the other. Its
// lock is acquired before that of the directory of sides, and before no other except leaf
// locks.
type scheduler struct {
	mu             sync.Mutex
	queue          queue.Queue
	model          route.EngineSelector
	apps           route.AppSelector
	random         *rand.Rand
	turns          map[domain.RequestID]*turn
	running        map[domain.Kind]int
	inFlightLimits map[domain.Kind]int          // limit on running requests in the table row, read when a request of the kind is queued
	queueLimits    map[domain.Kind]int          // limit on waiting requests in the table row, read at the same time
	held           map[domain.Kind][]queue.Item // turns held back by their kind's in-flight limit
	health         health                       // its pools have leaf locks of their own
	lastServedAt   time.Time                    // when the service last had sides that take work
	prefillZones   map[domain.Zone]bool         // zones of the prefill engines that have sent a heartbeat
	kvLifetime     time.Duration
	latency        queue.LatencyEstimator
}

// schedulers holds the scheduler of each service in the table.
type schedulers struct {
	mu  sync.Mutex
	all map[domain.Service]*scheduler
}

func (s *schedulers) get(name domain.Service) *scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[domain.Service]*scheduler)
	}
	if s.all[name] == nil {
		s.all[name] = &scheduler{
			random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			turns:          make(map[domain.RequestID]*turn),
			running:        make(map[domain.Kind]int),
			inFlightLimits: make(map[domain.Kind]int),
			queueLimits:    make(map[domain.Kind]int),
			held:           make(map[domain.Kind][]queue.Item),
		}
	}
	return s.all[name]
}

func (s *schedulers) each(do func(*scheduler)) {
	s.mu.Lock()
	all := make([]*scheduler, 0, len(s.all))
	for _, one := range s.all {
		all = append(all, one)
	}
	s.mu.Unlock()
	for _, one := range all {
		do(one)
	}
}

// wait queues the turn until it is dispatched or refused. A dispatched turn occupies a
// slot of its kind's in-flight limit, which finish or releaseSlot frees.
func (s *scheduler) wait(ctx context.Context, t *turn, row table.Row) turnResult {
	now := time.Now()
	s.mu.Lock()
	s.inFlightLimits[t.kind] = row.InFlight
	if !s.mayQueue(t.kind, row.QueueLimit) {
		defer s.mu.Unlock()
		wait := time.Second + time.Duration(s.random.Int64N(int64(time.Second)))
		return turnResult{refused: &queue.Refusal{Reason: domain.ReasonNoRoom, Detail: queue.DetailQueueFull, RetryAfter: wait}}
	}
	s.turns[t.item.ID] = t
	v := s.queue.Enqueue(now, t.item, s.random)
	if v.Refusal != nil {
		delete(s.turns, t.item.ID)
		s.mu.Unlock()
		return turnResult{refused: v.Refusal}
	}
	s.refuseTurns(v.ShedItems)
	s.dispatch(now)
	s.mu.Unlock()
	select {
	case got := <-t.result:
		return got
	case <-ctx.Done():
		return s.withdraw(t)
	}
}

// mayQueue reports whether the kind has fewer waiting turns than its queue limit. It also
// sets the bound of the whole queue to the sum of all kinds' limits; within that bound
// the queue sheds by priority.
func (s *scheduler) mayQueue(k domain.Kind, limit int) bool {
	if limit <= 0 {
		limit = queue.DefaultMaxItems
	}
	s.queueLimits[k] = limit
	s.queue.Limits.MaxItems = 0
	for _, n := range s.queueLimits {
		s.queue.Limits.MaxItems += n
	}
	waiting := 0
	for _, t := range s.turns {
		if t.kind == k {
			waiting++
		}
	}
	return waiting < limit
}

// withdraw removes a turn whose caller's context has ended. If the turn was dispatched or
// refused meanwhile, it returns that result.
func (s *scheduler) withdraw(t *turn) turnResult {
	s.mu.Lock()
	s.queue.Remove(time.Now(), t.item.ID)
	s.removeHeld(t)
	waiting := s.turns[t.item.ID] != nil
	delete(s.turns, t.item.ID)
	s.mu.Unlock()
	if waiting {
		return turnResult{refused: &queue.Refusal{Reason: domain.ReasonCallerGone}}
	}
	return <-t.result
}

func (s *scheduler) removeHeld(t *turn) {
	kept := s.held[t.kind][:0]
	for _, i := range s.held[t.kind] {
		if i.ID != t.item.ID {
			kept = append(kept, i)
		}
	}
	s.held[t.kind] = kept
}

// refuseTurns sends a refusal to the turns that the queue refused.
func (s *scheduler) refuseTurns(all []queue.Refused) {
	for _, r := range all {
		if t := s.turns[r.Item.ID]; t != nil {
			delete(s.turns, r.Item.ID)
			t.result <- turnResult{refused: &r.Refusal}
		}
	}
}

// dispatch sends waiting turns to upstreams while there is capacity. If no engine can
// take a long prompt now, shorter prompts may overtake it.
func (s *scheduler) dispatch(now time.Time) {
	s.refuseTurns(s.queue.RemoveExpired(now, s.random))
	s.expireHeld(now)
	s.requeueHeld(now)
	longest := queue.AnyPrompt
	for {
		i, ok := s.queue.Dequeue(now, longest)
		if !ok {
			return
		}
		t := s.turns[i.ID]
		if t == nil {
			continue
		}
		if limit := s.inFlightLimits[t.kind]; limit > 0 && s.running[t.kind] >= limit {
			s.held[t.kind] = append(s.held[t.kind], i)
			continue
		}
		got, ok := s.choose(now, t)
		if !ok {
			s.queue.Requeue(now, i)
			if i.PromptTokens < queue.LongPromptTokens || longest < queue.AnyPrompt {
				return
			}
			longest = queue.LongPromptTokens - 1
			continue
		}
		delete(s.turns, i.ID)
		s.running[t.kind]++
		t.result <- got
	}
}

// expireHeld refuses turns held back by their kind's in-flight limit that can no longer
// meet their target.
func (s *scheduler) expireHeld(now time.Time) {
	for kind, items := range s.held {
		kept := items[:0]
		for _, i := range items {
			late := now.After(i.Deadline) || !i.MayWait && !i.FirstTokenDeadline.IsZero() && now.After(i.FirstTokenDeadline)
			if !late {
				kept = append(kept, i)
				continue
			}
			s.refuseTurns([]queue.Refused{{Item: i, Refusal: queue.Refusal{
				Reason: domain.ReasonTooLate, Detail: queue.DetailExpired, RetryAfter: time.Second,
			}}})
		}
		s.held[kind] = kept
	}
}

// requeueHeld returns held turns to the queue as far as their kind's in-flight limit
// allows. It checks every held turn at each dispatch, and so covers every way in which a
// slot becomes free: a finished request, a side without capacity for the request, or an
// edit of the limit. A missed case would leave turns waiting although no request of their
// kind runs.
func (s *scheduler) requeueHeld(now time.Time) {
	for kind, items := range s.held {
		slots := len(items)
		if limit := s.inFlightLimits[kind]; limit > 0 {
			slots = min(slots, max(0, limit-s.running[kind]))
		}
		for _, i := range slices.Backward(items[:slots]) { // in reverse order: Requeue makes each item the next one of its caller
			s.queue.Requeue(now, i)
		}
		s.held[kind] = items[slots:]
	}
}

func (s *scheduler) choose(now time.Time, t *turn) (turnResult, bool) {
	if t.plain {
		h, g, ok := s.apps.ChooseAmong(now, t.job.ZoneWeights, t.job.MayDecode, s.random)
		if ok {
			s.apps.CallStarted(now, h)
		}
		return turnResult{app: h, apps: g}, ok
	}
	p, g, ok := s.model.Choose(now, t.job, s.random)
	if ok {
		s.model.JobStarted(now, p, t.job)
	}
	return turnResult{pair: p, model: g}, ok
}

// finish frees the in-flight slot of a dispatched turn, and the upstream capacity that
// its selection counted.
func (s *scheduler) finish(t *turn, got turnResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.running[t.kind]--
	if t.plain {
		s.apps.CallEnded(now, got.app)
	} else {
		s.model.JobEnded(now, got.pair, t.job)
	}
	s.dispatch(now)
}

// tick refuses expired turns and dispatches waiting ones.
func (s *scheduler) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(now)
}

// schedule ticks every scheduler until the context ends, and evaluates the health of
// upstreams once every evaluateInterval.
func (e *Entry) schedule(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	evaluated := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if now.Sub(evaluated) >= evaluateInterval {
				evaluated = now
				e.evaluateHealth(now)
				e.refuseUnserved(now)
			}
			e.schedulers.each(func(s *scheduler) { s.tick(now) })
		}
	}
}
