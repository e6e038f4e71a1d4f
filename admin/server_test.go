package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/table"
)

const editWeight = `{"id":"e-1","changes":[{"op":"set","service":"appraiser-lm","zone":"*","kind":"appraisal","cells":[{"column":"weight","value":4}]}]}`

// send sends a raw request; headers have the form "Name: value".
func (b *fixture) send(t *testing.T, method, path, token, body string, headers ...string) (*http.Response, string) {
	r, err := http.NewRequestWithContext(t.Context(), method, b.http.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	r.Header.Set("Content-Type", "application/json")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	w, err := b.http.Client().Do(r)
	require.NoError(t, err)
	defer func() { _ = w.Body.Close() }()
	text, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	return w, string(text)
}

// badRequests lists invalid requests with the expected status and texts of the
// problem.
var badRequests = []struct {
	name    string
	method  string
	path    string
	token   string
	body    string
	headers []string
	status  int
	says    []string
}{
	{"no token", "GET", pathTable, "", "", nil, 401, []string{"needs an operator's bearer token"}},
	{"wrong token", "GET", pathTable, "operator-token-ashb", "", nil, 401, nil},
	{"a caller's token", "GET", pathTable, callerToken, "", nil, 401, nil},
	{"a caller's token on an edit", "PATCH", pathTable, callerToken, editWeight, nil, 401, nil},
	{"a caller's token on a trace", "GET", pathRequests + "entry-1.1.7", callerToken, "", nil, 401, nil},
	{"a caller's token on a drain", "POST", pathDrain, callerToken, `{"host":"side-1"}`, nil, 401, nil},
	{"an empty token, with an operator that has none", "GET", pathTable, "", "", []string{"Authorization: Bearer "}, 401, nil},
	{"basic authentication", "GET", pathTable, "", "", []string{"Authorization: Basic " + ashaToken}, 401, nil},
	{"no such path", "GET", "/admin/v1/tables", ashaToken, "", nil, 404, []string{"no GET of this path"}},
	{"no such method", "DELETE", pathTable, ashaToken, "", nil, 404, []string{"no DELETE of this path"}},
	{"unsupported media type in Accept", "GET", pathTable, ashaToken, "", []string{"Accept: application/xml"}, 406, nil},
	{"unsupported media type of an edit", "PATCH", pathTable, ashaToken, "<edit/>", []string{"Content-Type: text/xml"}, 415, nil},
	{"broken JSON", "PATCH", pathTable, ashaToken, `{"id":`, nil, 400, []string{"not the JSON expected"}},
	{"an unknown field", "PATCH", pathTable, ashaToken, `{"idd":"e-1"}`, nil, 400, []string{`unknown field`}},
	{"trailing data after the edit", "PATCH", pathTable, ashaToken, editWeight + "{}", nil, 400, []string{"something follows"}},
	{"a body over the limit", "PATCH", pathTable, ashaToken, strings.Repeat(" ", 2001), nil, 413, []string{"over the limit of 2000 bytes"}},
	{"different ids in header and body", "PATCH", pathTable, ashaToken, editWeight, []string{"Idempotency-Key: e-2"}, 400, []string{`\"e-1\" in the body and \"e-2\"`}},
	{"a weak ETag", "PATCH", pathTable, ashaToken, editWeight, []string{`If-Match: W/"1"`}, 400, []string{"If-Match must be"}},
	{"invalid sent_before", "PATCH", pathTable + "?sent_before=maybe", ashaToken, editWeight, nil, 400, []string{"sent_before must be"}},
	{"a stale If-Match", "PATCH", pathTable, ashaToken, editWeight, []string{`If-Match: "0"`}, 412,
		[]string{`"reason":"stale"`, `"table_version":1`, "made for version 0, the table is at 1"}},
	{"three wrong cells", "PATCH", pathTable, ashaToken, `{"changes":[{"op":"set","service":"appraiser-lm","zone":"*","kind":"appraisal","cells":[
		{"column":"weight","value":"x"},{"column":"priority","value":10},{"column":"deadline","value":"soon"}]}]}`, nil, 422,
		[]string{"weight", "not a whole number", "priority", "must be 0 to 9, not 10", "deadline", "not a duration"}},
	{"an unknown service", "PATCH", pathTable, ashaToken, `{"changes":[{"op":"remove","service":"aprraiser-lm","zone":"*","kind":"appraisal"}]}`, nil, 422,
		[]string{`there is no service \"aprraiser-lm\" in the table`}},
	{"another team's row", "PATCH", pathTable, raviToken, editWeight, nil, 403, []string{`belongs to team \"appraisal\", which ravi isn't in`}},
	{"broken CSV", "PATCH", pathTable, ashaToken, "service,zone,colour\n", []string{"Content-Type: text/csv"}, 422, []string{"line 1 colour"}},
	{"no trace", "GET", pathRequests + "entry-1.1.8", ashaToken, "", nil, 404, []string{"no story of this request"}},
	{"draining an unknown host", "POST", pathDrain, ashaToken, `{"host":"side-9"}`, nil, 404, []string{"no host side-9"}},
	{"draining without a host", "POST", pathDrain, ashaToken, `{}`, nil, 400, []string{"host is missing"}},
}

func TestBadRequestReturnsProblem(t *testing.T) {
	b := newFixture(t)
	for _, c := range badRequests {
		t.Run(c.name, func(t *testing.T) {
			w, body := b.send(t, c.method, c.path, c.token, c.body, c.headers...)
			require.Equal(t, c.status, w.StatusCode, body)
			require.Equal(t, typeProblem, w.Header.Get("Content-Type"))
			var p Problem
			require.NoError(t, json.Unmarshal([]byte(body), &p))
			require.Equal(t, c.status, p.Status)
			for _, words := range c.says {
				require.Contains(t, body, words)
			}
			require.Equal(t, c.status == 401, w.Header.Get("WWW-Authenticate") != "")
			require.NotContains(t, body, ashaToken)
		})
	}
	require.EqualValues(t, 1, b.objects.version, "no bad request wrote anything")
	w, _ := b.send(t, "PATCH", pathTable, ashaToken, editWeight, `If-Match: "1"`)
	require.Equal(t, 200, w.StatusCode, "the server still serves valid requests")
}

func TestGetTableReturnsJSONOrCSVWithETag(t *testing.T) {
	b := newFixture(t)
	w, body := b.send(t, "GET", pathTable, ashaToken, "")
	require.Equal(t, `"1"`, w.Header.Get("ETag"))
	var got table.Table
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	require.Equal(t, b.holder.Table(), got)

	w, body = b.send(t, "GET", pathTable, ashaToken, "", "Accept: text/csv, */*;q=0.1")
	require.Equal(t, "text/csv; charset=utf-8", w.Header.Get("Content-Type"))
	got, err := table.DecodeCSV([]byte(body))
	require.NoError(t, err)
	require.Equal(t, b.holder.Table().Rows(), got.Rows())

	w, body = b.send(t, "GET", pathTable, ashaToken, "", `If-None-Match: "1"`)
	require.Equal(t, 304, w.StatusCode)
	require.Empty(t, body)
}

func TestAcceptedEditIsInForce(t *testing.T) {
	b := newFixture(t)
	w, body := b.send(t, "PATCH", pathTable, ashaToken, editWeight, `If-Match: "1"`)
	require.Equal(t, 200, w.StatusCode, body)
	require.Equal(t, `"2"`, w.Header.Get("ETag"))
	require.JSONEq(t, `{"edit_id":"e-1","state":"accepted","table_version":2}`, body)
	require.EqualValues(t, 2, b.holder.Version())

	w, body = b.send(t, "PATCH", pathTable, ashaToken, "service,zone,kind,weight\nappraiser-lm,*,appraisal,9\n",
		"Content-Type: text/csv; charset=utf-8", "Idempotency-Key: e-2")
	require.Equal(t, 200, w.StatusCode, body)
	r, _ := b.holder.Table().Find("appraiser-lm", "howrah", "appraisal")
	require.Equal(t, 9, r.Weight)
}

// While the platform is down, an edit is refused with Retry-After, because nothing
// was written. An edit whose earlier response was lost is unsettled instead: it may
// have been written.
func TestEditDuringOutageIsRefusedOrUnsettled(t *testing.T) {
	b := newFixture(t)
	b.objects.down = true
	w, body := b.send(t, "PATCH", pathTable, ashaToken, editWeight)
	require.Equal(t, 503, w.StatusCode)
	require.Equal(t, "1", w.Header.Get("Retry-After"))
	require.Contains(t, body, `"state":"refused","reason":"unavailable"`)
	w, body = b.send(t, "PATCH", pathTable+"?sent_before=true", ashaToken, editWeight)
	require.Equal(t, 504, w.StatusCode)
	require.Contains(t, body, `"state":"unsettled"`)
}
