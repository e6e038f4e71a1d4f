package test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/platform/fake"
)

// What a server that states a rate limit may get in limitIn: limitOver times what it
// allows, and limitFixed more, of entries that were told limitTold before.
const (
	limitIn    = 4 * time.Second
	limitOver  = 1.5
	limitFixed = 5
	limitTold  = 500 * time.Millisecond
)

// limitSpan is the time in which a server states a rate limit.
type limitSpan struct {
	server   *fake.Server
	rate     float64
	from, to time.Time // to is zero while it lasts
}

// addLimit has, in one plan of two, a server state a rate limit for some seconds.
func (s *FleetSoak) addLimit(r *rand.Rand) {
	if r.IntN(2) == 0 {
		return
	}
	name := pick(r, []string{"app-1", "app-2", "decode-1", "prefill-1"})
	rate := pick(r, []float64{0.5, 1, 2, 5})
	var limited *fake.Server // the one that ran at the beginning
	s.troubles = append(s.troubles, trouble{
		name: fmt.Sprintf("limit %s to %v a second", name, rate), entry: everyEntry, planned: true,
		at:   time.Duration(r.Int64N(int64(fleetCalm))),
		last: fleetLimitLast + time.Duration(r.Int64N(int64(fleetLimitLast))),
		begin: func(f *fleet) error {
			limited = f.server(name)
			limited.SetLimit(fmt.Sprint(rate))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.limits = append(f.limits, limitSpan{server: limited, rate: rate, from: time.Now()})
			return nil
		},
		end: func(f *fleet) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			limited.SetLimit("")
			for n := range f.limits {
				if f.limits[n].server == limited {
					f.limits[n].to = time.Now()
				}
			}
			return nil
		},
	})
}

// judgeLimits: a server that states a rate limit gets no more than that of all entries
// that know of it, whatever else goes on. One that was killed, suspended or cut lately is
// left out.
func (f *fleet) judgeLimits(found *findings) {
	by := make(map[string]fleetCall)
	told := make(map[[2]int]time.Time) // an incarnation, and when it passed on such an answer
	for _, c := range f.calls {
		by[c.id] = c
		at := [2]int{c.entry, c.incarnation}
		if first, known := told[at]; c.got.Limited && (!known || c.ended.Before(first)) {
			told[at] = c.ended
		}
	}
	for _, l := range f.limits {
		var in []time.Time
		for _, a := range l.server.Received() {
			c, known := by[a.ID]
			first, knows := told[[2]int{c.entry, c.incarnation}]
			counts := known && knows && a.At.After(first.Add(limitTold)) && f.calm(c.entry, a.At, a.At)
			if counts && a.At.After(l.from) && (l.to.IsZero() || a.At.Before(l.to)) {
				in = append(in, a.At)
			}
		}
		first := 0
		for n, at := range in {
			for at.Sub(in[first]) > limitIn {
				first++
			}
			if got, most := n-first+1, int(limitOver*l.rate*limitIn.Seconds())+limitFixed; got > most {
				found.add("%s got %d requests in %v, %v after it had stated %v a second; %d allowed",
					l.server.Entry.ID, got, limitIn, at.Sub(l.from), l.rate, most)
				break
			}
		}
	}
}
