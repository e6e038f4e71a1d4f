package claim

import (
	"time"

	"jacinthworks/domain"
)

// storedKey is the record of one key at an owner or a runner: the key's attempt and the state
// of that attempt.
type storedKey struct {
	attempt   AttemptID
	body      BodyHash
	runner    Process
	state     State
	changedAt time.Time // time of the last change of state
}

// toEntry returns the key in the form in which messages carry it.
func (k storedKey) toEntry(key Key, now time.Time) ListedKey {
	return ListedKey{Key: key, Attempt: k.attempt, Body: k.body, Runner: k.runner, State: k.state,
		Age: max(0, now.Sub(k.changedAt))}
}

// knownExecution returns whether a remembered key ran, as far as this process may tell a caller.
func (k storedKey) knownExecution() domain.Execution {
	if k.state == StateRan {
		return domain.DidRun
	}
	return domain.Unknown
}

// expired reports whether the key may be forgotten. A granted key never expires: its
// request may still be running after any time, and a forgotten key would let a repeated
// request run beside it.
func (k storedKey) expired(now time.Time, retention time.Duration) bool {
	return k.state != StateGranted && now.Sub(k.changedAt) > retention
}

// keyTable holds the remembered keys of one shard. The zero value is empty.
type keyTable map[Key]storedKey

// mergeEntry adds a key that another process lists. If two lists give different states for one
// attempt, the state that forbids more wins: ran, then unknown, then granted.
//
// If two lists name different attempts of a key, the key is stored as unknown without an
// attempt, which nothing frees before it expires. This happens when a paused owner receives
// "not run" of attempt 1 and grants attempt 2 while its successor collects the lists: the
// successor finds attempt 1 in an older list, then attempt 2. If the key were stored with
// attempt 1, the delayed "not run" of attempt 1 would free the key while attempt 2 runs.
func (t keyTable) mergeEntry(e ListedKey, now time.Time) {
	existing, listed := t[e.Key]
	sameAttempt := existing.attempt == e.Attempt
	switch {
	case listed && existing.state == StateRan:
		return
	case listed && sameAttempt && severity(existing.state) >= severity(e.State):
		return
	case listed && !sameAttempt && e.State != StateRan:
		e.Attempt, e.Runner, e.State, e.Age = AttemptID{}, Process{}, StateUnknown, 0
	}
	t[e.Key] = storedKey{attempt: e.Attempt, body: e.Body, runner: e.Runner, state: e.State,
		changedAt: now.Add(-max(0, e.Age))}
}

// severity ranks states by how much they forbid: ran is highest, then unknown, then granted.
func severity(s State) int {
	switch s {
	case StateRan:
		return 3
	case StateUnknown:
		return 2
	}
	return 1
}

// resolve records how an attempt ended; StateNotRun frees its key.
func (t keyTable) resolve(resolution Resolution, now time.Time) {
	stored, listed := t[resolution.Key]
	if !listed || stored.attempt != resolution.Attempt || resolution.Attempt == (AttemptID{}) || stored.state == StateRan {
		return
	}
	switch resolution.State {
	case StateNotRun:
		delete(t, resolution.Key)
	case StateRan, StateUnknown:
		stored.state, stored.changedAt = resolution.State, now
		t[resolution.Key] = stored
	}
}

// markEnded marks the keys granted to a process that has ended as unknown.
func (t keyTable) markEnded(p Process, now time.Time) {
	for key, k := range t {
		if k.runner == p && k.state == StateGranted {
			k.state, k.changedAt = StateUnknown, now
			t[key] = k
		}
	}
}

// entries lists the keys for which keep returns true; a nil keep lists all.
func (t keyTable) entries(now time.Time, keep func(storedKey) bool) []ListedKey {
	var list []ListedKey
	for k, r := range t {
		if keep == nil || keep(r) {
			list = append(list, r.toEntry(k, now))
		}
	}
	return list
}

// removeExpired forgets the keys that were settled longer ago than the retention.
func (t keyTable) removeExpired(now time.Time, retention time.Duration) {
	for k, r := range t {
		if r.expired(now, retention) {
			delete(t, k)
		}
	}
}
