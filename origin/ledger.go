package origin

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/split"
)

// Bounds of a Ledger. A record beyond them was not written by an entry.
const (
	maxLedgerServices = 256
	maxLedgerVersions = 64
	maxVersionLength  = 256
)

// Ledger lists for each service the software versions at which streams may have begun. It is one record in
// the store: no stream begins at a version before the ledger there lists it. The zero value lists
// nothing.
type Ledger struct {
	// Era is the era of the store in which the ledger was written. In another era the store was restored
	// from an older copy, which may lack versions.
	Era uint64 `json:"era"`
	// Incomplete means that streams may have begun at versions that are not listed.
	Incomplete bool `json:"incomplete,omitempty"`
	// Versions are sorted.
	Versions map[domain.Service][]domain.Software `json:"versions"`
}

var errInvalidLedger = errors.New("origin: invalid ledger of versions")

// DecodeLedger decodes a ledger from the store, which may come from any writer.
func DecodeLedger(value []byte) (Ledger, error) {
	var w struct {
		Ledger
		Versions json.RawMessage `json:"versions"`
	}
	if err := json.Unmarshal(value, &w); err != nil {
		return Ledger{}, errors.Wrap(err, "origin: decode ledger of versions")
	}
	if len(w.Versions) == 0 || string(w.Versions) == "null" {
		return Ledger{}, errors.Wrap(errInvalidLedger, "no services")
	}
	l := w.Ledger
	l.Versions = make(map[domain.Service][]domain.Software)
	// Each service is checked before the next is decoded: an invalid ledger takes no memory for its rest.
	err := split.Members(w.Versions, func(service string, list []byte) error {
		versions, omitted, err := split.Decode(list, maxLedgerVersions, checkVersion)
		switch {
		case err != nil:
			return err
		case service == "" || len(versions) == 0 || omitted > 0 || len(l.Versions) >= maxLedgerServices:
			return errors.Wrapf(errInvalidLedger, "service %.40q has %d versions, %d invalid; services before: %d", service, len(versions), omitted, len(l.Versions))
		}
		l.Versions[domain.Service(service)] = versions
		return nil
	})
	if err != nil {
		return Ledger{}, errors.Wrap(err, "origin: decode ledger of versions")
	}
	return l, nil
}

func checkVersion(v domain.Software) error {
	if len(v) > maxVersionLength {
		return errors.Wrapf(errInvalidLedger, "version of %d bytes", len(v))
	}
	return nil
}

// Has reports whether the ledger lists the version.
func (l Ledger) Has(o Origin) bool { return slices.Contains(l.Versions[o.Service], o.Software) }

// with returns the ledger with the version, or unchanged if it is full.
func (l Ledger) with(o Origin) Ledger {
	listed := l.Versions[o.Service]
	if l.Has(o) || len(listed) >= maxLedgerVersions || listed == nil && len(l.Versions) >= maxLedgerServices || len(o.Software) > maxVersionLength {
		return l
	}
	next := maps.Clone(l.Versions)
	if next == nil {
		next = make(map[domain.Service][]domain.Software)
	}
	next[o.Service] = append(slices.Clone(listed), o.Software)
	slices.Sort(next[o.Service])
	l.Versions = next
	return l
}

// without returns the ledger without the version.
func (l Ledger) without(o Origin) Ledger {
	if !l.Has(o) {
		return l
	}
	next := maps.Clone(l.Versions)
	next[o.Service] = slices.DeleteFunc(slices.Clone(next[o.Service]), func(v domain.Software) bool { return v == o.Software })
	if len(next[o.Service]) == 0 {
		delete(next, o.Service)
	}
	l.Versions = next
	return l
}

// union returns the ledger with the versions of another one.
func (l Ledger) union(other Ledger) Ledger {
	for o := range other.all {
		l = l.with(o)
	}
	return l
}

// all yields the listed versions.
func (l Ledger) all(yield func(Origin) bool) {
	for service, versions := range l.Versions {
		for _, v := range versions {
			if !yield(Origin{Service: service, Software: v}) {
				return
			}
		}
	}
}

// equal reports whether two ledgers say the same.
func (l Ledger) equal(other Ledger) bool {
	return l.Era == other.Era && l.Incomplete == other.Incomplete && maps.EqualFunc(l.Versions, other.Versions, slices.Equal)
}
