package place

import "time"

// Tempo is how fast a planner acts. The zero value is that of the constants,
// for changes that load weights and take minutes.
type Tempo struct {
	Smooth, Fall, Hold, Cooldown time.Duration
	// Even, if not zero, also moves an engine between the roles of a model
	// where no pool is in need: when the fuller one of the two pools gets this
	// much less full by it. A burst then meets pools that are equally far from
	// full, and none has to change in its midst.
	Even float64
}

// TempoOf gives the tempo for changes that take the given time and load
// nothing: the same proportions as those of the constants have to the time of
// loading weights, and a margin that two moves there and back cannot both pass.
func TempoOf(change time.Duration) Tempo {
	return Tempo{Smooth: change * 2 / 3, Fall: 2 * change, Hold: change / 60, Cooldown: change, Even: 0.08}
}

func (t Tempo) orDefaults() Tempo {
	if t.Smooth == 0 {
		t.Smooth = Smooth
	}
	if t.Fall == 0 {
		t.Fall = Fall
	}
	if t.Hold == 0 {
		t.Hold = Hold
	}
	if t.Cooldown == 0 {
		t.Cooldown = Cooldown
	}
	return t
}
