package pacer

import (
	"sync"
	"time"
)

const (
	// ProbeInterval is the time between two probes by a process that owns a key, and
	// probeIdleTimeout the time after the last use of its keys at which probing stops.
	ProbeInterval    = time.Second
	probeIdleTimeout = 10 * time.Second
	// maxProbeAge is the age up to which a probe result is used.
	maxProbeAge = 3 * ProbeInterval
)

// Prober schedules probes of other processes and holds their latest result. Probes are due each
// ProbeInterval while a key is in use. The zero value is ready to use; it must not be copied. It
// is safe for concurrent use.
//
// When an owner is partitioned, another process becomes owner in its place; when only the
// connection between the two fails, both are owners. A process that does not reach a peer
// therefore asks others, drawn at random, whether they reach it, so that one failed connection
// does not make the peer unreachable.
type Prober[ID comparable] struct {
	mu sync.Mutex // leaf lock: no other lock is acquired while it is held
	// probedAt is the time of the latest probe.
	probedAt  time.Time
	result    ProbeResult[ID]
	triggered chan struct{}
	// usedAt holds the keys in use, and when each was last used.
	usedAt map[string]time.Time
}

// MarkUsed marks a key as used now: this process is its owner, and probes are due until
// probeIdleTimeout has passed.
func (w *Prober[ID]) MarkUsed(now time.Time, key string) {
	w.mu.Lock()
	if w.usedAt == nil {
		w.usedAt = make(map[string]time.Time)
	}
	idle := len(w.usedAt) == 0
	w.usedAt[key] = now
	w.mu.Unlock()
	if idle {
		w.Trigger()
	}
}

// Keys returns the keys that are in use, and removes keys unused for longer than probeIdleTimeout.
func (w *Prober[ID]) Keys(now time.Time) (keys []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, at := range w.usedAt {
		if now.Sub(at) > probeIdleTimeout {
			delete(w.usedAt, key)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// Trigger requests a probe now, with which the periodic probes begin.
func (w *Prober[ID]) Trigger() {
	select {
	case w.Triggered() <- struct{}{}:
	default:
	}
}

// Triggered returns the channel that receives a value when a probe is requested.
func (w *Prober[ID]) Triggered() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.triggered == nil {
		w.triggered = make(chan struct{}, 1)
	}
	return w.triggered
}

// SetResult stores the result of a probe, and reports whether it differs from the previous one.
func (w *Prober[ID]) SetResult(now time.Time, g ProbeResult[ID]) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed = !g.Equal(w.result)
	w.probedAt, w.result = now, g
	return changed
}

// Reachability returns the reachability of this process as owner of a key with the given
// predecessors; see ProbeResult.Reachability. Without a recent result it is that of Unprobed.
func (w *Prober[ID]) Reachability(now time.Time, predecessors []ID) Reachability {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.probedAt) > maxProbeAge {
		return Unprobed(len(predecessors))
	}
	return w.result.Reachability(predecessors)
}
