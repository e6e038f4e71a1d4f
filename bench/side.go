package main

import (
	"math/rand/v2"
	"time"

	"jacinthworks/admit"
	"jacinthworks/domain"
	"jacinthworks/route"
)

// Reports are made every reportEvery and arrive reportLag later.
const (
	reportEvery = 100 * time.Millisecond
	reportLag   = 100 * time.Millisecond
)

// Cache events arrive eventLag after they happen, and one in eventsLost never.
const (
	eventLag   = 300 * time.Millisecond
	eventsLost = 10
)

// entries is the number of entry hosts; callers are spread over them.
const entries = 2

// sides is the policy of jacinthworks: entries that decide, and sides that
// hold reservations and report. Off names a decision that is switched off.
type sides struct {
	w       *world
	entries []*entry
	owner   map[domain.RequestID]*entry
	lost    map[domain.Host]bool
}

func newSides(w *world, off string, seed uint64) *sides {
	s := &sides{w: w, owner: make(map[domain.RequestID]*entry), lost: make(map[domain.Host]bool)}
	for n := range entries {
		s.entries = append(s.entries, newEntry(w, off, seed+uint64(n)<<32))
	}
	for _, e := range w.decodes {
		e.ledger.Limits = admit.Limits{Requests: decodeSlots, Tokens: decodeMemory}
	}
	for _, e := range w.prefills {
		s.listen(e, seed)
	}
	s.report()
	w.every(reportEvery, reportEvery, s.report)
	return s
}

// listen passes an engine's cache events on, late and with gaps.
func (s *sides) listen(p *prefillEngine, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	var seq uint64
	p.cache.changed = func(prefix uint64, tokens int, evicted bool) {
		seq++
		event := route.CacheEvent{Seq: seq, Prefix: prefix, Tokens: tokens, Evicted: evicted}
		if random.IntN(eventsLost) == 0 {
			return
		}
		s.w.after(eventLag, func() {
			for _, e := range s.entries {
				e.model.CacheEvent(s.w.now, p.host, event)
			}
		})
	}
}

// reports is what all sides know at one time.
type reports struct {
	made     time.Time
	prefills map[*prefillEngine]route.PrefillReport
	decodes  map[*decodeEngine]route.DecodeReport
	apps     map[*appServer]route.AppReport
	links    map[*link]route.LinkReport
}

// report sends what each engine's side knows now to the entries.
func (s *sides) report() {
	now := reports{
		made:     s.w.now,
		prefills: make(map[*prefillEngine]route.PrefillReport),
		decodes:  make(map[*decodeEngine]route.DecodeReport),
		apps:     make(map[*appServer]route.AppReport),
		links:    make(map[*link]route.LinkReport),
	}
	for _, p := range s.w.prefills {
		if !p.dead {
			now.prefills[p] = p.report()
		}
	}
	for _, d := range s.w.decodes {
		if !d.dead {
			now.decodes[d] = d.report()
		}
	}
	for _, a := range s.w.apps {
		if !a.dead {
			now.apps[a] = a.report()
		}
	}
	for _, l := range s.w.links {
		now.links[l] = route.LinkReport{Rate: l.rate, QueuedBytes: l.queued(s.w.now)}
	}
	if s.w.now.Equal(epoch) {
		s.deliver(now)
		return
	}
	s.w.after(reportLag, func() { s.deliver(now) })
}

// deliver gives reports to every entry, in the order of the world's lists.
func (s *sides) deliver(r reports) {
	for _, e := range s.entries {
		for _, p := range s.w.prefills {
			if report, ok := r.prefills[p]; ok && !s.lost[p.host] {
				e.model.Prefills.Update(p.host, p.zone, r.made, report)
			}
		}
		for _, d := range s.w.decodes {
			if report, ok := r.decodes[d]; ok && !s.lost[d.host] {
				e.model.Decodes.Update(d.host, d.zone, r.made, report)
			}
		}
		for _, a := range s.w.apps {
			if report, ok := r.apps[a]; ok && !s.lost[a.host] {
				e.apps.Pool.Update(a.host, a.zone, r.made, report)
			}
		}
		for _, l := range s.w.links {
			e.model.UpdateLink(l.path, r.made, r.links[l])
		}
		e.pump()
	}
}

func (s *sides) arrive(r *request) {
	e := s.entries[s.w.random.IntN(len(s.entries))]
	s.owner[r.id] = e
	e.arrive(r)
}

func (s *sides) filled(r *request, evict time.Time) {
	if r.over() {
		s.w.filledTokens += r.filled
		s.w.wasted += r.filled
		return
	}
	r.prefill.ledger.Release(admit.Key{Request: r.id, Attempt: r.attempt})
	s.w.transfer(r, evict)
	s.owner[r.id].pump()
}

func (s *sides) evicted(r *request) {
	if !r.over() {
		s.owner[r.id].again(r)
	}
}

func (s *sides) free(r *request) {
	s.owner[r.id].free(r)
	delete(s.owner, r.id)
}

func (s *sides) gone(r *request) {
	e := s.owner[r.id]
	e.queue.Remove(s.w.now, r.id)
	delete(e.waiting, r.id)
}

func (s *sides) down(h domain.Host, lost []*request) {
	s.lost[h] = true
	for _, e := range s.entries {
		e.model.Prefills.Remove(h)
		e.model.Decodes.Remove(h)
		e.apps.Pool.Remove(h)
	}
	for _, r := range lost {
		s.evicted(r)
	}
}

func (e *prefillEngine) limits() admit.Limits {
	bound := int(admit.MaxPrefillQueueTime.Seconds() * e.rateMeasured())
	return admit.Limits{Requests: 64, Tokens: bound + e.progress(), QueuedOnly: true}
}

func (e *prefillEngine) rateMeasured() float64 {
	if e.measured == 0 {
		return prefillRate
	}
	return e.measured
}

func (e *prefillEngine) report() route.PrefillReport {
	var queued int
	for _, r := range e.queue {
		queued += r.prompt
	}
	if e.running != nil {
		queued += int(e.till.Sub(e.c.now).Seconds() * e.rate())
	}
	return route.PrefillReport{QueuedTokens: queued, Rate: e.rateMeasured()}
}

func (e *decodeEngine) report() route.DecodeReport {
	room := e.ledger.Capacity(e.c.now)
	held := decodeSlots - room.FreeRequests
	if held < len(e.batch) { // without reservations only the batch shows
		room.FreeRequests, room.FreeTokens = decodeSlots-len(e.batch), decodeMemory-e.used()
		held = len(e.batch)
	}
	slow := max(1, e.slow)
	return route.DecodeReport{
		FreeRequests: room.FreeRequests,
		FreeTokens:   room.FreeTokens,
		Batch:        held,
		GapBase:      time.Duration(float64(decodeGapBase) * slow),
		GapStep:      time.Duration(float64(decodeGapStep) * slow),
	}
}

func (w *world) prefillAt(h domain.Host) *prefillEngine {
	for _, e := range w.prefills {
		if e.host == h {
			return e
		}
	}
	return nil
}

func (w *world) decodeAt(h domain.Host) *decodeEngine {
	for _, e := range w.decodes {
		if e.host == h {
			return e
		}
	}
	return nil
}
