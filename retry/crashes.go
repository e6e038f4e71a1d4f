package retry

import (
	"slices"
	"sync"
	"time"
)

// Crashes attributes the deaths of upstreams to requests. U identifies a start of an upstream, and R
// a request. The zero value is ready to use; it must not be copied. It is safe for concurrent use.
type Crashes[U, R comparable] struct {
	// Ledger holds the evidence of deaths from all processes, by which requests are blocked.
	Ledger Ledger

	mu sync.Mutex // leaf lock: no other lock is acquired while it is held
	// running holds, for each upstream, this process's requests there.
	running map[U]map[R]*run
	// checks holds the checks in progress of whether an upstream has died.
	checks map[U]*deathCheck
	// local is the evidence of the deaths that this process observed itself; noticePending means
	// that it has to be sent to the other processes.
	local         Record
	noticePending bool
}

// run is a request of this process at an upstream.
type run struct {
	work   Work
	sentAt time.Time
	// sound means that the parts of its prompt have proved sound.
	sound bool
}

// deathCheck is a check of whether an upstream has died, with the requests that failed or ran there.
type deathCheck struct {
	runs []*run
	done chan struct{}
}

// maxDeathsInNotice bounds the deaths in a notice; see boundDeaths. A few are enough, since the callers
// of a request that crashes upstreams send it again within seconds.
const maxDeathsInNotice = 8

// RecordDeath records a death that this process observed. It reports whether the caller has to send
// a notice of it to the other processes; it does not while a notice is pending.
func (c *Crashes[U, R]) RecordDeath(d Death) bool {
	c.Ledger.RecordDeath(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(Record{Deaths: []Death{d}})
	first := !c.noticePending
	c.noticePending = true
	return first
}

// Observed returns the newest deaths that this process observed.
func (c *Crashes[U, R]) Observed() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.local
}

// TakeNotice returns the evidence of deaths to send to the other processes now, and clears the
// pending notice.
func (c *Crashes[U, R]) TakeNotice() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noticePending = false
	return c.local
}

// Restore adds what an earlier run of this process observed, so that later notices contain it.
func (c *Crashes[U, R]) Restore(evidence Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(evidence)
}

// observe adds deaths to those that this process observed. c.mu must be held.
func (c *Crashes[U, R]) observe(evidence Record) {
	c.local = c.local.Merge(Record{Deaths: evidence.Deaths})
	c.local.Deaths = boundDeaths(c.local.Deaths, maxDeathsInNotice)
}

// HasDeaths reports whether this process observed any deaths of upstreams.
func (c *Crashes[U, R]) HasDeaths() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.local.Deaths) > 0
}

// RequestStarted records that an upstream has a request of this process, until RequestEnded.
func (c *Crashes[U, R]) RequestStarted(now time.Time, id U, r R, work Work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[U]map[R]*run)
	}
	if c.running[id] == nil {
		c.running[id] = make(map[R]*run)
	}
	c.running[id][r] = &run{work: work, sentAt: now}
}

// PartsProvedSound records that a request has written its answer for SoundAfter, so that the parts of
// its prompt are not the cause if the upstream dies now.
func (c *Crashes[U, R]) PartsProvedSound(id U, r R) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.running[id][r]; x != nil {
		x.sound = true
	}
}

// RequestEnded records that an upstream no longer has a request of this process.
func (c *Crashes[U, R]) RequestEnded(id U, r R) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[id], r)
	if len(c.running[id]) == 0 {
		delete(c.running, id)
	}
}

// BeginCheck adds the requests that run at an upstream, one of which has failed, to the check of
// whether the upstream has died. first means that the caller has to check, and to call EndCheck;
// otherwise a check is in progress. done is closed when it has ended.
//
// The requests of an upstream that died fail one after the other, and one check serves all.
func (c *Crashes[U, R]) BeginCheck(id U) (first bool, done <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.checks[id]
	if first = check == nil; first {
		check = &deathCheck{done: make(chan struct{})}
		if c.checks == nil {
			c.checks = make(map[U]*deathCheck)
		}
		c.checks[id] = check
	}
	for _, x := range c.running[id] {
		check.runs = append(check.runs, x)
	}
	return first, check.done
}

// EndCheck ends the check of an upstream that failed at a time. It passes what it knows of the death, if
// the upstream died then, to record before those that wait for the check go on: the requests that
// failed or ran there during the check, without the upstream's name. The parts of those that were sent
// later are not the cause.
func (c *Crashes[U, R]) EndCheck(failedAt time.Time, id U, record func(Death)) {
	c.mu.Lock()
	check := c.checks[id]
	delete(c.checks, id)
	d := Death{Time: failedAt}
	for _, x := range check.runs {
		d.Running = append(d.Running, x.work.Identity)
		if age := failedAt.Sub(x.sentAt); len(x.work.Parts) > 0 && !x.sound && age >= 0 {
			d.Prompts = append(d.Prompts, Prompt{Request: x.work.Identity, Age: age, Parts: x.work.Parts})
		}
	}
	c.mu.Unlock()
	slices.Sort(d.Running)
	d.Running = slices.Compact(d.Running)
	d.Prompts = mergePrompts(d.Prompts)
	d.Established = c.Ledger.Established(d.Prompts)
	record(d)
	close(check.done)
}
