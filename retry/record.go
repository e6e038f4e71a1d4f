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
	// EvidenceTTL is how long evidence counts. A caller that sends again does so
	// within minutes; a body that crashed an engine ten minutes ago may meet a
	// repaired one.
	EvidenceTTL = 10 * time.Minute
	// MaxDeaths bounds the deaths in a record, the newest kept. A fleet that
	// loses more in ten minutes has another trouble than one request. Judge
	// relies on its being at most 64.
	MaxDeaths = 64
	// MaxRunning bounds the requests kept of one death, above the places of
	// any engine that we know.
	MaxRunning = 256
	// MaxSurvivals bounds the survivals, the newest kept.
	MaxSurvivals = 1024
)

// Identity names what a caller sends, whatever its request id: a fresh send of
// the same body by the same caller has the same identity.
type Identity string

// Identify gives the identity of a request from caller, service and the parts
// that make the work, such as path and body. 128 bits of SHA-256 keep one
// caller from finding a body that condemns another's.
func Identify(caller domain.Account, service domain.Service, parts ...[]byte) Identity {
	h := sha256.New()
	write := func(b []byte) {
		// The length first, so that no two lists of parts read alike.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		h.Write(b)
	}
	write([]byte(caller))
	write([]byte(service))
	for _, p := range parts {
		write(p)
	}
	return Identity(hex.EncodeToString(h.Sum(nil)[:16]))
}

// Death is the evidence of an upstream that died: what it ran just then. A
// planned stop, or a cancelled request, is no evidence.
type Death struct {
	Upstream domain.Host `json:"upstream"`
	// Incarnation is the life of the upstream that ended. Reports of one death
	// from several processes must give the same.
	Incarnation domain.Incarnation `json:"incarnation"`
	Time        time.Time          `json:"time"`
	Running     []Identity         `json:"running"`
}

// Survival is the evidence that a request ran to its end. It outweighs the
// deaths before it.
type Survival struct {
	Identity Identity  `json:"identity"`
	Time     time.Time `json:"time"`
}

// Record is evidence in the form in which processes pass it on. Merge is
// idempotent and commutative, so that records may come twice and in any order.
type Record struct {
	// Deaths are sorted, the newest first.
	Deaths []Death `json:"deaths,omitempty"`
	// Survivals are sorted, the newest first.
	Survivals []Survival `json:"survivals,omitempty"`
}

type life struct {
	upstream    domain.Host
	incarnation domain.Incarnation
}

// Merge gives the evidence of both records, within the bounds.
func (r Record) Merge(o Record) Record {
	return Record{
		Deaths:    mergeDeaths(slices.Concat(r.Deaths, o.Deaths)),
		Survivals: mergeSurvivals(slices.Concat(r.Survivals, o.Survivals)),
	}
}

// Since gives the evidence not older than the given time.
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

// mergeDeaths unites the reports of each death: all that ran, the latest time.
func mergeDeaths(all []Death) []Death {
	byLife := make(map[life]Death)
	for _, d := range all {
		k := life{d.Upstream, d.Incarnation}
		known := byLife[k]
		d.Time = wireTime(d.Time)
		if known.Time.After(d.Time) {
			d.Time = known.Time
		}
		d.Running = slices.Concat(known.Running, d.Running)
		byLife[k] = d
	}
	var merged []Death
	for _, d := range byLife {
		slices.Sort(d.Running)
		d.Running = slices.Compact(d.Running)
		d.Running = d.Running[:min(len(d.Running), MaxRunning)]
		merged = append(merged, d)
	}
	slices.SortFunc(merged, func(a, b Death) int {
		return cmp.Or(b.Time.Compare(a.Time), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return merged[:min(len(merged), MaxDeaths)]
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

// wireTime gives the time as JSON carries it, so that a record equals itself
// after a trip through the wire.
func wireTime(t time.Time) time.Time { return t.UTC().Round(time.Microsecond) }
