package test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/editor"
)

// Times of a soak run. Faults start while there is traffic, and each ends before the last
// requests of the traffic have ended.
const (
	soakTrafficTime  = 4 * time.Second
	soakCallInterval = 40 * time.Millisecond
	soakFaultMin     = 200 * time.Millisecond
	soakFaultMax     = 2500 * time.Millisecond
	soakResends      = 12
)

// soakFault is one fault, with the commands that begin and end it.
type soakFault struct {
	name            string
	begin, end      []string // commands of the scenario language
	start, duration time.Duration
}

// Soak is a plan of random faults that are drawn from its seed.
type Soak struct {
	Seed   uint64
	Faults []soakFault
}

// soakEntries and soakSides are the names of the entries and sides of a soak run.
var (
	soakEntries = []string{"entry-1", "entry-2", "entry-3"}
	soakSides   = []string{"prefill-1", "prefill-2", "decode-1", "decode-2", "decode-3", "app-1", "app-2", "app-3"}
)

// pick returns a random element.
func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

// NewSoak draws two or three faults.
func NewSoak(seed uint64) Soak {
	r := rand.New(rand.NewPCG(seed, 0))
	s := Soak{Seed: seed}
	for range 2 + r.IntN(2) {
		f := drawFault(r)
		f.start = time.Duration(r.Int64N(int64(soakTrafficTime / 2)))
		f.duration = soakFaultMin + time.Duration(r.Int64N(int64(soakFaultMax-soakFaultMin)))
		s.Faults = append(s.Faults, f)
	}
	return s
}

// drawFault draws one fault, without its times.
func drawFault(r *rand.Rand) soakFault {
	ours := pick(r, slices.Concat(soakEntries, soakSides))
	entry, side := pick(r, soakEntries), pick(r, soakSides)
	switch r.IntN(8) {
	case 0, 1:
		return soakFault{name: "kill " + ours, begin: []string{"sigkill", ours}, end: []string{"restart", ours}}
	case 2:
		return soakFault{name: "freeze " + ours, begin: []string{"sigstop", ours}, end: []string{"sigcont", ours}}
	case 3:
		return soakFault{name: "cut " + entry + " from " + side, begin: []string{"cut", entry, side}, end: []string{"heal"}}
	case 4:
		return soakFault{name: "cut " + ours + " from platform", begin: []string{"cut", ours, "platform"}, end: []string{"heal"}}
	case 5:
		return soakFault{name: "silence " + entry + " to " + side, begin: []string{"silence", entry, side}, end: []string{"heal"}}
	case 6:
		return soakFault{name: "platform down", begin: []string{"fault", "platform", `{"down":true}`}, end: []string{"fault", "platform", "{}"}}
	}
	n := strconv.Itoa(1 + r.IntN(3))
	return soakFault{name: "answers lost by app " + n, begin: []string{"fault", "server-app-" + n, `{"lose_answers":2}`}, end: []string{"fault", "server-app-" + n, "{}"}}
}

// String returns the plan in one line.
func (s Soak) String() string {
	text := fmt.Sprintf("seed %d:", s.Seed)
	for _, f := range s.Faults {
		text += fmt.Sprintf(" [%s at %s for %s]", f.name, f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond))
	}
	return text
}

// Run executes the plan under traffic and judges it.
func (s Soak) Run(binaries Binaries, dir string) error {
	w := newWorld(binaries, dir)
	defer w.close()
	if err := cmdWorld(w, []string{"prefill=2", "decode=3", "app=3", "entry=3", "engine_args=--token-gap,15ms", "app_args=--took,30ms"}); err != nil {
		return errors.Wrap(err, "start the world")
	}
	if err := cmdWatch(w, nil); err != nil {
		return err
	}
	faults := make(chan error, len(s.Faults))
	for _, f := range s.Faults {
		go func() { faults <- w.runFault(f) }() // its result is received below
	}
	r := rand.New(rand.NewPCG(s.Seed, 1))
	edits, editSeed := make(chan error, 1), r.Uint64()
	go func() { edits <- w.soakEdits(editSeed) }() // its result is received below
	if err := w.sendTraffic(r); err != nil {
		return err
	}
	if err := <-edits; err != nil {
		return err
	}
	for range s.Faults {
		if err := <-faults; err != nil {
			return err
		}
	}
	return w.settleSoak(r)
}

// runFault begins a fault at its start time and ends it after its duration.
func (w *world) runFault(f soakFault) error {
	sleep(w.ctx, f.start)
	if err := w.runCommand(f.begin); err != nil {
		return errors.Wrap(err, f.name)
	}
	sleep(w.ctx, f.duration)
	return errors.Wrap(w.runCommand(f.end), f.name)
}

// runCommand runs one command of the scenario language. It ignores the error of a signal to a process
// that another fault has already killed.
func (w *world) runCommand(words []string) error {
	err := commands()[words[0]](w, words[1:])
	if errors.Is(err, errProcessEnded) {
		return nil
	}
	return err
}

// sendTraffic sends appraisals, look-ups and enquiries through all entries. Some keys are sent twice,
// and some calls are abandoned by their callers.
func (w *world) sendTraffic(r *rand.Rand) error {
	until := time.Now().Add(soakTrafficTime)
	for n := 1; time.Now().Before(until); n++ {
		name := "soak-" + strconv.Itoa(n)
		args := []string{name, "entry=" + strconv.Itoa(1+r.IntN(3)), "&"}
		switch r.IntN(3) {
		case 0:
			args = append(args, "kind=appraisal", "tokens=40", "key=lot-"+strconv.Itoa(r.IntN(n)+1), "prompt=lot")
		case 1:
			args = append(args, "kind=card", "method=GET", "path=/cards/"+strconv.Itoa(n))
		default:
			args = append(args, "kind=enquiry", "key=e-"+strconv.Itoa(r.IntN(n)+1), "path=/enquiries", "body={}")
		}
		if err := cmdCall(w, args); err != nil {
			return err
		}
		if r.IntN(20) == 0 {
			c := w.calls[name]
			go c.cancelAndWait() // ends with the call, for which settleSoak waits
		}
		sleep(w.ctx, soakCallInterval)
	}
	return nil
}

// soakCells are the cells that operators edit during a soak run, one per edit.
var soakCells = []string{"weight=71", "queue_limit=171", "in_flight=61"}

// soakEdits edits the table through random entries.
func (w *world) soakEdits(seed uint64) error {
	r := rand.New(rand.NewPCG(seed, 2))
	for n, cell := range soakCells {
		sleep(w.ctx, time.Duration(r.Int64N(int64(soakTrafficTime/3))))
		err := cmdEdit(w, []string{"edit-" + strconv.Itoa(n), "entry=" + strconv.Itoa(1+r.IntN(3)), "row=appraiser-lm/*/appraisal", cell, "for=8s", "&"})
		if err != nil {
			return err
		}
	}
	return nil
}

// judgeEdits checks that each accepted edit is in force at every entry.
func (w *world) judgeEdits() error {
	for n, cell := range soakCells {
		e := w.edits["edit-"+strconv.Itoa(n)]
		<-e.done
		if e.outcome.State != editor.Accepted {
			continue
		}
		if err := cmdInForce(w, append([]string{"appraiser-lm/*/appraisal", cell, "within=5s"}, w.entries...)); err != nil {
			return errors.Wrap(err, "check that an accepted edit is in force")
		}
	}
	return nil
}

// settleSoak waits until all calls have ended, sends some keys again, and judges the run.
func (w *world) settleSoak(r *rand.Rand) error {
	for _, name := range slices.Clone(w.order) {
		if err := cmdAwait(w, []string{name}); err != nil {
			return errors.Wrap(err, name)
		}
	}
	for _, name := range w.entries {
		if err := cmdReady(w, []string{name}); err != nil {
			return err
		}
	}
	for n := range soakResends {
		name := "resend-" + strconv.Itoa(n)
		args := []string{name, "entry=" + strconv.Itoa(1+r.IntN(3)), "kind=enquiry", "key=e-" + strconv.Itoa(r.IntN(60)+1), "path=/enquiries", "body={}"}
		if err := cmdCall(w, args); err != nil {
			return err
		}
	}
	if err := cmdFree(w, []string{"within=4s"}); err != nil {
		return err
	}
	if err := w.judgeEdits(); err != nil {
		return err
	}
	return cmdJudge(w, nil)
}
