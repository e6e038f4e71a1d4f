package table

import (
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// Column names a column of the table, as in JSON and in the CSV header.
type Column string

// The key columns, and the team.
const (
	ColumnService Column = "service"
	ColumnZone    Column = "zone"
	ColumnKind    Column = "kind"
	// ColumnTeam names the team whose operators may edit the row.
	ColumnTeam Column = "team"
)

// column formats and parses the cells of one column as text.
type column struct {
	name Column
	get  func(Row) string
	set  func(*Row, string) error
}

// columns are all columns of the table, in the order of the CSV header.
var columns = []column{
	text(ColumnService, func(r *Row) *domain.Service { return &r.Service }),
	text(ColumnZone, func(r *Row) *domain.Zone { return &r.Zone }),
	text(ColumnKind, func(r *Row) *domain.Kind { return &r.Kind }),
	text(ColumnTeam, func(r *Row) *string { return &r.Team }),
	number("weight", func(r *Row) *int { return &r.Weight }),
	number("in_flight", func(r *Row) *int { return &r.InFlight }),
	number("queue_limit", func(r *Row) *int { return &r.QueueLimit }),
	rate("caller_rate", func(r *Row) *float64 { return &r.CallerRate }),
	duration("deadline", func(r *Row) *Duration { return &r.Deadline }),
	duration("first_token", func(r *Row) *Duration { return &r.FirstToken }),
	duration("token_gap", func(r *Row) *Duration { return &r.TokenGap }),
	boolean("idempotent", func(r *Row) *bool { return &r.Idempotent }),
	number("priority", func(r *Row) *int { return &r.Priority }),
	boolean("may_wait", func(r *Row) *bool { return &r.MayWait }),
	number("wasted_prefill_weight", func(r *Row) *int { return &r.WastedPrefillWeight }),
}

// Columns returns the names of all columns in the order of the CSV header.
func Columns() []Column {
	names := make([]Column, len(columns))
	for i, c := range columns {
		names[i] = c.name
	}
	return names
}

func findColumn(name Column) (column, bool) {
	i := slices.IndexFunc(columns, func(c column) bool { return c.name == name })
	if i < 0 {
		return column{}, false
	}
	return columns[i], true
}

func isKeyColumn(name Column) bool {
	return name == ColumnService || name == ColumnZone || name == ColumnKind
}

func text[T ~string](name Column, field func(*Row) *T) column {
	return column{name,
		func(r Row) string { return string(*field(&r)) },
		func(r *Row, s string) error { *field(r) = T(s); return nil }}
}

func number(name Column, field func(*Row) *int) column {
	return column{name,
		func(r Row) string { return strconv.Itoa(*field(&r)) },
		func(r *Row, s string) error {
			n, err := strconv.Atoi(s)
			if err != nil {
				return errors.Errorf("not a whole number: %q", s)
			}
			*field(r) = n
			return nil
		}}
}

func rate(name Column, field func(*Row) *float64) column {
	return column{name,
		func(r Row) string { return strconv.FormatFloat(*field(&r), 'g', -1, 64) },
		func(r *Row, s string) error {
			n, err := strconv.ParseFloat(s, 64)
			if err != nil {
				return errors.Errorf("not a number: %q", s)
			}
			*field(r) = n
			return nil
		}}
}

func duration(name Column, field func(*Row) *Duration) column {
	return column{name,
		func(r Row) string { return time.Duration(*field(&r)).String() },
		func(r *Row, s string) error {
			d, err := time.ParseDuration(s)
			if err != nil {
				return errors.Errorf("not a duration such as 800ms or 1m30s: %q", s)
			}
			*field(r) = Duration(d)
			return nil
		}}
}

func boolean(name Column, field func(*Row) *bool) column {
	return column{name,
		func(r Row) string { return strconv.FormatBool(*field(&r)) },
		func(r *Row, s string) error {
			b, err := strconv.ParseBool(s)
			if err != nil {
				return errors.Errorf("not true or false: %q", s)
			}
			*field(r) = b
			return nil
		}}
}
