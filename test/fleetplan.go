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

// The times of a fleet's plan. Faults begin and end within its traffic, with
// calm before them and after them.
const (
	fleetCalm    = 1500 * time.Millisecond
	fleetFaults  = 5 * time.Second
	fleetTraffic = fleetCalm + fleetFaults + 3*time.Second
	fleetLastMin = 200 * time.Millisecond
	fleetLastMax = 2500 * time.Millisecond
	fleetDrain   = 2 * time.Second // that a leaving server serves on
	storeSlow    = 300 * time.Millisecond
	storeBehind  = 2 * time.Second
)

const (
	// fleetLimitsFrom is the first seed whose plans have rate limits and a store that
	// counts eras: those of the seeds before stay as they were drawn.
	fleetLimitsFrom = 200
	// fleetStatedFrom is the same for servers that ask for pauses, or leave unregistered.
	fleetStatedFrom = 300
	// fleetLimitLast is the least time that a limit lasts, and half of the longest.
	fleetLimitLast = 4 * time.Second
)

// everyEntry is in place of an entry's number where a fault is all entries'.
const everyEntry = -1

// trouble is one fault or one planned work in a plan.
type trouble struct {
	name string
	// entry is whom it touches; planned work breaks off no request.
	entry    int
	planned  bool
	at, last time.Duration
	begin    func(*fleet) error
	end      func(*fleet) error // nil for none
}

// span is a trouble's time, as it was.
type span struct {
	trouble
	from, to time.Time // to is zero while it lasts
}

// FleetSoak is a plan of troubles for entries without sides, drawn from a seed.
type FleetSoak struct {
	Seed     uint64
	troubles []trouble
}

// NewFleetSoak draws a plan: one plan in four has planned work only, which must
// break nothing off; the others have two to five faults beside it.
func NewFleetSoak(seed uint64) FleetSoak {
	r := rand.New(rand.NewPCG(seed, 10))
	s := FleetSoak{Seed: seed}
	for n := 1; n < fleetVersions; n++ {
		s.add(r, trouble{
			name: "configure " + generation(n), entry: everyEntry, planned: true,
			begin: func(f *fleet) error { f.configure(n); return nil },
		})
		// Versions come in their order.
		s.troubles[len(s.troubles)-1].at = fleetCalm + time.Duration(n)*fleetFaults/fleetVersions
	}
	if seed >= fleetLimitsFrom {
		s.addLimit(rand.New(rand.NewPCG(seed, 11)))
		s.addCopies(rand.New(rand.NewPCG(seed, 12)))
	}
	if seed >= fleetStatedFrom {
		s.addStated(rand.New(rand.NewPCG(seed, 13)))
	}
	for range 1 + r.IntN(2) {
		s.add(r, drawWork(r))
	}
	if seed%4 == 0 {
		return s
	}
	for range 2 + r.IntN(2) {
		t := drawTrouble(r)
		s.add(r, t)
		if r.IntN(3) == 0 {
			s.add(r, t) // once more, at another moment
		}
	}
	return s
}

func (s *FleetSoak) add(r *rand.Rand, t trouble) {
	t.at = fleetCalm + time.Duration(r.Int64N(int64(fleetFaults/2)))
	t.last = fleetLastMin + time.Duration(r.Int64N(int64(fleetLastMax-fleetLastMin)))
	s.troubles = append(s.troubles, t)
}

// drawWork draws planned work.
func drawWork(r *rand.Rand) trouble {
	n := r.IntN(fleetEntries)
	switch r.IntN(3) {
	case 0:
		return trouble{
			name: fmt.Sprintf("stop entry-%d", n+1), entry: n, planned: true,
			begin: func(f *fleet) error { return f.stop(f.entries[n], syscall.SIGTERM) },
		}
	case 1:
		return trouble{
			name: fmt.Sprintf("reload entry-%d", n+1), entry: n, planned: true,
			begin: func(f *fleet) error { return f.reload(f.entries[n]) },
		}
	}
	name := pick(r, []string{"app-1", "app-2", "app-3", "decode-1", "decode-2", "prefill-1"})
	return trouble{
		name: "leave " + name, entry: everyEntry, planned: true,
		begin: func(f *fleet) error { f.leave(name); return nil },
	}
}

// drawTrouble draws a fault.
func drawTrouble(r *rand.Rand) trouble {
	n := r.IntN(fleetEntries)
	entry := fmt.Sprintf("entry-%d", n+1)
	upstream := pick(r, []string{"app-1", "app-2", "app-3", "decode-1", "decode-2", "decode-3", "prefill-1", "prefill-2"})
	way := pick(r, []direction{there, back})
	switch r.IntN(16) {
	case 0:
		return trouble{name: "kill " + entry, entry: n, begin: func(f *fleet) error { return f.stop(f.entries[n], syscall.SIGKILL) }}
	case 1:
		return trouble{
			name: "kill all entries", entry: everyEntry,
			begin: func(f *fleet) error { return f.killAll() },
		}
	case 2, 3:
		return trouble{name: "suspend " + entry, entry: n, begin: freeze(n, syscall.SIGSTOP), end: freeze(n, syscall.SIGCONT)}
	case 4:
		return trouble{name: "store down", entry: everyEntry, begin: storeDown(true), end: storeDown(false)}
	case 5:
		return trouble{
			name: "store slow and behind, its history dropped", entry: everyEntry,
			begin: func(f *fleet) error {
				f.store.SetLatency(storeSlow)
				f.store.SetReadLag(storeBehind)
				// Something else changes, so that all watches are behind what is kept.
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
		return trouble{name: "answers of the store lost", entry: everyEntry, begin: func(f *fleet) error { f.store.LoseAnswers(3); return nil }}
	case 7, 8:
		return linkTrouble(r, entry+" to the store", n, way, func(f *fleet) *relay { return f.entries[n].relay })
	case 9, 10, 11:
		return linkTrouble(r, "all to "+upstream, everyEntry, way, func(f *fleet) *relay { return f.relayTo(upstream) })
	case 12, 13:
		lost := &losing{random: rand.New(rand.NewPCG(r.Uint64(), 0))}
		return trouble{
			name: "answers lost by " + upstream, entry: everyEntry,
			begin: func(f *fleet) error { f.server(upstream).Intercept(lost.serve(f.server(upstream))); return nil },
			end:   func(f *fleet) error { f.server(upstream).Intercept(nil); return nil },
		}
	case 14:
		return trouble{
			name: "full " + upstream, entry: everyEntry,
			begin: func(f *fleet) error { f.server(upstream).SetFull(true); return nil },
			end:   func(f *fleet) error { f.server(upstream).SetFull(false); return nil },
		}
	}
	return trouble{
		name: "crash " + upstream, entry: everyEntry,
		begin: func(f *fleet) error { f.server(upstream).Crash(); return nil },
		end:   func(f *fleet) error { f.replace(upstream); return nil },
	}
}

// losing has a server run requests and break their answers off, some before the
// first byte and some in the middle of an event.
type losing struct {
	mu     sync.Mutex
	random *rand.Rand
}

// losePart is the part of the answers that are lost.
const losePart = 0.4

func (l *losing) serve(s *fake.Server) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		l.mu.Lock()
		drawn := l.random.Float64()
		l.mu.Unlock()
		if drawn > losePart || !s.Executable(r) {
			return false
		}
		if drawn > losePart/2 && s.Entry.Stage != "" {
			s.Stream(w, r, fake.Events/2)
			_, _ = io.WriteString(w, "id: 4\ndata: pie")
			_ = http.NewResponseController(w).Flush()
		} else {
			s.RecordRun(r)
		}
		panic(http.ErrAbortHandler)
	}
}

// linkTrouble draws what becomes of the connections over a relay.
func linkTrouble(r *rand.Rand, link string, entry int, way direction, of func(*fleet) *relay) trouble {
	var used *relay // the one that was in use at the beginning
	kinds := []struct {
		name string
		do   func(*relay)
	}{
		{"reset", func(l *relay) { l.flap() }},
		{"cut", func(l *relay) { l.sever("") }},
		{fmt.Sprintf("cut one way (%d)", way), func(l *relay) { l.hold(way) }},
		{"silence", func(l *relay) { l.silence("") }},
		{"delay", func(l *relay) { l.slow(150 * time.Millisecond) }},
	}
	k := pick(r, kinds)
	return trouble{
		name: k.name + " " + link, entry: entry,
		begin: func(f *fleet) error { used = of(f); k.do(used); return nil },
		end:   func(*fleet) error { used.heal(); return nil },
	}
}

func freeze(n int, s syscall.Signal) func(*fleet) error {
	return func(f *fleet) error {
		// A process that another trouble has ended cannot be suspended.
		_ = f.entries[n].now().command.Process.Signal(s)
		return nil
	}
}

func storeDown(down bool) func(*fleet) error {
	return func(f *fleet) error { f.store.SetDown(down); return nil }
}

// String gives the plan in one line.
func (s FleetSoak) String() string {
	text := fmt.Sprintf("fleet seed %d:", s.Seed)
	for _, t := range s.troubles {
		text += fmt.Sprintf(" [%s at %s for %s]", t.name, t.at.Round(time.Millisecond), t.last.Round(time.Millisecond))
	}
	return text
}

// Run plays the plan under traffic and judges it. Its error lists all findings;
// tally says what the callers saw.
func (s FleetSoak) Run(bin Binaries, dir string) (tally string, err error) {
	f, err := newFleet(bin, dir, s.Seed >= fleetLimitsFrom)
	defer f.close()
	if err != nil {
		return "", errors.Wrap(err, "fleet")
	}
	var loops, troubles, callers group.Group
	for _, h := range f.entries {
		loops.Go(f.w.ctx, "balance", func(ctx context.Context) error { f.balance(h); return nil })
	}
	traffic, stop := context.WithTimeout(f.w.ctx, fleetTraffic)
	defer stop()
	for n := range fleetCallers {
		r := rand.New(rand.NewPCG(s.Seed, uint64(100+n)))
		callers.Go(traffic, "caller", func(ctx context.Context) error { f.caller(ctx, n, r); return nil })
	}
	for _, h := range f.entries {
		callers.Go(traffic, "probe", func(ctx context.Context) error { f.probe(ctx, h); return nil })
	}
	for _, t := range s.troubles {
		troubles.Go(f.w.ctx, t.name, func(ctx context.Context) error { return f.suffer(ctx, t) })
	}
	failed := troubles.Wait()
	callers.Wait()
	for _, e := range failed {
		return "", errors.Wrap(e.Err, e.Name)
	}
	found := f.judge()
	f.w.stop()
	loops.Wait()
	return f.tally(), found.Err()
}

// suffer brings a trouble about and ends it.
func (f *fleet) suffer(ctx context.Context, t trouble) error {
	group.Sleep(ctx, t.at)
	f.mu.Lock()
	n := len(f.spans)
	f.spans = append(f.spans, span{trouble: t, from: time.Now()})
	f.mu.Unlock()
	err := t.begin(f)
	if err == nil && t.end != nil {
		group.Sleep(ctx, t.last)
		err = t.end(f)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans[n].to = time.Now()
	return err
}

func (f *fleet) server(name string) *fake.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[name].now
}

func (f *fleet) relayTo(name string) *relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[name].relay
}

// replace starts the next server under a name, and takes the entry of the one
// before out of the registry, as happens to one that crashed.
func (f *fleet) replace(name string) {
	old := f.server(name)
	f.mu.Lock()
	s := f.servers[name]
	f.mu.Unlock()
	f.store.Delete("servers", old.Entry.ID)
	f.add(name, s.service, s.stage)
}

// leave has a server register that it leaves, starts another, and ends the
// first one some time after it may get requests.
func (f *fleet) leave(name string) {
	old := f.server(name)
	old.RegisterLeaving()
	f.mu.Lock()
	f.leaves = append(f.leaves, leave{server: old, at: time.Now()})
	s := f.servers[name]
	f.mu.Unlock()
	f.add(name, s.service, s.stage)
	group.Sleep(f.w.ctx, fleetDrain+time.Second)
	f.store.Delete("servers", old.Entry.ID)
}

// reload changes an entry's settings and tells it so.
func (f *fleet) reload(h *entryHost) error {
	h.restarts.Lock()
	defer h.restarts.Unlock()
	h.repeats++
	if _, err := f.settings(h); err != nil {
		return err
	}
	_ = h.now().command.Process.Signal(syscall.SIGHUP) // it may have ended
	return nil
}

// killAll kills all entries at the same moment.
func (f *fleet) killAll() error {
	var all group.Group
	for _, h := range f.entries {
		all.Go(f.w.ctx, h.name, func(context.Context) error { return f.stop(h, syscall.SIGKILL) })
	}
	for _, e := range all.Wait() {
		return e.Err
	}
	return nil
}

// calm says whether nothing but planned work touched an entry, from some time
// before the first moment to the second.
func (f *fleet) calm(entry int, from, to time.Time) bool {
	return !slices.ContainsFunc(f.spans, func(s span) bool {
		return !s.planned && s.touches(entry) && s.overlaps(from.Add(-settleTime), to)
	})
}

// idle says that no planned work was done either.
func (f *fleet) idle(entry int, from, to time.Time) bool {
	return !slices.ContainsFunc(f.spans, func(s span) bool {
		return s.touches(entry) && s.overlaps(from.Add(-settleTime), to)
	})
}

func (s span) touches(entry int) bool { return s.entry == everyEntry || s.entry == entry }

func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}
