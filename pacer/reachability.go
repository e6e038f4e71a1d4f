package pacer

import "maps"

// Reachability describes how far a process can rely on being the only owner of a key, by the
// other processes that it reaches. The zero value is that of a process that has not probed any.
type Reachability struct {
	// Probed is the number of processes that were probed, and Reached the number of those
	// that answered lately; both include this one.
	Probed, Reached int
	// Outranked means that a process which precedes this one in the order of owners of the
	// key is alive, as far as observed. Processes that can reach it use it as the owner.
	Outranked bool
	// HandedOver means that all processes which precede this one in the order of owners have
	// stopped or are shutting down, and grant no requests any more.
	HandedOver bool
}

const (
	// outrankedFraction is the fraction of the rate limit that a process grants while another
	// process that precedes it as owner may grant as well, and takeoverFraction the fraction
	// that it grants when it has just become the owner.
	outrankedFraction = 0.25
	takeoverFraction  = 0.25
	// fullBurst is the number of tokens that accumulate at a process that grants the whole
	// rate limit, and partialBurst at a process that grants a fraction of it.
	fullBurst    = 2
	partialBurst = 1
)

// Fraction returns the fraction of the limit that the process may grant.
//
// When the network is partitioned in two, each side has an owner, and both would grant the whole
// limit. Only one side can have more than half of the processes. A smaller side grants in
// proportion to its number of processes, which adds up to no more than half of the limit.
func (s Reachability) Fraction() float64 {
	fraction := 1.0
	if s.Probed > 1 && 2*s.Reached <= s.Probed {
		fraction = float64(max(s.Reached, 1)) / float64(s.Probed)
	}
	if s.Outranked {
		fraction = min(fraction, outrankedFraction)
	}
	return fraction
}

// PeerState is the state of another process as found by a probe.
type PeerState string

// The states of a peer.
const (
	// Alive is a peer that was reached, directly or through others.
	Alive PeerState = "alive"
	// Stopped is a peer that grants nothing, because it is shutting down or does not run.
	Stopped PeerState = "out"
	// Unreachable is a peer that may have crashed or be partitioned.
	Unreachable PeerState = "silent"
)

// ProbeResult is the result of probing other processes. The zero value is that of probing none.
type ProbeResult[N comparable] struct {
	// Answered and Unreachable count the processes that answered and that could not be
	// reached, in a random sample of all processes that may own a key.
	Answered, Unreachable int
	// Predecessors holds the state of each process that precedes this one in the order of
	// owners of some key.
	Predecessors map[N]PeerState
}

// Equal reports whether both results have the same number of unreachable processes and the same
// states of predecessors.
func (g ProbeResult[N]) Equal(o ProbeResult[N]) bool {
	return g.Unreachable == o.Unreachable && maps.Equal(g.Predecessors, o.Predecessors)
}

// Reachability returns the reachability of a process with the given predecessors. A predecessor
// that was not probed is assumed to be alive.
func (g ProbeResult[N]) Reachability(predecessors []N) Reachability {
	s := Reachability{Probed: g.Answered + g.Unreachable + 1, Reached: g.Answered + 1, HandedOver: len(predecessors) > 0}
	for _, name := range predecessors {
		state, probed := g.Predecessors[name]
		s.Outranked = s.Outranked || !probed || state == Alive
		s.HandedOver = s.HandedOver && state == Stopped
	}
	return s
}

// Unprobed returns the reachability of a process with so many predecessors that has no recent
// probe result.
func Unprobed(predecessors int) Reachability { return Reachability{Outranked: predecessors > 0} }
