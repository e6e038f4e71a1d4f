package route_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/route"
)

// searchSimulation simulates, in virtual time, engines with a number of slots and
// processes whose requests search for a free slot. Each process searches for one
// request at a time.
type searchSimulation struct {
	processes, engines int
	// load is the arrival rate, as a fraction of the rate that the engines can
	// serve.
	load float64
	// backoff is how long a process does not ask a full engine again, maxEngines the
	// number of engines that one search asks.
	backoff    time.Duration
	maxEngines int
	// Of every three engines one takes slowFactor times as long if uneven is set. A search
	// asks bySpeed engines by their speed, and then the others.
	uneven  bool
	bySpeed int
}

const slowFactor = 2.4

// choose returns one of the eligible engines for an attempt of a search.
func (s searchSimulation) choose(eligible []int, attempt int, random *rand.Rand) int {
	if attempt >= s.bySpeed {
		return eligible[random.IntN(len(eligible))]
	}
	candidates := make([]route.Candidate, len(eligible))
	for n, e := range eligible {
		candidates[n].AnswerUnitTime = s.holdTime(e) / 71
	}
	best, _ := route.SelectBest(candidates, route.Request{Units: 1, AnswerUnits: 71, SkipExcluded: true}, random)
	return eligible[best]
}

// holdTime is how long a request holds its slot at an engine.
func (s searchSimulation) holdTime(engine int) time.Duration {
	if s.uneven && engine%3 == 0 {
		return time.Duration(slowFactor * float64(serviceTime))
	}
	return serviceTime
}

// searchSimulationResult counts the requests and the reserve calls of a simulation.
type searchSimulationResult struct {
	requests, served int
	// served is the number of requests that found a slot in time, reserveCalls the
	// number of calls to engines, and maxReserveCalls the most calls for one
	// request.
	reserveCalls, maxReserveCalls int
	// held is the sum of the times for which slots were in use.
	held time.Duration
	// maxLatency is the longest time until a request was served or refused.
	maxLatency time.Duration
}

// The parameters of the simulated load: a request holds its slot for 3.6 s, an
// engine has seven slots, a call to an engine takes 2.6 ms, and a request searches
// for a slot for 700 ms.
const (
	serviceTime    = 3600 * time.Millisecond
	slotsPerEngine = 7
	reserveTime    = 2600 * time.Microsecond
	searchTimeout  = 700 * time.Millisecond
	searchInterval = 40 * time.Millisecond
	arrivalPeriod  = 20 * time.Second
)

// pendingRequest is a request that searches for a slot, and the process that it
// belongs to.
type pendingRequest struct {
	process      int
	since        time.Duration
	reserveCalls int
}

// event is a function that the simulation calls at a virtual time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// run simulates arrivals for arrivalPeriod with the random seed.
func (s searchSimulation) run(seed uint64) searchSimulationResult {
	random := rand.New(rand.NewPCG(seed, 1))
	var (
		out          searchSimulationResult
		now          time.Duration
		queue        eventQueue
		inUse        = make([]int, s.engines)
		backoffUntil = make([][]time.Duration, s.processes)
		pending      = make([][]*pendingRequest, s.processes)
		search       func(q *pendingRequest, attempts int)
	)
	for p := range backoffUntil {
		backoffUntil[p] = make([]time.Duration, s.engines)
	}
	after := func(d time.Duration, do func()) { heap.Push(&queue, event{now + d, do}) }
	finish := func(q *pendingRequest, served bool) {
		if served && now-q.since <= searchTimeout+searchInterval {
			out.served++
		}
		out.maxReserveCalls, out.maxLatency = max(out.maxReserveCalls, q.reserveCalls), max(out.maxLatency, now-q.since)
		w := pending[q.process][1:]
		pending[q.process] = w
		if len(w) > 0 {
			after(0, func() { search(w[0], 0) })
		}
	}
	search = func(q *pendingRequest, attempts int) {
		var eligible []int
		for e, until := range backoffUntil[q.process] {
			if until <= now {
				eligible = append(eligible, e)
			}
		}
		switch {
		case len(eligible) > 0 && attempts < s.maxEngines:
			e := s.choose(eligible, attempts, random)
			q.reserveCalls++
			out.reserveCalls++
			after(reserveTime, func() {
				if inUse[e] < slotsPerEngine {
					inUse[e]++
					out.held += s.holdTime(e)
					after(s.holdTime(e), func() { inUse[e]-- })
					finish(q, true)
					return
				}
				backoffUntil[q.process][e] = now + s.backoff
				search(q, attempts+1)
			})
		case now-q.since > searchTimeout:
			finish(q, false)
		default:
			after(searchInterval, func() { search(q, 0) })
		}
	}
	arrivalInterval := time.Duration(float64(serviceTime) / (s.load * float64(s.engines*slotsPerEngine)))
	var arrive func()
	arrive = func() {
		q := &pendingRequest{process: random.IntN(s.processes), since: now}
		out.requests++
		pending[q.process] = append(pending[q.process], q)
		if len(pending[q.process]) == 1 {
			search(q, 0)
		}
		if now < arrivalPeriod {
			after(time.Duration(2*random.Float64()*float64(arrivalInterval)), arrive)
		}
	}
	after(0, arrive)
	for len(queue) > 0 {
		next := heap.Pop(&queue).(event)
		now = next.at
		next.do()
	}
	return out
}

// Twice the load that the engines can serve arrives at up to 86 engines and 68
// processes. Without bounds, an engine that refused is eligible again before all
// others were asked, so that a request asks full engines until its caller cancels,
// is never refused, and delays the requests behind it.
func TestCapacityBackoffBoundsSearchTimeAtEverySize(t *testing.T) {
	smallestPoolCalls := 0.0
	for _, size := range []struct{ processes, engines int }{{4, 5}, {24, 28}, {68, 86}} {
		capacityBackoff := route.CapacityBackoff{Processes: size.processes}
		s := searchSimulation{processes: size.processes, engines: size.engines, load: 2, backoff: capacityBackoff.Interval(), maxEngines: route.MaxEnginesPerSearch}
		bounded := s.run(1)
		s.backoff, s.maxEngines = 80*time.Millisecond, 1<<30
		unbounded := s.run(1)
		t.Logf("%d processes, %d engines: %+v, without bounds %+v", size.processes, size.engines, bounded, unbounded)
		require.Less(t, bounded.maxLatency, 2*searchTimeout, "a request is served or refused in time")
		reserveCalls := float64(bounded.reserveCalls) / float64(bounded.requests)
		if smallestPoolCalls == 0 {
			smallestPoolCalls = reserveCalls
		}
		require.Less(t, reserveCalls, 2.5*smallestPoolCalls, "the pool grows by a factor of 17, the calls per request must not")
		require.Less(t, bounded.maxReserveCalls, 200)
		require.GreaterOrEqual(t, float64(bounded.served), 0.95*float64(unbounded.served), "as many requests are served as without bounds")
		if size.engines > 40 {
			require.Greater(t, unbounded.maxLatency, 3*time.Second, "without bounds the search takes too long")
		}
	}
}

// The calls per request must not grow with the number of engines and processes: at
// most twelve at every size.
func TestCapacityBackoffBoundsReserveCallsAtEverySize(t *testing.T) {
	for _, size := range []struct{ processes, engines int }{{4, 5}, {24, 28}, {68, 86}} {
		s := searchSimulation{
			processes: size.processes, engines: size.engines, load: 2,
			backoff: route.CapacityBackoff{Processes: size.processes}.Interval(), maxEngines: route.MaxEnginesPerSearch,
		}
		bounded := s.run(1)
		require.Less(t, bounded.reserveCalls, 12*bounded.requests, "%d processes, %d engines", size.processes, size.engines)
	}
}

func TestCapacityBackoffIntervalGrowsWithProcesses(t *testing.T) {
	require.Equal(t, 80*time.Millisecond, route.CapacityBackoff{}.Interval())
	require.Equal(t, 80*time.Millisecond, route.CapacityBackoff{Processes: 4}.Interval())
	require.Greater(t, route.CapacityBackoff{Processes: 68}.Interval(), 300*time.Millisecond)
	require.Equal(t, 10*route.CapacityBackoff{Processes: 68}.Interval(), route.CapacityBackoff{Processes: 680}.Interval())
}

// Guards against answers that hold the memory of slow engines while that of fast ones is
// free, and against searches that keep asking the fast ones when they are full. The load is
// relative to the capacity of engines that all are fast; uneven engines have 0.8 of that.
func TestEnginesChosenBySpeedHoldLessMemory(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.65, 1.2} {
		s := searchSimulation{
			processes: 28, engines: 30, load: load, backoff: route.CapacityBackoff{Processes: 28}.Interval(), maxEngines: route.MaxEnginesPerSearch, uneven: true,
		}
		atRandom := s.run(1)
		s.bySpeed = route.FastEnginesPerSearch
		bySpeed := s.run(1)
		perRequest := func(r searchSimulationResult) (held, calls, served float64) {
			n := float64(r.requests)
			return r.held.Seconds() / n, float64(r.reserveCalls) / n, float64(r.served) / n
		}
		heldBefore, callsBefore, servedBefore := perRequest(atRandom)
		held, calls, served := perRequest(bySpeed)
		t.Logf("load %v, chosen at random and by speed: slot held for %.2f s and %.2f s, %.2f and %.2f calls, %.3f and %.3f served",
			load, heldBefore, held, callsBefore, calls, servedBefore, served)
		require.Less(t, calls, callsBefore+0.5)
		require.GreaterOrEqual(t, served, servedBefore-0.03)
		if load < 0.8 {
			require.Less(t, held, 0.85*heldBefore)
		}
	}
}
