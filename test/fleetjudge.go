package test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

const (
	// settleTime is how long after a fault it may still show.
	settleTime = 3 * time.Second
	// judgeSlack is for timers and for messages on the way.
	judgeSlack = 500 * time.Millisecond
	// inForce is how long a version of the configuration may take.
	inForce = 2 * time.Second
	// recovers is how long after all faults every kind must be served again.
	recovers = 6 * time.Second
)

// findings are what broke a promise.
type findings []string

func (f *findings) add(format string, args ...any) { *f = append(*f, fmt.Sprintf(format, args...)) }

// Err gives all findings as one error; nil for none.
func (f findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(strings.Join(f, "\n"))
}

// where is where and when a request ran.
type where struct {
	server *fake.Server
	at     time.Time
}

// judge waits until the fleet has settled, and holds what callers and servers
// saw against each promise.
func (f *fleet) judge() findings {
	var found findings
	f.judgeRecovery(&found)
	f.judgeFreed(&found)
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := f.ran()
	f.judgeRuns(&found, ran)
	f.judgeAnswers(&found)
	f.judgeCalm(&found, ran)
	f.judgeLeaving(&found, ran)
	f.judgeVersions(&found)
	f.judgeLimits(&found)
	f.judgeStated(&found)
	f.judgeProcesses(&found)
	return found
}

// tally says in a line what the callers saw.
func (f *fleet) tally() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int)
	for _, c := range f.calls {
		switch {
		case c.kind == "probe":
			counts["probes"]++
		case c.left:
			counts["given up"]++
		case c.got.Err != nil:
			counts["broken off"]++
		case c.got.Stamped:
			counts["answered"]++
		default:
			counts[fmt.Sprintf("refused with %d", c.got.Status)]++
		}
	}
	return fmt.Sprint(counts)
}

func (f *fleet) ran() map[string][]where {
	all := make(map[string][]where)
	for _, s := range f.past {
		for _, r := range s.Runs() {
			all[r.ID] = append(all[r.ID], where{server: s, at: r.At})
		}
	}
	return all
}

// judgeRecovery: after the faults each kind is served through each entry.
func (f *fleet) judgeRecovery(found *findings) {
	for _, h := range f.entries {
		for _, kind := range fleetKinds {
			until := time.Now().Add(recovers)
			for n := 0; ; n++ {
				one := call1(fmt.Sprintf("recovery-%d-%s-%d", h.index, kind, n), kind)
				l := h.now()
				one.entry, one.incarnation = h.index, l.number
				c := &fake.Caller{To: l.listen}
				one = f.call(c, one, false, nil)
				c.Close()
				if one.got.Status == http.StatusOK {
					break
				}
				if time.Now().After(until) {
					found.add("not recovered: %s through %s: status %d, %v", kind, h.name, one.got.Status, one.got.Err)
					break
				}
				group.Sleep(f.w.ctx, 50*time.Millisecond)
			}
		}
	}
}

// judgeFreed: no engine goes on with work whose caller is gone.
func (f *fleet) judgeFreed(found *findings) {
	for until := time.Now().Add(settleTime); ; group.Sleep(f.w.ctx, 20*time.Millisecond) {
		running := 0
		f.mu.Lock()
		for _, s := range f.past {
			running += s.Streams()
		}
		f.mu.Unlock()
		if running == 0 {
			return
		}
		if time.Now().After(until) {
			found.add("%d streams still run", running)
			return
		}
	}
}

// promised are the statuses that say that a request has not run and will not.
func promised(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeRuns: what may not be repeated ran once at the most, what was said not
// to have run did not, and nothing ran that nobody asked for.
func (f *fleet) judgeRuns(found *findings, ran map[string][]where) {
	asked := make(map[string]bool)
	for _, c := range f.calls {
		asked[c.id] = true
		runs := len(ran[c.id])
		if (c.kind == "once" || c.kind == "stream") && runs > 1 {
			found.add("%s ran %d times", c.id, runs)
		}
		if promised(c.got.Status) && !c.got.Stamped && runs > 0 && (c.kind == "once" || c.kind == "stream") {
			found.add("%s ran, and its caller was told %d", c.id, c.got.Status)
		}
	}
	for id := range ran {
		if !asked[id] {
			found.add("%s ran, and nobody asked for it", id)
		}
	}
}

// judgeAnswers: a whole answer is the server's, to this request.
func (f *fleet) judgeAnswers(found *findings) {
	for _, c := range f.calls {
		switch {
		case c.got.HeaderReceived && c.got.Status >= 300 && c.got.Status < 500 && !promised(c.got.Status):
			found.add("%s was denied with %d", c.id, c.got.Status)
		case c.got.Status != http.StatusOK || c.got.Err != nil:
		case !c.got.Stamped:
			found.add("%s has a success that no server signed", c.id)
		case !c.whole():
			found.add("%s has an answer that is not its own, or not whole: %q", c.id, c.got.Body)
		}
	}
}

// whole says whether the body is all of the answer to this call.
func (c fleetCall) whole() bool {
	if c.kind != "stream" && c.kind != "resumed" {
		return strings.HasPrefix(c.got.Body, "answer of ") && strings.HasSuffix(c.got.Body, " to "+c.method+" "+c.target+" "+c.body)
	}
	var b strings.Builder
	for n := 1; n <= fake.Events; n++ {
		b.WriteString(fake.Event(c.target, n))
	}
	return c.got.Body == b.String()
}

// judgeCalm: without faults each request that an entry has read gets its end,
// also while the entry stops; and where nothing at all goes on, its answer.
func (f *fleet) judgeCalm(found *findings, ran map[string][]where) {
	for _, c := range f.calls {
		if c.left || !f.calm(c.entry, c.sent, c.ended) {
			continue
		}
		// A request that meets the close of a kept connection was never read; one
		// on a connection that is refused was never taken.
		crossed := c.got.Err != nil && !c.got.HeaderReceived && len(ran[c.id]) == 0 && !f.idle(c.entry, c.sent, c.ended)
		switch {
		case c.got.Err != nil && !crossed:
			found.add("%s at entry-%d broke off in calm (read %v, fresh %v): %v", c.id, c.entry+1, c.got.HeaderReceived, c.fresh, c.got.Err)
		case c.got.Status != http.StatusOK && !crossed && f.idle(c.entry, c.sent, c.ended):
			found.add("%s at entry-%d was answered %d in calm", c.id, c.entry+1, c.got.Status)
		}
	}
}

// judgeLeaving: a server that leaves gets nothing new after a while, by entries
// that could know it.
func (f *fleet) judgeLeaving(found *findings, ran map[string][]where) {
	for _, c := range f.calls {
		for _, r := range ran[c.id] {
			for _, l := range f.leaves {
				late := r.at.After(l.at.Add(fleetDrain + judgeSlack))
				if r.server == l.server && late && f.calm(c.entry, l.at, r.at) {
					found.add("%s reached %s %v after that had registered to leave", c.id, l.server.Entry.ID, r.at.Sub(l.at))
				}
			}
		}
	}
}

// judgeVersions: no process goes back behind a version that showed, and one that
// nothing keeps from it has each in force in time.
func (f *fleet) judgeVersions(found *findings) {
	type seen struct {
		generation  int
		sent, ended time.Time
		id          string
	}
	of := make(map[[2]int][]seen)
	for _, c := range f.calls {
		if c.kind != "probe" || c.got.Status != http.StatusOK || c.got.Err != nil {
			continue
		}
		text, _ := strings.CutPrefix(c.got.Body, "answer of generation-")
		text, _, _ = strings.Cut(text, ".")
		g, err := strconv.Atoi(text)
		if err != nil {
			found.add("%s was answered by none of the versions: %q", c.id, c.got.Body)
			continue
		}
		at := [2]int{c.entry, c.incarnation}
		of[at] = append(of[at], seen{generation: g, sent: c.sent, ended: c.ended, id: c.id})
		for _, v := range f.configs {
			if due := v.at.Add(inForce + judgeSlack); c.sent.After(due) && v.generation > g && f.calm(c.entry, v.at, c.sent) {
				found.add("%s was served by version %d, %v after version %d", c.id, g, c.sent.Sub(v.at), v.generation)
			}
		}
	}
	for _, all := range of {
		slices.SortFunc(all, func(a, b seen) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
		for i, late := range all {
			for _, early := range all[:i] {
				if early.ended.Before(late.sent) && early.generation > late.generation {
					found.add("%s went back from version %d to %d", late.id, early.generation, late.generation)
				}
			}
		}
	}
}

// judgeProcesses: a process that is asked to stop ends in time, and each request
// that one accepted has one end in its log.
func (f *fleet) judgeProcesses(found *findings) {
	for _, h := range f.entries {
		for _, l := range h.incarnations {
			l.mu.Lock()
			frozen := !f.calm(h.index, l.asked, l.left)
			if took := l.left.Sub(l.asked); !l.asked.IsZero() && !l.left.IsZero() && !frozen && took > fleetStop+judgeSlack {
				found.add("%s took %v to stop", h.name, took)
			}
			for id, n := range l.accepted {
				if ends := l.ended[id]; !l.killed && ended(l) && ends != n || ends > n {
					found.add("%s at %s was accepted %d times and ended %d times", id, h.name, n, ends)
				}
			}
			l.mu.Unlock()
		}
	}
}
