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

// Promise is one of the eight properties that must always hold, numbered as in the
// project's brief.
type Promise int

// The promises, with what each requires.
const (
	MemoryFree            Promise = iota + 1 // no engine holds memory for a disconnected caller
	AnsweredOnce                             // no request is answered twice
	OwnAnswerComplete                        // a complete answer is the whole answer to this request
	RefusedNeverRan                          // a request refused as not_run did not run
	AtMostOnce                               // a request that must not be repeated runs at most once
	LeavingGetsNoRequests                    // a leaving host receives no new requests
	StopCompletesRequests                    // a planned stop breaks off no request
	EditsPersist                             // an accepted edit comes into force at every entry and never reverts
	lastPromise           = EditsPersist
	promisePrefix         = "# promises:"
)

// PromisesOf parses the line of a script that lists the promises it tests, such as
// "# promises: 1 3". It returns an error if the line is missing; the list may be empty.
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
				return nil, errors.Errorf("no promise has the number %q", word)
			}
			all = append(all, Promise(n))
		}
		return all, nil
	}
	return nil, errors.Errorf("script has no line %q", promisePrefix)
}

// result is the outcome of one scenario.
type result struct {
	promises     []Promise
	passed       bool
	faults       int
	violations   map[Promise]int
	longestTimes map[Promise]time.Duration
}

// Results collects the outcomes of the scenarios of one run. The zero value is ready to use.
type Results struct {
	mu  sync.Mutex
	all []result
}

// add records a scenario that has ended. A scenario that failed at one of its own checks,
// and not at the judge, counts as one violation of each promise that it tests.
func (r *Results) add(promises []Promise, w *world, failed bool) {
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
	r.all = append(r.all, result{promises: promises, passed: !failed, faults: int(w.faults.Load()), violations: w.violations, longestTimes: w.longestTimes})
}

// Write prints one tab-separated line for each promise: promise, scenarios, passed
// scenarios, injected faults, violations and worst time in milliseconds, which is "-"
// where no scenario measures a time.
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
		for _, sc := range r.all {
			if !slices.Contains(sc.promises, p) {
				continue
			}
			scenarios++
			faults += sc.faults
			violations += sc.violations[p]
			if sc.passed {
				passed++
			}
			if took, measured := sc.longestTimes[p]; measured && took >= longest {
				longest, worst = took, strconv.FormatInt(took.Milliseconds(), 10)
			}
		}
		if _, err := fmt.Fprintf(to, "%d\t%d\t%d\t%d\t%d\t%s\n", p, scenarios, passed, faults, violations, worst); err != nil {
			return err
		}
	}
	return nil
}

// countViolations calls judge, which adds its findings to found, and counts them as
// violations of a promise.
func (w *world) countViolations(p Promise, found *check.Findings, judge func(*check.Findings)) {
	before := len(*found)
	judge(found)
	if n := len(*found) - before; n > 0 {
		w.violations[p] += n
	}
}

// eventuallyTimed calls try until it succeeds or the time is up, and records how long the
// promise took to hold.
func (w *world) eventuallyTimed(p Promise, within time.Duration, try func() error) error {
	began := time.Now()
	err := w.eventually(within, try)
	if err == nil {
		w.longestTimes[p] = max(w.longestTimes[p], time.Since(began))
	}
	return err
}
