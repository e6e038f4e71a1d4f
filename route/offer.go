package route

import (
	"math/rand/v2"
	"time"
)

// Candidate is what is known of an upstream that is reached without a process of
// ours beside it: by its own answers, and by what this process has there.
type Candidate struct {
	// Name is for the log.
	Name string `json:"name"`
	// SameZone says that it is in this process's availability zone.
	SameZone bool `json:"near"`
	// Slots is how many requests it serves at once, zero for unknown; Own how
	// many this process has there, Others what others have, as far as known.
	Slots         int     `json:"slots"`
	OwnRequests   int     `json:"own"`
	OtherRequests float64 `json:"others"`
	// MemoryTokens is an engine's room in tokens, zero for unknown; Tokens what this
	// process has there, Queued the prompt tokens that it has yet to read.
	MemoryTokens int `json:"memory,omitempty"`
	OwnTokens    int `json:"tokens,omitempty"`
	QueuedTokens int `json:"queued,omitempty"`
	// FailureRate is the share of its answers that failed, 0 to 1, lately.
	FailureRate float64 `json:"fails"`
	// Responsive says that it answered just lately and has not failed since.
	Responsive bool `json:"sure,omitempty"`
	// UnitTime is the time of a unit of work, a call or a prompt token; zero for
	// unknown.
	UnitTime time.Duration `json:"speed"`
	// RecentlyFull says that it has just refused for want of room.
	RecentlyFull bool `json:"held"`
}

// Request is a request to place.
type Request struct {
	// Units are the units of work that Candidate.UnitTime counts.
	Units int
	// OwnTokens is the memory it needs.
	Tokens int
	// Typical are the units and the memory of a request of others.
	Typical RequestSize
	// SkipRecentlyFull leaves out offers that have just refused for want of room; an
	// estimate that one is full keeps none out then, since it will say so.
	SkipRecentlyFull bool
	// OnlyResponsive leaves out offers that are not sure to answer: where a failure
	// could not be followed by another try.
	OnlyResponsive bool
	// MemoryPressureCost is the time that a request takes longer at an engine whose
	// memory is full of others, which it shares its steps with.
	MemoryPressureCost time.Duration
	// FailureCost is the time that a failure costs: that of another try, or far
	// more where there can be none.
	FailureCost time.Duration
	// CrossZoneCost is the time that the bytes to another zone are worth.
	CrossZoneCost time.Duration
}

// RequestSize is what a request takes as a rule.
type RequestSize struct{ Units, Tokens int }

// Figures for an offer that has answered nothing yet, or little.
const (
	defaultCall = 30 * time.Millisecond
	// spread keeps equal offers from being chosen in one order by all entries:
	// their scores differ at random by this part.
	spread = 0.1
	// slowdown is how much longer a full upstream takes than an idle one.
	slowdown = 1.0
	// fullWait is the wait, in units of its own work, at a full upstream for
	// each request before this one.
	fullWait = 1.0
)

// running is how many requests it has, as far as known.
func (o Candidate) running() float64 { return float64(o.OwnRequests) + o.OtherRequests }

// memory is how much of its memory is taken, as far as known.
func (o Candidate) memory(l Request) float64 {
	return float64(o.OwnTokens) + o.OtherRequests*float64(l.Typical.Tokens)
}

// EstimateWait estimates the time to an answer from what is there before it.
func (o Candidate) EstimateWait(l Request) time.Duration {
	return time.Duration(float64(o.UnitTime) * (float64(l.Units+o.QueuedTokens) + o.OtherRequests*float64(l.Typical.Units)))
}

// EstimateRate estimates how many calls it answers a second.
func (o Candidate) EstimateRate() float64 {
	speed := o.UnitTime
	if speed == 0 {
		speed = defaultCall
	}
	return float64(max(o.Slots, 1)) / speed.Seconds()
}

// Score estimates the time to an answer, failures counted by what they cost.
func (o Candidate) Score(l Request) time.Duration {
	speed := o.UnitTime
	if speed == 0 {
		speed = defaultCall / time.Duration(max(l.Units, 1))
	}
	own := float64(speed) * float64(max(l.Units, 1))
	score := own + float64(speed)*(float64(o.QueuedTokens)+o.OtherRequests*float64(l.Typical.Units))
	if o.Slots > 0 {
		score += own * slowdown * min(o.running()/float64(o.Slots), 1)
		if over := o.running() + 1 - float64(o.Slots); over > 0 {
			score += own * fullWait * over / float64(o.Slots)
		}
	}
	if o.MemoryTokens > 0 {
		score += o.memory(l) / float64(o.MemoryTokens) * float64(l.MemoryPressureCost)
	}
	score += o.FailureRate * float64(l.FailureCost)
	if !o.SameZone {
		score += float64(l.CrossZoneCost)
	}
	return time.Duration(score)
}

// room says whether the offer can take the request at all, as far as known.
func (o Candidate) room(l Request) bool {
	if o.RecentlyFull || o.Slots > 0 && o.running() >= float64(o.Slots) {
		return false
	}
	return o.MemoryTokens == 0 || o.memory(l)+float64(l.Tokens) <= float64(o.MemoryTokens)
}

// SelectBest gives the index of the offer with the lowest score, those with room
// first; -1 for none. full says that none has room, as far as known.
func SelectBest(offers []Candidate, l Request, random *rand.Rand) (best int, full bool) {
	best, full = -1, true
	var least float64
	for i, o := range offers {
		if l.SkipRecentlyFull && o.RecentlyFull || l.OnlyResponsive && !o.Responsive {
			continue
		}
		room := l.SkipRecentlyFull || o.room(l)
		if !room && !full {
			continue
		}
		score := float64(o.Score(l)) * (1 + spread*random.Float64())
		if best < 0 || room && full || score < least {
			best, least = i, score
		}
		if room {
			full = false
		}
	}
	return best, full
}
