package roles

import "time"

// Timing is how fast a planner acts. The zero value is that of the constants,
// for changes that load weights and take minutes.
type Timing struct {
	SmoothingTime, DecayTime, Hold, Cooldown time.Duration
	// BalanceMargin, if not zero, moves engines between the roles of a model at any load:
	// when the fuller one of the two pools gets less full by this part of what
	// it is. A burst then meets pools that are equally far from full, and none
	// has to change in its midst. A pool in need is not helped otherwise, unless
	// it has no engine at all: what it gets would be back after the burst.
	BalanceMargin float64
}

// TimingFor gives the tempo for changes that take the given time and load
// nothing, by demands that are measured by Mix: these keep their ratio when the
// load turns, so that a change need not wait for it to last (Hold), only for the
// one before (Cooldown), and the margin is what one engine of nine makes.
func TimingFor(change time.Duration) Timing {
	return Timing{SmoothingTime: change * 2 / 3, DecayTime: 2 * change, Hold: change / 60, Cooldown: change, BalanceMargin: 0.08}
}

func (t Timing) orDefaults() Timing {
	if t.SmoothingTime == 0 {
		t.SmoothingTime = SmoothingTime
	}
	if t.DecayTime == 0 {
		t.DecayTime = DecayTime
	}
	if t.Hold == 0 {
		t.Hold = Hold
	}
	if t.Cooldown == 0 {
		t.Cooldown = Cooldown
	}
	return t
}
