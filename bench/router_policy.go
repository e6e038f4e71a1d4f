package main

import (
	"math/rand/v2"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
	"jacinthworks/route"
)

// Sides send load reports every reportEvery; entries receive them reportLag later.
const (
	reportEvery = 100 * time.Millisecond
	reportLag   = 100 * time.Millisecond
)

// Entries receive cache events eventLag after they occur; one in eventLossOneIn is
// never delivered.
const (
	eventLag       = 300 * time.Millisecond
	eventLossOneIn = 10
)

// entryCount is the number of entry hosts; each request goes to a random one.
const entryCount = 2

// routerPolicy is the policy of the router: entries make the decisions, and sides
// keep reservations and send load reports.
type routerPolicy struct {
	sim     *simulation
	entries []*entry
	// entryOf maps each open request to the entry that received it.
	entryOf map[domain.RequestID]*entry
	// crashed holds the upstreams whose crash was detected; their reports are ignored.
	crashed map[domain.Host]bool
}

func newRouterPolicy(w *simulation, disabled string, seed uint64) *routerPolicy {
	s := &routerPolicy{sim: w, entryOf: make(map[domain.RequestID]*entry), crashed: make(map[domain.Host]bool)}
	for n := range entryCount {
		s.entries = append(s.entries, newEntry(w, disabled, seed+uint64(n)<<32))
	}
	for _, e := range w.decodes {
		e.ledger.Limits = admit.Limits{Requests: decodeSlots, Tokens: decodeMemory}
	}
	for _, e := range w.prefills {
		s.forwardCacheEvents(e, seed)
	}
	s.sendReports()
	w.every(reportEvery, reportEvery, s.sendReports)
	return s
}

// forwardCacheEvents forwards an engine's cache events to all entries, with a delay
// and with gaps in the sequence numbers.
func (s *routerPolicy) forwardCacheEvents(p *prefillEngine, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	var seq uint64
	p.cache.onChange = func(prefix uint64, tokens int, evicted bool) {
		seq++
		event := route.CacheEvent{Seq: seq, Prefix: prefix, Tokens: tokens, Evicted: evicted}
		if random.IntN(eventLossOneIn) == 0 {
			return
		}
		s.sim.after(eventLag, func() {
			for _, e := range s.entries {
				e.model.CacheEvent(s.sim.now, p.host, event)
			}
		})
	}
}

// reportSet holds the load reports of all sides at one time.
type reportSet struct {
	createdAt time.Time
	prefills  map[*prefillEngine]route.PrefillReport
	decodes   map[*decodeEngine]route.DecodeReport
	apps      map[*appServer]route.AppReport
	links     map[*link]route.LinkReport
}

// sendReports sends the current load report of each side to the entries. The reports
// at the start of the run are delivered without delay.
func (s *routerPolicy) sendReports() {
	now := reportSet{
		createdAt: s.sim.now,
		prefills:  make(map[*prefillEngine]route.PrefillReport),
		decodes:   make(map[*decodeEngine]route.DecodeReport),
		apps:      make(map[*appServer]route.AppReport),
		links:     make(map[*link]route.LinkReport),
	}
	for _, p := range s.sim.prefills {
		if !p.crashed {
			now.prefills[p] = p.report()
		}
	}
	for _, d := range s.sim.decodes {
		if !d.crashed {
			now.decodes[d] = d.report()
		}
	}
	for _, a := range s.sim.apps {
		if !a.crashed {
			now.apps[a] = a.report()
		}
	}
	for _, l := range s.sim.links {
		now.links[l] = route.LinkReport{Rate: l.rate, QueuedBytes: l.queuedBytes(s.sim.now)}
	}
	if s.sim.now.Equal(epoch) {
		s.deliver(now)
		return
	}
	s.sim.after(reportLag, func() { s.deliver(now) })
}

// deliver updates every entry with the reports, in the order of the simulation's
// lists, so that runs are deterministic.
func (s *routerPolicy) deliver(r reportSet) {
	for _, e := range s.entries {
		for _, p := range s.sim.prefills {
			if report, ok := r.prefills[p]; ok && !s.crashed[p.host] {
				e.model.Prefills.Update(p.host, p.zone, r.createdAt, report)
			}
		}
		for _, d := range s.sim.decodes {
			if report, ok := r.decodes[d]; ok && !s.crashed[d.host] {
				e.model.Decodes.Update(d.host, d.zone, r.createdAt, report)
			}
		}
		for _, a := range s.sim.apps {
			if report, ok := r.apps[a]; ok && !s.crashed[a.host] {
				e.apps.Pool.Update(a.host, a.zone, r.createdAt, report)
			}
		}
		for _, l := range s.sim.links {
			e.model.UpdateLink(l.path, r.createdAt, r.links[l])
		}
		e.dispatchQueued()
	}
}

func (s *routerPolicy) arrive(r *request) {
	e := s.entries[s.sim.random.IntN(len(s.entries))]
	s.entryOf[r.id] = e
	e.arrive(r)
}

func (s *routerPolicy) prefillDone(r *request, evictAt time.Time) {
	if r.hasEnded() {
		s.sim.filledTokens += r.filledTokens
		s.sim.wastedTokens += r.filledTokens
		return
	}
	r.prefill.ledger.Release(admit.Key{Request: r.id, Attempt: r.attempt})
	s.sim.transferKV(r, evictAt)
	s.entryOf[r.id].dispatchQueued()
}

func (s *routerPolicy) kvEvicted(r *request) {
	if !r.hasEnded() {
		s.entryOf[r.id].retry(r)
	}
}

func (s *routerPolicy) release(r *request) {
	s.entryOf[r.id].release(r)
	delete(s.entryOf, r.id)
}

func (s *routerPolicy) expire(r *request) {
	e := s.entryOf[r.id]
	e.queue.Remove(s.sim.now, r.id)
	delete(e.waiting, r.id)
}

func (s *routerPolicy) upstreamCrashed(h domain.Host, lost []*request) {
	s.crashed[h] = true
	for _, e := range s.entries {
		e.model.Prefills.Remove(h)
		e.model.Decodes.Remove(h)
		e.apps.Pool.Remove(h)
	}
	for _, r := range lost {
		s.kvEvicted(r)
	}
}

// limits returns the side's admission limits: at most MaxPrefillQueueTime of queued
// prefill at the measured rate, without the tokens that are already done.
func (e *prefillEngine) limits() admit.Limits {
	bound := int(admit.MaxPrefillQueueTime.Seconds() * e.reportedRate())
	return admit.Limits{Requests: 64, Tokens: bound + e.runningTokens(), QueuedOnly: true}
}

// reportedRate returns the measured prefill rate, or the nominal rate before the
// first measurement.
func (e *prefillEngine) reportedRate() float64 {
	if e.measuredRate == 0 {
		return prefillRate
	}
	return e.measuredRate
}

func (e *prefillEngine) report() route.PrefillReport {
	var queued int
	for _, r := range e.queue {
		queued += r.prompt
	}
	if e.running != nil {
		queued += int(e.endsAt.Sub(e.clock.now).Seconds() * e.rate())
	}
	return route.PrefillReport{QueuedTokens: queued, Rate: e.reportedRate()}
}

func (e *decodeEngine) report() route.DecodeReport {
	capacity := e.ledger.Capacity(e.clock.now)
	batch := decodeSlots - capacity.FreeRequests
	if batch < len(e.batch) { // with reservations disabled only the batch counts
		capacity.FreeRequests, capacity.FreeTokens = decodeSlots-len(e.batch), decodeMemory-e.usedTokens()
		batch = len(e.batch)
	}
	slowdown := max(1, e.slowdown)
	return route.DecodeReport{
		FreeRequests: capacity.FreeRequests,
		FreeTokens:   capacity.FreeTokens,
		Batch:        batch,
		GapBase:      time.Duration(float64(decodeGapBase) * slowdown),
		GapStep:      time.Duration(float64(decodeGapStep) * slowdown),
	}
}

func (w *simulation) findPrefill(h domain.Host) *prefillEngine {
	for _, e := range w.prefills {
		if e.host == h {
			return e
		}
	}
	return nil
}

func (w *simulation) findDecode(h domain.Host) *decodeEngine {
	for _, e := range w.decodes {
		if e.host == h {
			return e
		}
	}
	return nil
}
