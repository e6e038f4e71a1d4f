package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

func TestArrivalsFollowThePlanAndRepeatWithTheSeed(t *testing.T) {
	p := Plan{Rate: 100, Count: 2000, Duration: time.Hour, Seed: 7, RetryShare: 0.25, Classes: []RequestClass{
		{Weight: 3, Kind: "appraisal", PromptTokens: 100}, {Weight: 1, Kind: "card"},
	}}
	all := func() (list []arrival) {
		for a, n := newArrivalSequence(p), 0; ; n++ {
			next, ok := a.next()
			if !ok {
				return list
			}
			list = append(list, next)
		}
	}
	first := all()
	require.Equal(t, first, all(), "the same seed gives the same arrivals")
	require.Len(t, first, 2000)
	cards, honouring := 0, 0
	for _, a := range first {
		if a.class.Kind == "card" {
			cards++
		}
		if a.honoursRetryAfter {
			honouring++
		}
	}
	require.InDelta(t, 500, cards, 80)
	require.InDelta(t, 500, honouring, 80)
	require.InDelta(t, 20, first[1999].offset.Seconds(), 2, "2000 arrivals at 100/s")
	prompts := map[string]bool{}
	for _, a := range first {
		if a.class.Kind == "appraisal" {
			require.Len(t, a.prompt(7), 400, "100 tokens of four bytes")
		}
		prompts[a.prompt(7)] = true
	}
	require.Len(t, prompts, 2000, "all prompts are distinct")

	p.Duration = 10 * time.Second
	require.InDelta(t, 1000, len(all()), 120, "the duration bounds the arrivals as well as the count")
}

// entry stands in for an entry of the router. The Request-Kind header selects
// how it answers.
type entry struct {
	mu   sync.Mutex
	keys map[string]int
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	e.mu.Lock()
	e.keys[key]++
	attempts := e.keys[key]
	e.mu.Unlock()
	switch kind := r.Header.Get("Request-Kind"); {
	case kind == "refused", kind == "refused_once" && attempts == 1:
		w.Header().Set("Content-Type", "application/problem+json")
		if kind == "refused_once" {
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(domain.ReasonNoRoom.Status())
		_ = json.NewEncoder(w).Encode(domain.Refusal{Reason: domain.ReasonNoRoom, Ran: domain.NotRun})
	case strings.HasPrefix(r.URL.Path, "/services/"):
		_, _ = io.WriteString(w, "card")
	default:
		e.stream(w, domain.Kind(kind))
	}
}

func (e *entry) stream(w io.Writer, kind domain.Kind) {
	for range 3 {
		_, _ = fmt.Fprint(w, `data: {"choices":[{"index":0,"text":"a ","finish_reason":null}]}`, "\n\n")
	}
	switch kind {
	case "cut":
	case "error":
		_, _ = fmt.Fprint(w, "event: error\ndata: {\"reason\":\"upstream_lost\"}\n\n")
	default:
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func TestReportCountsRequestsByOutcome(t *testing.T) {
	e := &entry{keys: map[string]int{}}
	s := httptest.NewServer(e)
	defer s.Close()
	metrics := func(w RequestClass) map[string]string {
		w.Weight, w.Service, w.PromptTokens = 1, "appraiser-lm", 10
		report, err := Run(t.Context(), Plan{
			Entries: []netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())}, Token: "token",
			Rate: 1000, Count: 5, Duration: time.Minute, RetryShare: 1, Classes: []RequestClass{w},
		})
		require.NoError(t, err)
		var b bytes.Buffer
		require.NoError(t, report.Write(&b))
		values := map[string]string{}
		for _, l := range strings.Split(strings.TrimSpace(b.String()), "\n") {
			name, value, ok := strings.Cut(l, "\t")
			require.True(t, ok, l)
			values[name] = value
		}
		clear(e.keys)
		return values
	}
	complete := metrics(RequestClass{Kind: "appraisal", MaxTokens: 3})
	require.Equal(t, "5", complete["arrivals"])
	require.Equal(t, "5", complete["answered"])
	require.Equal(t, "5", complete["good"], "without targets every complete answer is good")
	require.Contains(t, complete, "ttft_p99_ms")
	require.Contains(t, complete, "tbt_p95_ms")
	require.Contains(t, complete, "client_lag_p50_ms")

	late := metrics(RequestClass{Kind: "appraisal", MaxTokens: 3, FirstTokenTarget: time.Nanosecond})
	require.Equal(t, "5", late["answered"])
	require.Equal(t, "0", late["good"], "an answer later than its target is not good")

	cut := metrics(RequestClass{Kind: "cut", MaxTokens: 3})
	require.Equal(t, "0", cut["answered"], "a stream without [DONE] does not count as answered")
	require.Equal(t, "5", cut["failed_truncated"])

	require.Equal(t, "5", metrics(RequestClass{Kind: "error", MaxTokens: 3})["refused_upstream_lost"])
	require.Equal(t, "5", metrics(RequestClass{Kind: "refused", MaxTokens: 3})["refused_no_room"])

	plain := metrics(RequestClass{Kind: "card", Method: http.MethodGet, Path: "/cards/17"})
	require.Equal(t, "5", plain["good"])
	require.Contains(t, plain, "plain_p50_ms")

	retried := metrics(RequestClass{Kind: "refused_once", Method: http.MethodGet, Path: "/cards/17"})
	require.Equal(t, "5", retried["returns"], "each caller retries once after Retry-After with the same key")
	require.Equal(t, "5", retried["answered"])
}

func TestRunReportsAllProblemsOfThePlan(t *testing.T) {
	_, err := Run(t.Context(), Plan{RetryShare: 2})
	require.ErrorContains(t, err, "entries")
	require.ErrorContains(t, err, "rate")
	require.ErrorContains(t, err, "count")
	require.ErrorContains(t, err, "duration")
	require.ErrorContains(t, err, "honour")
	require.ErrorContains(t, err, "work")
}
