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

// EditID identifies one edit. The sender of the edit chooses the id and reuses it in
// retries.
type EditID string

// HistoryLimit is the number of applied edits that a stored table lists. The
// outcome of an edit whose response was lost can be determined as long as fewer
// edits than this were applied after it; 128 edits take about 10 KiB of the
// 1 MiB value.
const HistoryLimit = 128

// AppliedEdit is an item of the table's history of applied edits.
type AppliedEdit struct {
	ID       EditID `json:"id"`
	Operator string `json:"operator"`
	// Checksum is the result of Edit.Checksum.
	Checksum string `json:"sum"`
	// Base is the version that the edit was applied to.
	Base Version `json:"base"`
}

// ChangeOp is the operation of a change on its row.
type ChangeOp string

// The operations of a change on a row.
const (
	// OpSet changes cells of an existing row.
	OpSet ChangeOp = "set"
	// OpAdd creates a row; it is an error if the row exists.
	OpAdd ChangeOp = "add"
	// OpPut changes cells of a row, and creates the row if it does not exist.
	OpPut ChangeOp = "put"
	// OpRemove removes an existing row.
	OpRemove ChangeOp = "remove"
)

// Value is the value of a cell as text. In JSON it may be a string, number or boolean.
type Value string

// UnmarshalJSON reads a string, number or boolean.
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
	// Previous is the cell's value before the change. Only Diff sets it.
	Previous Value `json:"was,omitempty"`
}

// Change is the part of an edit that concerns one row.
type Change struct {
	Op ChangeOp `json:"op"`
	Key
	// Cells are the new values. In a new row the omitted cells are zero; a
	// change with OpRemove has no cells.
	Cells []Cell `json:"cells,omitempty"`
}

// Set returns a change that sets cells of an existing row.
func Set(k Key, cells ...Cell) Change { return Change{Op: OpSet, Key: k, Cells: cells} }

// Add returns a change that creates the row with all its cells.
func Add(r Row) Change {
	c := Change{Op: OpAdd, Key: r.Key()}
	for _, col := range columns {
		if !isKeyColumn(col.name) {
			c.Cells = append(c.Cells, Cell{Column: col.name, Value: Value(col.get(r))})
		}
	}
	return c
}

// Remove returns a change that removes an existing row.
func Remove(k Key) Change { return Change{Op: OpRemove, Key: k} }

// Edit is a group of changes that is applied to the table atomically.
type Edit struct {
	ID      EditID   `json:"id"`
	Changes []Change `json:"changes"`
}

// Operator is the author of an edit.
type Operator struct {
	Name string
	// Teams are the teams whose rows the operator may edit.
	Teams []string
}

// Cause is the reason why an edit or a table was rejected.
type Cause string

// The causes of a rejection.
const (
	// CauseFindings: the edit or table has invalid content.
	CauseFindings Cause = "findings"
	// CauseForbidden: some rows belong to teams that the operator isn't in.
	CauseForbidden Cause = "forbidden"
)

// Rejection is the error for an edit or a table that is invalid or forbidden.
type Rejection struct {
	Cause    Cause
	Findings check.Findings
}

// Error returns the cause, and each finding on a line of its own.
func (r *Rejection) Error() string {
	return fmt.Sprintf("table: rejected (%s)\n%s", r.Cause, r.Findings.Error())
}

// Checksum returns a checksum of the changes. It distinguishes a retry of an edit
// from a different edit under the same id. Previous values are not included.
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

// FindEdit returns the edit with the given id from the table's history, and false if
// the history does not list it.
func (t Table) FindEdit(id EditID) (AppliedEdit, bool) {
	i := slices.IndexFunc(t.edits, func(a AppliedEdit) bool { return a.ID == id })
	if i < 0 {
		return AppliedEdit{}, false
	}
	return t.edits[i], true
}

// HistoryCovers reports whether the history lists every edit that was applied to
// the given version or a later one. If so, an edit that was written for that
// version and that the history does not list was never applied.
func (t Table) HistoryCovers(since Version) bool {
	return len(t.edits) < HistoryLimit || t.edits[0].Base <= since
}

// Edits returns a copy of the history of applied edits, oldest first.
func (t Table) Edits() []AppliedEdit { return slices.Clone(t.edits) }

// Apply returns the table with the edit applied, or a *Rejection with a finding
// for every invalid cell. The version is unchanged; the platform assigns the new
// version.
func (t Table) Apply(e Edit, by Operator) (Table, error) {
	a := applier{rows: t.Rows(), by: by}
	a.checkEdit(e)
	for i, c := range e.Changes {
		a.applyChange(fmt.Sprintf("change %d %s", i+1, c.Key), c)
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

// applier applies the changes of an edit to a copy of the table's rows. After a finding
// it continues with the next change.
type applier struct {
	rows      []Row
	by        Operator
	found     check.Findings
	forbidden bool
}

func (a *applier) checkEdit(e Edit) {
	if !namePattern.MatchString(string(e.ID)) {
		a.found.Add("id", "must be 1 to 63 of letters, digits, dot, - and _: %q", string(e.ID))
	}
	if len(e.Changes) == 0 {
		a.found.Add("changes", "is empty")
	}
}

func (a *applier) applyChange(at string, c Change) {
	i := slices.IndexFunc(a.rows, func(r Row) bool { return r.Key() == c.Key })
	switch {
	case !slices.Contains([]ChangeOp{OpSet, OpAdd, OpPut, OpRemove}, c.Op):
		a.found.Add(at+" op", "must be set, add, put or remove, not %q", string(c.Op))
	case c.Op == OpAdd && i >= 0:
		a.found.Add(at, "there is such a row already")
	case c.Op == OpAdd, c.Op == OpPut && i < 0:
		a.addRow(at, c)
	case i < 0 && !knownService(a.rows, c.Service):
		a.found.Add(at, "there is no service %q in the table", string(c.Service))
	case i < 0:
		a.found.Add(at, "there is no such row")
	case !a.owns(at, a.rows[i].Team):
	case c.Op == OpRemove:
		a.rows = slices.Delete(a.rows, i, i+1)
	default:
		a.setCells(at, &a.rows[i], c.Cells)
	}
}

func (a *applier) addRow(at string, c Change) {
	r := Row{Service: c.Service, Zone: c.Zone, Kind: c.Kind}
	a.setCells(at, &r, c.Cells)
	// An empty team has no members; Table.Check adds the finding for it.
	if r.Team == "" || a.owns(at, r.Team) {
		a.rows = append(a.rows, r)
	}
}

// setCells writes every parsable cell into the row, so that Table.Check finds the
// values that are out of bounds.
func (a *applier) setCells(at string, r *Row, cells []Cell) {
	if len(cells) == 0 {
		a.found.Add(at+" cells", "is empty")
	}
	seen := make(map[Column]bool)
	for _, c := range cells {
		place := at + " " + string(c.Column)
		col, ok := findColumn(c.Column)
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

// owns reports whether the operator may edit rows of the team, and adds a finding
// if not. An operator cannot assign a row to a team that they aren't in: they
// could not undo that edit, nor could the row's former team edit the row.
func (a *applier) owns(at, team string) bool {
	if slices.Contains(a.by.Teams, team) {
		return true
	}
	a.forbidden = true
	a.found.Add(at, "belongs to team %q, which %s isn't in", team, a.by.Name)
	return false
}
