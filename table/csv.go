package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"jacinthworks/check"
)

// EncodeCSV returns the table as CSV: a header with the column names, followed by one
// record per row.
func (t Table) EncodeCSV() ([]byte, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	header := make([]string, len(columns))
	for i, c := range columns {
		header[i] = string(c.name)
	}
	records := [][]string{header}
	for _, r := range t.rows {
		record := make([]string, len(columns))
		for i, c := range columns {
			record[i] = c.get(r)
		}
		records = append(records, record)
	}
	err := w.WriteAll(records)
	return b.Bytes(), errors.Wrap(err, "table: encoding CSV")
}

// DecodeCSV reads a whole table: the header must contain every column, in any
// order. The error is a *Rejection; its findings are located by line and column.
func DecodeCSV(text []byte) (Table, error) {
	s, found := readSheet(text)
	for _, c := range columns {
		if len(found) == 0 && !s.has(c.name) {
			found.Add("line 1 "+string(c.name), "the column is missing")
		}
	}
	rows := make([]Row, len(s.records))
	for i, record := range s.records {
		for j, v := range record.values {
			col, _ := findColumn(s.header[j])
			if err := col.set(&rows[i], strings.TrimSpace(v)); err != nil {
				found.Add(record.place(rows[i].Key(), s.header[j]), "%s", err)
			}
		}
	}
	found = append(found, checkRows(rows, func(i int) string {
		return fmt.Sprintf("line %d %s", s.records[i].line, rows[i].Key())
	})...)
	if len(found) > 0 {
		return Table{}, newRejection(found)
	}
	return New(0, rows), nil
}

// DecodeChangesCSV reads the changes of an edit: the three key columns and any
// other columns. Each record becomes an OpPut; rows cannot be removed this way.
func DecodeChangesCSV(text []byte) ([]Change, error) {
	s, found := readSheet(text)
	for _, c := range []Column{ColumnService, ColumnZone, ColumnKind} {
		if len(found) == 0 && !s.has(c) {
			found.Add("line 1 "+string(c), "the column is missing")
		}
	}
	if len(found) > 0 {
		return nil, newRejection(found)
	}
	var changes []Change
	for _, record := range s.records {
		var r Row
		c := Change{Op: OpPut}
		for j, v := range record.values {
			if isKeyColumn(s.header[j]) {
				col, _ := findColumn(s.header[j])
				_ = col.set(&r, strings.TrimSpace(v)) // the setter of a text column returns no error
				continue
			}
			c.Cells = append(c.Cells, Cell{Column: s.header[j], Value: Value(v)})
		}
		c.Key = r.Key()
		changes = append(changes, c)
	}
	return changes, nil
}

// sheet is a parsed CSV text whose header contains known columns only.
type sheet struct {
	header  []Column
	records []record
}

// record is one record of a CSV text, with the line at which it begins.
type record struct {
	line   int
	values []string
}

func (r record) place(k Key, c Column) string { return fmt.Sprintf("line %d %s %s", r.line, k, c) }

func (s sheet) has(name Column) bool {
	return slices.Contains(s.header, name)
}

// readSheet parses the header and all readable records, and returns a finding for each
// problem. It returns no records if the header is invalid.
func readSheet(text []byte) (sheet, check.Findings) {
	var s sheet
	var found check.Findings
	r := csv.NewReader(bytes.NewReader(text))
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	header, err := r.Read()
	if err != nil {
		found.Add("line 1", "no CSV header: %s", err)
		return s, found
	}
	for _, h := range header {
		c := Column(strings.TrimSpace(strings.TrimPrefix(h, "\ufeff")))
		if _, ok := findColumn(c); !ok {
			found.Add("line 1 "+string(c), "there is no such column")
		}
		if s.has(c) {
			found.Add("line 1 "+string(c), "the column stands twice")
		}
		s.header = append(s.header, c)
	}
	if len(found) > 0 {
		return s, found
	}
	for {
		values, err := r.Read()
		if err == io.EOF {
			return s, found
		}
		if err != nil {
			found.Add("table", "not CSV: %s", err)
			return s, found
		}
		line, _ := r.FieldPos(0)
		if len(values) != len(header) {
			found.Add(fmt.Sprintf("line %d", line), "has %d cells, the header has %d", len(values), len(header))
			continue
		}
		s.records = append(s.records, record{line: line, values: values})
	}
}
