package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// appraisalEvents returns the events of one answered model request at the entry, at the
// prefill side, and at the decode side, whose clock is 3 ms behind.
func appraisalEvents(n uint64) (entry, prefill, decode []Event) {
	id := ID{"entry-1", 3, n}.RequestID()
	owner := Event{Service: "appraiser-lm", RequestKind: "appraisal", Caller: "stud-farm"}
	ev := func(k EventKind, ms int, h domain.Host, a domain.Attempt) Event {
		return Event{Kind: k, Time: at(ms), Host: h, Request: id, Attempt: a}
	}
	accepted := owner
	accepted.Kind, accepted.Time, accepted.Host, accepted.Request = Accepted, at(0), "entry-1", id
	decided := ev(DecisionMade, 2, "entry-1", 1)
	decided.Upstream, decided.Decode = "side-4", "side-7"
	decided.Evaluation = &Evaluation{Policy: "pair", Considered: 9, Candidates: []Candidate{{"side-4", 3 * time.Millisecond, ""}}}
	started := ev(AttemptStarted, 3, "entry-1", 1)
	started.Upstream, started.Decode = "side-4", "side-7"
	answered := ev(Answered, 60, "entry-1", 0)
	answered.Execution, answered.Tokens = domain.DidRun, 40
	entry = []Event{accepted, ev(Queued, 1, "entry-1", 0), decided, started, answered}
	for _, s := range []struct {
		events *[]Event
		host   domain.Host
		middle EventKind
		from   int
	}{{&prefill, "side-4", PrefillDone, 5}, {&decode, "side-7", FirstToken, 0}} {
		first := ev(AttemptStarted, s.from, s.host, 1)
		first.Caller, first.Service, first.RequestKind = owner.Caller, owner.Service, owner.RequestKind
		last := ev(AttemptEnded, s.from+50, s.host, 1)
		last.Execution = domain.DidRun
		*s.events = []Event{ev(Reserved, s.from, s.host, 1), first, ev(s.middle, s.from+20, s.host, 1), last}
	}
	return entry, prefill, decode
}

func newSpan(h SpanKind, events []Event) Span {
	s := Span{Kind: h}
	for _, e := range events {
		s.Add(e)
	}
	return s
}

func recordAll(r *Recorder, events []Event) {
	for _, e := range events {
		r.Record(e)
	}
}

// A request is answered, and 5 ms later a slow code path in the entry refuses it as
// lost. The caller has received the answer, so the trace must not end as refused.
func TestRecordSecondEndAddsFindingAndKeepsFirstEnd(t *testing.T) {
	var r Recorder
	entry, _, _ := appraisalEvents(1)
	recordAll(&r, entry)
	r.Record(Event{Kind: Refused, Time: at(65), Host: "entry-1", Request: entry[0].Request, Execution: domain.Unknown, Reason: domain.ReasonLost})
	s, ok := r.Get(entry[0].Request)
	require.True(t, ok)
	end, _ := s.End()
	require.Equal(t, Answered, end.Kind)
	require.Len(t, s.Findings, 1)
	c := r.Counts()
	require.True(t, c.Balanced())
	require.Equal(t, int64(1), c.SecondEnds)
	// The finding is also written to a segment, as an additional span.
	spans := r.TakePending()
	require.Len(t, spans, 2)
	a := Merge(entry[0].Request, *spans[0], *spans[1])
	require.Equal(t, StateAnswered, a.State)
	require.Len(t, a.Findings, 1)
}

func TestCountsAreBalancedForAnyEventSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Recorder{MaxClosed: 4, MaxAge: 50 * time.Millisecond}
		kinds := rapid.SliceOfN(rapid.SampledFrom([]EventKind{Accepted, Queued, Answered, Refused, CallerGone, AttemptEnded}), 1, 80).Draw(t, "kinds")
		endByRequest := make(map[domain.RequestID]EventKind) // the first end of each request, or Accepted if it is open
		for i, k := range kinds {
			id := ID{"e", 1, uint64(rapid.IntRange(0, 5).Draw(t, "id"))}.RequestID()
			_, known := endByRequest[id]
			if _, held := r.Get(id); known && !held && k == Accepted {
				continue // a duplicate id is detected only while its span is in memory
			}
			r.Record(Event{Kind: k, Time: at(i * 9), Host: "e", Request: id, Execution: domain.NotRun})
			if k == Accepted && !known || endByRequest[id] == Accepted && (k == Answered || k == Refused) {
				endByRequest[id] = k
			}
			want := make(map[EventKind]int64)
			for _, v := range endByRequest {
				want[v]++
			}
			c := r.Counts()
			require.True(t, c.Balanced(), "%+v", c)
			require.Equal(t, [3]int64{want[Accepted], want[Answered], want[Refused]}, [3]int64{c.Open, c.Answered, c.Refused})
		}
		require.LessOrEqual(t, len(r.LatestClosed(100)), 4)
	})
}

func TestRecorderIsSafeForConcurrentUse(t *testing.T) {
	var r Recorder
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for n := range 200 {
				entry, _, _ := appraisalEvents(uint64(w*1000 + n))
				recordAll(&r, entry)
				r.LatestClosed(2)
			}
		})
	}
	wg.Wait()
	c := r.Counts()
	require.True(t, c.Balanced())
	require.Equal(t, int64(1600), c.Answered)
}

func TestSideRecorderClosesSpanWithoutEndAfterMaxAge(t *testing.T) {
	r := Recorder{Kind: SideSpan, MaxAge: time.Second}
	_, prefill, _ := appraisalEvents(1)
	recordAll(&r, prefill[:2])
	_, unrelated, _ := appraisalEvents(2)
	unrelated[0].Time = at(2000)
	r.Record(unrelated[0])
	batch := r.TakePending()
	require.Len(t, batch, 1)
	require.Contains(t, batch[0].Findings[0].Problem, "did not end")
	require.False(t, r.FlushDue(at(2000).Add(DefaultFlushInterval)), "nothing is pending")

	// A late event does not open a span that would wait for an end.
	r.Record(Event{Kind: CallerGone, Time: at(2001), Host: "side-4", Request: "entry-1.3.9"})
	require.False(t, r.FlushDue(at(2002)))
	require.True(t, r.FlushDue(at(2001).Add(DefaultFlushInterval)))
	require.Len(t, r.TakePending(), 1)
}

// The entry crashes while the side still runs the request. The span of the side is read
// from the live side: it has no end yet, and must not be reported as lost.
func TestMergeDoesNotReportOpenSpanAsLost(t *testing.T) {
	r := Recorder{Kind: SideSpan}
	entry, prefill, _ := appraisalEvents(1)
	recordAll(&r, prefill[:3])
	s, ok := r.Get(entry[0].Request)
	require.True(t, ok && s.Open)
	a := Merge(s.Request, s)
	require.Equal(t, StateLost, a.State)
	require.Len(t, a.Missing, 2)
	require.NotContains(t, strings.Join(a.Missing, "\n"), "side side-4: lost")

	var e Recorder
	recordAll(&e, entry[:4])
	s, _ = e.Get(entry[0].Request)
	a = Merge(s.Request, s)
	require.Equal(t, StateOpen, a.State)
	require.Empty(t, a.Missing)
}

// The entry is killed right after the response, and another entry finds only the spans of
// the sides. The trace must show that the request ran, and that the entry's events are
// missing, instead of guessing the outcome.
func TestMergeReportsMissingSpans(t *testing.T) {
	entry, prefill, decode := appraisalEvents(17)
	id := entry[0].Request
	complete := Merge(id, newSpan(EntrySpan, entry), newSpan(SideSpan, prefill), newSpan(SideSpan, decode))
	require.Equal(t, StateAnswered, complete.State)
	require.Empty(t, complete.Missing)
	require.Empty(t, complete.Findings)

	lost := Merge(id, newSpan(SideSpan, prefill), newSpan(SideSpan, decode))
	require.Equal(t, StateLost, lost.State)
	require.Equal(t, domain.DidRun, lost.Execution)
	require.Contains(t, strings.Join(lost.Missing, "\n"), "entry entry-1.3 was lost before it wrote")

	entryCutOff := Merge(id, newSpan(EntrySpan, entry[:4]), newSpan(SideSpan, prefill))
	require.Contains(t, strings.Join(entryCutOff.Missing, "\n"), "entry entry-1.3 lost after attempt_started")
	require.Contains(t, strings.Join(entryCutOff.Missing, "\n"), "events of side side-7 for attempt 1")

	decodeLost := Merge(id, newSpan(EntrySpan, entry), newSpan(SideSpan, prefill), newSpan(SideSpan, decode[:3]))
	require.Contains(t, strings.Join(decodeLost.Missing, "\n"), "side side-7: lost after first_token")

	none := Merge(id)
	require.Equal(t, domain.Unknown, none.Execution)
	require.Contains(t, none.Missing[0], "no event")

	var b bytes.Buffer
	require.NoError(t, complete.WriteText(&b))
	require.Contains(t, b.String(), "request entry-1.3.17: answered, ran: ran\n  caller stud-farm, kind appraisal")
	t.Log("\n" + b.String())
}

// A refusal says not_run although the span of a side shows that the prefill was done.
// That violates a guarantee to the callers, so the trace must have a finding.
func TestMergeFindsContradictionsOfRuns(t *testing.T) {
	entry, prefill, _ := appraisalEvents(5)
	end := &entry[len(entry)-1]
	end.Kind, end.Execution, end.Reason = Refused, domain.NotRun, domain.ReasonLost
	a := Merge(entry[0].Request, newSpan(EntrySpan, entry), newSpan(SideSpan, prefill))
	require.Len(t, a.Findings, 1)
	require.Contains(t, a.Findings[0].Problem, "refused as not_run")

	entry, prefill, _ = appraisalEvents(6)
	secondAttempt := append([]Event(nil), prefill...)
	for i := range secondAttempt {
		secondAttempt[i].Attempt, secondAttempt[i].Host = 2, "side-5"
	}
	a = Merge(entry[0].Request, newSpan(EntrySpan, entry), newSpan(SideSpan, prefill), newSpan(SideSpan, secondAttempt))
	require.Contains(t, a.Findings.Error(), "ran in 2 attempts")
}

func TestMergeIsIndependentOfOrderAndDuplicates(t *testing.T) {
	entry, prefill, decode := appraisalEvents(9)
	spans := []Span{newSpan(EntrySpan, entry), newSpan(SideSpan, prefill), newSpan(SideSpan, decode)}
	want := Merge(entry[0].Request, spans...)
	for i, e := range want.Events { // causal order, although the clock of side-7 is behind
		if e.Kind == DecisionMade {
			require.Equal(t, 2, i)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		given := append(rapid.Permutation(spans).Draw(t, "order"), rapid.SampledFrom(spans).Draw(t, "twice"))
		require.Equal(t, want, Merge(entry[0].Request, given...))
	})
}

func TestUnpackReturnsPackedSpans(t *testing.T) {
	p := Packer{Host: "side.4", Incarnation: 2}
	var batch []*Span
	for n := range 400 {
		_, prefill, _ := appraisalEvents(uint64(n))
		s := Span{Kind: SideSpan}
		for _, e := range prefill {
			e.Request = ID{domain.Host(fmt.Sprintf("entry-%d", n%20)), 1, uint64(n)}.RequestID()
			s.Add(e)
		}
		batch = append(batch, &s)
	}
	segments, err := p.Pack(start, batch)
	require.NoError(t, err)
	require.Greater(t, len(segments), 1, "the ranges of 20 entries do not fit into one name")
	var names []string
	for _, s := range segments {
		require.LessOrEqual(t, len(s.Data), MaxSegment)
		n, err := ParseSegmentName(s.Name)
		require.NoError(t, err)
		require.Equal(t, s.Name, n.String())
		names = append(names, s.Name)
	}
	require.Len(t, ExpiredSegments(append(names, "other"), at(1001), time.Second), len(names))
	for _, want := range batch {
		d, err := ParseID(want.Request)
		require.NoError(t, err)
		found := 0
		for _, name := range FindSegments(append(names, "stories/odd", "table"), d) {
			for _, s := range segments {
				if s.Name != name {
					continue
				}
				spans, f := Unpack(s.Data)
				require.Empty(t, f)
				for _, got := range spans {
					if got.Request == want.Request {
						require.Equal(t, *want, got)
						found++
					}
				}
			}
		}
		require.Equal(t, 1, found, "%s", want.Request)
	}
}

func TestPackedSegmentsStayBelowMaxSegment(t *testing.T) {
	p := Packer{Host: "e", Incarnation: 1}
	var batch []*Span
	seed := uint64(1)
	for n := range 40 {
		s := Span{}
		for i := range MaxEvents + 20 {
			noise := make([]byte, 3*MaxDetail)
			for j := range noise {
				seed = seed*6364136223846793005 + 1442695040888963407
				noise[j] = 'a' + byte(seed>>59)
			}
			s.Add(Event{Kind: Queued, Time: at(i), Host: "e", Request: ID{"e", 1, uint64(n)}.RequestID(), Detail: string(noise)})
		}
		require.Equal(t, 20, s.Dropped)
		batch = append(batch, &s)
	}
	segments, err := p.Pack(start, batch)
	require.NoError(t, err)
	total := 0
	for _, s := range segments {
		require.LessOrEqual(t, len(s.Data), MaxSegment)
		spans, f := Unpack(s.Data)
		require.Empty(t, f)
		total += len(spans)
	}
	require.Equal(t, len(batch), total)
}

// A truncated or modified segment must be detected, because an incomplete span that
// reads like a complete one would make the trace wrong.
func TestUnpackDetectsDamagedSegment(t *testing.T) {
	p := Packer{Host: "entry-1", Incarnation: 3}
	entry, _, _ := appraisalEvents(1)
	s := newSpan(EntrySpan, entry)
	segments, err := p.Pack(start, []*Span{&s, &s})
	require.NoError(t, err)
	data := segments[0].Data
	for n := range data {
		_, f := Unpack(data[:n])
		require.NotEmpty(t, f, "truncated at %d", n)
		bad := bytes.Clone(data)
		bad[n] ^= 1
		spans, f := Unpack(bad)
		if len(f) == 0 { // the bit has no meaning in the format
			require.Equal(t, []Span{s, s}, spans, "flipped in %d", n)
		}
	}
	line, err := json.Marshal(s)
	require.NoError(t, err)
	raw := `{"format":"jacinthworks-stories","version":1,"stories":2}` + "\n" + string(line) + "\n{\"events\":[{}]}\n"
	spans, f := Unpack(encoder().EncodeAll([]byte(raw), nil))
	require.Len(t, spans, 1)
	require.Contains(t, f.Error(), "line 3 request_id")
	require.Contains(t, f.Error(), "contains 1 spans")
}

func TestOutboxDropsOldestSegmentsBeyondMaxBytes(t *testing.T) {
	o := Outbox{MaxBytes: 10}
	o.Add(Segment{"a", make([]byte, 6), 3}, Segment{"b", make([]byte, 4), 2}, Segment{"c", make([]byte, 4), 1})
	require.Equal(t, int64(3), o.Dropped())
	next, _ := o.Oldest()
	require.Equal(t, "b", next.Name)
	o.Remove("b")
	segments, size := o.PendingSize()
	require.Equal(t, [2]int{1, 4}, [2]int{segments, size})
}

func FuzzUnpack(f *testing.F) {
	p := Packer{Host: "entry-1", Incarnation: 3}
	entry, prefill, _ := appraisalEvents(1)
	a, b := newSpan(EntrySpan, entry), newSpan(SideSpan, prefill)
	segments, err := p.Pack(start, []*Span{&a, &b})
	require.NoError(f, err)
	f.Add(segments[0].Data)
	f.Add(segments[0].Data[:40])
	f.Add([]byte{})
	f.Add(encoder().EncodeAll([]byte("{\"format\":\"jacinthworks-stories\",\"version\":1}\n{}\nx"), nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		spans, findings := Unpack(data)
		if len(spans) == 0 && len(findings) == 0 {
			return // an empty batch
		}
		for _, s := range spans {
			Merge(s.Request, s)
			for _, e := range s.Events {
				require.Equal(t, s.Request, e.Request)
			}
		}
	})
}

func FuzzParseSegmentName(f *testing.F) {
	f.Add("stories/side.4.2/7~1764662400~entry-1.3.100-180~entry-2.1.5-9")
	f.Add("stories/e.1/1~1~e.1.0-")
	f.Fuzz(func(t *testing.T, s string) {
		if n, err := ParseSegmentName(s); err == nil {
			require.Equal(t, s, n.String())
		}
	})
}
