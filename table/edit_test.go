package table

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

var appraisal = sample(AnyZone, "appraisal").Key()

// invalidEdits lists invalid edits with the findings that each must produce.
var invalidEdits = []struct {
	name     string
	cause    Cause
	edit     Edit
	findings []string
}{
	{"empty edit", CauseFindings, Edit{}, []string{
		`id: must be 1 to 63 of letters, digits, dot, - and _: ""`, "changes: is empty"}},
	{"three wrong cells", CauseFindings, Edit{ID: "e", Changes: []Change{Set(appraisal,
		Cell{Column: "weight", Value: "many"}, Cell{Column: "priority", Value: "12"}, Cell{Column: "deadline", Value: "-1s"})}}, []string{
		`change 1 appraiser-lm/*/appraisal weight: not a whole number: "many"`,
		"row 1 appraiser-lm/*/appraisal priority: must be 0 to 9, not 12",
		"row 1 appraiser-lm/*/appraisal deadline: must be above 0s and at most 24h0m0s, not -1s"}},
	{"unparsable cells", CauseFindings, Edit{ID: "e", Changes: []Change{Set(appraisal,
		Cell{Column: "idempotent", Value: "perhaps"}, Cell{Column: "caller_rate", Value: "fast"},
		Cell{Column: "token_gap", Value: "5"}, Cell{Column: "colour", Value: "red"}, Cell{Column: "zone", Value: "x"},
		Cell{Column: "weight", Value: "1"}, Cell{Column: "weight", Value: "2"})}}, []string{
		`change 1 appraiser-lm/*/appraisal idempotent: not true or false: "perhaps"`,
		`change 1 appraiser-lm/*/appraisal caller_rate: not a number: "fast"`,
		`change 1 appraiser-lm/*/appraisal token_gap: not a duration such as 800ms or 1m30s: "5"`,
		"change 1 appraiser-lm/*/appraisal colour: there is no such column",
		"change 1 appraiser-lm/*/appraisal zone: names the row: remove the row and add another",
		"change 1 appraiser-lm/*/appraisal weight: is given twice"}},
	{"cells out of bounds", CauseFindings, Edit{ID: "e", Changes: []Change{Set(appraisal,
		Cell{Column: "in_flight", Value: "0"}, Cell{Column: "caller_rate", Value: "NaN"},
		Cell{Column: "first_token", Value: "31s"}, Cell{Column: "wasted_prefill_weight", Value: "-1"})}}, []string{
		"row 1 appraiser-lm/*/appraisal in_flight: must be 1 to 100000, not 0",
		"row 1 appraiser-lm/*/appraisal wasted_prefill_weight: must be 0 to 1000, not -1",
		"row 1 appraiser-lm/*/appraisal caller_rate: must be 0 to 1000000, not NaN",
		"row 1 appraiser-lm/*/appraisal first_token: must be 0s to the deadline of 30s, not 31s"}},
	{"rows that don't exist", CauseFindings, Edit{ID: "e", Changes: []Change{
		Set(Key{"apraiser-lm", "*", "appraisal"}, Cell{Column: "weight", Value: "1"}),
		Remove(Key{"appraiser-lm", "howrah", "appraisal"}), {Op: "move", Key: appraisal}, Set(appraisal)}}, []string{
		`change 1 apraiser-lm/*/appraisal: there is no service "apraiser-lm" in the table`,
		"change 2 appraiser-lm/howrah/appraisal: there is no such row",
		`change 3 appraiser-lm/*/appraisal op: must be set, add, put or remove, not "move"`,
		"change 4 appraiser-lm/*/appraisal cells: is empty"}},
	{"adding a row that exists", CauseFindings, Edit{ID: "e", Changes: []Change{Add(sample(AnyZone, "appraisal"))}}, []string{
		"change 1 appraiser-lm/*/appraisal: there is such a row already"}},
	{"a new row without limits or team", CauseFindings, Edit{ID: "e", Changes: []Change{
		{Op: OpAdd, Key: Key{"appraiser-lm", "new town", "blurb"}, Cells: []Cell{{Column: "weight", Value: "1"}}}}}, []string{
		`row 2 appraiser-lm/new town/blurb zone: must be 1 to 63 of letters, digits, dot, - and _: "new town"`,
		`row 2 appraiser-lm/new town/blurb team: must be 1 to 63 of letters, digits, dot, - and _: ""`,
		"row 2 appraiser-lm/new town/blurb in_flight: must be 1 to 100000, not 0",
		"row 2 appraiser-lm/new town/blurb deadline: must be above 0s and at most 24h0m0s, not 0s"}},
	{"another team's rows", CauseForbidden, Edit{ID: "e", Changes: []Change{
		Set(enquiry(AnyZone).Key(), Cell{Column: "weight", Value: "0"}), Remove(enquiry(AnyZone).Key()),
		Add(enquiry("salt-lake")), Set(appraisal, Cell{Column: "team", Value: "listing"})}}, []string{
		`change 1 marketplace-app/*/enquiry: belongs to team "listing", which asha isn't in`,
		`change 2 marketplace-app/*/enquiry: belongs to team "listing", which asha isn't in`,
		`change 3 marketplace-app/salt-lake/enquiry: belongs to team "listing", which asha isn't in`,
		`change 4 appraiser-lm/*/appraisal team: belongs to team "listing", which asha isn't in`}},
}

func TestApplyInvalidEditReturnsEveryFinding(t *testing.T) {
	for _, c := range invalidEdits {
		t.Run(c.name, func(t *testing.T) {
			before := sampleTable()
			_, err := before.Apply(c.edit, asha)
			var r *Rejection
			require.ErrorAs(t, err, &r)
			require.Equal(t, c.findings, lines(err))
			require.Equal(t, c.cause, r.Cause)
			require.Equal(t, sampleTable(), before, "a rejected edit changes nothing")
		})
	}
}

func TestApplyDoesNotChangeTheOriginalTable(t *testing.T) {
	before := sampleTable()
	after, err := before.Apply(Edit{ID: "e-1", Changes: []Change{
		Set(appraisal, Cell{Column: "weight", Value: " 4 "}), Remove(sample("salt-lake", "appraisal").Key()),
		Add(sample("howrah", "blurb"))}}, asha)
	require.NoError(t, err)
	require.Equal(t, sampleTable(), before)
	require.Equal(t, 3, after.Len())
	require.Len(t, after.Edits(), 1)
	a, ok := after.FindEdit("e-1")
	require.True(t, ok)
	require.Equal(t, AppliedEdit{ID: "e-1", Operator: "asha", Checksum: a.Checksum, Base: 7}, a)
	r, _ := after.Find("appraiser-lm", "salt-lake", "appraisal")
	require.Equal(t, 4, r.Weight)
}

func TestCellValueUnmarshalsStringNumberAndBoolean(t *testing.T) {
	var e Edit
	require.NoError(t, json.Unmarshal([]byte(`{"id":"e-1","changes":[{"op":"set","service":"appraiser-lm","zone":"*","kind":"appraisal",
		"cells":[{"column":"weight","value":3},{"column":"may_wait","value":true},{"column":"deadline","value":"1m"}]}]}`), &e))
	after, err := sampleTable().Apply(e, asha)
	require.NoError(t, err)
	r, _ := after.Find("appraiser-lm", "howrah", "appraisal")
	require.Equal(t, 3, r.Weight)
	require.True(t, r.MayWait)
	require.Error(t, json.Unmarshal([]byte(`{"changes":[{"cells":[{"column":"weight","value":{}}]}]}`), &e))
}

// Guards against reporting an edit as refused when it got no response and more
// than HistoryLimit edits followed: its absence from the history then proves
// nothing, and sending the edit again would overwrite the later edits.
func TestHistoryIsBoundedAndReportsWhatItCovers(t *testing.T) {
	table := sampleTable()
	for i := range HistoryLimit + 1 {
		e := Edit{ID: EditID(fmt.Sprintf("e-%d", i)), Changes: []Change{
			Set(appraisal, Cell{Column: "weight", Value: Value(fmt.Sprint(i))})}}
		next, err := table.Apply(e, asha)
		require.NoError(t, err)
		table = next.WithVersion(table.Version() + 1)
	}
	require.Len(t, table.Edits(), HistoryLimit)
	_, ok := table.FindEdit("e-0")
	require.False(t, ok)
	require.False(t, table.HistoryCovers(7), "e-0, applied to version 7, was dropped from the history")
	require.True(t, table.HistoryCovers(8))
	_, ok = table.FindEdit("e-1")
	require.True(t, ok)
}

// invalidTables lists invalid tables as CSV or JSON with the findings that each must
// produce.
var invalidTables = []struct {
	name     string
	read     func([]byte) (Table, error)
	text     string
	findings []string
}{
	{"empty CSV", DecodeCSV, "", []string{"line 1: no CSV header: EOF"}},
	{"duplicate and unknown columns in the header", DecodeCSV, "service,zone,zone,colour\n", []string{
		"line 1 zone: the column stands twice", "line 1 colour: there is no such column"}},
	{"missing column in the header", DecodeCSV, "service,zone,kind,team,weight,in_flight,queue_limit,caller_rate,deadline,first_token,token_gap,idempotent,priority,may_wait\n", []string{
		"line 1 wasted_prefill_weight: the column is missing"}},
	{"invalid cells on several lines", DecodeCSV, "service,zone,kind,team,weight,in_flight,queue_limit,caller_rate,deadline,first_token,token_gap,idempotent,priority,may_wait,wasted_prefill_weight\n" +
		"a,*,k,t,x,1,0,0,1s,0s,0s,no,0,false,0\na,*,k\na,z,k,t,1,1,0,0,1s,2s,0s,false,0,false,0\na,z,k,t,1,1,0,0,1s,0s,0s,false,0,false,0\n", []string{
		"line 3: has 3 cells, the header has 15",
		`line 2 a/*/k weight: not a whole number: "x"`,
		`line 2 a/*/k idempotent: not true or false: "no"`,
		"line 4 a/z/k first_token: must be 0s to the deadline of 1s, not 2s",
		"line 5 a/z/k: stands twice, also at line 4 a/z/k"}},
	{"unterminated quote", DecodeCSV, "service,zone\n\"a,b\n", []string{
		`table: not CSV: parse error on line 2, column 6: extraneous or missing " in quoted-field`}},
	{"invalid JSON cells", DecodeRows, `[{"service":"a","zone":"*","kind":"k","team":"t","weight":"x","in_flight":0,"deadline":"1s","colour":1}]`, []string{
		`row 1 a/*/k weight: not a whole number: "x"`,
		"row 1 a/*/k colour: there is no such column",
		"row 1 a/*/k in_flight: must be 1 to 100000, not 0"}},
	{"broken JSON", DecodeRows, "{\n\"rows\": [\n", []string{"line 2: not JSON rows: unexpected EOF"}},
}

func TestDecodeInvalidTableReturnsEveryFinding(t *testing.T) {
	for _, c := range invalidTables {
		t.Run(c.name, func(t *testing.T) {
			_, err := c.read([]byte(c.text))
			require.Equal(t, c.findings, lines(err))
		})
	}
}

func TestDecodeChangesCSVSetsAndAddsRows(t *testing.T) {
	changes, err := DecodeChangesCSV([]byte("zone,service,kind,weight,team\n*,appraiser-lm,appraisal,9,appraisal\nhowrah,appraiser-lm,blurb,1,appraisal\n"))
	require.NoError(t, err)
	_, err = sampleTable().Apply(Edit{ID: "e-1", Changes: changes}, asha)
	require.Equal(t, []string{"row 2 appraiser-lm/howrah/blurb in_flight: must be 1 to 100000, not 0",
		"row 2 appraiser-lm/howrah/blurb deadline: must be above 0s and at most 24h0m0s, not 0s"}, lines(err))
	after, err := sampleTable().Apply(Edit{ID: "e-1", Changes: changes[:1]}, asha)
	require.NoError(t, err)
	require.Equal(t, "= appraiser-lm/*/appraisal weight: 1 -> 9\n", Diff(sampleTable(), after).String())
	_, err = DecodeChangesCSV([]byte("service,zone,weight\n"))
	require.Equal(t, []string{"line 1 kind: the column is missing"}, lines(err))
}

func TestChecksumDiffersForDifferentChanges(t *testing.T) {
	a := Edit{ID: "e", Changes: []Change{Set(appraisal, Cell{Column: "weight", Value: "1", Previous: "2"})}}
	b := Edit{ID: "e", Changes: []Change{Set(appraisal, Cell{Column: "weight", Value: "1"})}}
	require.Equal(t, a.Checksum(), b.Checksum(), "the previous value is not part of the checksum")
	b.Changes[0].Cells[0].Value = "2"
	require.NotEqual(t, a.Checksum(), b.Checksum())
}
