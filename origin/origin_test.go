package origin

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

const window = 30 * time.Second

// received is when the requests came.
var received = time.Unix(1000, 0)

// view is that of an entry which has followed the registry for so long, up to the request if it is current and else up to
// some time before it.
func view(since time.Duration, current bool, versions ...domain.Software) View {
	v := View{Versions: versions, Since: received.Add(-since), Until: received}
	if !current {
		v.Until = received.Add(-MaxAge - 1)
	}
	return v
}

// decide returns the decision without the age.
func decide(q Resumption, own View, others ...View) Decision {
	q.Received = received
	d := q.Decide(own, others...)
	d.Age = nil
	return d
}

func recorded(version domain.Software) View {
	return View{Origin: &Origin{Service: "lm", Software: version}, Versions: []domain.Software{"v1", "v2"}}
}

func TestDecideByRecordsThenByVersions(t *testing.T) {
	for name, c := range map[string]struct {
		named  bool
		own    View
		others []View
		want   Decision
	}{
		"own record":                         {true, recorded("v1"), nil, Decision{Recorded, "v1", "lm", 0, nil}},
		"record of another, registry lost":   {true, view(time.Second, false, "v2"), []View{recorded("v1")}, Decision{Recorded, "v1", "lm", 0, nil}},
		"two records that agree":             {true, recorded("v1"), []View{recorded("v1")}, Decision{Recorded, "v1", "lm", 0, nil}},
		"two records that differ":            {true, recorded("v1"), []View{recorded("v2")}, Decision{Grounds: Conflict}},
		"one version for long":               {true, view(window, true, "v1"), nil, Decision{OnlyVersion, "v1", "", 0, nil}},
		"just started":                       {true, view(time.Second, true, "v1"), nil, Decision{Grounds: Uncertain, Wait: window - time.Second}},
		"just started, another one for long": {true, view(time.Second, true, "v1"), []View{view(time.Hour, true, "v1")}, Decision{OnlyVersion, "v1", "", 0, nil}},
		"registry lost":                      {true, view(time.Hour, false, "v1"), nil, Decision{Grounds: Uncertain}},
		"another one knows more":             {true, view(time.Hour, true, "v1"), []View{view(time.Hour, true, "v1", "v2")}, Decision{Grounds: SeveralVersions}},
		"no version":                         {false, view(time.Hour, true), nil, Decision{Grounds: Uncertain}},
		"not named, just started":            {false, view(0, false, "v1"), nil, Decision{OnlyVersion, "v1", "", 0, nil}},
		"not named, several":                 {false, view(time.Hour, true, "v1", "v2"), nil, Decision{Grounds: SeveralVersions}},
	} {
		require.Equal(t, c.want, decide(Resumption{Named: c.named, Window: window}, c.own, c.others...), name)
	}
}

func TestRecordsAreKeptForTheirLifeWithinTheBound(t *testing.T) {
	var r Records
	now := time.Now()
	one := Origin{Service: "lm", Software: "v1"}
	r.Add(now, Record{"a", one, time.Second})
	r.Add(now, Record{"b", one, time.Minute})
	found, ok := r.Find(now, "a")
	require.True(t, ok)
	require.Equal(t, one, found)
	now = now.Add(time.Second)
	_, ok = r.Find(now, "a")
	require.False(t, ok)
	require.Equal(t, []Record{{"b", one, 59 * time.Second}}, r.Newest(now, 10))
	two := Origin{Service: "lm", Software: "v2"}
	r.Add(now, Record{"b", two, time.Minute})
	found, _ = r.Find(now, "b")
	require.Equal(t, two, found)
	for n := range MaxRecords {
		r.Add(now, Record{domain.RequestID(fmt.Sprint(n)), one, time.Minute})
	}
	_, ok = r.Find(now, "b")
	require.False(t, ok, "the oldest record goes")
	require.Equal(t, MaxRecords, r.oldest.Len())
	require.Len(t, r.records, MaxRecords)
	require.Len(t, r.Newest(now, 3), 3)
}

// Guards against a decision without grounds after all entries have died, and against a caller that waits
// for what can't become known.
func TestDecideByTheStore(t *testing.T) {
	new := view(time.Second, true, "v1", "v2")
	one := Origin{Service: "lm", Software: "v1"}
	failed := errors.New("store: no answer")
	for name, c := range map[string]struct {
		own    View
		stored StoredView
		want   Decision
	}{
		"one listed":                        {new, StoredView{Versions: []domain.Software{"v1"}}, Decision{OnlyListed, "v1", "", 0, nil}},
		"one listed, without a name":        {new, StoredView{Versions: []domain.Software{""}}, Decision{OnlyListed, "", "", 0, nil}},
		"several and a record":              {new, StoredView{Versions: []domain.Software{"v1", "v2"}, Origins: []Origin{one}}, Decision{Stored, "v1", "lm", 0, nil}},
		"several and no record":             {new, StoredView{Versions: []domain.Software{"v1", "v2"}}, Decision{Grounds: SeveralVersions}},
		"records differ":                    {recorded("v2"), StoredView{Origins: []Origin{one}}, Decision{Grounds: Conflict}},
		"none listed":                       {new, StoredView{}, Decision{Grounds: Uncertain}},
		"incomplete":                        {view(time.Second, true, "v1"), StoredView{Versions: []domain.Software{"v1"}, CompleteIn: 9 * time.Second}, Decision{Grounds: Uncertain, Wait: 9 * time.Second}},
		"incomplete, but followed for long": {view(window, true, "v1"), StoredView{Versions: []domain.Software{"v1"}, CompleteIn: 9 * time.Second}, Decision{OnlyVersion, "v1", "", 0, nil}},
		"store away":                        {view(time.Second, true, "v1"), StoredView{Err: failed}, Decision{Grounds: Uncertain, Wait: storeRetry}},
		"store away, several versions":      {new, StoredView{Err: failed}, Decision{Grounds: SeveralVersions, Wait: storeRetry}},
		"records not read":                  {new, StoredView{Versions: []domain.Software{"v1", "v2"}, Err: failed}, Decision{Grounds: SeveralVersions, Wait: storeRetry}},
	} {
		require.Equal(t, c.want, decide(Resumption{Named: true, Window: window, Stored: &c.stored}, c.own), name)
	}
}

// Guards against a stream that continues at the only version that an entry knows of, after a silence or a suspension of the
// entry in which streams have begun at another one.
func TestViewDecidesOnlyWhileNoStreamCanHaveBegunBeyondIt(t *testing.T) {
	registered := received // of the second version, which the view lacks
	firstStream := registered.Add(addDelay)
	v := View{Versions: []domain.Software{"v1"}, Since: registered.Add(-time.Hour), Until: registered.Add(-1)}
	for resumed := registered; resumed.Before(firstStream.Add(time.Minute)); resumed = resumed.Add(10 * time.Millisecond) {
		d := Resumption{Named: true, Window: window, Received: resumed}.Decide(v)
		require.True(t, !d.Known() || resumed.Before(firstStream), "a stream of the second version may be the one resumed %s after it came", resumed.Sub(registered))
		require.NotNil(t, d.Age)
		require.Equal(t, resumed.Sub(v.Until), *d.Age)
	}
	require.True(t, Resumption{Named: true, Window: window, Received: registered}.Decide(v).Known())
}

// Guards against a view of another entry that seems younger than it is, after the time that the call took or that one of the
// two stood still.
func TestViewOfAnotherEntryIsDatedFromTheCall(t *testing.T) {
	now := received
	theirs := View{Versions: []domain.Software{"v1"}, Since: now.Add(-time.Hour), Until: now.Add(-time.Second)}
	theirs.State(now)
	text, err := json.Marshal(theirs)
	require.NoError(t, err)
	var v View
	require.NoError(t, json.Unmarshal(text, &v))
	require.False(t, v.Knows(now, window), "not dated")
	v.Date(now.Add(-300*time.Millisecond), now.Add(5*time.Second))
	require.Equal(t, now.Add(-1300*time.Millisecond), v.Until)
	require.Equal(t, now.Add(5*time.Second-time.Hour), v.Since)
	require.True(t, v.Knows(now, window))
	require.False(t, v.Knows(now.Add(5*time.Second), window))

	var earlier View // of an entry of an earlier release
	require.NoError(t, json.Unmarshal([]byte(`{"versions":["v1"],"since":3600000000000,"current":true}`), &earlier))
	earlier.Date(now, now)
	require.False(t, earlier.Knows(now, window))
}
