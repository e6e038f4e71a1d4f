package retry

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

// Suspicion says what evidence there is against a request.
type Suspicion string

// The standings.
const (
	// Clear has no death against it, or only such as another explains.
	Clear Suspicion = "clear"
	// Suspect ran in one unexplained death. It may run, but beside no other
	// suspect: then the next death tells the two apart.
	Suspect Suspicion = "suspect"
	// Ambiguous ran in two deaths together with another that ran in both as
	// well. It may run only alone; surviving clears it and condemns the other.
	Ambiguous Suspicion = "ambiguous"
	// Blocked ran in two deaths that no other request explains. It is refused
	// with domain.ReasonCrashes, a fresh send of it as well.
	Blocked Suspicion = "stopped"
)

// CrashLimit is how many upstreams may die running a request.
const CrashLimit = 2

// set holds indexes of a record's deaths, of which there are at most 64.
type set uint64

func (s set) size() int          { return bits.OnesCount64(uint64(s)) }
func (s set) within(o set) bool  { return s&o == s }
func (s set) without(o set) set  { return s &^ o }
func (s set) with(index int) set { return s | 1<<index }

// Attribute weighs the evidence as of now and gives the standing of each request
// that it speaks against; all others are Clear.
//
// A request's score is the number of upstreams that died running it after it
// last ran to its end; two lives of one upstream are two, so that a pool of one
// is not crashed for good. Those that reach CrashLimit are stopped, the highest
// score first, and the deaths in which they ran are explained by them: such a
// death counts against none of the neighbours any longer. One that ran only in
// deaths in which another ran, too, cannot be told apart from that one and is
// not stopped for them.
func Attribute(r Record, now time.Time) map[Identity]Suspicion {
	r = r.Since(wireTime(now.Add(-EvidenceTTL)))
	against := scores(r)
	standing := make(map[Identity]Suspicion)
	for stopped := condemn(against); len(stopped) > 0; stopped = condemn(against) {
		var explained set
		for _, id := range stopped {
			standing[id] = Blocked
			explained |= against[id]
		}
		for id, deaths := range against {
			against[id] = deaths.without(explained)
		}
	}
	for id, deaths := range against {
		switch {
		case deaths.size() >= CrashLimit:
			standing[id] = Ambiguous
		case deaths.size() > 0:
			standing[id] = Suspect
		}
	}
	return standing
}

// scores gives, for each request, the deaths that count against it.
func scores(r Record) map[Identity]set {
	survived := make(map[Identity]time.Time)
	for _, s := range r.Survivals {
		survived[s.Identity] = s.Time
	}
	against := make(map[Identity]set)
	for i, d := range r.Deaths[:min(len(r.Deaths), MaxDeaths)] {
		for _, id := range d.Running {
			if d.Time.After(survived[id]) {
				against[id] = against[id].with(i)
			}
		}
	}
	return against
}

// condemn gives the requests of the highest score, at least CrashLimit, whose
// deaths no other request explains as well.
func condemn(against map[Identity]set) []Identity {
	same := make(map[set]int)
	for _, deaths := range against {
		if deaths.size() >= CrashLimit {
			same[deaths]++
		}
	}
	var stopped []Identity
	best := CrashLimit
	for id, deaths := range against {
		if deaths.size() < best || !alone(deaths, same) {
			continue
		}
		if deaths.size() > best {
			best, stopped = deaths.size(), nil
		}
		stopped = append(stopped, id)
	}
	return stopped
}

// alone reports whether no second request ran in all of these deaths.
func alone(deaths set, same map[set]int) bool {
	n := 0
	for other, count := range same {
		if deaths.within(other) {
			n += count
		}
	}
	return n == 1
}

// Ledger keeps a process's evidence and the standings that follow from it. The
// zero value is empty and ready to use; it must not be copied. It is safe for
// concurrent use; its lock is a leaf.
type Ledger struct {
	mu       sync.Mutex
	record   Record
	standing map[Identity]Suspicion
	expires  time.Time // when the oldest death in record leaves Memory
}

// RecordDeath adds the evidence of a death.
func (l *Ledger) RecordDeath(d Death) { l.Merge(d.Time, Record{Deaths: []Death{d}}) }

// RecordSurvival says that a request ran to its end. Without a death against it that
// needs no memory.
func (l *Ledger) RecordSurvival(now time.Time, id Identity) {
	l.mu.Lock()
	_, known := l.standing[id]
	l.mu.Unlock()
	if known {
		l.Merge(now, Record{Survivals: []Survival{{id, now}}})
	}
}

// Merge adds evidence from another process.
func (l *Ledger) Merge(now time.Time, r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = l.record.Merge(r)
	l.judge(now)
}

// Record gives the evidence to pass on.
func (l *Ledger) Record(now time.Time) Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return Record{slices.Clone(l.record.Deaths), slices.Clone(l.record.Survivals)}
}

// Suspicion gives what stands against a request.
func (l *Ledger) Suspicion(now time.Time, id Identity) Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if s, ok := l.standing[id]; ok {
		return s
	}
	return Clear
}

// MayRunWith reports whether an upstream that runs the given requests may take
// this one, too. The side asks before it takes a request, and answers not_run
// when it may not: it alone knows exactly what runs. Without this rule an
// innocent neighbour could be retried next to the culprit, die with it again,
// and look the same.
func (l *Ledger) MayRunWith(now time.Time, id Identity, running []Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	switch l.standing[id] {
	case Blocked:
		return false
	case Ambiguous:
		return len(running) == 0
	}
	for _, other := range running {
		s := l.standing[other]
		if s == Ambiguous || l.standing[id] == Suspect && s != "" {
			return false
		}
	}
	return true
}

func (l *Ledger) refresh(now time.Time) {
	if len(l.record.Deaths) > 0 && !now.Before(l.expires) {
		l.judge(now)
	}
}

func (l *Ledger) judge(now time.Time) {
	l.record = l.record.Since(wireTime(now.Add(-EvidenceTTL)))
	l.standing = Attribute(l.record, now)
	if n := len(l.record.Deaths); n > 0 {
		l.expires = l.record.Deaths[n-1].Time.Add(EvidenceTTL + time.Microsecond)
	}
}
