// Package assign distributes the work of many processes over the engines of a pool. One
// process, the owner of the shard's key, tracks for all processes what has been assigned
// to each engine and has not finished.
//
// Without it, many processes send prompts to a few engines and none knows what the others
// have sent. Each balances its own prompts, but together their choices are random: at half
// of the engines' throughput, one prompt in four waits for another prompt while other
// engines are idle. Prompts take twice as long as they need, and those that exceed their
// time limit are prefilled again elsewhere, which delays others. The engines' own reports
// do not help: they are a second old, many times the duration of the work they report.
//
// Load is counted in unfinished tokens and not by the time at which work should finish, so
// an engine that has become slow keeps its backlog and receives less. A process that
// crashes never reports the end of its work; its assignments expire.
//
// Engines may differ in speed. If the time per token of each engine is given, work goes to
// the engine that is expected to finish it first. Without that, prompts queue at slow engines
// that have few tokens left, and time out there.
//
// # Usage
//
//	var tr assign.Tracker
//	w := assign.Work{Tokens: 5000, PerToken: 20 * time.Microsecond, TTL: time.Second}
//	a := tr.Assign(now, engines, w, random)
//	if !a.Found() { ... }
//	...
//	tr.Finish(a.Ticket) // when the work has succeeded or failed
//
// The package reads no clock and draws no random numbers of its own.
package assign

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Engine is a candidate for an assignment.
type Engine struct {
	ID string
	// ExtraLatency is the expected time in addition to the engine's backlog: the network
	// latency to it, and the expected cost of a failed attempt.
	ExtraLatency time.Duration
	// PerToken is the time that this engine takes for one token; zero for Work.PerToken.
	PerToken time.Duration
}

func (e Engine) perToken(w Work) time.Duration {
	if e.PerToken > 0 {
		return e.PerToken
	}
	return w.PerToken
}

// Work describes the work to assign.
type Work struct {
	// Tokens is the number of tokens that the engine has to process.
	Tokens int
	// PerToken is the time that an engine takes for one token if its own time is unknown.
	PerToken time.Duration
	// TTL is the time after which the assignment expires if its end is not reported.
	TTL time.Duration
}

// Ticket identifies an assignment; zero stands for no assignment.
type Ticket uint64

// Assignment is the result of Assign.
type Assignment struct {
	Engine string `json:"engine"`
	Ticket Ticket `json:"ticket"`
	// QueueDelay is the estimated time until the engine starts the work.
	QueueDelay time.Duration `json:"ahead"`
	// PerToken is the engine's time for one token if it was given, and AheadTokens the
	// number of unfinished tokens that were assigned to it before.
	PerToken    time.Duration `json:"per_token,omitempty"`
	AheadTokens int           `json:"ahead_tokens,omitempty"`
}

// Found reports whether the work was assigned to an engine.
func (a Assignment) Found() bool { return a.Ticket != 0 }

// Tracker records the work that has been assigned to the engines of a pool. The zero value
// is empty and ready to use; it must not be copied. It is safe for concurrent use; its lock
// is a leaf lock, under which no other is acquired.
type Tracker struct {
	mu          sync.Mutex
	assignments map[Ticket]assignment
	// backlog is the number of unfinished tokens of each engine.
	backlog    map[string]int
	lastTicket Ticket
	lastSweep  time.Time
}

type assignment struct {
	engine        string
	tokens, ahead int
	expiresAt     time.Time
}

// Completion is what is known of an assignment that ended.
type Completion struct {
	Engine string
	// Tokens is the number of tokens that were assigned, and Ahead the number of unfinished
	// tokens that were assigned to the engine before.
	Tokens, Ahead int
}

const (
	// sweepInterval is the minimum time between two sweeps; each examines all assignments.
	sweepInterval = 50 * time.Millisecond
	// scoreJitter bounds the random time added to each engine's score, which selects
	// randomly among nearly equal engines. It is less than the latency of a message.
	scoreJitter = time.Millisecond
	// ticketSpareBits are the high bits that are zero in a tracker's first ticket, so that
	// it can count up from there. The first ticket is random, so that a Finish meant for
	// the tracker of a crashed process finishes nothing on its successor.
	ticketSpareBits = 16
)

// Assign assigns work to the engine that is expected to finish it first. Without engines it
// returns the zero Assignment.
func (tr *Tracker) Assign(now time.Time, engines []Engine, w Work, random *rand.Rand) Assignment {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.removeExpired(now)
	best, lowest := -1, time.Duration(0)
	for i, e := range engines {
		score := e.ExtraLatency + time.Duration(tr.backlog[e.ID]+w.Tokens)*e.perToken(w) + time.Duration(random.Int64N(int64(scoreJitter)))
		if best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	if best < 0 {
		return Assignment{}
	}
	e := engines[best]
	ahead := tr.backlog[e.ID]
	if tr.lastTicket == 0 {
		tr.lastTicket = Ticket(random.Uint64() >> ticketSpareBits)
	}
	tr.addAssignment(now, e.ID, w)
	return Assignment{Engine: e.ID, Ticket: tr.lastTicket, QueueDelay: time.Duration(ahead) * e.perToken(w), PerToken: e.PerToken, AheadTokens: ahead}
}

func (tr *Tracker) addAssignment(now time.Time, id string, w Work) {
	if tr.assignments == nil {
		tr.assignments, tr.backlog = make(map[Ticket]assignment), make(map[string]int)
	}
	tr.lastTicket++
	tr.assignments[tr.lastTicket] = assignment{engine: id, tokens: w.Tokens, ahead: tr.backlog[id], expiresAt: now.Add(w.TTL)}
	tr.backlog[id] += w.Tokens
}

// Finish removes an assignment from its engine's backlog and returns what is known of it.
// Repeated calls and unknown tickets have no effect and return false.
func (tr *Tracker) Finish(t Ticket) (Completion, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	a, known := tr.assignments[t]
	tr.removeAssignment(t)
	return Completion{Engine: a.engine, Tokens: a.tokens, Ahead: a.ahead}, known
}

func (tr *Tracker) removeAssignment(t Ticket) {
	a, known := tr.assignments[t]
	if !known {
		return
	}
	delete(tr.assignments, t)
	if tr.backlog[a.engine] -= a.tokens; tr.backlog[a.engine] <= 0 {
		delete(tr.backlog, a.engine)
	}
}

// removeExpired removes expired assignments. Without it, an engine whose work was assigned to a
// process that crashed, or whose Finish message was lost, would count as busy forever and
// receive nothing.
func (tr *Tracker) removeExpired(now time.Time) {
	if now.Sub(tr.lastSweep) < sweepInterval {
		return
	}
	tr.lastSweep = now
	for t, a := range tr.assignments {
		if !now.Before(a.expiresAt) {
			tr.removeAssignment(t)
		}
	}
}
