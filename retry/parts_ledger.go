package retry

import (
	"maps"
	"slices"
	"time"
)

// RecordSound records that parts of a prompt proved sound. It reports whether other processes have
// to be told of some of them; see TakeSound. Of a part without a death against it only the name is kept.
func (l *Ledger) RecordSound(now time.Time, parts []Part) (tell bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	var sound []SoundPart
	for _, p := range parts {
		l.proved.add(p)
		if l.lastSound[p].Before(l.lastDeath[p]) {
			sound = append(sound, SoundPart{p, now})
		}
		tell = tell || l.untold[p]
	}
	if len(sound) > 0 {
		l.record.SoundParts, l.changed = mergeSoundParts(slices.Concat(l.record.SoundParts, sound)), true
	}
	return tell
}

// TakeSound returns the parts that proved sound while other processes may still count two deaths or
// more against them, and regards the others as told.
//
// Each process that serves a common part clears it by itself, and one that serves little would block it.
func (l *Ledger) TakeSound(now time.Time) (tell []SoundPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	for _, s := range l.record.SoundParts {
		if l.isUntold(s) {
			tell = append(tell, s)
		}
	}
	l.recordTold(tell)
	l.changed = l.changed || len(tell) > 0
	return tell
}

// HasUntoldSound reports whether TakeSound has parts to tell, which also follows from deaths that this
// process learned of after it saw a part prove sound.
func (l *Ledger) HasUntoldSound(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return slices.ContainsFunc(l.record.SoundParts, l.isUntold)
}

// isUntold reports whether other processes have to be told that a part proved sound. l.mu must be held.
func (l *Ledger) isUntold(s SoundPart) bool { return l.untold[s.Part] && s.Time.After(l.told[s.Part]) }

// recordTold records what other processes know. l.mu must be held.
func (l *Ledger) recordTold(sound []SoundPart) {
	for _, s := range sound {
		if t := wireTime(s.Time); t.After(l.told[s.Part]) {
			if l.told == nil {
				l.told = make(map[Part]time.Time)
			}
			l.told[s.Part] = t
		}
	}
}

// evaluateParts attributes the deaths in the record to parts of prompts. l.mu must be held.
func (l *Ledger) evaluateParts() {
	l.parts = attributeParts(l.record)
	l.lastDeath, l.lastSound = make(map[Part]time.Time), make(map[Part]time.Time)
	for _, s := range l.record.SoundParts {
		l.lastSound[s.Part] = s.Time
	}
	for _, d := range slices.Backward(l.record.Deaths) {
		for _, p := range d.Prompts {
			for _, part := range p.Parts {
				l.lastDeath[part] = d.Time
			}
		}
	}
	forgotten := func(p Part, _ time.Time) bool { return l.lastDeath[p].IsZero() }
	maps.DeleteFunc(l.told, forgotten)
	maps.DeleteFunc(l.recheckedAt, forgotten)
	l.untold = make(map[Part]bool)
	for part, e := range evidenceByPart(l.record.Deaths, l.told) {
		l.untold[part] = e.deaths.size() >= partMargin
	}
}

// BlockingPart returns the part by which a prompt is blocked, and the finding about it.
func (l *Ledger) BlockingPart(now time.Time, parts []Part) (by Part, found PartFinding, blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	by, blocked = l.parts.blocks(parts)
	return by, l.parts.blocked[by], blocked
}

// Recheck reports whether a request that is blocked by a part may run all the same: if the part was
// blocked by mistake, nothing else would clear it. turn is this process's place in the order in which
// those of the fleet recheck the part: each waits longer than the one before, so that a failure is known
// before the next.
func (l *Ledger) Recheck(now time.Time, part Part, turn int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	finding, blocked := l.parts.blocked[part]
	pause, allowed := finding.recheckPause()
	if !blocked || !allowed || now.Before(finding.Last.Add(time.Duration(turn+1)*pause)) || now.Before(l.recheckedAt[part].Add(pause)) {
		return false
	}
	if l.recheckedAt == nil {
		l.recheckedAt = make(map[Part]time.Time)
	}
	l.recheckedAt[part] = now
	return true
}

// IsPartSuspected reports whether one more death may block a part of a prompt.
func (l *Ledger) IsPartSuspected(now time.Time, parts []Part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return slices.ContainsFunc(parts, func(p Part) bool { return l.parts.trials[p] >= PartCrashLimit-1 })
}

// BlockedParts returns the parts that are blocked.
func (l *Ledger) BlockedParts(now time.Time) map[Part]PartFinding {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return maps.Clone(l.parts.blocked)
}

// Established returns those of the parts of some prompts that proved sound here.
func (l *Ledger) Established(prompts []Prompt) (found []Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range prompts {
		for _, part := range p.Parts {
			if l.proved.has(part) {
				found = append(found, part)
			}
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// partSet holds the newest parts that were added: at least so many as maxProvedParts, and at most twice
// as many. The zero value is empty.
type partSet struct {
	current, previous map[Part]bool
}

// maxProvedParts bounds the parts that a process knows to have proved sound.
const maxProvedParts = 4096

func (s *partSet) has(p Part) bool { return s.current[p] || s.previous[p] }

func (s *partSet) add(p Part) {
	if s.current == nil || len(s.current) >= maxProvedParts {
		s.current, s.previous = make(map[Part]bool), s.current
	}
	s.current[p] = true
}
