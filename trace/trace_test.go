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

// appraisal gives the halves of one answered model request: the entry's, the
// prefill side's and the decode side's, whose clock is 3 ms behind.
func appraisal(n uint64) (entry, prefill, decode []Event) {
	id := ID{"entry-1", 3, n}.RequestID()
	owner := Event{Service: "appraiser-lm", RequestKind: "appraisal", Caller: "stud-farm"}
	ev := func(k EventKind, ms int, h domain.Host, a domain.Attempt) Event {
		return Event{Kind: k, Time: at(ms), Host: h, Request: id, Attempt: a}
	}
	accepted := owner
	accepted.Kind, accepted.Time, accepted.Host, accepted.Request = Accepted, at(0), "entry-1", id
	decided := ev(Decided, 2, "entry-1", 1)
	decided.Upstream, decided.Decode = "side-4", "side-7"
	decided.Evaluation = &Evaluation{Policy: "pair", Considered: 9, Candidates: []Candidate{{"side-4", 3 * time.Millisecond, ""}}}
	started := ev(AttemptStarted, 3, "entry-1", 1)
	started.Upstream, started.Decode = "side-4", "side-7"
	answered := ev(Answered, 60, "entry-1", 0)
	answered.Ran, answered.Tokens = domain.DidRun, 40
	entry = []Event{accepted, ev(Queued, 1, "entry-1", 0), decided, started, answered}
	for _, s := range []struct {
		half *[]Event
		host domain.Host
		mid  EventKind
		from int
	}{{&prefill, "side-4", PrefillDone, 5}, {&decode, "side-7", FirstToken, 0}} {
		first := ev(AttemptStarted, s.from, s.host, 1)
		first.Caller, first.Service, first.RequestKind = owner.Caller, owner.Service, owner.RequestKind
		last := ev(AttemptEnded, s.from+50, s.host, 1)
		last.Ran = domain.DidRun
		*s.half = []Event{ev(Reserved, s.from, s.host, 1), first, ev(s.mid, s.from+20, s.host, 1), last}
	}
	return entry, prefill, decode
}

func half(h SpanKind, events []Event) Span {
	s := Span{Kind: h}
	for _, e := range events {
		s.Add(e)
	}
	return s
}

func record(r *Recorder, events []Event) {
	for _, e := range events {
		r.Record(e)
	}
}

// A buyer's enquiry is answered, and 5 ms later a slow path in the entry
// refuses it as lost. The caller has the answer; a story that ended "refused"
// would send a support engineer after a sale that was not lost.
func TestSecondEndIsFindingNotEnd(t *testing.T) {
	var r Recorder
	entry, _, _ := appraisal(1)
	record(&r, entry)
	r.Record(Event{Kind: Refused, Time: at(65), Host: "entry-1", Request: entry[0].Request, Ran: domain.Unknown, Reason: domain.ReasonLost})
	s, ok := r.Get(entry[0].Request)
	require.True(t, ok)
	end, _ := s.End()
	require.Equal(t, Answered, end.Kind)
	require.Len(t, s.Findings, 1)
	c := r.Counts()
	require.True(t, c.Balanced())
	require.Equal(t, int64(1), c.SecondEnds)
	// The finding reaches the segments, too, as an addition to the story.
	halves := r.TakePending()
	require.Len(t, halves, 2)
	a := Merge(entry[0].Request, *halves[0], *halves[1])
	require.Equal(t, StateAnswered, a.State)
	require.Len(t, a.Findings, 1)
}

func TestCountsConserveUnderAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Recorder{MaxClosed: 4, MaxAge: 50 * time.Millisecond}
		kinds := rapid.SliceOfN(rapid.SampledFrom([]EventKind{Accepted, Queued, Answered, Refused, CallerGone, AttemptEnded}), 1, 80).Draw(t, "kinds")
		naive := make(map[domain.RequestID]EventKind) // the first end, or Accepted
		for i, k := range kinds {
			id := ID{"e", 1, uint64(rapid.IntRange(0, 5).Draw(t, "id"))}.RequestID()
			_, known := naive[id]
			if _, held := r.Get(id); known && !held && k == Accepted {
				continue // a number given twice is only seen while its story is held
			}
			r.Record(Event{Kind: k, Time: at(i * 9), Host: "e", Request: id, Ran: domain.NotRun})
			if k == Accepted && !known || naive[id] == Accepted && (k == Answered || k == Refused) {
				naive[id] = k
			}
			want := make(map[EventKind]int64)
			for _, v := range naive {
				want[v]++
			}
			c := r.Counts()
			require.True(t, c.Balanced(), "%+v", c)
			require.Equal(t, [3]int64{want[Accepted], want[Answered], want[Refused]}, [3]int64{c.Open, c.Answered, c.Refused})
		}
		require.LessOrEqual(t, len(r.Latest(100)), 4)
	})
}

func TestRecorderIsSafeForConcurrentUse(t *testing.T) {
	var r Recorder
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for n := range 200 {
				entry, _, _ := appraisal(uint64(w*1000 + n))
				record(&r, entry)
				r.Latest(2)
			}
		})
	}
	wg.Wait()
	c := r.Counts()
	require.True(t, c.Balanced())
	require.Equal(t, int64(1600), c.Answered)
}

func TestSideClosesWhatNeverEnds(t *testing.T) {
	r := Recorder{Kind: SideSpan, MaxAge: time.Second}
	_, prefill, _ := appraisal(1)
	record(&r, prefill[:2])
	_, other, _ := appraisal(2)
	other[0].Time = at(2000)
	r.Record(other[0])
	batch := r.TakePending()
	require.Len(t, batch, 1)
	require.Contains(t, batch[0].Findings[0].Problem, "did not end")
	require.False(t, r.Due(at(2000).Add(DefaultFlushInterval)), "nothing waits")

	// Late news opens no half that would wait for an end.
	r.Record(Event{Kind: CallerGone, Time: at(2001), Host: "side-4", Request: "entry-1.3.9"})
	require.False(t, r.Due(at(2002)))
	require.True(t, r.Due(at(2001).Add(DefaultFlushInterval)))
	require.Len(t, r.TakePending(), 1)
}

// The entry is lost while the side still runs its request. The side's half is
// read from the live side: it has no end yet, and that is not a loss.
func TestOpenHalfIsNotLost(t *testing.T) {
	r := Recorder{Kind: SideSpan}
	entry, prefill, _ := appraisal(1)
	record(&r, prefill[:3])
	s, ok := r.Get(entry[0].Request)
	require.True(t, ok && s.Open)
	a := Merge(s.Request, s)
	require.Equal(t, StateLost, a.State)
	require.Len(t, a.Missing, 2)
	require.NotContains(t, strings.Join(a.Missing, "\n"), "side side-4: lost")

	var e Recorder
	record(&e, entry[:4])
	s, _ = e.Get(entry[0].Request)
	a = Merge(s.Request, s)
	require.Equal(t, StateOpen, a.State)
	require.Empty(t, a.Missing)
}

// The entry is killed right after the answer. An engineer asks another entry,
// which finds the sides' halves only: it must tell what ran, and say plainly
// that the entry's half is missing in place of guessing an answer.
func TestAccountSaysWhatIsMissing(t *testing.T) {
	entry, prefill, decode := appraisal(17)
	id := entry[0].Request
	whole := Merge(id, half(EntrySpan, entry), half(SideSpan, prefill), half(SideSpan, decode))
	require.Equal(t, StateAnswered, whole.State)
	require.Empty(t, whole.Missing)
	require.Empty(t, whole.Findings)

	lost := Merge(id, half(SideSpan, prefill), half(SideSpan, decode))
	require.Equal(t, StateLost, lost.State)
	require.Equal(t, domain.DidRun, lost.Ran)
	require.Contains(t, strings.Join(lost.Missing, "\n"), "entry entry-1.3 was lost before it wrote")

	cutOff := Merge(id, half(EntrySpan, entry[:4]), half(SideSpan, prefill))
	require.Contains(t, strings.Join(cutOff.Missing, "\n"), "entry entry-1.3 lost after attempt_started")
	require.Contains(t, strings.Join(cutOff.Missing, "\n"), "half of side side-7 for attempt 1")

	died := Merge(id, half(EntrySpan, entry), half(SideSpan, prefill), half(SideSpan, decode[:3]))
	require.Contains(t, strings.Join(died.Missing, "\n"), "side side-7: lost after first_token")

	none := Merge(id)
	require.Equal(t, domain.Unknown, none.Ran)
	require.Contains(t, none.Missing[0], "no half")

	var b bytes.Buffer
	require.NoError(t, whole.WriteText(&b))
	require.Contains(t, b.String(), "request entry-1.3.17: answered, ran: ran\n  caller stud-farm, kind appraisal")
	t.Log("\n" + b.String())
}

// A refusal says not_run, yet a side's half shows that the prefill was done.
// That breaks a promise of the brief and must not stay unseen in a story.
func TestUntrueNotRunIsFound(t *testing.T) {
	entry, prefill, _ := appraisal(5)
	end := &entry[len(entry)-1]
	end.Kind, end.Ran, end.Reason = Refused, domain.NotRun, domain.ReasonLost
	a := Merge(entry[0].Request, half(EntrySpan, entry), half(SideSpan, prefill))
	require.Len(t, a.Findings, 1)
	require.Contains(t, a.Findings[0].Problem, "refused as not_run")

	entry, prefill, _ = appraisal(6)
	again := append([]Event(nil), prefill...)
	for i := range again {
		again[i].Attempt, again[i].Host = 2, "side-5"
	}
	a = Merge(entry[0].Request, half(EntrySpan, entry), half(SideSpan, prefill), half(SideSpan, again))
	require.Contains(t, a.Findings.Error(), "ran in 2 attempts")
}

func TestMergeDoesNotDependOnOrderOrRepeats(t *testing.T) {
	entry, prefill, decode := appraisal(9)
	halves := []Span{half(EntrySpan, entry), half(SideSpan, prefill), half(SideSpan, decode)}
	want := Merge(entry[0].Request, halves...)
	for i, e := range want.Events { // cause before effect, though side-7's clock is behind
		if e.Kind == Decided {
			require.Equal(t, 2, i)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		given := append(rapid.Permutation(halves).Draw(t, "order"), rapid.SampledFrom(halves).Draw(t, "twice"))
		require.Equal(t, want, Merge(entry[0].Request, given...))
	})
}

func TestSegmentsGiveBackWhatWasPacked(t *testing.T) {
	p := Packer{Host: "side.4", Incarnation: 2}
	var batch []*Span
	for n := range 400 {
		_, prefill, _ := appraisal(uint64(n))
		s := Span{Kind: SideSpan}
		for _, e := range prefill {
			e.Request = ID{domain.Host(fmt.Sprintf("entry-%d", n%20)), 1, uint64(n)}.RequestID()
			s.Add(e)
		}
		batch = append(batch, &s)
	}
	segments, err := p.Pack(start, batch)
	require.NoError(t, err)
	require.Greater(t, len(segments), 1, "20 entries do not fit into one name")
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
				stories, f := Unpack(s.Data)
				require.Empty(t, f)
				for _, got := range stories {
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

func TestSegmentNeverOutgrowsItsBound(t *testing.T) {
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
		stories, f := Unpack(s.Data)
		require.Empty(t, f)
		total += len(stories)
	}
	require.Equal(t, len(batch), total)
}

// A segment was cut off or changed on its way. Half a story that reads like a
// whole one would be a false account, so damage has to be told.
func TestDamageIsFound(t *testing.T) {
	p := Packer{Host: "entry-1", Incarnation: 3}
	entry, _, _ := appraisal(1)
	s := half(EntrySpan, entry)
	segments, err := p.Pack(start, []*Span{&s, &s})
	require.NoError(t, err)
	data := segments[0].Data
	for n := range data {
		_, f := Unpack(data[:n])
		require.NotEmpty(t, f, "cut at %d", n)
		bad := bytes.Clone(data)
		bad[n] ^= 1
		stories, f := Unpack(bad)
		if len(f) == 0 { // a bit without meaning to the format
			require.Equal(t, []Span{s, s}, stories, "flipped in %d", n)
		}
	}
	line, err := json.Marshal(s)
	require.NoError(t, err)
	raw := `{"format":"jacinthworks-stories","version":1,"stories":2}` + "\n" + string(line) + "\n{\"events\":[{}]}\n"
	stories, f := Unpack(encoder().EncodeAll([]byte(raw), nil))
	require.Len(t, stories, 1)
	require.Contains(t, f.Error(), "line 3 request_id")
	require.Contains(t, f.Error(), "holds 1 stories")
}

func TestOutboxIsBounded(t *testing.T) {
	o := Outbox{MaxBytes: 10}
	o.Add(Segment{"a", make([]byte, 6), 3}, Segment{"b", make([]byte, 4), 2}, Segment{"c", make([]byte, 4), 1})
	require.Equal(t, int64(3), o.Dropped())
	next, _ := o.Oldest()
	require.Equal(t, "b", next.Name)
	o.Remove("b")
	segments, size := o.Pending()
	require.Equal(t, [2]int{1, 4}, [2]int{segments, size})
}

func FuzzUnpack(f *testing.F) {
	p := Packer{Host: "entry-1", Incarnation: 3}
	entry, prefill, _ := appraisal(1)
	a, b := half(EntrySpan, entry), half(SideSpan, prefill)
	segments, err := p.Pack(start, []*Span{&a, &b})
	require.NoError(f, err)
	f.Add(segments[0].Data)
	f.Add(segments[0].Data[:40])
	f.Add([]byte{})
	f.Add(encoder().EncodeAll([]byte("{\"format\":\"jacinthworks-stories\",\"version\":1}\n{}\nx"), nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		stories, findings := Unpack(data)
		if len(stories) == 0 && len(findings) == 0 {
			return // an empty batch
		}
		for _, s := range stories {
			Merge(s.Request, s)
			for _, e := range s.Events {
				require.Equal(t, s.Request, e.Request)
			}
		}
	})
}

func FuzzParseName(f *testing.F) {
	f.Add("stories/side.4.2/7~1764662400~entry-1.3.100-180~entry-2.1.5-9")
	f.Add("stories/e.1/1~1~e.1.0-")
	f.Fuzz(func(t *testing.T, s string) {
		if n, err := ParseSegmentName(s); err == nil {
			require.Equal(t, s, n.String())
		}
	})
}
