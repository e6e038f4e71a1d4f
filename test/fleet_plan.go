package test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

// Times of a plan. Faults begin and end while there is traffic, which also has a time without
// faults before and after them.
const (
	fleetQuietTime   = 1500 * time.Millisecond
	fleetFaultTime   = 5 * time.Second
	fleetTrafficTime = fleetQuietTime + fleetFaultTime + 3*time.Second
	fleetFaultMin    = 200 * time.Millisecond
	fleetFaultMax    = 2500 * time.Millisecond
	fleetDrainTime   = 2 * time.Second // for which a leaving server still accepts requests
	storeLatency     = 300 * time.Millisecond
	storeReadLag     = 2 * time.Second
)

const (
	// firstLimitSeed is the first seed whose plan may have rate limits and restores of the store.
	// Plans of lower seeds stay as they were.
	firstLimitSeed = 200
	// firstAnnouncementSeed is the first seed whose plan may have servers that refuse requests with
	// a Retry-After, or that announce their shutdown before they register as draining.
	firstAnnouncementSeed = 300
	// firstResumeSeed is the first seed whose plan has engines of two software versions, callers that
	// resume broken streams, and streams that break off without a sign in their framing.
	firstResumeSeed = 400
	// firstPartSeed is the first seed whose plan has streams with a part in their prompts that crashes
	// engines.
	firstPartSeed = 500
	// firstFleetKillSeed is the first seed whose plan may kill all entries twice while streams run, with
	// callers that resume their streams until they go on or can't. Fresh seeds are times in nanoseconds: those
	// up to firstFreshFleetKillSeed may have findings on record, and keep their plans.
	firstFleetKillSeed      = 600
	lastFleetKillSeed       = 999
	firstFreshFleetKillSeed = 1796371200000000000
	// fleetLimitMin is the minimum duration of a rate limit; the maximum is twice as long.
	fleetLimitMin = 4 * time.Second
)

// everyEntry stands for the number of an entry in disruptions that affect all entries.
const everyEntry = -1

// disruption is one fault or one planned operation of a plan.
type disruption struct {
	name string
	// entry is the number of the affected entry, or everyEntry.
	entry int
	// planned reports that this is a planned operation, which must break off no request.
	planned         bool
	start, duration time.Duration
	begin           func(*fleet) error
	end             func(*fleet) error // nil if the disruption needs no end
}

// disruptionPeriod is the time in which a disruption was in effect.
type disruptionPeriod struct {
	disruption
	from, to time.Time // to is zero while the disruption lasts
}

// FleetSoak is a plan of disruptions for entries without sides, drawn from a seed.
type FleetSoak struct {
	Seed        uint64
	disruptions []disruption
	// deadlyCallers is the number of callers that send deadly streams.
	deadlyCallers int
}

// NewFleetSoak draws a plan. One plan in four has planned operations only, during which no
// request may break off; the others also have two or three faults, each of which may occur twice.
func NewFleetSoak(seed uint64) FleetSoak {
	r := rand.New(rand.NewPCG(seed, 10))
	s := FleetSoak{Seed: seed}
	for n := 1; n < fleetConfigVersions; n++ {
		s.addDisruption(r, disruption{
			name: "configure " + generationName(n), entry: everyEntry, planned: true,
			begin: func(f *fleet) error { f.configure(n); return nil },
		})
		// The versions are written in ascending order.
		s.disruptions[len(s.disruptions)-1].start = fleetQuietTime + time.Duration(n)*fleetFaultTime/fleetConfigVersions
	}
	if seed >= firstLimitSeed && !s.onlyFleetKills() {
		s.addRateLimit(rand.New(rand.NewPCG(seed, 11)))
		s.addStoreRestores(rand.New(rand.NewPCG(seed, 12)))
	}
	if seed >= firstAnnouncementSeed && !s.onlyFleetKills() {
		s.addAnnouncements(rand.New(rand.NewPCG(seed, 13)))
	}
	if seed >= firstResumeSeed && seed%4 != 0 {
		s.addUnframedAnswers(rand.New(rand.NewPCG(seed, 14)))
	}
	if seed >= firstPartSeed && seed%4 != 0 {
		s.addDeadlyPart(rand.New(rand.NewPCG(seed, 15)))
	}
	if s.hasFleetKills() {
		s.addFleetKills(rand.New(rand.NewPCG(seed, 16)))
		if s.onlyFleetKills() {
			return s
		}
	}
	for range 1 + r.IntN(2) {
		s.addDisruption(r, drawPlannedWork(r))
	}
	if seed%4 == 0 {
		return s
	}
	for range 2 + r.IntN(2) {
		t := drawFleetFault(r)
		s.addDisruption(r, t)
		if r.IntN(3) == 0 {
			s.addDisruption(r, t) // the same fault at another time
		}
	}
	return s
}

// addDisruption adds a disruption with a random start and duration.
func (s *FleetSoak) addDisruption(r *rand.Rand, t disruption) {
	t.start = fleetQuietTime + time.Duration(r.Int64N(int64(fleetFaultTime/2)))
	t.duration = fleetFaultMin + time.Duration(r.Int64N(int64(fleetFaultMax-fleetFaultMin)))
	s.disruptions = append(s.disruptions, t)
}

// drawPlannedWork draws a planned operation.
func drawPlannedWork(r *rand.Rand) disruption {
	n := r.IntN(fleetEntries)
	switch r.IntN(3) {
	case 0:
		return disruption{
			name: fmt.Sprintf("stop entry-%d", n+1), entry: n, planned: true,
			begin: func(f *fleet) error { return f.stopAndRestart(f.entries[n], syscall.SIGTERM) },
		}
	case 1:
		return disruption{
			name: fmt.Sprintf("reload entry-%d", n+1), entry: n, planned: true,
			begin: func(f *fleet) error { return f.reload(f.entries[n]) },
		}
	}
	name := pick(r, []string{"app-1", "app-2", "app-3", "decode-1", "decode-2", "prefill-1"})
	return disruption{
		name: "leave " + name, entry: everyEntry, planned: true,
		begin: func(f *fleet) error { f.leave(name); return nil },
	}
}

// drawFleetFault draws a fault.
func drawFleetFault(r *rand.Rand) disruption {
	n := r.IntN(fleetEntries)
	entry := fmt.Sprintf("entry-%d", n+1)
	upstream := pick(r, []string{"app-1", "app-2", "app-3", "decode-1", "decode-2", "decode-3", "prefill-1", "prefill-2"})
	oneWay := pick(r, []direction{towardsServer, towardsClient})
	switch r.IntN(16) {
	case 0:
		return disruption{name: "kill " + entry, entry: n, begin: func(f *fleet) error { return f.stopAndRestart(f.entries[n], syscall.SIGKILL) }}
	case 1:
		return disruption{
			name: "kill all entries", entry: everyEntry,
			begin: func(f *fleet) error { return f.killAll() },
		}
	case 2, 3:
		return disruption{name: "suspend " + entry, entry: n, begin: signalEntry(n, syscall.SIGSTOP), end: signalEntry(n, syscall.SIGCONT)}
	case 4:
		return disruption{name: "store down", entry: everyEntry, begin: setStoreDown(true), end: setStoreDown(false)}
	case 5:
		return disruption{
			name: "store slow and behind, its history dropped", entry: everyEntry,
			begin: func(f *fleet) error {
				f.store.SetLatency(storeLatency)
				f.store.SetReadLag(storeReadLag)
				// A change of another object puts the revisions of all watches before the
				// compacted history.
				f.store.Put("other", "object", time.Now().String())
				f.store.Compact()
				return nil
			},
			end: func(f *fleet) error {
				f.store.SetLatency(0)
				f.store.SetReadLag(0)
				return nil
			},
		}
	case 6:
		return disruption{name: "answers of the store lost", entry: everyEntry, begin: func(f *fleet) error { f.store.DropResponses(3); return nil }}
	case 7, 8:
		return drawConnectionFault(r, entry+" to the store", n, oneWay, func(f *fleet) *proxy { return f.entries[n].proxy })
	case 9, 10, 11:
		return drawConnectionFault(r, "all to "+upstream, everyEntry, oneWay, func(f *fleet) *proxy { return f.proxyTo(upstream) })
	case 12, 13:
		lost := &answerLoss{random: rand.New(rand.NewPCG(r.Uint64(), 0))}
		return disruption{
			name: "answers lost by " + upstream, entry: everyEntry,
			begin: func(f *fleet) error {
				f.currentServer(upstream).Intercept(lost.interceptor(f.currentServer(upstream)))
				return nil
			},
			end: func(f *fleet) error { f.currentServer(upstream).Intercept(nil); return nil },
		}
	case 14:
		return disruption{
			name: "full " + upstream, entry: everyEntry,
			begin: func(f *fleet) error { f.currentServer(upstream).SetFull(true); return nil },
			end:   func(f *fleet) error { f.currentServer(upstream).SetFull(false); return nil },
		}
	}
	return disruption{
		name: "crash " + upstream, entry: everyEntry,
		begin: func(f *fleet) error { f.currentServer(upstream).Crash(); return nil },
		end:   func(f *fleet) error { f.replace(upstream); return nil },
	}
}

// answerLoss makes a server run requests and break off the answers, some before the first byte
// and some in the middle of an event.
type answerLoss struct {
	mu     sync.Mutex
	random *rand.Rand
}

// answerLossRatio is the fraction of answers that are lost.
const answerLossRatio = 0.4

// interceptor returns a handler for fake.Server.Intercept that loses answers.
func (l *answerLoss) interceptor(s *fake.Server) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		l.mu.Lock()
		drawn := l.random.Float64()
		l.mu.Unlock()
		if drawn > answerLossRatio || !s.Executable(r) {
			return false
		}
		if drawn > answerLossRatio/2 && s.Entry.Stage != "" {
			s.Stream(w, r, fake.EventCount/2)
			_, _ = io.WriteString(w, "id: 4\ndata: pie")
			_ = http.NewResponseController(w).Flush()
		} else {
			s.RecordRun(r)
		}
		panic(http.ErrAbortHandler)
	}
}

// drawConnectionFault draws a fault of the connections through a proxy.
func drawConnectionFault(r *rand.Rand, link string, entry int, oneWay direction, selectProxy func(*fleet) *proxy) disruption {
	var used *proxy // the proxy that was in use when the fault began
	kinds := []struct {
		name string
		do   func(*proxy)
	}{
		{"reset", func(l *proxy) { l.flap() }},
		{"cut", func(l *proxy) { l.sever("") }},
		{fmt.Sprintf("cut one way (%d)", oneWay), func(l *proxy) { l.hold(oneWay) }},
		{"silence", func(l *proxy) { l.silence("") }},
		{"delay", func(l *proxy) { l.setDelay(150 * time.Millisecond) }},
	}
	k := pick(r, kinds)
	return disruption{
		name: k.name + " " + link, entry: entry,
		begin: func(f *fleet) error { used = selectProxy(f); k.do(used); return nil },
		end:   func(*fleet) error { used.heal(); return nil },
	}
}

// signalEntry returns a function that sends a signal to the process of an entry.
func signalEntry(n int, s syscall.Signal) func(*fleet) error {
	return func(f *fleet) error {
		// Ignore the error of a process that another disruption has ended.
		_ = f.entries[n].current().command.Process.Signal(s)
		return nil
	}
}

// setStoreDown returns a function that makes the store refuse every call, or serve again.
func setStoreDown(down bool) func(*fleet) error {
	return func(f *fleet) error { f.store.SetDown(down); return nil }
}

// String returns the plan in one line.
func (s FleetSoak) String() string {
	text := fmt.Sprintf("fleet seed %d:", s.Seed)
	for _, t := range s.disruptions {
		text += fmt.Sprintf(" [%s at %s for %s]", t.name, t.start.Round(time.Millisecond), t.duration.Round(time.Millisecond))
	}
	return text
}

// Run executes the plan under traffic and judges it. The error lists all findings; tally is the
// number of calls by outcome.
func (s FleetSoak) Run(binaries Binaries, dir string) (tally string, err error) {
	f, err := newFleet(binaries, dir, fleetOptions{eras: s.Seed >= firstLimitSeed, versions: s.Seed >= firstResumeSeed, deadly: s.deadlyCallers > 0, fleetKills: s.hasFleetKills(), onlyFleetKills: s.onlyFleetKills()})
	defer f.close()
	if err != nil {
		return "", errors.Wrap(err, "fleet")
	}
	var loops, troubles, callers group.Group
	for _, h := range f.entries {
		loops.Go(f.w.ctx, "balance", func(ctx context.Context) error { f.trackReadiness(h); return nil })
	}
	traffic, stop := context.WithTimeout(f.w.ctx, fleetTrafficTime)
	defer stop()
	for n := range fleetCallers {
		r := rand.New(rand.NewPCG(s.Seed, uint64(100+n)))
		callers.Go(traffic, "caller", func(ctx context.Context) error { f.runCaller(ctx, n, r); return nil })
	}
	for n := range s.deadlyCallers {
		r := rand.New(rand.NewPCG(s.Seed, uint64(200+n)))
		callers.Go(traffic, "deadly caller", func(ctx context.Context) error { f.runDeadlyCaller(ctx, n, r); return nil })
	}
	for _, h := range f.entries {
		callers.Go(traffic, "probe", func(ctx context.Context) error { f.runProbes(ctx, h); return nil })
	}
	for _, t := range s.disruptions {
		troubles.Go(f.w.ctx, t.name, func(ctx context.Context) error { return f.runDisruption(ctx, t) })
	}
	failures := troubles.Wait()
	callers.Wait()
	for _, e := range failures {
		return "", errors.Wrap(e.Err, e.Name)
	}
	found := f.judge()
	f.w.stop()
	loops.Wait()
	return f.tally(), found.Err()
}

// runDisruption begins a disruption at its start time and ends it after its duration.
func (f *fleet) runDisruption(ctx context.Context, t disruption) error {
	group.Sleep(ctx, t.start)
	f.mu.Lock()
	n := len(f.periods)
	f.periods = append(f.periods, disruptionPeriod{disruption: t, from: time.Now()})
	f.mu.Unlock()
	err := t.begin(f)
	if err == nil && t.end != nil {
		group.Sleep(ctx, t.duration)
		err = t.end(f)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.periods[n].to = time.Now()
	return err
}

// currentServer returns the server that runs now under a name.
func (f *fleet) currentServer(name string) *fake.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[name].current
}

func (f *fleet) proxyTo(name string) *proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[name].proxy
}

// replace starts the next server under a name, and deletes the registry entry of the previous
// one, as the registry does after a crash.
func (f *fleet) replace(name string) {
	old := f.currentServer(name)
	f.mu.Lock()
	s := f.servers[name]
	f.mu.Unlock()
	f.store.Delete("servers", old.Entry.ID)
	f.startServer(name, s.service, s.stage)
}

// leave makes a server register as draining, starts its replacement, and deletes the draining
// server's registry entry one second after its drain time.
func (f *fleet) leave(name string) {
	old := f.currentServer(name)
	old.RegisterLeaving()
	f.mu.Lock()
	f.leaves = append(f.leaves, leaveRecord{server: old, at: time.Now()})
	s := f.servers[name]
	f.mu.Unlock()
	f.startServer(name, s.service, s.stage)
	group.Sleep(f.w.ctx, fleetDrainTime+time.Second)
	f.store.Delete("servers", old.Entry.ID)
}

// reload changes an entry's settings and sends SIGHUP.
func (f *fleet) reload(h *entryHost) error {
	h.restartMu.Lock()
	defer h.restartMu.Unlock()
	h.repeats++
	if _, err := f.writeSettings(h); err != nil {
		return err
	}
	_ = h.current().command.Process.Signal(syscall.SIGHUP) // the process may have exited
	return nil
}

// killAll kills all entries at once.
func (f *fleet) killAll() error {
	var all group.Group
	for _, h := range f.entries {
		all.Go(f.w.ctx, h.name, func(context.Context) error { return f.stopAndRestart(h, syscall.SIGKILL) })
	}
	for _, e := range all.Wait() {
		return e.Err
	}
	return nil
}

// noFaults reports whether no fault affected an entry from settleTime before the first time until
// the second. Planned operations are ignored.
func (f *fleet) noFaults(entry int, from, to time.Time) bool {
	return !slices.ContainsFunc(f.periods, func(s disruptionPeriod) bool {
		return !s.planned && s.affects(entry) && s.overlaps(from.Add(-settleTime), to)
	})
}

// noDisruptions reports whether neither a fault nor a planned operation affected an entry from
// settleTime before the first time until the second.
func (f *fleet) noDisruptions(entry int, from, to time.Time) bool {
	return !slices.ContainsFunc(f.periods, func(s disruptionPeriod) bool {
		return s.affects(entry) && s.overlaps(from.Add(-settleTime), to)
	})
}

func (s disruptionPeriod) affects(entry int) bool { return s.entry == everyEntry || s.entry == entry }

func (s disruptionPeriod) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}
