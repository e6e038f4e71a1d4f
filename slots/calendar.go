package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jacinthworks/retry"
)

const (
	// stepLength is the length of the steps for which capacity is booked.
	stepLength = 50 * time.Millisecond
	// earlyArrival is how long before its step a caller may return, and bookingLifetime how long
	// after it.
	earlyArrival    = 150 * time.Millisecond
	bookingLifetime = 300 * time.Millisecond
	// maxHorizon bounds how far ahead capacity is booked: what the servers can serve later is not
	// known.
	maxHorizon = 5 * time.Second
	// arrivalMemory is the time constant of the smoothed rate of new calls. Bursts last seconds.
	arrivalMemory = time.Second
	// presentRateSteps is how many steps ahead the servers are expected to serve as many calls as
	// at present, about half the time for which the load of a host lasts. After that, the mean
	// of the last seconds is expected.
	presentRateSteps = 6
	// rateMemory is the time constant of that mean.
	rateMemory = 2 * time.Second
)

// BookingOutcome is what became of a booking, or of the attempt to make one.
type BookingOutcome string

// The outcomes of bookings.
const (
	// Booked means that capacity was booked, and NoCapacity that there was none to book.
	Booked     BookingOutcome = "booked"
	NoCapacity BookingOutcome = "no_capacity"
	// Used means that the caller returned in time, and Expired that it did not.
	Used    BookingOutcome = "used"
	Expired BookingOutcome = "expired"
	// RefusedAgain means that a caller that returned in time was refused again.
	RefusedAgain BookingOutcome = "refused_again"
)

// calendar books the capacity that new calls leave for callers that were refused. The zero value
// is empty.
//
// Callers that are refused together return together, unless each is told a time of its own. A
// caller that was told a time at which there is no capacity is refused again, and gives up.
type calendar struct {
	origin   time.Time
	bookings []booking // in the order of their steps
	// arrivals is a count of new calls that decays by arrivalMemory, as of arrivalsAt.
	arrivals   float64
	arrivalsAt time.Time
	// meanRate is the mean number of calls that the servers can serve in a second, as of rateAt.
	meanRate float64
	rateAt   time.Time
}

// booking is the capacity for one call at a step.
type booking struct {
	step     int64
	identity retry.Identity
}

// stepOf returns the step of a time.
func (c *calendar) stepOf(t time.Time) int64 {
	if c.origin.IsZero() {
		c.origin = t
	}
	return int64(math.Floor(t.Sub(c.origin).Seconds() / stepLength.Seconds()))
}

// start returns when a step begins.
func (c *calendar) start(step int64) time.Time {
	return c.origin.Add(time.Duration(step) * stepLength)
}

// newCall counts a new call.
func (c *calendar) newCall(now time.Time) {
	c.arrivals, c.arrivalsAt = c.decayed(now)+1, now
}

func (c *calendar) decayed(now time.Time) float64 {
	return c.arrivals * math.Exp(-max(0, now.Sub(c.arrivalsAt).Seconds())/arrivalMemory.Seconds())
}

// recordRate records the number of calls that the servers can serve in a second at present.
func (c *calendar) recordRate(now time.Time, rate float64) {
	if c.rateAt.IsZero() {
		c.meanRate, c.rateAt = rate, now
	}
	c.meanRate += (1 - math.Exp(-max(0, now.Sub(c.rateAt).Seconds())/rateMemory.Seconds())) * (rate - c.meanRate)
	c.rateAt = now
}

// newRate is the smoothed number of new calls in a second.
func (c *calendar) newRate(now time.Time) float64 { return c.decayed(now) / arrivalMemory.Seconds() }

// book books the first step within limit at which capacity is left, and returns the time until
// then. The servers serve rate calls a second at present, of which backlog have to be served first. spread,
// from 0 to below 1, spreads the callers over the step.
func (c *calendar) book(now time.Time, id retry.Identity, rate, backlog float64, limit time.Duration, spread float64) (time.Duration, bool) {
	newRate := c.newRate(now)
	perStep := func(n int) float64 { // the calls that the servers can serve in a step beside new ones
		if n >= presentRateSteps {
			return (c.meanRate - newRate) * stepLength.Seconds()
		}
		return (rate - newRate) * stepLength.Seconds()
	}
	first := c.stepOf(now) + 1
	count := c.stepOf(now.Add(min(limit, maxHorizon))) - first // the last step must end within limit
	if count <= 0 || id == "" {
		return 0, false
	}
	// free is the capacity that is left up to the end of each step.
	free := make([]float64, count)
	booked := make([]int, count)
	left := -backlog
	for _, b := range c.bookings {
		if b.step < first {
			left--
		} else if b.step < first+count {
			booked[b.step-first]++
		}
	}
	for n := range free {
		// New calls beyond what the servers can serve are refused, and do not wait.
		left = max(left+perStep(n)-float64(booked[n]), -backlog)
		free[n] = left
	}
	// A further booking takes capacity from all later steps, which may be booked already.
	for n := len(free) - 2; n >= 0; n-- {
		free[n] = min(free[n], free[n+1])
	}
	for n := range free {
		if free[n] >= 1 && float64(booked[n]) < perStep(n) {
			b := booking{first + int64(n), id}
			at, _ := slices.BinarySearchFunc(c.bookings, b, func(a, b booking) int { return cmp.Compare(a.step, b.step) })
			c.bookings = slices.Insert(c.bookings, at, b)
			return c.start(b.step).Sub(now) + time.Duration(spread*float64(stepLength)), true
		}
	}
	return 0, false
}

// use ends the booking of a caller that returns, and reports whether there is one for this time. A
// caller that is early gains nothing, and keeps its booking.
func (c *calendar) use(now time.Time, id retry.Identity) bool {
	for n, b := range c.bookings {
		if b.identity == id && !now.Before(c.start(b.step).Add(-earlyArrival)) {
			c.bookings = slices.Delete(c.bookings, n, n+1)
			return true
		}
	}
	return false
}

// expire removes the bookings that were not used, and returns their number.
func (c *calendar) expire(now time.Time) int {
	n := 0
	for n < len(c.bookings) && now.After(c.start(c.bookings[n].step).Add(bookingLifetime)) {
		n++
	}
	c.bookings = slices.Delete(c.bookings, 0, n)
	return n
}

// due is the number of callers that are expected to return until a time.
func (c *calendar) due(until time.Time) int {
	n := 0
	for n < len(c.bookings) && !c.start(c.bookings[n].step).After(until) {
		n++
	}
	return n
}
