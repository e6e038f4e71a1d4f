package serve

import "time"

// Delayed holds the history of a value, so that it can be read as it was at an earlier
// time. It is not safe for concurrent use. Before the first Set, the value is the zero
// value of T.
type Delayed[T any] struct {
	history []timedValue[T]
}

type timedValue[T any] struct {
	at    time.Time
	value T
}

// Set records the value that applies from now on.
func (l *Delayed[T]) Set(now time.Time, value T) {
	l.history = append(l.history, timedValue[T]{at: now, value: value})
}

// At returns the value at time t, or the oldest recorded value if t is before it. It
// discards the values older than the returned one, so that later calls cannot go
// further back.
func (l *Delayed[T]) At(t time.Time) T {
	var zero T
	if len(l.history) == 0 {
		return zero
	}
	i := 0
	for i+1 < len(l.history) && !l.history[i+1].at.After(t) {
		i++
	}
	l.history = l.history[i:]
	return l.history[0].value
}
