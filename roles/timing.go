package roles

import "time"

// Timing holds the time constants of a planner. A zero time stands for the package constant of
// the same name, which suits changes that load weights and take minutes.
type Timing struct {
	SmoothingTime, DecayTime, Hold, Cooldown time.Duration
	// BalanceMargin, if not zero, moves engines between the roles of one model at any load:
	// whenever that lowers the higher pressure of the two pools by at least this fraction of
	// its present value. The pools are then equally far from full when a burst begins, and no
	// engine has to change role during it. HighWatermark then moves engines only to a pool
	// without any: for another one they would be in service only after the burst that raised
	// its pressure.
	BalanceMargin float64
	// ExchangeRatio, if not zero, exchanges the roles of a prefill engine and a decode engine
	// of one model that takes at least this many times as long; see Planner.exchange.
	ExchangeRatio float64
}

// TimingFor returns the timing for role changes that take the given time and load no weights,
// with demands measured by Profile. Such demands keep their ratio when the load changes, so
// that a change has to wait mainly for the one before it (Cooldown), and hardly for the imbalance
// to last (Hold). The margin is the difference that one engine of nine makes.
func TimingFor(changeTime time.Duration) Timing {
	return Timing{SmoothingTime: changeTime * 2 / 3, DecayTime: 2 * changeTime, Hold: changeTime / 60, Cooldown: changeTime, BalanceMargin: 0.08}
}

func (t Timing) withDefaults() Timing {
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
