package retry

import (
	"slices"
	"sync"
)

// Crashes attributes the deaths of upstreams to requests. U identifies a start of an upstream, and R
// a request. The zero value is ready to use; it must not be copied. It is safe for concurrent use.
type Crashes[U, R comparable] struct {
	// Ledger holds the evidence of deaths from all processes, by which requests are blocked.
	Ledger Ledger

	mu sync.Mutex // leaf lock: no other lock is acquired while it is held
	// running holds, for each upstream, this process's requests there and their identities.
	running map[U]map[R]Identity
	// checks holds the checks in progress of whether an upstream has died.
	checks map[U]*deathCheck
	// local is the evidence of the deaths that this process observed itself; noticePending means
	// that it has to be sent to the other processes.
	local         Record
	noticePending bool
}

// deathCheck is a check of whether an upstream has died, with the requests that failed there.
type deathCheck struct {
	identities []Identity
	done       chan struct{}
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
func (c *Crashes[U, R]) RequestStarted(id U, r R, identity Identity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[U]map[R]Identity)
	}
	if c.running[id] == nil {
		c.running[id] = make(map[R]Identity)
	}
	c.running[id][r] = identity
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

// BeginCheck adds a request that failed at an upstream, and the others that run there, to the check
// of whether the upstream has died. first means that the caller has to check, and to call EndCheck;
// otherwise a check is in progress. done is closed when it has ended.
//
// The requests of an upstream that died fail one after the other, and one check serves all.
func (c *Crashes[U, R]) BeginCheck(id U, r R, identity Identity) (first bool, done <-chan struct{}) {
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
	check.identities = append(check.identities, identity)
	for other, otherIdentity := range c.running[id] {
		if other != r {
			check.identities = append(check.identities, otherIdentity)
		}
	}
	return first, check.done
}

// EndCheck ends the check of an upstream. It passes the identities of the requests that failed or
// ran there during the check to record before those that wait for the check go on.
func (c *Crashes[U, R]) EndCheck(id U, record func([]Identity)) {
	c.mu.Lock()
	check := c.checks[id]
	delete(c.checks, id)
	slices.Sort(check.identities)
	check.identities = slices.Compact(check.identities)
	c.mu.Unlock()
	record(check.identities)
	close(check.done)
}
