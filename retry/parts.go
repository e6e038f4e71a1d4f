package retry

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"jacinthworks/domain"
)

const (
	// PartCrashLimit is the number of upstreams that have to die one after the other, under different
	// requests with a part, before requests with it are blocked.
	PartCrashLimit = 3
	// EstablishedPartCrashLimit is PartCrashLimit for a part that had proved sound before.
	EstablishedPartCrashLimit = 4
	// MaxRechecks is the number of requests with a blocked part that run all the same, to find out
	// whether it is sound, until the evidence expires.
	MaxRechecks = 3
	// RecheckPause is the time from the last death until the first of them, for a part that had proved
	// sound before. It is longer than a new start of an upstream takes. One that fails ends all that
	// runs beside it, so that a part that never proved sound waits for NewRecheckPause, and each
	// further one waits recheckBackoff times as long.
	RecheckPause    = 5 * time.Second
	NewRecheckPause = 20 * time.Second
	recheckBackoff  = 4
	// MaxParts bounds the parts kept of one prompt, and MaxDeathParts those kept for one death.
	MaxParts      = 128
	MaxDeathParts = 256
	// MaxSoundParts bounds the parts in a record that proved sound, to the newest.
	MaxSoundParts = 1024

	// burstAllowance is the number of deaths that a part may share with others in the loss of many
	// upstreams at once, if it had not proved sound before and others had.
	burstAllowance = 2
	// partMargin is the number of deaths by which one part has to explain more than another before
	// the two are distinguished: one may be a crash that no request caused.
	partMargin = 2
	// maxSuspects bounds the parts that are compared with each other.
	maxSuspects = 64
	// maxPartName bounds the name of a part, in bytes; a longer one is replaced by its digest.
	maxPartName = 64
)

// Part identifies a part of the prompts that callers send to one service.
type Part string

// PartsOf returns the parts of a prompt that other requests may share, given the names of all its
// parts: all but the last, which belongs to the request or to its session alone.
func PartsOf(service domain.Service, names []string) []Part {
	var parts []Part
	for _, n := range names[:max(len(names)-1, 0)] {
		if len(n) > maxPartName {
			n = DigestPart(n)
		}
		if p := Part(string(service) + "/" + n); len(parts) < MaxParts && !slices.Contains(parts, p) {
			parts = append(parts, p)
		}
	}
	return parts
}

// DigestPart returns a name for a part that is known by its text.
func DigestPart(text string) string {
	digest := sha256.Sum256([]byte(text))
	return hex.EncodeToString(digest[:16])
}

// Work is a request as the evidence names it.
type Work struct {
	Identity Identity
	// Parts are the parts of its prompt that other requests may share.
	Parts []Part
}

// Prompt is the prompt of a request that an upstream ran when it died.
type Prompt struct {
	Request Identity `json:"request"`
	// Age is the time from the send of the request to the death.
	Age   time.Duration `json:"age"`
	Parts []Part        `json:"parts"`
}

// SoundPart is the evidence that a request with a part ran to its end, or wrote its answer for
// SoundAfter. It outweighs all earlier deaths.
type SoundPart struct {
	Part Part      `json:"part"`
	Time time.Time `json:"time"`
}

// SoundAfter is the time after the first event of an answer by which the parts of its prompt prove
// sound: a part that crashes upstreams does so when they begin to write.
const SoundAfter = 2 * time.Second

// mergePrompts returns one prompt for each request, the newest first, within MaxDeathParts.
func mergePrompts(all []Prompt) (merged []Prompt) {
	newest := make(map[Identity]Prompt)
	for _, p := range all {
		if known, ok := newest[p.Request]; !ok || p.Age < known.Age {
			newest[p.Request] = p
		}
	}
	parts := 0
	for _, p := range slices.SortedFunc(maps.Values(newest), comparePrompts) {
		if parts += len(p.Parts); parts > MaxDeathParts {
			break
		}
		merged = append(merged, p)
	}
	return merged
}

func comparePrompts(a, b Prompt) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request))
}

func mergeSoundParts(all []SoundPart) (merged []SoundPart) {
	latest := make(map[Part]time.Time)
	for _, s := range all {
		if t := wireTime(s.Time); t.After(latest[s.Part]) {
			latest[s.Part] = t
		}
	}
	for p, t := range latest {
		merged = append(merged, SoundPart{p, t})
	}
	slices.SortFunc(merged, func(a, b SoundPart) int {
		return cmp.Or(b.Time.Compare(a.Time), cmp.Compare(a.Part, b.Part))
	})
	return merged[:min(len(merged), MaxSoundParts)]
}

// sighting is a request with a part that an upstream ran when it died.
type sighting struct {
	death        int // index in the record
	sent, diedAt time.Time
	request      Identity
}

// partEvidence is what speaks against one part.
type partEvidence struct {
	part   Part
	deaths deathSet
	seen   []sighting // the oldest death first
	// established means that the part had proved sound before the deaths, and isNew that it had not
	// though others had.
	established, isNew bool
}

// add adds a request with the part that an upstream ran when it died; index is that of the death.
func (e *partEvidence) add(index int, d Death, p Prompt) {
	e.deaths = e.deaths.with(index)
	e.seen = append(e.seen, sighting{death: index, sent: d.Time.Add(-p.Age), diedAt: d.Time, request: p.Request})
}

// trials returns the number of deaths, other than those in except, that were independent trials of
// the part: each of another request, sent after the death before.
//
// The load pattern is the loss of many upstreams at once, or of one request that is sent again and
// again. Each part that is common to the requests of a service ran in all of these deaths; counted
// one by one they would block the service. A new part is in few requests, which are hardly lost
// together by chance: for it each death in a burst of requests counts, but burstAllowance.
func (e *partEvidence) trials(except deathSet) int {
	inSequence, last := 0, time.Time{}
	inBurst, lastCounted := 0, -1
	var counted, countedInBurst []Identity
	for _, s := range e.seen {
		if except.has(s.death) {
			continue
		}
		if s.sent.After(last) && !slices.Contains(counted, s.request) {
			inSequence, last, counted = inSequence+1, s.diedAt, append(counted, s.request)
		}
		if s.death != lastCounted && !slices.Contains(countedInBurst, s.request) {
			inBurst, lastCounted, countedInBurst = inBurst+1, s.death, append(countedInBurst, s.request)
		}
	}
	if e.isNew {
		return max(inSequence, inBurst-burstAllowance)
	}
	return inSequence
}

// limit is the number of trials after which the part is blocked.
func (e *partEvidence) limit() int {
	if e.established {
		return EstablishedPartCrashLimit
	}
	return PartCrashLimit
}

// evidenceByPart returns what speaks against each part after it last proved sound. The deaths are
// sorted, the newest first.
func evidenceByPart(deaths []Death, lastSound map[Part]time.Time) map[Part]*partEvidence {
	byPart := make(map[Part]*partEvidence)
	established := make(map[Part]bool)
	for i, d := range slices.Backward(deaths) {
		for _, part := range d.Established {
			established[part] = true
		}
		for _, p := range d.Prompts {
			for _, part := range p.Parts {
				if !d.Time.After(lastSound[part]) {
					continue
				}
				if byPart[part] == nil {
					byPart[part] = &partEvidence{part: part}
				}
				byPart[part].add(i, d, p)
			}
		}
	}
	for part, e := range byPart {
		_, proved := lastSound[part]
		e.established = proved || established[part]
		e.isNew = !e.established && len(established)+len(lastSound) > 0
	}
	return byPart
}

// findSuspects returns the parts that ran in two deaths or more after they last proved sound, within
// maxSuspects; a part of fewer is neither blocked nor the rival of one that is.
func findSuspects(byPart map[Part]*partEvidence) (found []*partEvidence) {
	trials := make(map[Part]int)
	for part, e := range byPart {
		if e.deaths.size() >= partMargin {
			found = append(found, e)
			trials[part] = e.trials(0)
		}
	}
	slices.SortFunc(found, func(a, b *partEvidence) int {
		return cmp.Or(cmp.Compare(trials[b.part], trials[a.part]), cmp.Compare(a.part, b.part))
	})
	return found[:min(len(found), maxSuspects)]
}

// PartFinding is the finding about a part that is blocked.
type PartFinding struct {
	// Deaths is the number of upstreams that died under requests with the part since it last proved
	// sound, and Last the time of the newest.
	Deaths int
	Last   time.Time
	// Trials is the number of deaths that were independent trials of the part, and limit the number
	// by which it was blocked.
	Trials, limit int
	// Established means that the part had proved sound before.
	Established bool
	// Rivals are the parts that explain the deaths nearly as well. Requests are blocked that have
	// the part and all its rivals; any other, if it survives, clears the rival that it has.
	Rivals []Part
}

// recheckPause is the time from the last death after which the part may be rechecked; false if it may
// not.
func (f PartFinding) recheckPause() (time.Duration, bool) {
	pause := NewRecheckPause
	if f.Established {
		pause = RecheckPause
	}
	failed := max(f.Trials-f.limit, 0)
	for range failed {
		pause *= recheckBackoff
	}
	return pause, failed < MaxRechecks
}

// partFindings are the findings about all parts.
type partFindings struct {
	blocked map[Part]PartFinding
	// trials is the number of independent trials of each suspect.
	trials map[Part]int
	// culprits holds, by the index of each death that a part without rivals explains, the requests
	// with such a part.
	culprits map[int]map[Identity]bool
}

// attributeParts attributes deaths to the parts of prompts. The part with the most trials that no
// other part explains as well is blocked, and explains the deaths in which it ran: those no longer
// count against other parts. To a part that had proved sound before, only those deaths are attributed
// that no part explains which had not.
//
// The load pattern is requests no two of which are alike, with a part in common that crashes
// upstreams, beside sound requests that share all their other parts. Several such parts at once hide
// each other: the part that is common to all requests ran in most of the deaths.
func attributeParts(r Record) partFindings {
	lastSound := make(map[Part]time.Time)
	for _, s := range r.SoundParts {
		lastSound[s.Part] = s.Time
	}
	f := partFindings{blocked: make(map[Part]PartFinding), trials: make(map[Part]int), culprits: make(map[int]map[Identity]bool)}
	var unproven, established []*partEvidence
	for _, e := range findSuspects(evidenceByPart(r.Deaths, lastSound)) {
		f.trials[e.part] = e.trials(0)
		if e.established {
			established = append(established, e)
		} else {
			unproven = append(unproven, e)
		}
	}
	var byUnproven deathSet
	for _, e := range unproven {
		if e.trials(0) >= partMargin {
			byUnproven |= e.deaths
		}
	}
	byEstablished := f.attribute(r, established, byUnproven)
	f.attribute(r, unproven, byEstablished)
	return f
}

// attribute attributes deaths to some suspects, other than those that others explain, and returns the
// deaths that the suspects explain.
func (f *partFindings) attribute(r Record, suspects []*partEvidence, byOthers deathSet) (explained deathSet) {
	for {
		culprits := findCulpritParts(suspects, byOthers|explained)
		if len(culprits) == 0 {
			break
		}
		for _, e := range culprits {
			f.blocked[e.part] = e.finding(r, nil)
			f.excuseOthers(e)
			explained |= e.deaths
		}
	}
	for _, e := range suspects {
		if _, known := f.blocked[e.part]; !known && e.trials(byOthers|explained) >= e.limit() {
			f.blocked[e.part] = e.finding(r, e.rivals(suspects, byOthers|explained))
		}
	}
	return explained
}

// findCulpritParts returns the parts with the most trials, of at least their limits, that have no
// rivals.
func findCulpritParts(suspects []*partEvidence, explained deathSet) (culprits []*partEvidence) {
	most := 0
	for _, e := range suspects {
		n := e.trials(explained)
		if n < max(most, e.limit()) || len(e.rivals(suspects, explained)) > 0 {
			continue
		}
		if n > most {
			most, culprits = n, nil
		}
		culprits = append(culprits, e)
	}
	return culprits
}

// rivals returns the other parts that explain the deaths nearly as well.
func (e *partEvidence) rivals(suspects []*partEvidence, explained deathSet) (found []Part) {
	trials := make(map[deathSet]int)
	for _, o := range suspects {
		if o == e {
			continue
		}
		n, known := trials[o.deaths]
		if !known {
			n = e.trials(explained | o.deaths)
			trials[o.deaths] = n
		}
		if n < partMargin {
			found = append(found, o.part)
		}
	}
	return found
}

func (e *partEvidence) finding(r Record, rivals []Part) PartFinding {
	newest := e.seen[len(e.seen)-1].death
	return PartFinding{
		Deaths: e.deaths.size(), Last: r.Deaths[newest].Time, Trials: e.trials(0), limit: e.limit(), Established: e.established, Rivals: rivals,
	}
}

// excuseOthers records that the requests with a part explain the deaths in which they ran.
func (f *partFindings) excuseOthers(e *partEvidence) {
	for _, s := range e.seen {
		if f.culprits[s.death] == nil {
			f.culprits[s.death] = make(map[Identity]bool)
		}
		f.culprits[s.death][s.request] = true
	}
}

// blocks returns the part by which a prompt is blocked.
func (f *partFindings) blocks(parts []Part) (by Part, blocked bool) {
	for _, p := range parts {
		finding, found := f.blocked[p]
		if found && !slices.ContainsFunc(finding.Rivals, func(rival Part) bool { return !slices.Contains(parts, rival) }) {
			return p, true
		}
	}
	return "", false
}
