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

// tickEvery bounds how late a waiting request is refused once its target
// cannot be met any more, and how late room is noticed that no heartbeat told.
const tickEvery = 20 * time.Millisecond

// turn is a request that waits to be sent, until it is answered on got.
type turn struct {
	item  queue.Item
	job   route.Job
	kind  domain.Kind
	plain bool
	// mayRun says which hosts the key's shard allows; nil without a key.
	mayRun func(domain.Host) bool
	// unserved is since when none of them takes work; zero while one does.
	unserved time.Time
	got      chan sent
}

// sent is the end of waiting: a choice, or a refusal.
type sent struct {
	pair    route.EnginePair
	app     domain.Host
	model   route.Evaluation
	apps    route.AppEvaluation
	refused *queue.Refusal
}

// scheduler is one service's queue and the view of its upstreams. All choices
// of one entry for one service pass through it in order. Its lock is taken before
// that of the directory of sides, and before no other.
type scheduler struct {
	mu       sync.Mutex
	queue    queue.Queue
	model    route.EngineSelector
	apps     route.AppSelector
	random   *rand.Rand
	turns    map[domain.RequestID]*turn
	running  map[domain.Kind]int
	inFlight map[domain.Kind]int // the table's limit, as of the kind's last arrival
	limits   map[domain.Kind]int // its queue limit, likewise
	held     map[domain.Kind][]queue.Item
	health   health               // has locks of its own, which are leaves too
	served   time.Time            // when a side last took work
	zones    map[domain.Zone]bool // of prefill engines heard of
	kvLife   time.Duration
	pace     queue.LatencyEstimator
}

// schedulers holds a scheduler for each service in the table.
type schedulers struct {
	mu  sync.Mutex
	all map[domain.Service]*scheduler
}

func (s *schedulers) of(name domain.Service) *scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[domain.Service]*scheduler)
	}
	if s.all[name] == nil {
		s.all[name] = &scheduler{
			random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			turns:    make(map[domain.RequestID]*turn),
			running:  make(map[domain.Kind]int),
			inFlight: make(map[domain.Kind]int),
			limits:   make(map[domain.Kind]int),
			held:     make(map[domain.Kind][]queue.Item),
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

// wait queues the turn until the request is sent or refused. The first gives a
// place in the kind's in-flight limit, which finished gives back.
func (s *scheduler) wait(ctx context.Context, t *turn, row table.Row) sent {
	now := time.Now()
	s.mu.Lock()
	s.inFlight[t.kind] = row.InFlight
	if !s.mayQueue(t.kind, row.QueueLimit) {
		defer s.mu.Unlock()
		wait := time.Second + time.Duration(s.random.Int64N(int64(time.Second)))
		return sent{refused: &queue.Refusal{Reason: domain.ReasonNoRoom, Detail: queue.DetailQueueFull, RetryAfter: wait}}
	}
	s.turns[t.item.ID] = t
	v := s.queue.Enqueue(now, t.item, s.random)
	if v.Refusal != nil {
		delete(s.turns, t.item.ID)
		s.mu.Unlock()
		return sent{refused: v.Refusal}
	}
	s.refuse(v.Shed)
	s.pump(now)
	s.mu.Unlock()
	select {
	case got := <-t.got:
		return got
	case <-ctx.Done():
		return s.leave(t)
	}
}

// mayQueue says whether the kind's own part of the queue has room, and bounds
// the whole queue by all kinds' parts together, within which the queue sheds by
// priority.
func (s *scheduler) mayQueue(k domain.Kind, limit int) bool {
	if limit <= 0 {
		limit = queue.DefaultMaxItems
	}
	s.limits[k] = limit
	s.queue.Limits.MaxItems = 0
	for _, n := range s.limits {
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

// leave takes a turn out whose caller is gone; it may have been sent just now.
func (s *scheduler) leave(t *turn) sent {
	s.mu.Lock()
	s.queue.Remove(time.Now(), t.item.ID)
	s.unhold(t)
	waiting := s.turns[t.item.ID] != nil
	delete(s.turns, t.item.ID)
	s.mu.Unlock()
	if waiting {
		return sent{refused: &queue.Refusal{Reason: domain.ReasonCallerGone}}
	}
	return <-t.got
}

func (s *scheduler) unhold(t *turn) {
	kept := s.held[t.kind][:0]
	for _, i := range s.held[t.kind] {
		if i.ID != t.item.ID {
			kept = append(kept, i)
		}
	}
	s.held[t.kind] = kept
}

// refuse answers turns that the queue gave up.
func (s *scheduler) refuse(all []queue.Refused) {
	for _, r := range all {
		if t := s.turns[r.Item.ID]; t != nil {
			delete(s.turns, r.Item.ID)
			t.got <- sent{refused: &r.Refusal}
		}
	}
}

// pump sends what there is room for. A long prompt that no engine may take now
// lets shorter work pass.
func (s *scheduler) pump(now time.Time) {
	s.refuse(s.queue.RemoveExpired(now, s.random))
	s.lapseHeld(now)
	s.release(now)
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
		if limit := s.inFlight[t.kind]; limit > 0 && s.running[t.kind] >= limit {
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
		t.got <- got
	}
}

// lapseHeld refuses turns held back by their kind's in-flight limit that can
// no longer meet their target.
func (s *scheduler) lapseHeld(now time.Time) {
	for kind, items := range s.held {
		kept := items[:0]
		for _, i := range items {
			late := now.After(i.Deadline) || !i.MayWait && !i.FirstTokenDeadline.IsZero() && now.After(i.FirstTokenDeadline)
			if !late {
				kept = append(kept, i)
				continue
			}
			s.refuse([]queue.Refused{{Item: i, Refusal: queue.Refusal{
				Reason: domain.ReasonTooLate, Detail: queue.DetailExpired, RetryAfter: time.Second,
			}}})
		}
		s.held[kind] = kept
	}
}

// release queues again the held turns for which their kind's limit has room.
// The failure: a side had no room for the request in whose place they wait. It
// shows as turns that wait although nothing of their kind runs. Looking at
// every pump holds for each way in which a place comes free, an edit included.
func (s *scheduler) release(now time.Time) {
	for kind, items := range s.held {
		room := len(items)
		if limit := s.inFlight[kind]; limit > 0 {
			room = min(room, max(0, limit-s.running[kind]))
		}
		for _, i := range slices.Backward(items[:room]) { // the first is next again
			s.queue.Requeue(now, i)
		}
		s.held[kind] = items[room:]
	}
}

func (s *scheduler) choose(now time.Time, t *turn) (sent, bool) {
	if t.plain {
		h, g, ok := s.apps.ChooseAmong(now, t.job.Weights, t.job.MayDecode, s.random)
		if ok {
			s.apps.Started(now, h)
		}
		return sent{app: h, apps: g}, ok
	}
	p, g, ok := s.model.Choose(now, t.job, s.random)
	if ok {
		s.model.Started(now, p, t.job)
	}
	return sent{pair: p, model: g}, ok
}

// finished gives back the place of a turn that was sent.
func (s *scheduler) finished(t *turn, got sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.running[t.kind]--
	if t.plain {
		s.apps.Ended(now, got.app)
	} else {
		s.model.Ended(now, got.pair, t.job)
	}
	s.pump(now)
}

// tick refuses what lapsed and sends what there is room for.
func (s *scheduler) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump(now)
}

// schedule ticks every scheduler until the context ends.
func (e *Entry) schedule(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	evaluated := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if now.Sub(evaluated) >= evaluateEvery {
				evaluated = now
				e.evaluate(now)
				e.refuseUnserved(now)
			}
			e.schedulers.each(func(s *scheduler) { s.tick(now) })
		}
	}
}
