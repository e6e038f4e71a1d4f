package route

import "time"

// CapacityBackoff limits how often one process asks the engines of a pool for
// capacity: how many engines one search asks, and how long the process waits before it
// asks the same full engine again.
//
// When engines are full, many processes ask one engine after another. In a large
// pool, an engine that refused becomes eligible again before the process has asked
// the others, so a request asks until its caller cancels, and is never refused for
// lack of capacity. With 86 engines and 68 processes, one request asked 1,392 times
// in 3.6 s, and most of the processes' time and new connections were spent on
// asking.
//
// Here all processes together ask each engine at a constant rate, regardless of the
// number of processes and engines. The zero value is for one process.
type CapacityBackoff struct {
	// Processes is the number of processes that ask the engines of the pool.
	Processes int
}

const (
	// engineInterval is the time between two calls to a full engine from all
	// processes together. An engine frees a slot every 300 to 500 ms: with a longer
	// interval, slots stay empty for long; with a shorter interval, most
	// calls are refused again.
	engineInterval = 20 * time.Millisecond
	// minBackoff is the shortest time between two calls of one process to a full
	// engine.
	minBackoff = 80 * time.Millisecond
	// MaxEnginesPerSearch is the number of engines that one search asks. If that
	// many, drawn from the whole pool, have no capacity, fewer than one in ten
	// engines has any, and an early refusal serves the caller better than a longer
	// search.
	MaxEnginesPerSearch = 8
	// FastEnginesPerSearch is the number of these that are chosen by their speed. A fast
	// engine frees its memory in less than half of the time of a slow one. If all were
	// chosen by speed, processes would ask the same full engines while slow ones have
	// capacity.
	FastEnginesPerSearch = 4
)

// Interval returns for how long the process does not ask an engine again that
// refused for lack of capacity.
func (s CapacityBackoff) Interval() time.Duration {
	return max(minBackoff, time.Duration(s.Processes)*engineInterval)
}
