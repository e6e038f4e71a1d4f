package pacer

import (
	"sync"
	"time"
)

const (
	// LookEvery is how often a process that counts for others looks for them, and
	// lookIdle when it stops since nobody asks any more.
	LookEvery = time.Second
	lookIdle  = 10 * time.Second
	// lookStale is when what was found tells nothing any more.
	lookStale = 3 * LookEvery
)

// Watch is which other processes this one reaches, while it counts for all: looks are made
// each LookEvery while some key is wanted. The zero value is ready to use; it must not be
// copied.
//
// Failure: a process that counts is cut off, and another one takes its place; or only the
// way between the two is cut, and both count. Each asks others, at random, whether they
// reach the one that it misses, so that silence on one way is not taken for a loss.
type Watch[ID comparable] struct {
	mu sync.Mutex // a leaf
	// at is the time of the last look.
	at    time.Time
	seen  Sight[ID]
	woken chan struct{}
	// wanted are the keys for which it matters, and when it last did.
	wanted map[string]time.Time
}

// Want has looks made for some time, since this process counts by the key.
func (w *Watch[ID]) Want(now time.Time, key string) {
	w.mu.Lock()
	if w.wanted == nil {
		w.wanted = make(map[string]time.Time)
	}
	idle := len(w.wanted) == 0
	w.wanted[key] = now
	w.mu.Unlock()
	if idle {
		w.Wake()
	}
}

// Keys gives those that were wanted lately.
func (w *Watch[ID]) Keys(now time.Time) (keys []string) {
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

// Wake has a look made now, and others after it.
func (w *Watch[ID]) Wake() {
	select {
	case w.Bell() <- struct{}{}:
	default:
	}
}

func (w *Watch[ID]) Bell() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken == nil {
		w.woken = make(chan struct{}, 1)
	}
	return w.woken
}

// Found takes what a look found, and says whether it differs from the last.
func (w *Watch[ID]) Found(now time.Time, g Sight[ID]) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed = !g.Equal(w.seen)
	w.at, w.seen = now, g
	return changed
}

// Standing gives how sure this process can be to be the only one that counts, where others
// go before it.
func (w *Watch[ID]) Standing(now time.Time, before []ID) Standing {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.at) > lookStale {
		return Unlooked(len(before))
	}
	return w.seen.Standing(before)
}
