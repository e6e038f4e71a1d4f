// Package table contains the operators' table: weights and limits per service,
// availability zone and kind of request. It validates the table and applies edits,
// and doesn't use the network.
//
// # Usage
//
// A Table is an immutable value: an edit returns a new table.
//
//	t, err := table.Decode(object.Value) // stored form; rows are not checked
//	t = t.WithVersion(table.Version(object.Version))
//	r, ok := t.Find("appraiser-lm", "salt-lake", "appraisal")
//
//	e := table.Edit{ID: "edit-0001", Changes: []table.Change{
//		table.Set(r.Key(), table.Cell{Column: "weight", Value: "2"})}}
//	next, err := t.Apply(e, table.Operator{Name: "asha", Teams: []string{"appraisal"}})
//	fmt.Print(table.Diff(t, next))
//
// A process keeps its table in a Holder, which never reverts to a lower version:
//
//	var h table.Holder
//	h.Update(t, requested)                            // from the platform or from a peer
//	ready := h.Fresh(clock.Boottime(), 3*time.Second) // may new requests be accepted?
//
// The error of DecodeRows, DecodeCSV, DecodeChangesCSV and Apply is a *Rejection:
// its findings name the row and column of every problem, not only of the first.
package table

import (
	"cmp"
	"slices"

	"jacinthworks/domain"
)

// Version orders the states of the table; it increases with each edit. It is the
// platform's version of the object in which the table is stored. Zero is the empty table
// before the first edit.
type Version uint64

// Key identifies a row of the table.
type Key struct {
	Service domain.Service `json:"service"`
	Zone    domain.Zone    `json:"zone"`
	Kind    domain.Kind    `json:"kind"`
}

// String returns the key as it is written on the command line: service/zone/kind.
func (k Key) String() string {
	return string(k.Service) + "/" + string(k.Zone) + "/" + string(k.Kind)
}

// Key returns the key of the row.
func (r Row) Key() Key { return Key{Service: r.Service, Zone: r.Zone, Kind: r.Kind} }

// Table is a version of the rows. The zero value is the empty table. A Table is
// immutable and may be shared between goroutines.
type Table struct {
	version Version
	rows    []Row
	index   map[Key]int
	edits   []AppliedEdit
}

// New returns a table of the rows, sorted by key. It does not check them.
func New(version Version, rows []Row) Table {
	t := Table{version: version, rows: append([]Row(nil), rows...)}
	slices.SortStableFunc(t.rows, func(a, b Row) int { return compareKeys(a.Key(), b.Key()) })
	t.index = make(map[Key]int, len(t.rows))
	for i, r := range t.rows {
		t.index[r.Key()] = i
	}
	return t
}

// Version returns the table's version.
func (t Table) Version() Version { return t.version }

// WithVersion returns the same rows and history with the given version, which is
// the version of the stored object.
func (t Table) WithVersion(v Version) Table {
	t.version = v
	return t
}

// Rows returns a copy of the rows, sorted by service, zone and kind.
func (t Table) Rows() []Row { return slices.Clone(t.rows) }

// Len returns the number of rows.
func (t Table) Len() int { return len(t.rows) }

// Find returns the row for the service, zone and kind, or else the row for the service,
// AnyZone and the kind; false if there is neither. Its cost is constant: at most two
// lookups in a hash map.
func (t Table) Find(service domain.Service, zone domain.Zone, kind domain.Kind) (Row, bool) {
	i, ok := t.index[Key{service, zone, kind}]
	if !ok {
		i, ok = t.index[Key{service, AnyZone, kind}]
	}
	if !ok {
		return Row{}, false
	}
	return t.rows[i], true
}

// HasService reports whether any row is for the service.
func (t Table) HasService(service domain.Service) bool {
	i, _ := slices.BinarySearchFunc(t.rows, service, func(r Row, s domain.Service) int { return cmp.Compare(r.Service, s) })
	return i < len(t.rows) && t.rows[i].Service == service
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Kind, b.Kind))
}
