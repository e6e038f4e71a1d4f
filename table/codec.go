package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"jacinthworks/check"
)

// storedTable is the JSON form of a Table.
type storedTable struct {
	Version Version       `json:"version,omitempty"`
	Rows    []Row         `json:"rows"`
	Edits   []AppliedEdit `json:"edits,omitempty"`
}

// MarshalJSON writes the version, the rows and the history of applied edits.
func (t Table) MarshalJSON() ([]byte, error) {
	rows := t.rows
	if rows == nil {
		rows = []Row{}
	}
	return json.Marshal(storedTable{Version: t.version, Rows: rows, Edits: t.edits})
}

// UnmarshalJSON reads the output of MarshalJSON. It does not check the rows: a
// host must accept the table that the platform stores even if a later release
// with wider bounds wrote it.
func (t *Table) UnmarshalJSON(text []byte) error {
	var s storedTable
	d := json.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(&s); err != nil {
		return errors.Wrap(err, "table: reading JSON")
	}
	*t = New(s.Version, s.Rows)
	t.edits = s.Edits
	return nil
}

// Encode returns the table as JSON, in the form in which the platform stores it.
func (t Table) Encode() ([]byte, error) {
	text, err := json.Marshal(t)
	return text, errors.Wrap(err, "table: encoding")
}

// Decode reads the output of Encode without checking the rows.
func Decode(text []byte) (Table, error) {
	var t Table
	err := json.Unmarshal(text, &t)
	return t, errors.Wrap(err, "table: decoding")
}

// DecodeRows reads rows written by an operator as JSON: an array of rows, or an
// object with the member "rows" as MarshalJSON writes it. The error is a
// *Rejection with all findings.
func DecodeRows(text []byte) (Table, error) {
	var whole struct {
		Version Version            `json:"version"`
		Rows    []map[Column]Value `json:"rows"`
		Edits   []AppliedEdit      `json:"edits"`
	}
	trimmed := bytes.TrimSpace(text)
	d := json.NewDecoder(bytes.NewReader(trimmed))
	d.DisallowUnknownFields()
	var target any = &whole
	if bytes.HasPrefix(trimmed, []byte("[")) {
		target = &whole.Rows
	}
	if err := d.Decode(target); err != nil {
		return Table{}, newRejection(check.Findings{{Location: jsonLocation(trimmed, err), Problem: "not JSON rows: " + err.Error()}})
	}
	var found check.Findings
	rows := make([]Row, len(whole.Rows))
	for i, cells := range whole.Rows {
		rows[i] = readCells(i, cells, &found)
	}
	found = append(found, checkRows(rows, func(i int) string { return rowLocation(i, rows[i]) })...)
	if len(found) > 0 {
		return Table{}, newRejection(found)
	}
	return New(whole.Version, rows), nil
}

// jsonLocation returns the line of text at which JSON decoding failed with err.
func jsonLocation(text []byte, err error) string {
	read := len(text)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		read = min(read, int(syntax.Offset))
	case errors.As(err, &kind):
		read = min(read, int(kind.Offset))
	}
	return fmt.Sprintf("line %d", 1+bytes.Count(text[:read], []byte("\n")))
}

// readCells reads the row with index i cell by cell and adds a finding for each invalid
// cell.
func readCells(i int, cells map[Column]Value, found *check.Findings) Row {
	var r Row
	for _, c := range columns {
		v, ok := cells[c.name]
		if !ok {
			continue
		}
		if err := c.set(&r, strings.TrimSpace(string(v))); err != nil {
			found.Add(rowLocation(i, r)+" "+string(c.name), "%s", err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(cells)) {
		if _, ok := findColumn(name); !ok {
			found.Add(rowLocation(i, r)+" "+string(name), "there is no such column")
		}
	}
	return r
}

func newRejection(found check.Findings) *Rejection {
	return &Rejection{Cause: CauseFindings, Findings: found}
}
