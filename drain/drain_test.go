package drain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are passed on in a planned stop and cut at its end, and against ones that are refused although
// they would end: a stop of 8 s while requests come of which one in twenty takes 6 s and the others 0.5 s.
func TestRequestsInAStopEndOrAreRefused(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	draw := func() time.Duration {
		if random.IntN(20) == 0 {
			return 6 * time.Second
		}
		return 500 * time.Millisecond
	}
	var d Durations
	for range 100 {
		d.Record("route", draw())
	}
	began := time.Unix(0, 0)
	s := Stop{Began: began, End: began.Add(8 * time.Second)}
	cut, cutAlways, refused, ended := 0, 0, 0, 0
	for now := began; now.Before(s.End); now = now.Add(10 * time.Millisecond) {
		took := draw()
		need, known := d.Need("route")
		ends := !now.Add(took).After(s.AnswerBy())
		if !ends {
			cutAlways++
		}
		switch passed := !now.After(s.LatestStart(now.Add(14*time.Second), need, known)); {
		case !passed && ends:
			refused++
		case passed && !ends:
			cut++
		case passed:
			ended++
		}
	}
	t.Logf("cut %d, of %d without a bound; refused though they would end %d; ended %d", cut, cutAlways, refused, ended)
	require.Less(t, cut, cutAlways/2)
	require.Less(t, refused, ended/20)
}

func TestLatestStart(t *testing.T) {
	began := time.Unix(0, 0)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	stop := Stop{Began: began, End: at(8)}
	require.Equal(t, at(4.8), stop.LatestStart(at(14), 3*time.Second, true))
	require.Equal(t, at(3.8), stop.LatestStart(at(14), 0, false), "half of the stop for requests of which nothing is known")
	require.Equal(t, at(7), stop.LatestStart(at(7), 3*time.Second, true), "the request ends by its own limit")
	require.True(t, stop.LatestStart(at(14), time.Minute, true).Before(began))
}

func TestNeedFollowsRecentRequests(t *testing.T) {
	var d Durations
	_, known := d.Need("a")
	require.False(t, known)
	d.Record("a", time.Second)
	need, known := d.Need("a")
	require.True(t, known)
	require.Equal(t, time.Second, need)
	for range recentRequests {
		d.Record("a", time.Minute)
	}
	need, _ = d.Need("a")
	require.Equal(t, time.Minute, need)
	for n := range 2 * maxKinds {
		d.Record(string(rune(n)), time.Second)
	}
	require.LessOrEqual(t, len(d.recent), maxKinds)
}
