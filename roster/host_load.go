package roster

import "time"

// hostLoadPeriod is the length of a period in which the lowest stated figure is kept. It is many
// times as long as a host stays loaded.
const hostLoadPeriod = 15 * time.Second

// hostLoad separates the stated time that work takes on an upstream's host into its usual value,
// which belongs to the upstream itself, and the temporary load of the host. A slow upstream states
// a high figure all the time, which must not count as a load that ends soon. The zero value has no
// statements.
type hostLoad struct {
	// stated is the last figure, and at its time.
	stated float64
	at     time.Time
	// lowest and previous are the lowest figures of this period and of the one before.
	lowest, previous float64
	periodBegan      time.Time
}

func (h *hostLoad) record(now time.Time, stated float64) {
	if h.lowest == 0 || now.Sub(h.periodBegan) >= hostLoadPeriod {
		h.previous, h.lowest, h.periodBegan = h.lowest, stated, now
	}
	h.lowest = min(h.lowest, stated)
	h.stated, h.at = stated, now
}

// usual returns the lowest figure of the last one to two periods.
func (h *hostLoad) usual() float64 {
	if h.previous > 0 {
		return min(h.lowest, h.previous)
	}
	return h.lowest
}

// current returns the last figure relative to the usual one; 1 if there is none.
func (h *hostLoad) current() float64 {
	if h.stated <= 0 {
		return 1
	}
	return h.stated / h.usual()
}
