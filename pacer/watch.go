package pacer

import (
	"sync"
	"time"
)

const (
	// ProbeInterval is how often a process that counts for others looks for them, and
	// lookIdle when it stops since nobody asks any more.
	ProbeInterval = time.Second
	lookIdle      = 10 * time.Second
	// lookStale is when what was found tells nothing any more.
	lookStale = 3 * ProbeInterval
)

// Prober is which other processes this one reaches, while it counts for all: looks are made
// each ProbeInterval while some key is wanted. The zero value is ready to use; it must not be
// copied.
//
// Failure: a process that counts is cut off, and another one takes its place; or only the
// way between the two is cut, and both count. Each asks others, at random, whether they
// reach the one that it misses, so that silence on one way is not taken for a loss.
type Prober[ID comparable] struct {
	mu sync.Mutex // a leaf
	// at is the time of the last look.
	at    time.Time
	seen  ProbeResult[ID]
	woken chan struct{}
	// wanted are the keys for which it matters, and when it last did.
	wanted map[string]time.Time
}

// Use has looks made for some time, since this process counts by the key.
func (w *Prober[ID]) Use(now time.Time, key string) {
	w.mu.Lock()
	if w.wanted == nil {
		w.wanted = make(map[string]time.Time)
	}
	idle := len(w.wanted) == 0
	w.wanted[key] = now
	w.mu.Unlock()
	if idle {
		w.Trigger()
	}
}

// Keys gives those that were wanted lately.
func (w *Prober[ID]) Keys(now time.Time) (keys []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, at := range w.wanted {
		if now.Sub(at) > lookIdle {
			delete(w.wanted, key)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// Trigger has a look made now, and others after it.
func (w *Prober[ID]) Trigger() {
	select {
	case w.Triggered() <- struct{}{}:
	default:
	}
}

func (w *Prober[ID]) Triggered() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken == nil {
		w.woken = make(chan struct{}, 1)
	}
	return w.woken
}

// SetResult takes what a look found, and says whether it differs from the last.
func (w *Prober[ID]) SetResult(now time.Time, g ProbeResult[ID]) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed = !g.Equal(w.seen)
	w.at, w.seen = now, g
	return changed
}

// Reachability gives how sure this process can be to be the only one that counts, where others
// go before it.
func (w *Prober[ID]) Reachability(now time.Time, before []ID) Reachability {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.at) > lookStale {
		return Unprobed(len(before))
	}
	return w.seen.Reachability(before)
}
