package test

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/check"
)

// Promise numbers one of the eight things that must always hold, in the order
// of the users' brief.
type Promise int

// The promises.
const (
	MemoryFree    Promise = iota + 1 // no engine memory held for a caller who is gone
	AnsweredOnce                     // nothing answered twice
	OwnWhole                         // the whole answer to one's own request
	NotRunIsTrue                     // what was refused as not_run did not run
	AtMostOnce                       // what must not be repeated runs at most once
	LeavingIdle                      // a leaving host gets no new work
	StopCutsNone                     // a planned stop cuts no request
	EditsPersist                     // an accepted edit is in force everywhere and stays
	lastPromise   = EditsPersist
	promisePrefix = "# promises:"
)

// PromisesOf reads the line of a script that names the promises it is about:
// "# promises: 1 3". The line must be there; it may name none.
func PromisesOf(script string) ([]Promise, error) {
	for line := range strings.Lines(script) {
		rest, found := strings.CutPrefix(strings.TrimSpace(line), promisePrefix)
		if !found {
			continue
		}
		var all []Promise
		for _, word := range strings.Fields(rest) {
			n, err := strconv.Atoi(word)
			if err != nil || n < 1 || Promise(n) > lastPromise {
				return nil, errors.Errorf("no promise %q", word)
			}
			all = append(all, Promise(n))
		}
		return all, nil
	}
	return nil, errors.Errorf("no line %q", promisePrefix)
}

// result is what one scenario says of the promises.
type result struct {
	promises   []Promise
	passed     bool
	faults     int
	violations map[Promise]int
	worst      map[Promise]time.Duration
}

// Results collects the scenarios of one run. The zero value is ready to use.
type Results struct {
	mu  sync.Mutex
	all []result
}

// take adds a scenario that has ended. One that failed at a check of its own,
// and not at the judge, counts as one violation of each promise that it is
// about.
func (r *Results) take(promises []Promise, w *world, failed bool) {
	if failed && len(w.violations) == 0 {
		for _, p := range promises {
			w.violations[p] = 1
		}
	}
	for p := range w.violations {
		if !slices.Contains(promises, p) {
			promises = append(promises, p)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, result{promises: promises, passed: !failed, faults: int(w.faults.Load()), violations: w.violations, worst: w.worst})
}

// Write prints a line for each promise: promise, scenarios, passed, failures
// brought about, violations and worst time in milliseconds, tab-separated. The
// time is "-" where no scenario measures one.
func (r *Results) Write(to io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := fmt.Fprintln(to, "promise\tscenarios\tpassed\tfailures_brought_about\tviolations\tworst_time_ms"); err != nil {
		return err
	}
	for p := MemoryFree; p <= lastPromise; p++ {
		var scenarios, passed, faults, violations int
		worst := "-"
		var longest time.Duration
		for _, one := range r.all {
			if !slices.Contains(one.promises, p) {
				continue
			}
			scenarios++
			faults += one.faults
			violations += one.violations[p]
			if one.passed {
				passed++
			}
			if took, measured := one.worst[p]; measured && took >= longest {
				longest, worst = took, strconv.FormatInt(took.Milliseconds(), 10)
			}
		}
		if _, err := fmt.Fprintf(to, "%d\t%d\t%d\t%d\t%d\t%s\n", p, scenarios, passed, faults, violations, worst); err != nil {
			return err
		}
	}
	return nil
}

// judged runs one of the judge's checks and counts its findings against the
// promise that it guards.
func (w *world) judged(p Promise, found *check.Findings, look func(*check.Findings)) {
	before := len(*found)
	look(found)
	if n := len(*found) - before; n > 0 {
		w.violations[p] += n
	}
}

// timed waits like eventually, and notes how long a promise took to hold.
func (w *world) timed(p Promise, within time.Duration, try func() error) error {
	began := time.Now()
	err := w.eventually(within, try)
	if err == nil {
		w.worst[p] = max(w.worst[p], time.Since(began))
	}
	return err
}
