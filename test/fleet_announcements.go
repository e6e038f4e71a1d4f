package test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"jacinthworks/platform/fake"
)

const (
	// backoffSlack is how long requests in flight may still reach a server after the server has
	// refused a request with a Retry-After, and backoffMaxRequests how many requests may reach it
	// in the rest of the backoff.
	backoffSlack       = 500 * time.Millisecond
	backoffMaxRequests = 2
)

// addAnnouncements adds, each with probability one half, a server that for some seconds refuses
// all requests with a Retry-After, and a server that announces its shutdown in its answers before
// it registers as draining.
func (s *FleetSoak) addAnnouncements(r *rand.Rand) {
	start := func() time.Duration { return time.Duration(r.Int64N(int64(fleetQuietTime + fleetFaultTime/2))) }
	duration := func() time.Duration { return fleetLimitMin/2 + time.Duration(r.Int64N(int64(fleetLimitMin))) }
	if r.IntN(2) == 0 {
		name := pick(r, []string{"app-1", "app-2", "decode-1", "prefill-1"})
		pause := pick(r, []string{"0.5", "1", "2.5", "4"})
		var busy *fake.Server // the server that ran when the pauses began
		s.disruptions = append(s.disruptions, disruption{
			name: fmt.Sprintf("%s asks for pauses of %s s", name, pause), entry: everyEntry, planned: true, start: start(), duration: duration(),
			begin: func(f *fleet) error { busy = f.currentServer(name); busy.SetBusy(pause); return nil },
			end:   func(*fleet) error { busy.SetBusy(""); return nil },
		})
	}
	if r.IntN(2) == 0 {
		name := pick(r, []string{"app-1", "app-3", "decode-2", "prefill-2"})
		s.disruptions = append(s.disruptions, disruption{
			name: name + " says that it leaves, and registers it later", entry: everyEntry, planned: true, start: start(), duration: duration(),
			begin: func(f *fleet) error { f.currentServer(name).SetLeaving(true); return nil },
			end:   func(f *fleet) error { f.leave(name); return nil },
		})
	}
}

// receivedRequest is a request that reached a server, and the call that it belongs to.
type receivedRequest struct {
	at   time.Time
	call fleetCall
}

// receivedRequests returns the requests that reached a server, without requests of calls that were
// not recorded.
func (f *fleet) receivedRequests(s *fake.Server) (all []receivedRequest) {
	callsByID := make(map[string]fleetCall, len(f.calls))
	for _, c := range f.calls {
		callsByID[c.id] = c
	}
	for _, a := range s.Received() {
		if c, known := callsByID[a.ID]; known {
			all = append(all, receivedRequest{a.At, c})
		}
	}
	return all
}

// judgeAnnouncements checks that a server that announced its shutdown, or refused a request with a
// Retry-After, receives no further requests from the entry processes that received the answer.
func (f *fleet) judgeAnnouncements(found *findings) {
	for _, s := range f.allServers {
		arrived := f.receivedRequests(s)
		f.judgeAnnouncedLeaving(found, s, arrived)
		f.judgeBackoffs(found, s, arrived)
	}
}

// judgeAnnouncedLeaving checks that no request reaches a leaving server through an entry process
// that had forwarded the server's announcement before the caller sent the request.
func (f *fleet) judgeAnnouncedLeaving(found *findings, s *fake.Server, arrived []receivedRequest) {
	announcedAt := make(map[[2]int]time.Time) // when an incarnation (host, number) first forwarded the announcement
	for _, c := range f.calls {
		incarnationID := [2]int{c.entry, c.incarnation}
		if first, known := announcedAt[incarnationID]; c.response.LeavingServerID == s.Entry.ID && (!known || c.endedAt.Before(first)) {
			announcedAt[incarnationID] = c.endedAt
		}
	}
	for _, a := range arrived {
		first, known := announcedAt[[2]int{a.call.entry, a.call.incarnation}]
		if known && a.call.sentAt.After(first.Add(judgeSlack)) && !f.suspended(a.call.entry, first, a.call.sentAt) {
			found.add("%s reached %s, sent %v after an answer had announced that the server leaves", a.call.id, s.Entry.ID, a.call.sentAt.Sub(first))
		}
	}
}

// judgeBackoffs checks that after a server has refused a request of an entry process with a
// Retry-After, at most backoffMaxRequests requests of this process reach the server until the
// backoff ends.
func (f *fleet) judgeBackoffs(found *findings, s *fake.Server, arrived []receivedRequest) {
	byID := make(map[string]receivedRequest, len(arrived))
	for _, a := range arrived {
		byID[a.call.id] = a
	}
	for _, p := range s.Backoffs() {
		asker, known := byID[p.ID]
		if !known {
			continue
		}
		n, until := 0, p.At.Add(p.Duration)
		for _, a := range arrived {
			sameIncarnation := a.call.entry == asker.call.entry && a.call.incarnation == asker.call.incarnation
			if sameIncarnation && a.at.After(p.At.Add(backoffSlack)) && a.at.Before(until) {
				n++
			}
		}
		if n > backoffMaxRequests && f.noFaults(asker.call.entry, p.At, until) {
			found.add("%s asked entry-%d for a pause of %v and received %d requests during the pause", s.Entry.ID, asker.call.entry+1, p.Duration, n)
		}
	}
}

// suspended reports whether an entry's process was suspended (SIGSTOP) at any moment between two
// times.
func (f *fleet) suspended(entry int, from, to time.Time) bool {
	name := "suspend entry-" + strconv.Itoa(entry+1)
	for _, s := range f.periods {
		if s.name == name && s.overlaps(from, to) {
			return true
		}
	}
	return false
}
