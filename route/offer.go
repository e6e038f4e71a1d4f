package route

import (
	"math/rand/v2"
	"time"
)

// Offer is what is known of an upstream that is reached without a process of
// ours beside it: by its own answers, and by what this process has there.
type Offer struct {
	// Name is for the log.
	Name string `json:"name"`
	// Near says that it is in this process's availability zone.
	Near bool `json:"near"`
	// Slots is how many requests it serves at once, zero for unknown; Own how
	// many this process has there, Others what others have, as far as known.
	Slots  int     `json:"slots"`
	Own    int     `json:"own"`
	Others float64 `json:"others"`
	// Memory is an engine's room in tokens, zero for unknown; Tokens what this
	// process has there, Queued the prompt tokens that it has yet to read.
	Memory int `json:"memory,omitempty"`
	Tokens int `json:"tokens,omitempty"`
	Queued int `json:"queued,omitempty"`
	// Fails is the share of its answers that failed, 0 to 1, lately.
	Fails float64 `json:"fails"`
	// Sure says that it answered just lately and has not failed since.
	Sure bool `json:"sure,omitempty"`
	// Speed is the time of a unit of work, a call or a prompt token; zero for
	// unknown.
	Speed time.Duration `json:"speed"`
	// Held says that it has just refused for want of room.
	Held bool `json:"held"`
}

// Load is a request to place.
type Load struct {
	// Units are the units of work that Offer.Speed counts.
	Units int
	// Tokens is the memory it needs.
	Tokens int
	// Usual are the units and the memory of a request of others.
	Usual Usual
	// SkipHeld leaves out offers that have just refused for want of room; an
	// estimate that one is full keeps none out then, since it will say so.
	SkipHeld bool
	// OnlySure leaves out offers that are not sure to answer: where a failure
	// could not be followed by another try.
	OnlySure bool
	// FullCost is the time that a request takes longer at an engine whose
	// memory is full of others, which it shares its steps with.
	FullCost time.Duration
	// FailCost is the time that a failure costs: that of another try, or far
	// more where there can be none.
	FailCost time.Duration
	// FarCost is the time that the bytes to another zone are worth.
	FarCost time.Duration
}

// Usual is what a request takes as a rule.
type Usual struct{ Units, Tokens int }

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
func (o Offer) running() float64 { return float64(o.Own) + o.Others }

// memory is how much of its memory is taken, as far as known.
func (o Offer) memory(l Load) float64 { return float64(o.Tokens) + o.Others*float64(l.Usual.Tokens) }

// Wait estimates the time to an answer from what is there before it.
func (o Offer) Wait(l Load) time.Duration {
	return time.Duration(float64(o.Speed) * (float64(l.Units+o.Queued) + o.Others*float64(l.Usual.Units)))
}

// Rate estimates how many calls it answers a second.
func (o Offer) Rate() float64 {
	speed := o.Speed
	if speed == 0 {
		speed = defaultCall
	}
	return float64(max(o.Slots, 1)) / speed.Seconds()
}

// Score estimates the time to an answer, failures counted by what they cost.
func (o Offer) Score(l Load) time.Duration {
	speed := o.Speed
	if speed == 0 {
		speed = defaultCall / time.Duration(max(l.Units, 1))
	}
	own := float64(speed) * float64(max(l.Units, 1))
	score := own + float64(speed)*(float64(o.Queued)+o.Others*float64(l.Usual.Units))
	if o.Slots > 0 {
		score += own * slowdown * min(o.running()/float64(o.Slots), 1)
		if over := o.running() + 1 - float64(o.Slots); over > 0 {
			score += own * fullWait * over / float64(o.Slots)
		}
	}
	if o.Memory > 0 {
		score += o.memory(l) / float64(o.Memory) * float64(l.FullCost)
	}
	score += o.Fails * float64(l.FailCost)
	if !o.Near {
		score += float64(l.FarCost)
	}
	return time.Duration(score)
}

// room says whether the offer can take the request at all, as far as known.
func (o Offer) room(l Load) bool {
	if o.Held || o.Slots > 0 && o.running() >= float64(o.Slots) {
		return false
	}
	return o.Memory == 0 || o.memory(l)+float64(l.Tokens) <= float64(o.Memory)
}

// Best gives the index of the offer with the lowest score, those with room
// first; -1 for none. full says that none has room, as far as known.
func Best(offers []Offer, l Load, random *rand.Rand) (best int, full bool) {
	best, full = -1, true
	var least float64
	for i, o := range offers {
		if l.SkipHeld && o.Held || l.OnlySure && !o.Sure {
			continue
		}
		room := l.SkipHeld || o.room(l)
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
