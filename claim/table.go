package claim

import (
	"time"

	"jacinthworks/domain"
)

// remembered is what an owner or a runner keeps of a key.
type remembered struct {
	try    AttemptID
	body   Body
	runner Process
	state  State
	at     time.Time // of the last change of state
}

// entry gives the key as it travels.
func (r remembered) entry(k Key, now time.Time) Entry {
	return Entry{Key: k, Try: r.try, Body: r.body, Runner: r.runner, State: r.state,
		Age: max(0, now.Sub(r.at))}
}

// ran gives what may be said of a remembered key.
func (r remembered) ran() domain.Execution {
	if r.state == StateRan {
		return domain.DidRun
	}
	return domain.Unknown
}

// expired tells whether the key may be forgotten. A granted key is kept for as
// long as it takes: its request may still be running after any time, and to
// forget it would let a repeat run beside it.
func (r remembered) expired(now time.Time, keep time.Duration) bool {
	return r.state != StateGranted && now.Sub(r.at) > keep
}

// keyTable holds the remembered keys of one shard. The zero value is empty.
type keyTable map[Key]remembered

// merge adds a key that another process lists. Of two accounts of one try the
// one that forbids more stays: ran, then unknown, then granted.
//
// Failure: a paused owner learns that try 1 did not run and grants try 2 while
// its successor collects the lists. The successor gets try 1 from a list made
// before that, then try 2, and "not run" of try 1 frees the key while try 2
// runs. Two tries of a key therefore become one unknown without a try, which
// nothing frees before it expires.
func (t keyTable) merge(e Entry, now time.Time) {
	old, listed := t[e.Key]
	same := old.try == e.Try
	switch {
	case listed && old.state == StateRan:
		return
	case listed && same && severity(old.state) >= severity(e.State):
		return
	case listed && !same && e.State != StateRan:
		e.Try, e.Runner, e.State, e.Age = AttemptID{}, Process{}, StateUnknown, 0
	}
	t[e.Key] = remembered{try: e.Try, body: e.Body, runner: e.Runner, state: e.State,
		at: now.Add(-max(0, e.Age))}
}

func severity(s State) int {
	switch s {
	case StateRan:
		return 3
	case StateUnknown:
		return 2
	}
	return 1
}

// resolve notes how a try ended; "not run" frees its key.
func (t keyTable) resolve(res Resolution, now time.Time) {
	k, listed := t[res.Key]
	if !listed || k.try != res.Try || res.Try == (AttemptID{}) || k.state == StateRan {
		return
	}
	switch res.State {
	case StateNotRun:
		delete(t, res.Key)
	case StateRan, StateUnknown:
		k.state, k.at = res.State, now
		t[res.Key] = k
	}
}

// lose marks what was granted to a process that has ended.
func (t keyTable) lose(p Process, now time.Time) {
	for key, k := range t {
		if k.runner == p && k.state == StateGranted {
			k.state, k.at = StateUnknown, now
			t[key] = k
		}
	}
}

// entries lists the keys that keep holds for.
func (t keyTable) entries(now time.Time, keep func(remembered) bool) []Entry {
	var list []Entry
	for k, r := range t {
		if keep == nil || keep(r) {
			list = append(list, r.entry(k, now))
		}
	}
	return list
}

// expire forgets what was settled longer than keep ago.
func (t keyTable) expire(now time.Time, keep time.Duration) {
	for k, r := range t {
		if r.expired(now, keep) {
			delete(t, k)
		}
	}
}
