package test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"jacinthworks/platform/fake"
)

const (
	// pauseSlack is how long after a server has asked for a pause what was under way may
	// still reach it, and pauseMost how many requests may in the rest of the pause.
	pauseSlack = 500 * time.Millisecond
	pauseMost  = 2
)

// addStated has, in one plan of two each, a server ask for pauses for some seconds, and one
// say in its answers that it leaves, before the registry says so.
func (s *FleetSoak) addStated(r *rand.Rand) {
	at := func() time.Duration { return time.Duration(r.Int64N(int64(fleetCalm + fleetFaults/2))) }
	last := func() time.Duration { return fleetLimitLast/2 + time.Duration(r.Int64N(int64(fleetLimitLast))) }
	if r.IntN(2) == 0 {
		name := pick(r, []string{"app-1", "app-2", "decode-1", "prefill-1"})
		pause := pick(r, []string{"0.5", "1", "2.5", "4"})
		var busy *fake.Server // the one that ran at the beginning
		s.troubles = append(s.troubles, trouble{
			name: fmt.Sprintf("%s asks for pauses of %s s", name, pause), entry: everyEntry, planned: true, at: at(), last: last(),
			begin: func(f *fleet) error { busy = f.server(name); busy.SetBusy(pause); return nil },
			end:   func(*fleet) error { busy.SetBusy(""); return nil },
		})
	}
	if r.IntN(2) == 0 {
		name := pick(r, []string{"app-1", "app-3", "decode-2", "prefill-2"})
		s.troubles = append(s.troubles, trouble{
			name: name + " says that it leaves, and registers it later", entry: everyEntry, planned: true, at: at(), last: last(),
			begin: func(f *fleet) error { f.server(name).SetLeaving(true); return nil },
			end:   func(f *fleet) error { f.leave(name); return nil },
		})
	}
}

// arrival is a request at a server, and the call that it is of.
type arrival struct {
	at   time.Time
	call fleetCall
}

// arrivals gives what reached a server of known calls.
func (f *fleet) arrivals(s *fake.Server) (all []arrival) {
	by := make(map[string]fleetCall, len(f.calls))
	for _, c := range f.calls {
		by[c.id] = c
	}
	for _, a := range s.Received() {
		if c, known := by[a.ID]; known {
			all = append(all, arrival{a.At, c})
		}
	}
	return all
}

// judgeStated: a server that has said that it leaves, or that it wants a pause, gets
// nothing more of the incarnations that were told.
func (f *fleet) judgeStated(found *findings) {
	for _, s := range f.past {
		arrived := f.arrivals(s)
		f.judgeToldLeaving(found, s, arrived)
		f.judgePauses(found, s, arrived)
	}
}

// judgeToldLeaving: no request of a caller, made after the answer had been passed on,
// reaches the server through that incarnation.
func (f *fleet) judgeToldLeaving(found *findings, s *fake.Server, arrived []arrival) {
	told := make(map[[2]int]time.Time) // an incarnation, and when it passed on such an answer
	for _, c := range f.calls {
		at := [2]int{c.entry, c.incarnation}
		if first, known := told[at]; c.got.Leaving == s.Entry.ID && (!known || c.ended.Before(first)) {
			told[at] = c.ended
		}
	}
	for _, a := range arrived {
		first, known := told[[2]int{a.call.entry, a.call.incarnation}]
		if known && a.call.sent.After(first.Add(judgeSlack)) && !f.suspended(a.call.entry, first, a.call.sent) {
			found.add("%s reached %s, made %v after an answer had said that it leaves", a.call.id, s.Entry.ID, a.call.sent.Sub(first))
		}
	}
}

// judgePauses: after a server has asked an incarnation for a pause, hardly anything of it
// reaches the server until the pause ends.
func (f *fleet) judgePauses(found *findings, s *fake.Server, arrived []arrival) {
	at := make(map[string]arrival, len(arrived))
	for _, a := range arrived {
		at[a.call.id] = a
	}
	for _, p := range s.Backoffs() {
		asker, known := at[p.ID]
		if !known {
			continue
		}
		n, until := 0, p.At.Add(p.Duration)
		for _, a := range arrived {
			same := a.call.entry == asker.call.entry && a.call.incarnation == asker.call.incarnation
			if same && a.at.After(p.At.Add(pauseSlack)) && a.at.Before(until) {
				n++
			}
		}
		if n > pauseMost && f.calm(asker.call.entry, p.At, until) {
			found.add("%s had asked entry-%d for a pause of %v, and got %d requests in it", s.Entry.ID, asker.call.entry+1, p.Duration, n)
		}
	}
}

// suspended says whether an entry was suspended in a time.
func (f *fleet) suspended(entry int, from, to time.Time) bool {
	name := "suspend entry-" + strconv.Itoa(entry+1)
	for _, s := range f.spans {
		if s.name == name && s.overlaps(from, to) {
			return true
		}
	}
	return false
}
