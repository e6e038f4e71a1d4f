package direct

import (
	"sync"
	"time"
)

// waits knows how long the callers of each route wait when they ask for the
// first time. One that asks again has less time left, and tells by it how long
// ago it first asked. The zero value is ready to use; it must not be copied.
type waits struct {
	mu sync.Mutex // a leaf
	of map[string]time.Duration
}

// waitsFade is how the longest wait known falls with each request, so that one
// caller with far more time does not make all others late for good: by half in
// about 700 requests.
const waitsFade = 0.999

// freshPart is the part of the longest time down to which a request counts as
// asked for the first time: callers of one route differ in how long they wait.
// Taken at its word, a sixth less of 14 s made two in three fresh requests late.
const freshPart = 0.82

// age gives how long ago a caller that waits for so long first asked, at the
// least.
func (w *waits) age(route string, within time.Duration) time.Duration {
	if within <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.of == nil {
		w.of = make(map[string]time.Duration)
	}
	longest := max(time.Duration(waitsFade*float64(w.of[route])), within)
	w.of[route] = longest
	return max(0, time.Duration(freshPart*float64(longest))-within)
}
