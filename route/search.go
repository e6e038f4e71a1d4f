package route

import "time"

// CapacityBackoff bounds what one process asks of the engines of a pool when its requests
// look for room: how many engines, and how soon the same one again.
//
// Load pattern: engines are full, and each of many processes asks one after the
// other, as often as it can. An engine that refused is free for the same process
// again before a round over a large pool is over, so that a request asks until its
// caller leaves, and never learns that there is no room. With 86 engines and 68
// processes a request asked 1,392 times in 3.6 s, and the processes' time and most
// of their new connections went into asking.
//
// The pool as a whole is asked at a steady rate, whatever the number of processes
// and engines: each engine so many times a second by all of them together. The
// zero value is one process that asks.
type CapacityBackoff struct {
	// Processes is the number of processes that ask.
	Processes int
}

const (
	// searchEvery is the time between two questions to a full engine, from all
	// processes together. An engine gives back a place every 300 to 500 ms; asked
	// more seldom, a place stays empty for long, and asked more often, most answers
	// say what is known.
	searchEvery = 20 * time.Millisecond
	// searchLeast is the least time between two questions of one process.
	searchLeast = 80 * time.Millisecond
	// MaxEnginesPerSearch is how many engines one look asks. Where as many as that, drawn
	// from the whole pool, have no room, fewer than one in ten has any, and the
	// answer to the caller is worth more than a longer search.
	MaxEnginesPerSearch = 8
)

// Interval is how long an engine that has no room is not asked again.
func (s CapacityBackoff) Interval() time.Duration {
	return max(searchLeast, time.Duration(s.Processes)*searchEvery)
}
