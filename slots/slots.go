// Package slots assigns the slots of a small pool of servers to the calls of many processes. One
// process, the owner of the pool's key, decides for all.
//
// It is built for these load patterns:
//
//   - Many processes send calls to a few servers with a few slots each, and the offered load
//     exceeds what the slots can serve. Without the package, each process knows only its own
//     calls: calls wait in the queue of one server while another has a free slot, full servers
//     refuse calls, and refused calls are sent again. Calls wait until their target has passed,
//     so that nearly all calls are late although the servers are always busy.
//   - Servers slow down when all of their slots are in use, and when their hosts have other
//     work. A server gets as many calls as it completes fastest, which it learns from their
//     durations.
//   - A server fails more calls than the others do on the same routes. Without the package each
//     process sees a few of its failures in a second, and sends retries to it. Here it gets few
//     calls until probes are answered.
//   - Callers that are refused try again. A call past its target gets only a slot that no other
//     call wants, so that retries do not make the calls late that are sent for the first time.
//
// A call that can't be answered within its target is refused at once and not held, so that its
// caller learns it while there is time left. It is told when to try again: at a time for which
// capacity was booked for it, if new calls leave any. Otherwise all callers that are refused
// return in one wave, and are refused again.
//
// # Usage
//
//	var p slots.Pool                    // one for each service, at the owner of its key
//	p.SetServers(now, servers)          // before each Ask
//	p.Ask(now, slots.Call{Request: id, Target: target, Deadline: deadline, Answer: answered})
//	p.End(now, ticket, slots.Result{Outcome: slots.OK, Took: took})
//	p.Cancel(now, id)                   // the caller is gone
//	p.Advance(now)                      // at the time that NextEvent returns
//
// The package reads no clock and draws no random numbers of its own.
package slots

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/retry"
)

const (
	// crossZoneCost is the cost of a server in another availability zone than the process that
	// sends the call.
	crossZoneCost = 10 * time.Millisecond
	// admissionMargin multiplies the expected wait and duration of a call that is to be held: a
	// call that is held must not be refused later because a call before it took longer.
	admissionMargin = 1.25
	// defaultOverhead is the time for which a slot is assigned beyond the duration of its call
	// until it is measured: the way of the answer to the process, and of the end to the owner.
	defaultOverhead = 3 * time.Millisecond
	// maxOverhead bounds one measurement of that time, since an end may be reported late.
	maxOverhead = 50 * time.Millisecond
	// occupancyWeight is the part by which the expected duration counts as longer at a full server.
	// The average durations have errors of this size, and without it nearly all calls would go to
	// the server whose average happens to be the lowest.
	occupancyWeight = 0.25
	// A late call waits for a slot that no other call wants, for at most lateMaxWait and the
	// remaining time divided by lateWaitDivisor: a burst has gaps of some hundred milliseconds,
	// and its caller does not come a third time.
	lateMaxWait     = 600 * time.Millisecond
	lateWaitDivisor = 2
	// smoothing is the weight of a new measurement in the averages over all servers.
	smoothing = 0.05
)

// Ticket identifies a granted slot; zero stands for none.
type Ticket uint64

// Reason is the reason why a call got no slot.
type Reason string

// The reasons for refusals.
const (
	// NoServer means that the pool has no server that the call may use.
	NoServer Reason = "no_server"
	// NoSlot means that no slot becomes free early enough to meet the call's target.
	NoSlot Reason = "no_slot"
	// Late means that the target had passed when the call asked, and that no slot becomes idle
	// soon.
	Late Reason = "late"
	// Displaced means that a call of a higher rank took the place of a waiting call.
	Displaced Reason = "displaced"
	// Overdue means that a waiting call can no longer meet its target.
	Overdue Reason = "overdue"
)

// Call asks for one slot.
type Call struct {
	Request  domain.RequestID
	Identity retry.Identity
	Account  domain.Account
	Route    string
	// Repeatable means that the call may be sent again if it fails.
	Repeatable bool
	// Rank is the priority, 0 being the highest.
	Rank int
	// Zone is the availability zone of the process that sends the call.
	Zone domain.Zone
	// Target is when the answer is wanted, and Deadline when the request ends in any case.
	Target, Deadline time.Time
	// Skip holds the servers that must not be assigned.
	Skip map[string]bool
	// Spread is a random number from 0 to below 1, which spreads the times to retry.
	Spread float64
	// Answer receives the answer, exactly once unless the call is canceled. It is called with
	// the pool's lock held and must not block.
	Answer func(Answer)
}

// Answer is the answer to a call.
type Answer struct {
	Granted bool
	Server  string
	Ticket  Ticket
	Waited  time.Duration
	// Reason is why no slot was granted, and RetryAfter when the caller should try again.
	Reason     Reason
	RetryAfter time.Duration
	// Booked means that capacity was reserved for the retry.
	Booked bool
}

// Pool assigns the slots of the servers of one service. The zero value is ready to use; it must
// not be copied. It is safe for concurrent use.
type Pool struct {
	// FirstTicket precedes the tickets. It should be random, so that the end of a call that
	// another process granted does not end a call of this pool.
	FirstTicket Ticket
	// OverShare, if set, reports whether an account has received more than its fair share. It is
	// called with the pool's lock held.
	OverShare func(domain.Account) bool
	// OnBooking, if set, is called with each outcome of a booking, with the pool's lock held.
	OnBooking func(BookingOutcome)
	// OnFailing, if set, is called when a server begins or ends to fail more calls than the
	// others, with the part of its calls that failed lately and the pool's lock held.
	OnFailing func(id string, failing bool, rate float64)

	mu      sync.Mutex // taken before the locks of OverShare and of Call.Answer
	servers map[string]*server
	// sorted holds the servers in the order of their ids.
	sorted  []*server
	tickets map[Ticket]*grant
	// waiting holds the waiting calls in the order in which they get slots.
	waiting    []*waiter
	lastTicket Ticket
	// overhead is the average time for which a slot is assigned beyond its call's duration.
	overhead time.Duration
	// window is the average time that calls have until their targets.
	window time.Duration
	// calendar holds the capacity that is booked for callers that were refused.
	calendar calendar
	// routes counts the calls and failures of each route.
	routes map[string]*faultCount
}

// grant is a slot that was granted and has not ended.
type grant struct {
	server    *server
	call      Call
	grantedAt time.Time
	// concurrency is the number of calls at the server with this one.
	concurrency int
}

// waiter is a call that waits for a slot.
type waiter struct {
	Call
	since     time.Time
	overShare bool
	// booked means that capacity was booked for the call. late means that its target had passed
	// when it asked: it is most likely the last try of its caller.
	booked, late bool
}

// compare orders waiting calls: late ones last, then by rank, then those with a booking first,
// then accounts within their fair share, then by target.
func (w *waiter) compare(o *waiter) int {
	return cmp.Or(w.compareClass(o), w.Target.Compare(o.Target))
}

// compareClass compares only what precedes the target in the order.
func (w *waiter) compareClass(o *waiter) int {
	return cmp.Or(cmp.Compare(intOf(w.late), intOf(o.late)), cmp.Compare(w.Rank, o.Rank), cmp.Compare(intOf(o.booked), intOf(w.booked)), cmp.Compare(intOf(w.overShare), intOf(o.overShare)))
}

func intOf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// SetServers sets the servers that accept calls. A server that is left out gets no more calls;
// those that it has are counted until they end.
func (p *Pool) SetServers(now time.Time, all []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = make(map[string]*server)
	}
	for _, s := range p.sorted {
		s.present = false
	}
	for _, m := range all {
		s := p.servers[m.ID]
		if s == nil {
			s = &server{}
			p.servers[m.ID] = s
			p.sorted = nil
		}
		changed := s.Slots != m.Slots
		s.Server, s.present, s.seenAt = m, true, now
		if changed {
			s.updateLimit(now, p.window)
		}
	}
	for id, s := range p.servers {
		if !s.present && s.running == 0 && now.Sub(s.seenAt) > serverRetention {
			delete(p.servers, id)
			p.sorted = nil
		}
	}
	if p.sorted == nil {
		for _, s := range p.servers {
			p.sorted = append(p.sorted, s)
		}
		slices.SortFunc(p.sorted, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Ask asks for a slot. The call is answered at once, or as soon as it gets a slot or can no longer
// get one in time.
func (p *Pool) Ask(now time.Time, c Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	w := &waiter{Call: c, since: now}
	if w.Deadline.Before(w.Target) {
		w.Target = w.Deadline
	}
	w.overShare = p.OverShare != nil && p.OverShare(c.Account)
	if !p.anyUsable(now, w) {
		p.refuse(now, w, NoServer)
		return
	}
	if p.calendar.use(now, c.Identity) {
		p.countBooking(Used)
		// The target of a call that was refused has passed, or is near: it is served as soon as a
		// new one would be.
		w.booked = true
		if soon := now.Add(min(p.window, w.Deadline.Sub(now))); w.Target.Before(soon) {
			w.Target = soon
		}
	}
	if p.isLate(now, w) {
		w.late = true
		w.Target = now.Add(min(lateMaxWait, w.Deadline.Sub(now)/lateWaitDivisor))
		if s := p.bestServer(now, w, false); s != nil {
			p.grant(now, w, s)
			return
		}
		p.enqueue(now, w)
		return
	}
	if !w.booked {
		p.window = average(p.window, c.Target.Sub(now))
		p.calendar.newCall(now)
	}
	// The calls that still wait after advance can't use the servers that are free.
	if s := p.bestServer(now, w, true); s != nil {
		p.grant(now, w, s)
		return
	}
	p.enqueue(now, w)
}

// enqueue adds a call to the waiting ones, or refuses it if it can't meet its target, or would
// make a waiting call of its own class miss its target. Calls of lower classes that can no longer
// meet their targets are refused.
func (p *Pool) enqueue(now time.Time, w *waiter) {
	rate := p.rate(now)
	total := rate
	position, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if c := a.compare(b); c != 0 {
			return c
		}
		return -1 // after the calls that are equal
	})
	if w.late {
		// New calls go first, also those that have yet to come.
		rate -= p.calendar.newRate(now)
	}
	if rate <= 0 || !p.feasible(now, w, position, rate, admissionMargin) {
		p.useFailing(now, w, NoSlot)
		return
	}
	displaced := make(map[*waiter]bool)
	for n, behind := range p.waiting[position:] {
		if p.feasible(now, behind, position+n+1-len(displaced), total, 1) {
			continue
		}
		if w.compareClass(behind) == 0 {
			p.useFailing(now, w, NoSlot)
			return
		}
		displaced[behind] = true
	}
	for behind := range displaced {
		p.refuse(now, behind, Displaced)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(o *waiter) bool { return displaced[o] })
	p.waiting = slices.Insert(p.waiting, position, w)
}

// maxFailureRate is the part of its calls that a server may fail for the call to be sent there
// rather than refused. A call that can't be repeated is lost if it fails.
func (w *waiter) maxFailureRate() float64 {
	if w.Repeatable {
		return maxRepeatableFailureRate
	}
	return maxFailureRate
}

// useFailing answers a call that no other server can complete in time: it gets a slot at a failing
// server, unless that fails too many calls, or is refused.
func (p *Pool) useFailing(now time.Time, w *waiter, why Reason) {
	for _, s := range p.sorted {
		if s.failing && s.failureRate <= w.maxFailureRate() && s.usable(now) && !w.Skip[s.ID] && s.free(now) > 0 && !now.Add(s.duration(now, s.running+1)).After(w.Target) {
			p.grant(now, w, s)
			return
		}
	}
	p.refuse(now, w, why)
}

// feasible reports whether a call that waits behind the given number of others is expected to meet
// its target.
func (p *Pool) feasible(now time.Time, w *waiter, ahead int, rate, margin float64) bool {
	wait := float64(ahead+1) / rate
	if margin > 1 && !w.booked {
		wait += float64(p.calendar.due(now.Add(time.Duration(wait*float64(time.Second))))) / rate
	}
	needed := margin * (wait + p.meanDuration(now).Seconds())
	return !now.Add(time.Duration(needed * float64(time.Second))).After(w.Target)
}

// rate is the number of slots that become free in a second while all are in use.
func (p *Pool) rate(now time.Time) float64 {
	rate := 0.0
	for _, s := range p.sorted {
		if s.usable(now) && !s.failing {
			held := s.duration(now, s.limit) + p.slotOverhead()
			rate += float64(max(0, s.limit-s.otherCalls(now))) / held.Seconds()
		}
	}
	return rate
}

// meanDuration is the mean duration of a call while all slots are in use.
func (p *Pool) meanDuration(now time.Time) time.Duration {
	rate, slots := 0.0, 0.0
	for _, s := range p.sorted {
		if s.usable(now) && !s.failing {
			rate += float64(s.limit) / s.duration(now, s.limit).Seconds()
			slots += float64(s.limit)
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(slots / rate * float64(time.Second))
}

func (p *Pool) slotOverhead() time.Duration {
	if p.overhead == 0 {
		return defaultOverhead
	}
	return p.overhead
}

// anyUsable reports whether the pool has a server that the call may use.
func (p *Pool) anyUsable(now time.Time, w *waiter) bool {
	return slices.ContainsFunc(p.sorted, func(s *server) bool { return s.usable(now) && !w.Skip[s.ID] })
}

// isLate reports whether no server that is not failing can complete the call by its target.
func (p *Pool) isLate(now time.Time, w *waiter) bool {
	for _, s := range p.sorted {
		if s.usable(now) && !s.failing && !w.Skip[s.ID] && !now.Add(s.duration(now, 1)).After(w.Target) {
			return false
		}
	}
	return true
}

// bestServer returns the server with a free slot that is expected to complete the call first; nil
// if there is none. With inTime, only servers that are expected to meet the call's target count. A
// failing server is returned only for a probe.
func (p *Pool) bestServer(now time.Time, w *waiter, inTime bool) *server {
	var best *server
	var bestCost time.Duration
	for _, s := range p.sorted {
		if !s.usable(now) || w.Skip[s.ID] || s.free(now) <= 0 {
			continue
		}
		if s.failing {
			if s.probeDue(now, w) {
				return s
			}
			continue
		}
		cost := s.duration(now, s.running+s.otherCalls(now)+1)
		if inTime && now.Add(cost).After(w.Target) {
			continue
		}
		if s.Zone != w.Zone {
			cost += crossZoneCost
		}
		cost += time.Duration(occupancyWeight * float64(cost) * float64(s.limit-s.free(now)) / float64(s.limit))
		if best == nil || cost < bestCost || cost == bestCost && s.free(now) > best.free(now) {
			best, bestCost = s, cost
		}
	}
	return best
}

// grant grants a slot at a server to a call.
func (p *Pool) grant(now time.Time, w *waiter, s *server) {
	if p.tickets == nil {
		p.tickets = make(map[Ticket]*grant)
	}
	p.lastTicket = max(p.lastTicket, p.FirstTicket) + 1
	s.running++
	s.grantedAt = now
	p.tickets[p.lastTicket] = &grant{server: s, call: w.Call, grantedAt: now, concurrency: s.running + s.otherCalls(now)}
	w.Answer(Answer{Granted: true, Server: s.ID, Ticket: p.lastTicket, Waited: now.Sub(w.since)})
}

// refuse answers a call that gets no slot.
func (p *Pool) refuse(now time.Time, w *waiter, why Reason) {
	limit := max(0, w.Deadline.Sub(now)) / retryLimitDivisor
	if w.late && why == NoSlot {
		why = Late
	}
	a := Answer{Reason: why, Waited: now.Sub(w.since)}
	switch {
	case w.booked:
		p.countBooking(RefusedAgain)
	case !w.late && why != NoServer:
		a.RetryAfter, a.Booked = p.calendar.book(now, w.Identity, p.rate(now), float64(len(p.waiting)), limit, w.Spread)
		if a.Booked {
			p.countBooking(Booked)
		} else {
			p.countBooking(NoCapacity)
		}
	}
	if !a.Booked {
		a.RetryAfter = limit - time.Duration(retrySpread*w.Spread*float64(limit))
	}
	w.Answer(a)
}

func (p *Pool) countBooking(o BookingOutcome) {
	if p.OnBooking != nil {
		p.OnBooking(o)
	}
}

const (
	// retryLimitDivisor divides the time that a caller has left; the quotient is the latest time
	// to retry, so that time is left for the work.
	retryLimitDivisor = 3
	// retrySpread is the part of that time over which the retries of callers without a
	// booking are spread: those that are refused together would else return together.
	retrySpread = 0.25
)

// End ends a granted slot. It returns false if the pool has no such ticket: it has expired, or
// another process granted it.
func (p *Pool) End(now time.Time, t Ticket, r Result) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.tickets[t]
	if g == nil {
		return false
	}
	delete(p.tickets, t)
	held := now.Sub(g.grantedAt)
	if r.Outcome == OK && r.Took > 0 && held >= r.Took {
		p.overhead = average(p.overhead, min(held-r.Took, maxOverhead))
	}
	g.server.ended(now, g, r, p.window)
	if r.Outcome == OK || r.Outcome == Failed {
		p.recordOutcome(now, g.server, g.call.Route, r.Outcome == Failed)
	}
	p.advance(now)
	return true
}

// Cancel ends whatever the request has: its place among the waiting calls, or its slot. A process
// that breaks off its call does not know which.
func (p *Pool) Cancel(now time.Time, id domain.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.Request == id })
	for t, g := range p.tickets {
		if g.call.Request == id {
			delete(p.tickets, t)
			g.server.running--
		}
	}
	p.advance(now)
}

// Advance grants the slots that have become free, and refuses the waiting calls that can no longer
// meet their targets.
func (p *Pool) Advance(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
}

func (p *Pool) advance(now time.Time) {
	for t, g := range p.tickets {
		if now.After(g.call.Deadline) {
			delete(p.tickets, t)
			g.server.running--
		}
	}
	p.calendar.recordRate(now, p.rate(now))
	for range p.calendar.expire(now) {
		p.countBooking(Expired)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		if s := p.bestServer(now, w, true); s != nil {
			p.grant(now, w, s)
			return true
		}
		if p.isLate(now, w) {
			p.useFailing(now, w, Overdue)
			return true
		}
		return false
	})
}

// NextEvent returns the time at which Advance is to be called although no call ended; false if no
// call waits.
func (p *Pool) NextEvent(now time.Time) (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		return at, false
	}
	at = now.Add(maxEventInterval)
	for _, w := range p.waiting {
		if start := w.Target.Add(-p.shortestDuration(now)); start.Before(at) {
			at = start
		}
	}
	return at, true
}

// maxEventInterval bounds the time between two calls of Advance while calls wait: the load of
// hosts and the calls of other processes are forgotten in the meantime.
const maxEventInterval = 25 * time.Millisecond

// shortestDuration is the duration of a call at the fastest server.
func (p *Pool) shortestDuration(now time.Time) time.Duration {
	var shortest time.Duration
	for _, s := range p.sorted {
		if d := s.duration(now, 1); s.usable(now) && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}

// Totals are figures of a pool for log lines and metrics.
type Totals struct {
	Servers, Running, Waiting, Limit int
	// Rate is the number of slots that become free in a second while all are in use.
	Rate float64
}

// Totals returns the pool's figures.
func (p *Pool) Totals(now time.Time) (t Totals) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t = Totals{Waiting: len(p.waiting), Rate: p.rate(now)}
	for _, s := range p.sorted {
		t.Running += s.running
		if s.usable(now) {
			t.Servers++
			t.Limit += s.limit
		}
	}
	return t
}

// average returns the moving average after a measurement; the first one sets it.
func average(before, measured time.Duration) time.Duration {
	if before == 0 {
		return measured
	}
	return time.Duration((1-smoothing)*float64(before) + smoothing*float64(measured))
}
