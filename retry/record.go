package retry

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"jacinthworks/domain"
)

const (
	// EvidenceTTL is the age up to which a death counts against the requests that ran during it.
	// Callers send a request again within minutes, and after ten minutes a body that crashed an
	// engine may meet a repaired one.
	EvidenceTTL = 10 * time.Minute
	// MaxDeaths bounds the deaths in a record; see boundDeaths. Attribute relies on at most 64.
	MaxDeaths = 64
	// MaxRunning bounds the requests kept for one death. It is above the number of requests
	// that any known engine runs at once.
	MaxRunning = 256
	// MaxSurvivals bounds the survivals of requests in a record to the newest.
	MaxSurvivals = 1024
)

// Identity identifies a request by its content and caller, whatever its request ID: the same body
// sent again by the same caller has the same identity.
type Identity string

// Identify returns the identity of a request from its caller, its service and the parts that define
// the work, such as path and body. It is 128 bits of SHA-256, so that a caller cannot find a body
// with the identity of another caller's request and have that request blocked.
func Identify(caller domain.Account, service domain.Service, parts ...[]byte) Identity {
	hash := sha256.New()
	write := func(b []byte) {
		// The length prefix makes different lists of parts hash differently.
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		hash.Write(b)
	}
	write([]byte(caller))
	write([]byte(service))
	for _, p := range parts {
		write(p)
	}
	return Identity(hex.EncodeToString(hash.Sum(nil)[:16]))
}

// logPrefixLen is the number of characters by which log lines name an identity.
const logPrefixLen = 8

// LogName returns a prefix of the identity that is long enough to find its log lines.
func (i Identity) LogName() string { return string(i[:min(len(i), logPrefixLen)]) }

// Death is the evidence of an upstream that died: the requests that it was running. A planned stop
// or a cancelled request is no evidence.
type Death struct {
	Upstream domain.Host `json:"upstream"`
	// Incarnation is that of the upstream that died. Reports of one death from several
	// processes must have the same.
	Incarnation domain.Incarnation `json:"incarnation"`
	Time        time.Time          `json:"time"`
	Running     []Identity         `json:"running"`
	// Prompts are those of the requests that had not proved their parts sound, the newest first.
	Prompts []Prompt `json:"prompts,omitempty"`
	// Established are the parts in Prompts that had proved sound before.
	Established []Part `json:"established,omitempty"`
}

// Survival is the evidence that a request ran to its end. It outweighs all earlier deaths.
type Survival struct {
	Identity Identity  `json:"identity"`
	Time     time.Time `json:"time"`
}

// Record is the evidence of deaths and survivals as sent between processes. Merge is idempotent and
// commutative, so that records may be received repeatedly and in any order.
type Record struct {
	// Deaths are sorted, the newest first.
	Deaths []Death `json:"deaths,omitempty"`
	// Survivals are sorted, the newest first.
	Survivals []Survival `json:"survivals,omitempty"`
	// SoundParts are sorted, the newest first.
	SoundParts []SoundPart `json:"sound_parts,omitempty"`
	// Omitted is the number of elements that decoding left out, since they were not valid or beyond the
	// bound of their list.
	Omitted int `json:"-"`
}

// instance identifies one run of an upstream.
type instance struct {
	upstream    domain.Host
	incarnation domain.Incarnation
}

// Merge returns the evidence of both records, within the bounds of each list.
func (r Record) Merge(o Record) Record {
	return Record{
		Deaths:     mergeDeaths(slices.Concat(r.Deaths, o.Deaths)),
		Survivals:  mergeSurvivals(slices.Concat(r.Survivals, o.Survivals)),
		SoundParts: mergeSoundParts(slices.Concat(r.SoundParts, o.SoundParts)),
	}
}

// Since returns the evidence that is not older than the given time.
func (r Record) Since(t time.Time) Record {
	var kept Record
	for _, d := range r.Deaths {
		if !d.Time.Before(t) {
			kept.Deaths = append(kept.Deaths, d)
		}
	}
	for _, s := range r.Survivals {
		if !s.Time.Before(t) {
			kept.Survivals = append(kept.Survivals, s)
		}
	}
	for _, s := range r.SoundParts {
		if !s.Time.Before(t) {
			kept.SoundParts = append(kept.SoundParts, s)
		}
	}
	return kept
}

// covers reports whether a record has all evidence of another.
func (r Record) covers(o Record) bool {
	deaths := make(map[instance]Death, len(r.Deaths))
	for _, d := range r.Deaths {
		deaths[instance{d.Upstream, d.Incarnation}] = d
	}
	for _, d := range o.Deaths {
		if known, ok := deaths[instance{d.Upstream, d.Incarnation}]; !ok || !known.covers(d) {
			return false
		}
	}
	isCovered := func(s Survival) bool {
		return slices.ContainsFunc(r.Survivals, func(known Survival) bool { return known.Identity == s.Identity && !wireTime(s.Time).After(known.Time) })
	}
	isSoundCovered := func(s SoundPart) bool {
		return slices.ContainsFunc(r.SoundParts, func(known SoundPart) bool { return known.Part == s.Part && !wireTime(s.Time).After(known.Time) })
	}
	for _, s := range o.Survivals {
		if !isCovered(s) {
			return false
		}
	}
	for _, s := range o.SoundParts {
		if !isSoundCovered(s) {
			return false
		}
	}
	return true
}

// covers reports whether a merged report of a death has all that another report of it has.
func (d Death) covers(o Death) bool {
	if wireTime(o.Time).After(d.Time) {
		return false
	}
	for _, id := range o.Running {
		if _, found := slices.BinarySearch(d.Running, id); !found && len(d.Running) < MaxRunning {
			return false
		}
	}
	for _, p := range o.Prompts {
		same := func(known Prompt) bool { return known.Request == p.Request && known.Age <= p.Age }
		if !slices.ContainsFunc(d.Prompts, same) {
			return false
		}
	}
	for _, p := range o.Established {
		if _, found := slices.BinarySearch(d.Established, p); !found {
			return false
		}
	}
	return true
}

// isMerged reports whether a death is as mergeDeaths returns it.
func (d Death) isMerged() bool {
	parts, requests := 0, make(map[Identity]bool, len(d.Prompts))
	for _, p := range d.Prompts {
		parts += len(p.Parts)
		requests[p.Request] = true
	}
	return d.Time.Equal(wireTime(d.Time)) && d.Time.Location() == time.UTC && len(d.Running) <= MaxRunning && isSet(d.Running) && isSet(d.Established) &&
		parts <= MaxDeathParts && (len(d.Prompts) > 0 || d.Prompts == nil) && len(requests) == len(d.Prompts) && slices.IsSortedFunc(d.Prompts, comparePrompts)
}

// isSet reports whether a list is sorted and has nothing twice; an empty one is nil.
func isSet[T cmp.Ordered](list []T) bool {
	if len(list) == 0 {
		return list == nil
	}
	for i := 1; i < len(list); i++ {
		if list[i-1] >= list[i] {
			return false
		}
	}
	return true
}

// mergeDeaths combines the reports of each death into one: the running requests of all reports and
// the latest time.
func mergeDeaths(all []Death) []Death {
	byInstance := make(map[instance]Death)
	for _, d := range all {
		key := instance{d.Upstream, d.Incarnation}
		known, reported := byInstance[key]
		if !reported && d.isMerged() {
			byInstance[key] = d
			continue
		}
		d.Time = wireTime(d.Time)
		if known.Time.After(d.Time) {
			d.Time = known.Time
		}
		d.Running = slices.Concat(known.Running, d.Running)
		d.Prompts = slices.Concat(known.Prompts, d.Prompts)
		d.Established = slices.Concat(known.Established, d.Established)
		byInstance[key] = d
	}
	var merged []Death
	for _, d := range byInstance {
		if !d.isMerged() {
			d.Running = sortedSet(d.Running, MaxRunning)
			d.Prompts = mergePrompts(d.Prompts)
			d.Established = sortedSet(d.Established, MaxDeathParts)
		}
		merged = append(merged, d)
	}
	return boundDeaths(merged, MaxDeaths)
}

// sortedSet sorts a list, removes what is in it twice, and returns at most so many.
func sortedSet[T cmp.Ordered](list []T, limit int) []T {
	slices.Sort(list)
	list = slices.Compact(list)
	return list[:min(len(list), limit)]
}

// boundDeaths sorts deaths, the newest first, and returns at most so many of them: first those with
// a request that also ran during another one, or with a part that counts against its requests, then
// the newest. Otherwise the loss of an availability
// zone would push out the evidence against a request that crashes upstreams.
func boundDeaths(all []Death, limit int) []Death {
	slices.SortFunc(all, compareDeaths)
	if len(all) <= limit {
		return all
	}
	deathsWith := make(map[Identity]int)
	for _, d := range all {
		for _, id := range d.Running {
			deathsWith[id]++
		}
	}
	deadly := make(map[Part]bool)
	for part, e := range evidenceByPart(all, nil) {
		n := e.trials(0)
		// Most of the deaths in the loss of an availability zone are no trials of what they share.
		deadly[part] = n >= PartCrashLimit && 2*n >= len(e.seen)
	}
	isRepeated := func(d Death) bool {
		for _, p := range d.Prompts {
			if slices.ContainsFunc(p.Parts, func(part Part) bool { return deadly[part] }) {
				return true
			}
		}
		return slices.ContainsFunc(d.Running, func(id Identity) bool { return deathsWith[id] >= CrashLimit })
	}
	var kept, others []Death
	for _, d := range all {
		if isRepeated(d) {
			kept = append(kept, d)
		} else {
			others = append(others, d)
		}
	}
	kept = append(kept, others...)[:limit]
	slices.SortFunc(kept, compareDeaths)
	return kept
}

// compareDeaths orders deaths, the newest first.
func compareDeaths(a, b Death) int {
	return cmp.Or(b.Time.Compare(a.Time), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}

func mergeSurvivals(all []Survival) []Survival {
	latest := make(map[Identity]time.Time)
	for _, s := range all {
		if t := wireTime(s.Time); t.After(latest[s.Identity]) {
			latest[s.Identity] = t
		}
	}
	var merged []Survival
	for id, t := range latest {
		merged = append(merged, Survival{id, t})
	}
	slices.SortFunc(merged, func(a, b Survival) int {
		return cmp.Or(b.Time.Compare(a.Time), cmp.Compare(a.Identity, b.Identity))
	})
	return merged[:min(len(merged), MaxSurvivals)]
}

// wireTime returns the time with the precision of its JSON form, so that a record that was sent and
// received is equal to the original.
func wireTime(t time.Time) time.Time { return t.UTC().Round(time.Microsecond) }
