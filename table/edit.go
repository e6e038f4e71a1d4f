package table

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"jacinthworks/check"
)

// EditID names one edit, chosen by whoever sends it and kept through retries.
type EditID string

// HistoryLimit is how many applied edits a stored table remembers. A lost
// answer is settled as long as fewer edits than this came after it; at 128
// they take about 10 KiB of the 1 MiB value.
const HistoryLimit = 128

// AppliedEdit is an edit that a table contains.
type AppliedEdit struct {
	ID       EditID `json:"id"`
	Operator string `json:"operator"`
	// Checksum is the edit's checksum.
	Checksum string `json:"sum"`
	// Base is the version that the edit was applied to.
	Base Version `json:"base"`
}

// Op says what a change does to its row.
type Op string

// The operations.
const (
	// OpSet changes cells of a row that must exist.
	OpSet Op = "set"
	// OpAdd makes a row that must not exist.
	OpAdd Op = "add"
	// OpPut changes cells of a row and makes it where it does not exist.
	OpPut Op = "put"
	// OpRemove takes a row away that must exist.
	OpRemove Op = "remove"
)

// Value is a cell as text. JSON may give it as text, number or boolean.
type Value string

// UnmarshalJSON reads a text, number or boolean.
func (v *Value) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] != '"' && b[0] != '{' && b[0] != '[' && string(b) != "null" {
		*v = Value(b)
		return nil
	}
	return json.Unmarshal(b, (*string)(v))
}

// Cell is a new value for one column.
type Cell struct {
	Column Column `json:"column"`
	Value  Value  `json:"value"`
	// Previous is the value before, as found by Diff.
	Previous Value `json:"was,omitempty"`
}

// Change is what an edit does to one row.
type Change struct {
	Op Op `json:"op"`
	Key
	// Cells are the new values; in a new row those left out are zero, for
	// OpRemove there are none.
	Cells []Cell `json:"cells,omitempty"`
}

// Set changes cells of a row that exists.
func Set(k Key, cells ...Cell) Change { return Change{Op: OpSet, Key: k, Cells: cells} }

// Add makes a new row.
func Add(r Row) Change {
	c := Change{Op: OpAdd, Key: r.Key()}
	for _, col := range columns {
		if !isKeyColumn(col.name) {
			c.Cells = append(c.Cells, Cell{Column: col.name, Value: Value(col.get(r))})
		}
	}
	return c
}

// Remove takes a row away.
func Remove(k Key) Change { return Change{Op: OpRemove, Key: k} }

// Edit is a group of changes that takes effect whole or not at all.
type Edit struct {
	ID      EditID   `json:"id"`
	Changes []Change `json:"changes"`
}

// Operator is who edits.
type Operator struct {
	Name string
	// Teams are those whose rows the operator may edit.
	Teams []string
}

// Cause says why an edit or a table is rejected.
type Cause string

// The causes.
const (
	// CauseFindings: what was given is wrong in itself.
	CauseFindings Cause = "findings"
	// CauseForbidden: some rows belong to other teams.
	CauseForbidden Cause = "forbidden"
)

// Rejection is the error of an edit or a table that was not taken.
type Rejection struct {
	Cause    Cause
	Findings check.Findings
}

// Error gives the cause and each finding on a line.
func (r *Rejection) Error() string {
	return fmt.Sprintf("table: rejected (%s)\n%s", r.Cause, r.Findings.Error())
}

// Checksum gives a checksum of the changes. It tells an edit that is sent again
// from another edit under the same id.
func (e Edit) Checksum() string {
	h := fnv.New64a()
	for _, c := range e.Changes {
		fmt.Fprintf(h, "%q %q", c.Op, c.Key)
		for _, cell := range c.Cells {
			fmt.Fprintf(h, " %q=%q", cell.Column, cell.Value)
		}
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// FindEdit finds an edit among those that the table remembers.
func (t Table) FindEdit(id EditID) (AppliedEdit, bool) {
	i := slices.IndexFunc(t.edits, func(a AppliedEdit) bool { return a.ID == id })
	if i < 0 {
		return AppliedEdit{}, false
	}
	return t.edits[i], true
}

// HistoryCovers reports whether the table knows every edit that was applied to
// the given version or later, so that one it does not contain never was.
func (t Table) HistoryCovers(since Version) bool {
	return len(t.edits) < HistoryLimit || t.edits[0].Base <= since
}

// Edits gives the edits that the table remembers, oldest first.
func (t Table) Edits() []AppliedEdit { return slices.Clone(t.edits) }

// Apply gives the table with the edit applied, or a *Rejection with every
// wrong cell. The version stays; the platform gives the new one.
func (t Table) Apply(e Edit, by Operator) (Table, error) {
	a := applier{rows: t.Rows(), by: by}
	a.checkEdit(e)
	for i, c := range e.Changes {
		a.change(fmt.Sprintf("change %d %s", i+1, c.Key), c)
	}
	next := New(t.version, a.rows)
	next.edits = append(t.Edits(), AppliedEdit{ID: e.ID, Operator: by.Name, Checksum: e.Checksum(), Base: t.version})
	if extra := len(next.edits) - HistoryLimit; extra > 0 {
		next.edits = next.edits[extra:]
	}
	a.found = append(a.found, next.Check()...)
	switch {
	case a.forbidden:
		return Table{}, &Rejection{Cause: CauseForbidden, Findings: a.found}
	case len(a.found) > 0:
		return Table{}, &Rejection{Cause: CauseFindings, Findings: a.found}
	}
	return next, nil
}

// applier changes a copy of the rows and goes on after each finding.
type applier struct {
	rows      []Row
	by        Operator
	found     check.Findings
	forbidden bool
}

func (a *applier) checkEdit(e Edit) {
	if !name.MatchString(string(e.ID)) {
		a.found.Add("id", "must be 1 to 63 of letters, digits, dot, - and _: %q", string(e.ID))
	}
	if len(e.Changes) == 0 {
		a.found.Add("changes", "is empty")
	}
}

func (a *applier) change(at string, c Change) {
	i := slices.IndexFunc(a.rows, func(r Row) bool { return r.Key() == c.Key })
	switch {
	case !slices.Contains([]Op{OpSet, OpAdd, OpPut, OpRemove}, c.Op):
		a.found.Add(at+" op", "must be set, add, put or remove, not %q", string(c.Op))
	case c.Op == OpAdd && i >= 0:
		a.found.Add(at, "there is such a row already")
	case c.Op == OpAdd, c.Op == OpPut && i < 0:
		a.add(at, c)
	case i < 0 && !knownService(a.rows, c.Service):
		a.found.Add(at, "there is no service %q in the table", string(c.Service))
	case i < 0:
		a.found.Add(at, "there is no such row")
	case !a.owns(at, a.rows[i].Team):
	case c.Op == OpRemove:
		a.rows = slices.Delete(a.rows, i, i+1)
	default:
		a.set(at, &a.rows[i], c.Cells)
	}
}

func (a *applier) add(at string, c Change) {
	r := Row{Service: c.Service, Zone: c.Zone, Kind: c.Kind}
	a.set(at, &r, c.Cells)
	// An empty team is nobody's; the check of the whole table finds it.
	if r.Team == "" || a.owns(at, r.Team) {
		a.rows = append(a.rows, r)
	}
}

// set writes the cells into the row, those that can be read, so that the
// check of the whole table finds what else is wrong with them.
func (a *applier) set(at string, r *Row, cells []Cell) {
	if len(cells) == 0 {
		a.found.Add(at+" cells", "is empty")
	}
	seen := make(map[Column]bool)
	for _, c := range cells {
		place := at + " " + string(c.Column)
		col, ok := columnNamed(c.Column)
		switch {
		case !ok:
			a.found.Add(place, "there is no such column")
			continue
		case isKeyColumn(c.Column):
			a.found.Add(place, "names the row: remove the row and add another")
			continue
		case seen[c.Column]:
			a.found.Add(place, "is given twice")
			continue
		case c.Column == ColumnTeam && r.Team != "" && !a.owns(place, string(c.Value)):
			continue
		}
		seen[c.Column] = true
		if err := col.set(r, strings.TrimSpace(string(c.Value))); err != nil {
			a.found.Add(place, "%s", err)
		}
	}
}

// owns reports whether the operator may edit rows of the team, and notes a
// finding if not. A row can't be given to a team that the operator isn't in:
// it would be out of reach of both its makers and this edit's undoing.
func (a *applier) owns(at, team string) bool {
	if slices.Contains(a.by.Teams, team) {
		return true
	}
	a.forbidden = true
	a.found.Add(at, "belongs to team %q, which %s isn't in", team, a.by.Name)
	return false
}
