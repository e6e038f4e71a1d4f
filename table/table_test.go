package table

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
)

func TestFindFallsBackToAnyZone(t *testing.T) {
	table := sampleTable()
	r, ok := table.Find("appraiser-lm", "salt-lake", "appraisal")
	require.True(t, ok)
	require.Equal(t, domain.Zone("salt-lake"), r.Zone)
	r, ok = table.Find("appraiser-lm", "howrah", "appraisal")
	require.True(t, ok)
	require.Equal(t, AnyZone, r.Zone)
	_, ok = table.Find("appraiser-lm", "salt-lake", "blurb")
	require.False(t, ok)
	_, ok = Table{}.Find("appraiser-lm", "salt-lake", "appraisal")
	require.False(t, ok)
}

func TestHasServiceReportsServicesOfRows(t *testing.T) {
	table := sampleTable()
	require.True(t, table.HasService("marketplace-app"))
	require.True(t, table.HasService("appraiser-lm"))
	require.False(t, table.HasService("wallapp"))
	require.False(t, Table{}.HasService(""))
}

func TestSampleTablePassesCheck(t *testing.T) {
	require.Empty(t, sampleTable().Check())
	require.Empty(t, Table{}.Check())
}

func TestJSONAndCSVRoundTripPreserveTable(t *testing.T) {
	table := sampleTable()
	next, err := table.Apply(Edit{ID: "e-1", Changes: []Change{Set(sample(AnyZone, "appraisal").Key(), Cell{Column: "weight", Value: "3"})}}, asha)
	require.NoError(t, err)

	text, err := next.Encode()
	require.NoError(t, err)
	decoded, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, next, decoded)
	require.Contains(t, string(text), `"in_flight":8`)

	decodedRows, err := DecodeRows(text)
	require.NoError(t, err)
	require.Equal(t, next.Rows(), decodedRows.Rows())

	text, err = next.EncodeCSV()
	require.NoError(t, err)
	decoded, err = DecodeCSV(text)
	require.NoError(t, err)
	require.Equal(t, next.Rows(), decoded.Rows())
	require.True(t, strings.HasPrefix(string(text), "service,zone,kind,team,weight,in_flight,"))
}

// A request whose outcome was lost in one zone is retried in another. If the kind is
// idempotent in the first zone only, it would run twice in a zone that forbids it,
// so a table must not contain such a pair of rows.
func TestCheckRejectsKindIdempotentInSomeZonesOnly(t *testing.T) {
	_, err := sampleTable().Apply(Edit{ID: "e-1", Changes: []Change{
		Set(sample(AnyZone, "appraisal").Key(), Cell{Column: "idempotent", Value: "true"})}}, asha)
	require.Equal(t, []string{"row 2 appraiser-lm/salt-lake/appraisal idempotent: " +
		"false here and true at row 1 appraiser-lm/*/appraisal: a kind has one value in all zones"}, lines(err))
}

// The platform rejects a value above a megabyte at every retry, and without a
// reason that an operator could act on. A table of many thousand rows must
// therefore fail the check before it is written.
func TestCheckRejectsTableLargerThanMaxSize(t *testing.T) {
	var rows []Row
	for i := range 4000 {
		rows = append(rows, sample(domain.Zone(fmt.Sprintf("zone-%d", i)), "appraisal"))
	}
	found := New(1, rows).Check()
	require.Len(t, found, 1)
	require.Contains(t, found[0].String(), "the platform holds 1048576: remove rows")
}

func TestEncodedRowSizeIsBounded(t *testing.T) {
	var rows []Row
	for i := range 1000 {
		rows = append(rows, sample(domain.Zone(fmt.Sprintf("zone-%d", i)), "appraisal"))
	}
	text, err := New(1, rows).Encode()
	require.NoError(t, err)
	t.Logf("1000 rows take %d bytes", len(text))
	require.Less(t, len(text), 1000*320)
}

// findByScan is a reference for Table.Find that scans all rows.
func findByScan(rows []Row, s domain.Service, z domain.Zone, k domain.Kind) (Row, bool) {
	var any Row
	found := false
	for _, r := range rows {
		if r.Service == s && r.Kind == k && r.Zone == z {
			return r, true
		}
		if r.Service == s && r.Kind == k && r.Zone == AnyZone {
			any, found = r, true
		}
	}
	return any, found
}

func drawRows(rt *rapid.T) []Row {
	keys := rapid.SliceOfNDistinct(rapid.Custom(func(rt *rapid.T) Key {
		return Key{Service: domain.Service(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "service")),
			Zone: domain.Zone(rapid.SampledFrom([]string{"x", "y", "*"}).Draw(rt, "zone")),
			Kind: domain.Kind(rapid.SampledFrom([]string{"k", "l"}).Draw(rt, "kind"))}
	}), 0, 12, rapid.ID[Key]).Draw(rt, "keys")
	var rows []Row
	for _, k := range keys {
		r := sample(k.Zone, k.Kind)
		r.Service = k.Service
		r.Weight = rapid.IntRange(0, 3).Draw(rt, "weight")
		rows = append(rows, r)
	}
	return rows
}

func TestFindMatchesScanOfAllRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rows := drawRows(rt)
		table := New(1, rows)
		for _, s := range []domain.Service{"a", "b", "c"} {
			for _, z := range []domain.Zone{"x", "y", "z"} {
				want, wantOK := findByScan(rows, s, z, "k")
				got, ok := table.Find(s, z, "k")
				if got != want || ok != wantOK {
					rt.Fatalf("%s %s: got %v, want %v", s, z, got, want)
				}
			}
		}
	})
}

func TestApplyOfDiffYieldsSecondTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := New(1, drawRows(rt)), New(2, drawRows(rt))
		changes := Diff(a, b)
		if len(changes) == 0 {
			require.Equal(rt, a.Rows(), b.Rows())
			return
		}
		got, err := a.Apply(Edit{ID: "e-1", Changes: changes}, asha)
		require.NoError(rt, err)
		require.Equal(rt, b.Rows(), got.Rows())
		require.Empty(rt, Diff(got, b))
	})
}

func TestDiffStringListsRemovedSetAndAddedRows(t *testing.T) {
	a := New(1, []Row{sample("x", "k"), sample("y", "k")})
	changed := sample("y", "k")
	changed.Weight, changed.MayWait = 4, true
	b := New(2, []Row{changed, enquiry("z")})
	require.Equal(t, `- appraiser-lm/x/k
= appraiser-lm/y/k weight: 1 -> 4
= appraiser-lm/y/k may_wait: false -> true
+ marketplace-app/z/enquiry team=listing weight=1 in_flight=16 queue_limit=0 caller_rate=0 deadline=5s first_token=0s token_gap=0s idempotent=false priority=9 may_wait=false wasted_prefill_weight=0
`, Diff(a, b).String())
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{15, 3000} {
		var rows []Row
		for i := range n {
			rows = append(rows, sample(domain.Zone(fmt.Sprintf("zone-%d", i)), "appraisal"))
		}
		table := New(1, append(rows, sample(AnyZone, "appraisal")))
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			for b.Loop() {
				table.Find("appraiser-lm", "elsewhere", "appraisal")
			}
		})
	}
}

// BenchmarkDecode measures the cost of a new version on each host.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{18, 516, 3000} {
		var rows []Row
		for i := range n {
			rows = append(rows, sample(domain.Zone(fmt.Sprintf("zone-%d", i)), "appraisal"))
		}
		text, err := New(1, rows).Encode()
		require.NoError(b, err)
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			b.ReportMetric(float64(len(text)), "stored-B")
			for b.Loop() {
				if _, err := Decode(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkApply measures the cost of an edit on an entry, including the check and
// the encoding.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{18, 516, 3000} {
		var rows []Row
		for i := range n {
			rows = append(rows, sample(domain.Zone(fmt.Sprintf("zone-%d", i)), "appraisal"))
		}
		t := New(1, rows)
		e := Edit{ID: "e-1", Changes: []Change{Set(rows[0].Key(), Cell{Column: "weight", Value: "3"})}}
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := t.Apply(e, asha); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
