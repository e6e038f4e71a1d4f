package retry

import "sync"

// Crashes attributes the deaths of upstreams to requests: U names a start of an upstream,
// R a request. The zero value is ready to use; it must not be copied.
type Crashes[U, R comparable] struct {
	// Ledger has the evidence of all processes.
	Ledger Ledger

	mu      sync.Mutex // a leaf
	running map[U]map[R]Identity
	// own is what this process saw itself; telling says that it is being told to
	// the others.
	own     Record
	telling bool
}

// deathsTold bounds the deaths in a notice, the newest kept: the callers of
// a request that crashes what runs it send it again within seconds.
const deathsTold = 8

// RecordDeath takes in a death that this process saw, and says whether it is to be told.
func (c *Crashes[U, R]) RecordDeath(d Death) bool {
	c.Ledger.RecordDeath(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = c.own.Merge(Record{Deaths: []Death{d}})
	c.own.Deaths = c.own.Deaths[:min(len(c.own.Deaths), deathsTold)]
	first := !c.telling
	c.telling = true
	return first
}

// TakeNotice gives what is to be told now.
func (c *Crashes[U, R]) TakeNotice() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.telling = false
	return c.own
}

// HasDeaths says whether this process saw upstreams die.
func (c *Crashes[U, R]) HasDeaths() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.own.Deaths) > 0
}

// Begin notes that an upstream has a request, End that it has it no more.
func (c *Crashes[U, R]) Begin(id U, r R, identity Identity) {
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

// End notes that an upstream has a request no more.
func (c *Crashes[U, R]) End(id U, r R) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[id], r)
	if len(c.running[id]) == 0 {
		delete(c.running, id)
	}
}

// RunningOn gives what an upstream has of this process's, the given request included.
func (c *Crashes[U, R]) RunningOn(id U, r R, identity Identity) []Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := []Identity{identity}
	for other, its := range c.running[id] {
		if other != r {
			all = append(all, its)
		}
	}
	return all
}
