package table

import (
	"fmt"
	"math"
	"regexp"
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
)

// The largest valid values of cells. They catch typing errors, such as a weight typed
// into the neighbouring limit, and are above any value that a deployment could need.
const (
	maxWeight   = 1000
	maxInFlight = 100_000
	maxQueue    = 1_000_000
	maxRate     = 1_000_000 // requests per second
	maxDeadline = Duration(24 * time.Hour)
	maxPriority = 9
	maxPercent  = 1000
)

// MaxSize is the largest stored form in bytes: the size limit of a value in the
// platform's object API.
const MaxSize = 1 << 20

// namePattern matches the names of services, zones, kinds and teams.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check returns a finding with row and column for everything that is invalid in
// the table, in the order of its rows.
func (t Table) Check() check.Findings {
	found := checkRows(t.rows, func(i int) string { return rowLocation(i, t.rows[i]) })
	if text, err := t.Encode(); err == nil && len(text) > MaxSize {
		found.Add("table", "takes %d bytes, the platform holds %d: remove rows", len(text), MaxSize)
	}
	return found
}

func rowLocation(i int, r Row) string { return fmt.Sprintf("row %d %s", i+1, r.Key()) }

// checkRows checks each row, and consistency between rows. The function place
// returns the location of the row with an index, for findings.
func checkRows(rows []Row, place func(int) string) check.Findings {
	var found check.Findings
	keys := make(map[Key]int)
	idempotent := make(map[Key]int)
	for i, r := range rows {
		at := place(i)
		checkNames(&found, at, r)
		checkLimits(&found, at, r)
		checkTimes(&found, at, r)
		if first, ok := keys[r.Key()]; ok {
			found.Add(at, "stands twice, also at %s", place(first))
			continue
		}
		keys[r.Key()] = i
		checkIdempotent(&found, rows, i, idempotent, place)
	}
	return found
}

// checkIdempotent rejects a kind that is idempotent in one zone and not in
// another. A request may be retried in another zone after its outcome was lost, so
// with differing rows it could run twice in a zone that forbids it.
func checkIdempotent(found *check.Findings, rows []Row, i int, first map[Key]int, place func(int) string) {
	r := rows[i]
	k := Key{Service: r.Service, Kind: r.Kind}
	f, ok := first[k]
	if !ok {
		first[k] = i
		return
	}
	if rows[f].Idempotent != r.Idempotent {
		found.Add(place(i)+" idempotent", "%t here and %t at %s: a kind has one value in all zones",
			r.Idempotent, rows[f].Idempotent, place(f))
	}
}

func checkNames(found *check.Findings, at string, r Row) {
	named := func(column Column, value string) {
		if !namePattern.MatchString(value) {
			found.Add(at+" "+string(column), "must be 1 to 63 of letters, digits, dot, - and _: %q", value)
		}
	}
	named(ColumnService, string(r.Service))
	if r.Zone != AnyZone {
		named(ColumnZone, string(r.Zone))
	}
	named(ColumnKind, string(r.Kind))
	named(ColumnTeam, r.Team)
}

func checkLimits(found *check.Findings, at string, r Row) {
	between := func(column string, value, low, high int) {
		if value < low || value > high {
			found.Add(at+" "+column, "must be %d to %d, not %d", low, high, value)
		}
	}
	between("weight", r.Weight, 0, maxWeight)
	between("in_flight", r.InFlight, 1, maxInFlight)
	between("queue_limit", r.QueueLimit, 0, maxQueue)
	between("priority", r.Priority, 0, maxPriority)
	between("wasted_prefill_weight", r.WastedPrefillWeight, 0, maxPercent)
	if math.IsNaN(r.CallerRate) || r.CallerRate < 0 || r.CallerRate > maxRate {
		found.Add(at+" caller_rate", "must be 0 to %d, not %v", maxRate, r.CallerRate)
	}
}

func checkTimes(found *check.Findings, at string, r Row) {
	if r.Deadline <= 0 || r.Deadline > maxDeadline {
		found.Add(at+" deadline", "must be above 0s and at most %s, not %s",
			time.Duration(maxDeadline), time.Duration(r.Deadline))
		return
	}
	within := func(column string, value Duration) {
		if value < 0 || value > r.Deadline {
			found.Add(at+" "+column, "must be 0s to the deadline of %s, not %s",
				time.Duration(r.Deadline), time.Duration(value))
		}
	}
	within("first_token", r.FirstToken)
	within("token_gap", r.TokenGap)
}

// knownService reports whether any row is for the service. Findings use it to
// distinguish a mistyped service from a missing row.
func knownService(rows []Row, s domain.Service) bool {
	for _, r := range rows {
		if r.Service == s {
			return true
		}
	}
	return false
}
