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
}

// instance identifies one run of an upstream.
type instance struct {
	upstream    domain.Host
	incarnation domain.Incarnation
}

// Merge returns the evidence of both records, within MaxDeaths, MaxRunning and MaxSurvivals.
func (r Record) Merge(o Record) Record {
	return Record{
		Deaths:    mergeDeaths(slices.Concat(r.Deaths, o.Deaths)),
		Survivals: mergeSurvivals(slices.Concat(r.Survivals, o.Survivals)),
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
	return kept
}

// mergeDeaths combines the reports of each death into one: the running requests of all reports and
// the latest time.
func mergeDeaths(all []Death) []Death {
	byInstance := make(map[instance]Death)
	for _, d := range all {
		key := instance{d.Upstream, d.Incarnation}
		known := byInstance[key]
		d.Time = wireTime(d.Time)
		if known.Time.After(d.Time) {
			d.Time = known.Time
		}
		d.Running = slices.Concat(known.Running, d.Running)
		byInstance[key] = d
	}
	var merged []Death
	for _, d := range byInstance {
		slices.Sort(d.Running)
		d.Running = slices.Compact(d.Running)
		d.Running = d.Running[:min(len(d.Running), MaxRunning)]
		merged = append(merged, d)
	}
	return boundDeaths(merged, MaxDeaths)
}

// boundDeaths sorts deaths, the newest first, and returns at most so many of them: first those with
// a request that also ran during another one, then the newest. Otherwise the loss of an availability
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
	isRepeated := func(d Death) bool {
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
