package retry

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

// Suspicion is the state of the evidence that a request crashes the upstreams that run it.
type Suspicion string

// The states of the evidence against a request. A death is that of an upstream.
const (
	// Clear is a request without any death against it, or only deaths that another request
	// explains.
	Clear Suspicion = "clear"
	// Suspect is a request that ran during one unexplained death. It may run, but not beside
	// another suspect, so that a further death distinguishes the two.
	Suspect Suspicion = "suspect"
	// Ambiguous is a request that ran during two deaths together with another one that ran during
	// both as well. It may run only alone. If it survives, it is cleared and the other is blocked.
	Ambiguous Suspicion = "ambiguous"
	// Blocked is a request that ran during two deaths that no other request explains, or during
	// AmbiguousCrashLimit. It is refused with domain.ReasonCrashes, also when its caller sends it
	// again.
	Blocked Suspicion = "stopped"
)

// CrashLimit is the number of upstreams that may die while running a request before it is blocked.
// One death does not distinguish the request from the requests that ran beside it.
const CrashLimit = 2

// AmbiguousCrashLimit is the number of upstreams that may die while running requests that no death
// distinguishes: then all of them are blocked. Without it, requests that are always sent together
// would crash one upstream after the other.
const AmbiguousCrashLimit = 3

// deathSet is a set of indexes of a record's deaths, of which there are at most 64.
type deathSet uint64

func (s deathSet) size() int                   { return bits.OnesCount64(uint64(s)) }
func (s deathSet) within(o deathSet) bool      { return s&o == s }
func (s deathSet) without(o deathSet) deathSet { return s &^ o }
func (s deathSet) has(index int) bool          { return s&(1<<index) != 0 }
func (s deathSet) with(index int) deathSet     { return s | 1<<index }

// Attribute attributes the deaths in the record to requests, as of now. It returns the suspicion of
// each request that there is evidence against; all others are Clear.
//
// The score of a request is the number of upstreams that died while running it, after it last ran
// to its end. Two incarnations of one upstream count as two, so that a pool of one upstream is not
// crashed forever. Requests that reach CrashLimit are blocked, the highest score first, and explain
// the deaths during which they ran: those no longer count against the other requests that ran beside
// them. A request that ran only during deaths during which another one ran as well cannot be
// distinguished from that one, and is blocked only at AmbiguousCrashLimit. A death that a part of
// prompts explains counts only against the requests with that part.
func Attribute(r Record, now time.Time) map[Identity]Suspicion {
	r = r.Since(wireTime(now.Add(-EvidenceTTL)))
	return attributeRequests(r, attributeParts(r))
}

// attributeRequests attributes the deaths to requests that no part of a prompt explains.
func attributeRequests(r Record, parts partFindings) map[Identity]Suspicion {
	against := deathsByRequest(r, parts.culprits)
	suspicions := make(map[Identity]Suspicion)
	for {
		culprits := findCulprits(against)
		if len(culprits) == 0 {
			culprits = findIndistinguishable(against)
		}
		if len(culprits) == 0 {
			break
		}
		var explained deathSet
		for _, id := range culprits {
			suspicions[id] = Blocked
			explained |= against[id]
		}
		for id, deaths := range against {
			against[id] = deaths.without(explained)
		}
	}
	for id, deaths := range against {
		switch {
		case deaths.size() >= CrashLimit:
			suspicions[id] = Ambiguous
		case deaths.size() > 0:
			suspicions[id] = Suspect
		}
	}
	return suspicions
}

// deathsByRequest returns, for each request, the deaths that count against it. culprits holds, by
// the index of a death, the requests that explain it, if any do.
func deathsByRequest(r Record, culprits map[int]map[Identity]bool) map[Identity]deathSet {
	lastSurvival := make(map[Identity]time.Time)
	for _, s := range r.Survivals {
		lastSurvival[s.Identity] = s.Time
	}
	against := make(map[Identity]deathSet)
	for i, d := range r.Deaths[:min(len(r.Deaths), MaxDeaths)] {
		for _, id := range d.Running {
			excused := culprits[i] != nil && !culprits[i][id]
			if !excused && d.Time.After(lastSurvival[id]) {
				against[id] = against[id].with(i)
			}
		}
	}
	return against
}

// findCulprits returns the requests with the highest score, of at least CrashLimit, whose deaths no
// other request explains as well.
func findCulprits(against map[Identity]deathSet) []Identity {
	requestCounts := make(map[deathSet]int)
	for _, deaths := range against {
		if deaths.size() >= CrashLimit {
			requestCounts[deaths]++
		}
	}
	var culprits []Identity
	highest := CrashLimit
	for id, deaths := range against {
		if deaths.size() < highest || !explainsAlone(deaths, requestCounts) {
			continue
		}
		if deaths.size() > highest {
			highest, culprits = deaths.size(), nil
		}
		culprits = append(culprits, id)
	}
	return culprits
}

// findIndistinguishable returns the requests that ran during AmbiguousCrashLimit deaths or more.
func findIndistinguishable(against map[Identity]deathSet) (found []Identity) {
	for id, deaths := range against {
		if deaths.size() >= AmbiguousCrashLimit {
			found = append(found, id)
		}
	}
	return found
}

// explainsAlone reports whether only one request ran during all of these deaths. requestCounts holds
// the number of requests by the deaths that count against them.
func explainsAlone(deaths deathSet, requestCounts map[deathSet]int) bool {
	requests := 0
	for other, count := range requestCounts {
		if deaths.within(other) {
			requests += count
		}
	}
	return requests == 1
}

// Ledger holds the evidence of deaths known to a process and the suspicions that follow from it.
// The zero value is empty and ready to use; it must not be copied. It is safe for concurrent use.
// Its lock is a leaf lock: no other lock is acquired while it is held.
type Ledger struct {
	mu         sync.Mutex
	record     Record
	changed    bool // record has changed since the suspicions were determined
	suspicions map[Identity]Suspicion
	deathsWith map[Identity]int // the number of deaths in record with each request
	expiresAt  time.Time        // when the oldest death in record reaches EvidenceTTL
	parts      partFindings
	// lastDeath and lastSound hold, for each part in the record, when an upstream last died under a
	// request with it, and when it last proved sound.
	lastDeath, lastSound map[Part]time.Time
	// proved holds the parts that proved sound here, whether or not there were deaths against them.
	proved partSet
	// told holds when each part last proved sound as far as other processes know, and untold the
	// parts against which they count two deaths or more.
	told   map[Part]time.Time
	untold map[Part]bool
	// recheckedAt is when this process last let a request with a blocked part run.
	recheckedAt map[Part]time.Time
}

// RecordDeath adds the evidence of the death of an upstream.
func (l *Ledger) RecordDeath(d Death) { l.Merge(d.Time, Record{Deaths: []Death{d}}) }

// RecordSurvival records that a request ran to its end, and reports whether there was evidence
// against it. For a request without a death against it nothing is stored.
func (l *Ledger) RecordSurvival(now time.Time, id Identity) (cleared bool) {
	l.mu.Lock()
	l.refresh(now)
	_, known := l.suspicions[id]
	l.mu.Unlock()
	if known {
		l.Merge(now, Record{Survivals: []Survival{{id, now}}})
	}
	return known
}

// Merge adds evidence from another process, and reports whether any of it was new.
func (l *Ledger) Merge(now time.Time, r Record) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	r = r.Plausible(now)
	l.recordTold(r.SoundParts)
	r = r.Since(wireTime(now.Add(-EvidenceTTL)))
	if l.record.covers(r) {
		return false
	}
	l.record, l.changed = l.record.Merge(r), true
	return true
}

// Record returns a copy of the evidence, to be sent to other processes.
func (l *Ledger) Record(now time.Time) Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return Record{Deaths: slices.Clone(l.record.Deaths), Survivals: slices.Clone(l.record.Survivals), SoundParts: slices.Clone(l.record.SoundParts)}
}

// Suspicion returns the suspicion of a request.
func (l *Ledger) Suspicion(now time.Time, id Identity) Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if s, ok := l.suspicions[id]; ok {
		return s
	}
	return Clear
}

// DeathsWith returns the number of upstreams known to have died while running a request, whether or
// not their deaths count against it.
func (l *Ledger) DeathsWith(now time.Time, id Identity) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return l.deathsWith[id]
}

// MayRunWith reports whether an upstream that runs the given requests may run this one as well.
// Only the side knows exactly what its upstream runs, so it asks before it accepts a request, and
// answers not_run if the request may not run now. Without this rule an innocent request that ran
// beside the culprit could be retried beside it, die with it again, and be indistinguishable from it.
func (l *Ledger) MayRunWith(now time.Time, id Identity, running []Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	switch l.suspicions[id] {
	case Blocked:
		return false
	case Ambiguous:
		return len(running) == 0
	}
	for _, other := range running {
		s := l.suspicions[other]
		if s == Ambiguous || l.suspicions[id] == Suspect && s != "" {
			return false
		}
	}
	return true
}

func (l *Ledger) refresh(now time.Time) {
	if l.changed || len(l.record.Deaths) > 0 && !now.Before(l.expiresAt) {
		l.evaluate(now)
	}
}

func (l *Ledger) evaluate(now time.Time) {
	l.changed = false
	l.record = l.record.Since(wireTime(now.Add(-EvidenceTTL)))
	l.evaluateParts()
	l.suspicions = attributeRequests(l.record, l.parts)
	l.deathsWith = make(map[Identity]int)
	for _, d := range l.record.Deaths {
		for _, id := range d.Running {
			l.deathsWith[id]++
		}
	}
	if n := len(l.record.Deaths); n > 0 {
		l.expiresAt = l.record.Deaths[n-1].Time.Add(EvidenceTTL + time.Microsecond)
	}
}
