package test

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/direct"
	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

const (
	// settleTime is how long after its end a fault may still affect requests.
	settleTime = 3 * time.Second
	// judgeSlack is added to the time limits that the judge checks, for the delays of timers and of
	// messages on the network.
	judgeSlack = 500 * time.Millisecond
	// configTimeout is how long a version of the configuration may take to come into force.
	configTimeout = 2 * time.Second
	// recoveryTimeout is how long after the last fault each entry may take until it answers every
	// kind of request again.
	recoveryTimeout = 6 * time.Second
)

// findings lists the violations of promises.
type findings []string

func (f *findings) add(format string, args ...any) { *f = append(*f, fmt.Sprintf(format, args...)) }

// Err returns all findings as one error, or nil if there are none.
func (f findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(strings.Join(f, "\n"))
}

// execution is the server and time at which a request ran.
type execution struct {
	server *fake.Server
	at     time.Time
}

// judge waits until the fleet has recovered, and checks what callers and servers recorded
// against each promise.
func (f *fleet) judge() findings {
	var found findings
	f.judgeRecovery(&found)
	f.judgeFreed(&found)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discardForeignAnswers()
	ran := f.executions()
	f.judgeRuns(&found, ran)
	f.judgeAnswers(&found)
	f.judgeWithoutFaults(&found, ran)
	f.judgeLeaving(&found, ran)
	f.judgeVersions(&found)
	f.judgeSoftware(&found)
	f.judgeResumptions(&found)
	f.judgeDeadlyPart(&found, ran)
	f.judgeLimits(&found)
	f.judgeAnnouncements(&found)
	f.judgeProcesses(&found)
	return found
}

// tally returns the number of calls by outcome, in one line.
func (f *fleet) tally() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int)
	for _, c := range f.calls {
		switch {
		case c.kind == "probe":
			counts["probes"]++
		case c.kind == deadlyKind:
			counts["deadly"]++
		case c.kind == resumedKind && c.response.Err == nil && c.response.Stamped:
			counts["resumed"]++
		case c.kind == resumedKind:
			counts["not resumed"]++
		case c.abandoned:
			counts["given up"]++
		case c.response.Err != nil:
			counts["broken off"]++
		case c.response.Stamped:
			counts["answered"]++
		default:
			counts[fmt.Sprintf("refused with %d", c.response.Status)]++
		}
	}
	for _, wentOn := range f.resumptions {
		if wentOn {
			counts["streams resumed"]++
		} else {
			counts["streams lost"]++
		}
	}
	return fmt.Sprint(counts)
}

// executions returns the executions of each request, by request id.
func (f *fleet) executions() map[string][]execution {
	all := make(map[string][]execution)
	for _, s := range f.allServers {
		for _, r := range s.Runs() {
			all[r.ID] = append(all[r.ID], execution{server: s, at: r.At})
		}
	}
	return all
}

// judgeRecovery checks that after the faults each kind of request is answered through each entry.
func (f *fleet) judgeRecovery(found *findings) {
	for _, h := range f.entries {
		for _, kind := range fleetKinds {
			until := time.Now().Add(recoveryTimeout)
			for n := 0; ; n++ {
				request := newFleetCall(fmt.Sprintf("recovery-%d-%s-%d", h.index, kind, n), kind)
				l := h.current()
				request.entry, request.incarnation = h.index, l.number
				c := &fake.Caller{EntryAddr: l.listen}
				request = f.sendCall(c, request, false, nil)
				c.Close()
				if request.response.Status == http.StatusOK {
					break
				}
				if time.Now().After(until) {
					found.add("not recovered: %s through %s: status %d, %v", kind, h.name, request.response.Status, request.response.Err)
					break
				}
				group.Sleep(f.w.ctx, 50*time.Millisecond)
			}
		}
	}
}

// judgeFreed checks that no engine continues a stream whose caller has disconnected.
func (f *fleet) judgeFreed(found *findings) {
	for until := time.Now().Add(settleTime); ; group.Sleep(f.w.ctx, 20*time.Millisecond) {
		running := 0
		f.mu.Lock()
		for _, s := range f.allServers {
			running += s.Streams()
		}
		f.mu.Unlock()
		if running == 0 {
			return
		}
		if time.Now().After(until) {
			found.add("%d streams still run after their callers have disconnected", running)
			return
		}
	}
}

// statusNotRun reports whether a status states that the request has not run and will not run.
func statusNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeRuns checks that a request that must not be repeated ran at most once, that a request
// refused as not run did not run unless it may be repeated, and that no request ran that no
// caller sent.
func (f *fleet) judgeRuns(found *findings, ran map[string][]execution) {
	requested := make(map[string]bool)
	for _, c := range f.calls {
		requested[c.id] = true
		runs := len(ran[c.id])
		if (c.kind == "once" || c.kind == "stream") && runs > 1 {
			found.add("%s ran %d times", c.id, runs)
		}
		if statusNotRun(c.response.Status) && !c.response.Stamped && runs > 0 && (c.kind == "once" || c.kind == "stream") {
			found.add("%s ran, but its caller received status %d", c.id, c.response.Status)
		}
	}
	for id := range ran {
		if !requested[id] {
			found.add("%s ran, but no caller sent it", id)
		}
	}
}

// errForeignAnswer is the error of a call that another process answered.
var errForeignAnswer = errors.New("answered by another process at the port of an entry that has exited")

// discardForeignAnswers makes a broken connection of each answer that came from another process.
//
// The port of an entry that was killed is free for any listener on this machine, such as a fake
// store of a plan that runs beside this one. An answer is foreign if the entry's process had exited
// by then, never logged the request, and the answer has neither a server's stamp nor the request's
// id, which the entry's own refusals contain.
func (f *fleet) discardForeignAnswers() {
	for i := range f.calls {
		c := &f.calls[i]
		if !c.response.HeaderReceived || c.response.Stamped || strings.Contains(c.response.Body, c.id) {
			continue
		}
		h := f.entries[c.entry]
		h.mu.Lock()
		l := h.incarnations[c.incarnation]
		h.mu.Unlock()
		l.mu.Lock()
		logged := l.acceptCounts[c.id]+l.endCounts[c.id] > 0
		exited := !l.exitedAt.IsZero() && l.exitedAt.Before(c.endedAt.Add(judgeSlack))
		l.mu.Unlock()
		if exited && !logged {
			c.response = fake.Response{Err: errForeignAnswer}
		}
	}
}

// judgeAnswers checks that each successful answer was made by a server, for this request, and
// is complete.
func (f *fleet) judgeAnswers(found *findings) {
	for _, c := range f.calls {
		switch {
		case c.kind == deadlyKind && c.response.Status == http.StatusUnprocessableEntity: // blocked
		case c.response.HeaderReceived && c.response.Status >= 300 && c.response.Status < 500 && !statusNotRun(c.response.Status):
			found.add("%s was refused with unexpected status %d: %q", c.id, c.response.Status, c.response.Body)
		case c.response.Status != http.StatusOK || c.response.Err != nil:
		case !c.response.Stamped:
			found.add("%s was answered with success, but by no server", c.id)
		case !c.complete():
			found.add("%s received the answer to another request, or an incomplete one: %q", c.id, c.response.Body)
		}
	}
}

// complete reports whether the body is the whole answer to this call.
func (c fleetCall) complete() bool {
	if !isStream(c.kind) {
		return strings.HasPrefix(c.response.Body, "answer of ") && strings.HasSuffix(c.response.Body, " to "+c.method+" "+c.target+" "+c.body)
	}
	var b strings.Builder
	last, _ := strconv.Atoi(c.lastEvent) // zero for none
	for n := last + 1; n <= fake.EventCount; n++ {
		b.WriteString(fake.Event(c.target, n))
	}
	return c.response.Body == b.String()
}

// judgeWithoutFaults checks that without faults each request that an entry has read gets a
// response, also while the entry stops, and that without planned work it is answered.
func (f *fleet) judgeWithoutFaults(found *findings, ran map[string][]execution) {
	for _, c := range f.calls {
		if c.abandoned || c.kind == deadlyKind || !f.noFaults(c.entry, c.sentAt, c.endedAt) {
			continue
		}
		// A request on a kept connection that the entry closes at the same moment was not
		// read; a request on a refused connection was not accepted.
		closedUnread := c.response.Err != nil && !c.response.HeaderReceived && len(ran[c.id]) == 0 && !f.noDisruptions(c.entry, c.sentAt, c.endedAt)
		switch {
		case c.response.Err != nil && !closedUnread:
			found.add("%s at entry-%d broke off without a fault (header received %v, new connection %v): %v", c.id, c.entry+1, c.response.HeaderReceived, c.newConn, c.response.Err)
		case c.kind == resumedKind: // the upstreams of its version may have ended with the fault that broke it off
		case c.response.Status != http.StatusOK && !closedUnread && f.noDisruptions(c.entry, c.sentAt, c.endedAt):
			found.add("%s at entry-%d was answered with status %d without a fault or planned work", c.id, c.entry+1, c.response.Status)
		}
	}
}

// judgeLeaving checks that a leaving server receives no new requests after its drain time from
// entries that no fault kept from learning of it.
func (f *fleet) judgeLeaving(found *findings, ran map[string][]execution) {
	for _, c := range f.calls {
		for _, r := range ran[c.id] {
			for _, l := range f.leaves {
				afterDrain := r.at.After(l.at.Add(fleetDrainTime + judgeSlack))
				if r.server == l.server && afterDrain && f.noFaults(c.entry, l.at, r.at) {
					found.add("%s reached %s %v after the server had registered that it leaves", c.id, l.server.Entry.ID, r.at.Sub(l.at))
				}
			}
		}
	}
}

// judgeVersions checks that no process reverts to an older version of the configuration, and
// that each version comes into force in time at each process that no fault affects.
func (f *fleet) judgeVersions(found *findings) {
	type seen struct {
		generation      int
		sentAt, endedAt time.Time
		id              string
	}
	byIncarnation := make(map[[2]int][]seen)
	for _, c := range f.calls {
		if c.kind != "probe" || c.response.Status != http.StatusOK || c.response.Err != nil {
			continue
		}
		text, _ := strings.CutPrefix(c.response.Body, "answer of generation-")
		text, _, _ = strings.Cut(text, ".")
		g, err := strconv.Atoi(text)
		if err != nil {
			found.add("%s was answered by the server of no version: %q", c.id, c.response.Body)
			continue
		}
		incarnationID := [2]int{c.entry, c.incarnation}
		byIncarnation[incarnationID] = append(byIncarnation[incarnationID], seen{generation: g, sentAt: c.sentAt, endedAt: c.endedAt, id: c.id})
		for _, v := range f.configs {
			if due := v.at.Add(configTimeout + judgeSlack); c.sentAt.After(due) && v.generation > g && f.noFaults(c.entry, v.at, c.sentAt) {
				found.add("%s was answered under version %d, %v after version %d was written", c.id, g, c.sentAt.Sub(v.at), v.generation)
			}
		}
	}
	for _, all := range byIncarnation {
		slices.SortFunc(all, func(a, b seen) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
		for i, late := range all {
			for _, early := range all[:i] {
				if early.endedAt.Before(late.sentAt) && early.generation > late.generation {
					found.add("%s reverted from version %d to %d", late.id, early.generation, late.generation)
				}
			}
		}
	}
}

// cleanExit is the state of a process that stopped in order.
const cleanExit = "exit status 0"

// lastWords are what the runtime writes to standard error when it finds a race or ends the process, and
// what the log has of a loop that panicked or ended.
var lastWords = []string{"WARNING: DATA RACE", "panic: ", "fatal error: ", direct.LoopFailureMessage, direct.BackgroundPanicMessage}

// judgeProcesses checks that no process exits unless it was stopped, that it exits in time and in
// order after SIGTERM, and that its log has one end for each request that it accepted.
func (f *fleet) judgeProcesses(found *findings) {
	for _, h := range f.entries {
		for _, l := range h.incarnations {
			l.mu.Lock()
			affected := !f.noFaults(h.index, l.stopRequestedAt, l.exitedAt)
			if took := l.exitedAt.Sub(l.stopRequestedAt); !l.stopRequestedAt.IsZero() && !l.exitedAt.IsZero() && !affected && took > fleetStopTimeout+judgeSlack {
				found.add("%s took %v to stop", h.name, took)
			}
			if l.panics > 0 {
				found.add("%d handlers of %s panicked", l.panics, h.name)
			}
			if hasExited(l) && !l.killed && (l.stopRequestedAt.IsZero() || l.exitState != cleanExit) {
				found.add("%s exited by itself, or not in order: %s", h.name, l.exitState)
			}
			for _, words := range lastWords {
				if text, err := os.ReadFile(l.logPath); err != nil || bytes.Contains(text, []byte(words)) {
					found.add("%q in the log of %s, or no log: %v", words, h.name, err)
				}
			}
			for id, n := range l.acceptCounts {
				if ends := l.endCounts[id]; !l.killed && hasExited(l) && ends != n || ends > n {
					found.add("%s at %s was accepted %d times and ended %d times", id, h.name, n, ends)
				}
			}
			l.mu.Unlock()
		}
	}
}
