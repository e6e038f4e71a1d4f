package pacer

import "maps"

// Reachability is how sure a process can be that no other gives out the same requests. The
// zero value is one that knows nobody.
type Reachability struct {
	// Members counts the processes that were looked for, Reached those that answered
	// lately; both include this one.
	Members, Reached int
	// Outranked says that a process that goes before this one is alive, as far as known:
	// those that can reach it go there.
	Outranked bool
	// HandedOver says that those before this one have said that they leave: they give out
	// nothing any more.
	HandedOver bool
}

const (
	// laterPart is the part of the limit that a process gives out while one that goes
	// before it may do so as well, and settlePart the same for one that has just taken
	// over.
	laterPart  = 0.25
	settlePart = 0.25
	// savedAll is how many requests are saved up by a process that gives out the whole
	// limit, and savedPart by one that gives out a part.
	savedAll  = 2
	savedPart = 1
)

// Fraction gives the part of what is counted that may be given out.
//
// Failure: a fleet is cut in two, and each side finds a process that counts. It shows as
// twice the limit. Only one side can have more than half of the processes. The others
// give out their part of the fleet, which together is no more than a half.
func (s Reachability) Fraction() float64 {
	part := 1.0
	if s.Members > 1 && 2*s.Reached <= s.Members {
		part = float64(max(s.Reached, 1)) / float64(s.Members)
	}
	if s.Outranked {
		part = min(part, laterPart)
	}
	return part
}

// PeerState is what a process found of another one.
type PeerState string

// What may be found.
const (
	// Alive: it was reached, directly or by others.
	Alive PeerState = "alive"
	// Stopped: it gives out nothing, since it leaves or does not run.
	Stopped PeerState = "out"
	// Unreachable: it may be lost, or cut off.
	Unreachable PeerState = "silent"
)

// ProbeResult is what a process found that looked for others. The zero value found nobody.
type ProbeResult[N comparable] struct {
	// Answered and Silent count the processes drawn from all that may give out requests.
	Answered, Unreachable int
	// Predecessors are those that go before this one for some key.
	Predecessors map[N]PeerState
}

// Equal says whether two looks found the same.
func (g ProbeResult[N]) Equal(o ProbeResult[N]) bool {
	return g.Unreachable == o.Unreachable && maps.Equal(g.Predecessors, o.Predecessors)
}

// Reachability gives that of a process that some others go before. One that was not looked
// for is taken for alive.
func (g ProbeResult[N]) Reachability(before []N) Reachability {
	s := Reachability{Members: g.Answered + g.Unreachable + 1, Reached: g.Answered + 1, HandedOver: len(before) > 0}
	for _, name := range before {
		found, looked := g.Predecessors[name]
		s.Outranked = s.Outranked || !looked || found == Alive
		s.HandedOver = s.HandedOver && found == Stopped
	}
	return s
}

// Unprobed gives the standing of a process that has not looked yet, or not lately, and
// that so many others go before.
func Unprobed(before int) Reachability { return Reachability{Outranked: before > 0} }
