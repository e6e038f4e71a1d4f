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

// Figures of a soak run. Its faults are drawn within the time of its traffic,
// and each is over before the traffic's last requests have their end.
const (
	soakTraffic  = 4 * time.Second
	soakBetween  = 40 * time.Millisecond
	soakFaultMin = 200 * time.Millisecond
	soakFaultMax = 2500 * time.Millisecond
	soakResends  = 12
)

// soakFault is one failure: how it is brought about and how it ends.
type soakFault struct {
	name       string
	begin, end []string // commands of the scenarios' language
	at, last   time.Duration
}

// Soak is a plan of random faults, all drawn from its seed.
type Soak struct {
	Seed   uint64
	Faults []soakFault
}

// processesOf lists what a soak's world runs of ours, by name.
var (
	soakEntries = []string{"entry-1", "entry-2", "entry-3"}
	soakSides   = []string{"prefill-1", "prefill-2", "decode-1", "decode-2", "decode-3", "app-1", "app-2", "app-3"}
)

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

// NewSoak draws two or three faults.
func NewSoak(seed uint64) Soak {
	r := rand.New(rand.NewPCG(seed, 0))
	s := Soak{Seed: seed}
	for range 2 + r.IntN(2) {
		f := drawFault(r)
		f.at = time.Duration(r.Int64N(int64(soakTraffic / 2)))
		f.last = soakFaultMin + time.Duration(r.Int64N(int64(soakFaultMax-soakFaultMin)))
		s.Faults = append(s.Faults, f)
	}
	return s
}

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

// String gives the plan in one line.
func (s Soak) String() string {
	text := fmt.Sprintf("seed %d:", s.Seed)
	for _, f := range s.Faults {
		text += fmt.Sprintf(" [%s at %s for %s]", f.name, f.at.Round(time.Millisecond), f.last.Round(time.Millisecond))
	}
	return text
}

// Run plays the plan under traffic and judges it.
func (s Soak) Run(bin Binaries, dir string) error {
	w := newWorld(bin, dir)
	defer w.close()
	if err := stepWorld(w, []string{"prefill=2", "decode=3", "app=3", "entry=3", "engine_args=--token-gap,15ms", "app_args=--took,30ms"}); err != nil {
		return errors.Wrap(err, "world")
	}
	if err := stepWatch(w, nil); err != nil {
		return err
	}
	faults := make(chan error, len(s.Faults))
	for _, f := range s.Faults {
		go func() { faults <- w.suffer(f) }() // its end is read below
	}
	r := rand.New(rand.NewPCG(s.Seed, 1))
	edits, editSeed := make(chan error, 1), r.Uint64()
	go func() { edits <- w.soakEdits(editSeed) }() // its end is read below
	if err := w.traffic(r); err != nil {
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

// suffer brings one fault about and ends it.
func (w *world) suffer(f soakFault) error {
	pause(w.ctx, f.at)
	if err := w.command(f.begin); err != nil {
		return errors.Wrap(err, f.name)
	}
	pause(w.ctx, f.last)
	return errors.Wrap(w.command(f.end), f.name)
}

// command runs one command of the language. A process that another fault has
// killed cannot be frozen or killed again, which is no fault of ours.
func (w *world) command(words []string) error {
	err := language()[words[0]](w, words[1:])
	if errors.Is(err, errEnded) {
		return nil
	}
	return err
}

// traffic sends appraisals, look-ups and enquiries through all entries, some
// twice under one key, some given up by their callers.
func (w *world) traffic(r *rand.Rand) error {
	until := time.Now().Add(soakTraffic)
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
		if err := stepCall(w, args); err != nil {
			return err
		}
		if r.IntN(20) == 0 {
			c := w.calls[name]
			go c.hangUp() // ends with the call, which settleSoak awaits
		}
		pause(w.ctx, soakBetween)
	}
	return nil
}

// soakCells are the cells that a soak's operators change, one each.
var soakCells = []string{"weight=71", "queue_limit=171", "in_flight=61"}

// soakEdits has operators change the table through any entry.
func (w *world) soakEdits(seed uint64) error {
	r := rand.New(rand.NewPCG(seed, 2))
	for n, cell := range soakCells {
		pause(w.ctx, time.Duration(r.Int64N(int64(soakTraffic/3))))
		err := stepEdit(w, []string{"edit-" + strconv.Itoa(n), "entry=" + strconv.Itoa(1+r.IntN(3)), "row=appraiser-lm/*/appraisal", cell, "for=8s", "&"})
		if err != nil {
			return err
		}
	}
	return nil
}

// judgeEdits: an edit that was accepted is in force at every entry.
func (w *world) judgeEdits() error {
	for n, cell := range soakCells {
		e := w.edits["edit-"+strconv.Itoa(n)]
		<-e.done
		if e.outcome.State != editor.Accepted {
			continue
		}
		if err := stepInForce(w, append([]string{"appraiser-lm/*/appraisal", cell, "within=5s"}, w.entries...)); err != nil {
			return errors.Wrap(err, "an accepted edit")
		}
	}
	return nil
}

// settleSoak waits for every end, sends some keys again, and judges.
func (w *world) settleSoak(r *rand.Rand) error {
	for _, name := range slices.Clone(w.order) {
		if err := stepAwait(w, []string{name}); err != nil {
			return errors.Wrap(err, name)
		}
	}
	for _, name := range w.entries {
		if err := stepReady(w, []string{name}); err != nil {
			return err
		}
	}
	for n := range soakResends {
		name := "resend-" + strconv.Itoa(n)
		args := []string{name, "entry=" + strconv.Itoa(1+r.IntN(3)), "kind=enquiry", "key=e-" + strconv.Itoa(r.IntN(60)+1), "path=/enquiries", "body={}"}
		if err := stepCall(w, args); err != nil {
			return err
		}
	}
	if err := stepFree(w, []string{"within=4s"}); err != nil {
		return err
	}
	if err := w.judgeEdits(); err != nil {
		return err
	}
	return stepJudge(w, nil)
}
