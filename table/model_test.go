package table

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// The model consists of a writer on host 0, the platform, another operator, and
// the holders of host 0 and host 1. The writer sends one edit as a conditional
// write that may arrive late or never, and whose response may be lost; then it
// reads, possibly a stale version, until the outcome of the edit is determined. It
// reports the edit as accepted once host 1 has acknowledged a version that contains
// it. Every other message carries a version from the platform or from a holder to
// a holder, and may be lost, duplicated or reordered; a suspended host is modelled
// by delayed messages. The holders are real Holders.
const (
	modelEdits    = 3 // writes of the object, as versions 1 to 3
	modelInFlight = 2 // messages to holders in flight at once
)

// phase is the writer's progress with its edit.
type phase string

const (
	idle     phase = "idle"
	waiting  phase = "waiting" // the write is sent, no response yet
	refused  phase = "refused"
	written  phase = "written"
	accepted phase = "accepted"
)

// message is a version sent to a holder, or an acknowledgement.
type message struct {
	to      int // host 0 or 1
	ack     bool
	version Version
}

// code returns the sort key by which messages in flight are ordered.
func (m message) code() int {
	c := 2*int(m.version) + m.to
	if m.ack {
		c += 100
	}
	return c
}

// modelState is one state of the model. It is comparable: messages in flight are
// in an array, sorted, followed by zero elements.
type modelState struct {
	platform Version
	// edit is the version that first contains the writer's edit.
	edit Version
	held [2]Version
	// base is the version required by the conditional write; late reports whether the
	// write is still in flight.
	phase    phase
	base     Version
	late     bool
	inFlight [modelInFlight + 1]message // room for one message more than next keeps
	count    int
}

func (s modelState) withPhase(p phase) modelState {
	s.phase = p
	return s
}

// send adds a message in flight; messages are sorted, so their order has no meaning.
func (s modelState) send(m message) modelState {
	s.inFlight[s.count] = m
	s.count++
	slices.SortFunc(s.inFlight[:s.count], func(a, b message) int { return a.code() - b.code() })
	return s
}

// removeMessage returns the state without the message in flight at index i.
func (s modelState) removeMessage(i int) modelState {
	copy(s.inFlight[i:], s.inFlight[i+1:s.count])
	s.count--
	s.inFlight[s.count] = message{}
	return s
}

// editModel computes the transitions of the model. Each field disables one guard, so that
// a test can show that the guard is needed.
type editModel struct {
	acceptLower    bool // a holder accepts any other version
	trustStaleRead bool // the writer reports an edit as refused after a stale read
	acceptAlone    bool // the writer reports an edit as accepted without another host
}

// next returns each state that is reachable from s by one event.
func (m editModel) next(s modelState) []modelState {
	all := append(m.writes(s), m.outcomes(s)...)
	for to := range s.held { // a poll of the platform, a relayed table of the other holder
		all = append(all, s.send(message{to: to, version: s.platform}))
		all = append(all, s.send(message{to: to, version: s.held[1-to]}))
	}
	for i := range s.count {
		lost := s.removeMessage(i)
		all = append(all, lost, m.deliver(lost, s.inFlight[i]))
		all = append(all, m.deliver(s, s.inFlight[i])) // delivered and still in flight: a duplicate
	}
	return slices.DeleteFunc(all, func(n modelState) bool { return n.count > modelInFlight })
}

// writes returns the transitions of the other operator, the writer and the platform.
func (m editModel) writes(s modelState) []modelState {
	var all []modelState
	if s.platform < modelEdits {
		other := s
		other.platform++
		all = append(all, other)
	}
	if s.phase == idle {
		for base := Version(0); base <= s.platform; base++ { // a stale read leads to a stale base
			sent := s.withPhase(waiting)
			sent.base, sent.late = base, true
			all = append(all, sent)
		}
	}
	if !s.late {
		return all
	}
	arrived := s
	arrived.late = false
	all = append(all, arrived) // the write was lost
	switch {
	case s.platform != s.base:
		all = append(all, arrived.withPhase(refused))
	case s.platform < modelEdits:
		arrived.platform++
		arrived.edit = arrived.platform
		all = append(all, arrived, arrived.withPhase(written)) // without and with a response
	}
	return all
}

// outcomes returns the transitions by which the writer determines the outcome of its
// edit: reads of the platform, and the message to host 1.
func (m editModel) outcomes(s modelState) []modelState {
	var all []modelState
	for read := Version(0); s.phase == waiting && read <= s.platform; read++ {
		switch {
		case s.edit != 0 && s.edit <= read:
			all = append(all, s.withPhase(written))
		case read > s.base || m.trustStaleRead:
			all = append(all, s.withPhase(refused))
		}
	}
	if s.phase == written {
		all = append(all, s.send(message{to: 1, version: s.edit}))
		if m.acceptAlone {
			all = append(all, s.withPhase(accepted))
		}
	}
	return all
}

func (m editModel) deliver(s modelState, msg message) modelState {
	if msg.ack {
		if s.phase == written && msg.version >= s.edit {
			s.phase = accepted
		}
		return s
	}
	s.held[msg.to] = m.update(s.held[msg.to], msg.version)
	if msg.to == 1 {
		s = s.send(message{to: 0, version: s.held[1], ack: true})
	}
	return s
}

// update returns the version that a real Holder has after an update.
func (m editModel) update(held, received Version) Version {
	var h Holder
	h.acceptLower = m.acceptLower
	h.Update(Table{}.WithVersion(held), start)
	h.Update(Table{}.WithVersion(received), start)
	return h.Version()
}

// violation describes the invariant that a transition violates, or returns "".
func violation(from, to modelState) string {
	for h := range to.held {
		if to.held[h] < from.held[h] {
			return fmt.Sprintf("host %d reverts from %d to %d", h, from.held[h], to.held[h])
		}
		if to.held[h] > to.platform {
			return fmt.Sprintf("host %d holds %d, which was never written", h, to.held[h])
		}
	}
	if to.phase == refused && to.edit != 0 {
		return "an edit reported as refused is in force"
	}
	if to.phase == accepted && to.held[1] < to.edit {
		return "an accepted edit is held by no other host"
	}
	return ""
}

// explore visits every reachable state, and returns their number and the first
// violated invariant.
func (m editModel) explore() (int, string) {
	first := modelState{phase: idle}
	seen := map[modelState]bool{first: true}
	queue := []modelState{first}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, n := range m.next(s) {
			if why := violation(s, n); why != "" {
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

// Explores every order of late and duplicate messages and stale reads within the
// bounds of the model. No order may undo an accepted edit on a host, or bring an
// edit into force that was reported as refused.
func TestModelHasNoViolationForAnyMessageOrder(t *testing.T) {
	states, why := editModel{}.explore()
	require.Empty(t, why)
	t.Logf("%d states visited, no invariant violated", states)
	require.Greater(t, states, 10_000, "the model explores too little")
}

// Disables each guard in turn: the exploration must find the violation that the
// guard prevents.
func TestModelDetectsEachDisabledGuard(t *testing.T) {
	for _, c := range []struct {
		without editModel
		why     string
	}{
		{editModel{acceptLower: true}, "reverts"},
		{editModel{trustStaleRead: true}, "an edit reported as refused is in force"},
		{editModel{acceptAlone: true}, "an accepted edit is held by no other host"},
	} {
		states, why := c.without.explore()
		t.Logf("%d states visited until: %s", states, why)
		require.Contains(t, why, c.why)
	}
}
