package serve

import "time"

// Delayed gives a value as it was some time ago. The zero value gives the zero
// value of T until a set is old enough. It does no locking.
type Delayed[T any] struct {
	past []dated[T]
}

type dated[T any] struct {
	at    time.Time
	value T
}

// Set records the value from now on.
func (l *Delayed[T]) Set(now time.Time, value T) {
	l.past = append(l.past, dated[T]{at: now, value: value})
}

// At gives the value as it was at the time; the oldest known where that is
// later. It forgets what is older than the value given.
func (l *Delayed[T]) At(t time.Time) T {
	var zero T
	if len(l.past) == 0 {
		return zero
	}
	i := 0
	for i+1 < len(l.past) && !l.past[i+1].at.After(t) {
		i++
	}
	l.past = l.past[i:]
	return l.past[0].value
}
