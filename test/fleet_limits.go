package test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthworks/platform/fake"
)

// A server that states a rate limit may receive, in any limitWindow, limitFactor times the
// requests that the limit allows and limitBurst more. A request counts only if its entry had
// learned of the limit at least limitLearnTime earlier.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitBurst     = 5
	limitLearnTime = 500 * time.Millisecond
)

// limitPeriod is the time in which a server states a rate limit, in requests per second.
type limitPeriod struct {
	server   *fake.Server
	rate     float64
	from, to time.Time // to is zero while the limit lasts
}

// addRateLimit adds, with probability one half, a server that states a rate limit for some seconds.
func (s *FleetSoak) addRateLimit(r *rand.Rand) {
	if r.IntN(2) == 0 {
		return
	}
	name := pick(r, []string{"app-1", "app-2", "decode-1", "prefill-1"})
	rate := pick(r, []float64{0.5, 1, 2, 5})
	var limited *fake.Server // the server that ran when the limit began
	s.disruptions = append(s.disruptions, disruption{
		name: fmt.Sprintf("limit %s to %v a second", name, rate), entry: everyEntry, planned: true,
		start:    time.Duration(r.Int64N(int64(fleetQuietTime))),
		duration: fleetLimitMin + time.Duration(r.Int64N(int64(fleetLimitMin))),
		begin: func(f *fleet) error {
			limited = f.currentServer(name)
			limited.SetLimit(fmt.Sprint(rate))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.limits = append(f.limits, limitPeriod{server: limited, rate: rate, from: time.Now()})
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

// judgeLimits checks that a server that states a rate limit receives no more requests than
// allowed from all entries that know of the limit, also during other disruptions. Requests of
// entries that were affected by a fault within settleTime are not counted.
func (f *fleet) judgeLimits(found *findings) {
	callsByID := make(map[string]fleetCall)
	learnedAt := make(map[[2]int]time.Time) // when an incarnation (host, number) first forwarded an answer with a limit
	for _, c := range f.calls {
		callsByID[c.id] = c
		incarnationID := [2]int{c.entry, c.incarnation}
		if first, known := learnedAt[incarnationID]; c.response.Limited && (!known || c.endedAt.Before(first)) {
			learnedAt[incarnationID] = c.endedAt
		}
	}
	for _, l := range f.limits {
		var received []time.Time
		for _, a := range l.server.Received() {
			c, known := callsByID[a.ID]
			first, learned := learnedAt[[2]int{c.entry, c.incarnation}]
			counts := known && learned && a.At.After(first.Add(limitLearnTime)) && f.noFaults(c.entry, a.At, a.At)
			if counts && a.At.After(l.from) && (l.to.IsZero() || a.At.Before(l.to)) {
				received = append(received, a.At)
			}
		}
		first := 0
		for n, at := range received {
			for at.Sub(received[first]) > limitWindow {
				first++
			}
			if count, limit := n-first+1, int(limitFactor*l.rate*limitWindow.Seconds())+limitBurst; count > limit {
				found.add("%s received %d requests in %v, %v after it had stated a limit of %v a second; %d are allowed",
					l.server.Entry.ID, count, limitWindow, at.Sub(l.from), l.rate, limit)
				break
			}
		}
	}
}
