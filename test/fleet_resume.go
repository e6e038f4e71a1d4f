package test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"jacinthworks/events"
	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

// singleKind is a stream that only its caller may resume, and resumedKind a call that does so, at any
// entry.
const (
	singleKind  = "single"
	resumedKind = "resumed by caller"
)

// softwareOf returns the version of the n-th start of a server: starts alternate between two.
func softwareOf(name string, n int) string {
	return fmt.Sprintf("v%d", (int(name[len(name)-1])+n)%2)
}

// unframedAnswers makes an engine break off streams inside an event, in answers that end with their
// connections.
type unframedAnswers struct {
	mu     sync.Mutex
	random *rand.Rand
}

// addUnframedAnswers adds an engine that breaks off streams without a sign in their framing.
func (s *FleetSoak) addUnframedAnswers(r *rand.Rand) {
	name := pick(r, []string{"decode-1", "decode-2", "decode-3"})
	u := &unframedAnswers{random: rand.New(rand.NewPCG(r.Uint64(), 0))}
	s.addDisruption(r, disruption{
		name: "unframed answers of " + name, entry: everyEntry,
		begin: func(f *fleet) error {
			f.currentServer(name).Intercept(u.interceptor(f.currentServer(name)))
			return nil
		},
		end: func(f *fleet) error { f.currentServer(name).Intercept(nil); return nil },
	})
}

func (u *unframedAnswers) interceptor(s *fake.Server) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		u.mu.Lock()
		drawn, cut := u.random.Float64(), u.random.IntN(len("id: 1\ndata"))
		u.mu.Unlock()
		if drawn > answerLossRatio || !s.Executable(r) {
			return false
		}
		var body strings.Builder
		n := fake.FirstEvent(r)
		for ; n < fake.EventCount/2; n++ {
			body.WriteString(fake.Event(r.RequestURI, n))
		}
		_, _ = io.WriteString(&body, fake.Event(r.RequestURI, n)[:1+cut])
		s.Answer(w, r, fake.RawAnswer{ContentType: "text/event-stream", Framing: fake.ByClose, Body: body.String(), End: fake.Complete})
		return true
	}
}

// resumeBroken resumes a stream that broke off after a whole event, at a ready entry.
func (f *fleet) resumeBroken(ctx context.Context, broken fleetCall, r *rand.Rand) {
	var s events.Splitter
	s.Add([]byte(broken.response.Body))
	if s.LastEventID == "" || s.LastEventID == fmt.Sprint(fake.EventCount) {
		return
	}
	tries := 1
	if f.fleetKills {
		tries = maxResumptions
	}
	for n := range tries {
		h := f.pickReadyEntry(r)
		if ctx.Err() != nil || h == nil && !f.fleetKills {
			return
		}
		if h == nil {
			group.Sleep(ctx, fleetRestartDelay)
			continue
		}
		l := h.current()
		request := broken
		request.id, request.kind, request.resumes, request.lastEvent = fmt.Sprint(broken.id, "-resumed", strings.Repeat("+", n)), resumedKind, broken.id, s.LastEventID
		request.entry, request.incarnation, request.response = h.index, l.number, fake.Response{}
		c := &fake.Caller{EntryAddr: l.listen}
		request = f.sendCall(c, request, false, r)
		c.Close()
		events := s.LastEventID
		s.Add([]byte(request.response.Body))
		if request.response.Stamped && (request.response.Err == nil || s.LastEventID != events) {
			f.recordResumption(true)
			return
		}
		group.Sleep(ctx, resumptionPause)
	}
	f.recordResumption(false)
}

const (
	// maxResumptions is how often a caller resumes a stream after the entries were killed, with resumptionPause
	// in between.
	maxResumptions  = 8
	resumptionPause = 300 * time.Millisecond
	// slowEventInterval is the time between two events where all entries are killed while streams run.
	slowEventInterval = 60 * time.Millisecond
	// minResumptions is the least number of resumed streams of which a share is judged.
	minResumptions = 12
)

// addFleetKills adds two kills of all entries.
func (s *FleetSoak) addFleetKills(r *rand.Rand) {
	for range 2 {
		s.addDisruption(r, disruption{name: "kill all entries", entry: everyEntry, begin: func(f *fleet) error { return f.killAll() }})
	}
}

// hasFleetKills reports whether the plan kills all entries under streams, as three in eight do. Of the plans with planned
// operations only, the others remain.
func (s *FleetSoak) hasFleetKills() bool {
	eligible := s.Seed >= firstFleetKillSeed && s.Seed <= lastFleetKillSeed || s.Seed >= firstFreshFleetKillSeed
	return eligible && (s.Seed%8 == 4 || s.Seed%4 == 1)
}

// onlyFleetKills reports whether the plan has no trouble but kills of all entries.
func (s *FleetSoak) onlyFleetKills() bool { return s.hasFleetKills() && s.Seed%8 == 4 }

func (f *fleet) recordResumption(wentOn bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumptions = append(f.resumptions, wentOn)
}

// judgeResumptions checks that most streams go on that their callers resume after all entries were killed.
// f.mu must be held.
func (f *fleet) judgeResumptions(found *findings) {
	wentOn := 0
	for _, b := range f.resumptions {
		if b {
			wentOn++
		}
	}
	if n := len(f.resumptions); f.onlyFleetKills && n >= minResumptions && wentOn < (n+1)/2 {
		found.add("%d of %d streams went on that their callers resumed", wentOn, n)
	}
}

// judgeSoftware checks that no stream continues at another software version than that of the last run
// from its beginning: only that one can have brought events.
func (f *fleet) judgeSoftware(found *findings) {
	type run struct {
		fake.Run
		software string
	}
	streams := make(map[string][]run)
	for _, s := range f.allServers {
		for _, r := range s.Runs() {
			if s.Entry.Stage != "" {
				streams[r.Target] = append(streams[r.Target], run{r, s.Entry.Version})
			}
		}
	}
	for target, runs := range streams {
		slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
		began := ""
		for _, r := range runs {
			switch {
			case r.LastEvent == "":
				began = r.software
			case r.software != began:
				found.add("%s began at %s and continued after event %s at %s, as %s", target, began, r.LastEvent, r.software, r.ID)
			}
		}
	}
}
