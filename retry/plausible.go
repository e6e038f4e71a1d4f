package retry

import (
	"slices"
	"time"
)

const (
	// maxEvidenceName bounds a name in evidence, in bytes: that of an upstream, of a request's
	// identity or of a part.
	maxEvidenceName = 512
	// maxClockLead is how far the clock of another process may be ahead.
	maxClockLead = EvidenceTTL
)

// Plausible returns the evidence that a process can have recorded by now. Evidence with times far ahead
// would never expire, and as the newest it would push out what others saw; long names would fill
// the messages in which the evidence is passed on.
func (r Record) Plausible(now time.Time) Record {
	latest := now.Add(maxClockLead)
	var kept Record
	for _, d := range r.Deaths {
		if !d.Time.After(latest) && d.hasShortNames() && len(kept.Deaths) < MaxDeaths {
			kept.Deaths = append(kept.Deaths, d)
		}
	}
	for _, s := range r.Survivals {
		if !s.Time.After(latest) && s.checkName() == nil && len(kept.Survivals) < MaxSurvivals {
			kept.Survivals = append(kept.Survivals, s)
		}
	}
	for _, s := range r.SoundParts {
		if !s.Time.After(latest) && s.checkName() == nil && len(kept.SoundParts) < MaxSoundParts {
			kept.SoundParts = append(kept.SoundParts, s)
		}
	}
	return kept
}

func (d Death) hasShortNames() bool {
	isLong := func(id Identity) bool { return len(id) > maxEvidenceName }
	isLongPart := func(p Part) bool { return len(p) > maxEvidenceName }
	return len(d.Upstream) <= maxEvidenceName && !slices.ContainsFunc(d.Running, isLong) && !slices.ContainsFunc(d.Established, isLongPart) &&
		!slices.ContainsFunc(d.Prompts, func(p Prompt) bool { return isLong(p.Request) || slices.ContainsFunc(p.Parts, isLongPart) })
}
