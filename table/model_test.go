package table

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model: a writer on host 0, the platform, another operator, and the
// holders of host 0 and host 1. The writer sends one edit by a conditional
// write that may arrive late or never, and whose answer may be lost; then it
// reads, perhaps an old copy, until the edit is settled. It calls the edit
// accepted once host 1 has acknowledged a version that contains it. Every
// other message carries a version from the platform or from a holder to a
// holder, and may be lost, arrive twice, or arrive after any others; a paused
// host is one whose messages wait. The holders are real Holders.
const (
	modelEdits    = 3 // versions 1 to 3
	modelInFlight = 2 // messages to holders under way at once
)

// phase is how far the writer is.
type phase string

const (
	idle     phase = "idle"
	waiting  phase = "waiting" // the write is sent, no answer yet
	refused  phase = "refused"
	written  phase = "written"
	accepted phase = "accepted"
)

// message is a version on its way to a holder, or an acknowledgement.
type message struct {
	to      int // host 0 or 1
	ack     bool
	version Version
}

// code orders messages.
func (m message) code() int {
	c := 2*int(m.version) + m.to
	if m.ack {
		c += 100
	}
	return c
}

// modelState is one state. It is comparable: messages under way stand in an
// array, sorted, with empty places behind them.
type modelState struct {
	platform Version
	// edit is the version that first contains the writer's edit.
	edit Version
	held [2]Version
	// base is the version the write asks for; late says that it is under way.
	phase    phase
	base     Version
	late     bool
	inFlight [modelInFlight + 1]message // one more than is kept
	count    int
}

func (s modelState) in(p phase) modelState {
	s.phase = p
	return s
}

// send puts a message under way; the order in the list means nothing.
func (s modelState) send(m message) modelState {
	s.inFlight[s.count] = m
	s.count++
	slices.SortFunc(s.inFlight[:s.count], func(a, b message) int { return a.code() - b.code() })
	return s
}

// without takes a message away.
func (s modelState) without(i int) modelState {
	copy(s.inFlight[i:], s.inFlight[i+1:s.count])
	s.count--
	s.inFlight[s.count] = message{}
	return s
}

// model makes steps. Each field takes one guard out.
type model struct {
	takeLower   bool // a holder takes any other version
	trustAnyGet bool // the writer calls an edit refused by an old read
	acceptAlone bool // the writer accepts without another host
}

// next gives each state that one event leads to.
func (m model) next(s modelState) []modelState {
	all := append(m.writes(s), m.settles(s)...)
	for to := range s.held { // a poll of the platform, a relay of the other holder
		all = append(all, s.send(message{to: to, version: s.platform}))
		all = append(all, s.send(message{to: to, version: s.held[1-to]}))
	}
	for i := range s.count {
		lost := s.without(i)
		all = append(all, lost, m.deliver(lost, s.inFlight[i]))
		all = append(all, m.deliver(s, s.inFlight[i])) // and it comes again
	}
	return slices.DeleteFunc(all, func(n modelState) bool { return n.count > modelInFlight })
}

// writes gives what the other operator, the writer and the platform do.
func (m model) writes(s modelState) []modelState {
	var all []modelState
	if s.platform < modelEdits {
		other := s
		other.platform++
		all = append(all, other)
	}
	if s.phase == idle {
		for base := Version(0); base <= s.platform; base++ { // an old read gives an old base
			sent := s.in(waiting)
			sent.base, sent.late = base, true
			all = append(all, sent)
		}
	}
	if !s.late {
		return all
	}
	arrived := s
	arrived.late = false
	all = append(all, arrived) // never, in truth: lost on the way
	switch {
	case s.platform != s.base:
		all = append(all, arrived.in(refused))
	case s.platform < modelEdits:
		arrived.platform++
		arrived.edit = arrived.platform
		all = append(all, arrived, arrived.in(written)) // its answer lost, or not
	}
	return all
}

// settles gives what the writer makes of reading, and of acknowledgements.
func (m model) settles(s modelState) []modelState {
	var all []modelState
	for read := Version(0); s.phase == waiting && read <= s.platform; read++ {
		switch {
		case s.edit != 0 && s.edit <= read:
			all = append(all, s.in(written))
		case read > s.base || m.trustAnyGet:
			all = append(all, s.in(refused))
		}
	}
	if s.phase == written {
		all = append(all, s.send(message{to: 1, version: s.edit}))
		if m.acceptAlone {
			all = append(all, s.in(accepted))
		}
	}
	return all
}

func (m model) deliver(s modelState, msg message) modelState {
	if msg.ack {
		if s.phase == written && msg.version >= s.edit {
			s.phase = accepted
		}
		return s
	}
	s.held[msg.to] = m.offer(s.held[msg.to], msg.version)
	if msg.to == 1 {
		s = s.send(message{to: 0, version: s.held[1], ack: true})
	}
	return s
}

// offer gives what the real Holder makes of a version.
func (m model) offer(held, offered Version) Version {
	var h Holder
	h.takeLower = m.takeLower
	h.Update(Table{}.WithVersion(held), start)
	h.Update(Table{}.WithVersion(offered), start)
	return h.Version()
}

// broken says which promise a step breaks, or nothing.
func broken(from, to modelState) string {
	for h := range to.held {
		if to.held[h] < from.held[h] {
			return fmt.Sprintf("host %d reverts from %d to %d", h, from.held[h], to.held[h])
		}
		if to.held[h] > to.platform {
			return fmt.Sprintf("host %d holds %d, which was never written", h, to.held[h])
		}
	}
	if to.phase == refused && to.edit != 0 {
		return "an edit called refused is in force"
	}
	if to.phase == accepted && to.held[1] < to.edit {
		return "an accepted edit is held by no other host"
	}
	return ""
}

// explore visits every state and gives their number and the first promise
// that a step breaks.
func (m model) explore() (int, string) {
	first := modelState{phase: idle}
	seen := map[modelState]bool{first: true}
	queue := []modelState{first}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, n := range m.next(s) {
			if why := broken(s, n); why != "" {
				return len(seen), why
			}
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// An edit is accepted, then undone on a host, or refused, then in force: a
// message from before came late, or twice, or a read was old. Every order of
// such events is tried, within the model's bounds.
func TestNoOrderOfMessagesBreaksAPromise(t *testing.T) {
	states, why := model{}.explore()
	require.Empty(t, why)
	t.Logf("%d states visited, no promise broken", states)
	require.Greater(t, states, 10_000, "the model explores too little")
}

// Each guard taken out in turn: the check must see what it held back.
func TestTheModelCatchesEachGuardTakenOut(t *testing.T) {
	for _, c := range []struct {
		without model
		why     string
	}{
		{model{takeLower: true}, "reverts"},
		{model{trustAnyGet: true}, "an edit called refused is in force"},
		{model{acceptAlone: true}, "an accepted edit is held by no other host"},
	} {
		states, why := c.without.explore()
		t.Logf("%d states visited until: %s", states, why)
		require.Contains(t, why, c.why)
	}
}
