// Package assign shares the work of many processes out over the engines of a pool.
// One process tracks for all of them what each engine was given and has not ended.
//
// Load pattern: many processes send prompts to a few engines, and none of them knows
// what the others sent. Each chooses well by what it has there itself, and together
// they draw at random: at half of the engines' speed one prompt in four waits for
// another, while engines beside it idle. It shows as prompts that take twice as long
// as they need, some of them past the time that they are given, which are then read
// again elsewhere and make the others wait. The report of an engine is a second old,
// many times the work that it tells of.
//
// Work is counted in tokens that are not ended, and not by the time at which it
// should be done: an engine that has turned slow keeps what it has and gets less. A
// process that is lost ends nothing: what it was given lapses.
//
// # Usage
//
//	var k assign.Tracker
//	a := k.Assign(now, engines, assign.Work{Tokens: 5000, Each: 20 * time.Microsecond, Within: time.Second}, random)
//	if !a.Found() { ... }
//	...
//	k.End(a.Ticket) // whatever came of it
//
// The package reads no clock and draws no random numbers of its own.
package assign

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Engine is one that may be given work.
type Engine struct {
	ID string
	// ExtraLatency is the time that it costs beside the work before: to reach it, or to try
	// again where it fails.
	ExtraLatency time.Duration
}

// Work is what is to be given.
type Work struct {
	Tokens int
	// PerToken is the time that an engine takes for a token.
	PerToken time.Duration
	// TTL is when the work is over, whether its end is told or not.
	TTL time.Duration
}

// Ticket names work that was given; zero is none.
type Ticket uint64

// Assignment is the answer to a request for an engine.
type Assignment struct {
	Engine string `json:"engine"`
	Ticket Ticket `json:"ticket"`
	// QueueDelay is the time until the engine begins with it.
	QueueDelay time.Duration `json:"ahead"`
}

// Found says whether there was an engine.
func (g Assignment) Found() bool { return g.Ticket != 0 }

// Tracker knows what the engines of a pool were given. The zero value is empty and ready
// to use; it must not be copied. It is safe for concurrent use; its lock is a leaf.
type Tracker struct {
	mu    sync.Mutex
	given map[Ticket]given
	// tokens are those of each engine that are not ended.
	tokens map[string]int
	last   Ticket
	swept  time.Time
}

type given struct {
	engine string
	tokens int
	until  time.Time
}

const (
	// sweepEvery is how often work that lapsed is looked for: all is looked through.
	sweepEvery = 50 * time.Millisecond
	// alike is the time by which engines may differ and be drawn from at random: a
	// message takes longer.
	alike = time.Millisecond
	// ticketSpare leaves a tracker room to count up from its first ticket. The first is
	// drawn, so that word for one that was lost ends nothing on the one after it.
	ticketSpare = 16
)

// Assign gives work to the engine that will be done with it first; none where there
// are no engines.
func (k *Tracker) Assign(now time.Time, engines []Engine, w Work, random *rand.Rand) Assignment {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sweep(now)
	best, least := -1, time.Duration(0)
	for i, e := range engines {
		score := e.ExtraLatency + time.Duration(k.tokens[e.ID])*w.PerToken + time.Duration(random.Int64N(int64(alike)))
		if best < 0 || score < least {
			best, least = i, score
		}
	}
	if best < 0 {
		return Assignment{}
	}
	id := engines[best].ID
	ahead := time.Duration(k.tokens[id]) * w.PerToken
	if k.last == 0 {
		k.last = Ticket(random.Uint64() >> ticketSpare)
	}
	k.add(now, id, w)
	return Assignment{Engine: id, Ticket: k.last, QueueDelay: ahead}
}

func (k *Tracker) add(now time.Time, id string, w Work) {
	if k.given == nil {
		k.given, k.tokens = make(map[Ticket]given), make(map[string]int)
	}
	k.last++
	k.given[k.last] = given{engine: id, tokens: w.Tokens, until: now.Add(w.TTL)}
	k.tokens[id] += w.Tokens
}

// Finish notes the end of work, once.
func (k *Tracker) Finish(t Ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end(t)
}

func (k *Tracker) end(t Ticket) {
	g, known := k.given[t]
	if !known {
		return
	}
	delete(k.given, t)
	if k.tokens[g.engine] -= g.tokens; k.tokens[g.engine] <= 0 {
		delete(k.tokens, g.engine)
	}
}

// sweep ends what has lapsed.
//
// Failure: the process that was given work is killed, or its word of the end is lost.
// It shows as an engine that seems busy for good and gets nothing.
func (k *Tracker) sweep(now time.Time) {
	if now.Sub(k.swept) < sweepEvery {
		return
	}
	k.swept = now
	for t, g := range k.given {
		if !now.Before(g.until) {
			k.end(t)
		}
	}
}
