package queue

import (
	"math"
	"time"
)

// shareTimeConstant is the time constant over which a caller's past service decays:
// several times the service time of the longest requests, so that one long prompt
// does not make its caller exceed its share.
const shareTimeConstant = 10 * time.Second

// maxShareFactor is the multiple of the mean share that a caller may have received
// before its items get the lowest priority. Callers differ by a factor of two from
// minute to minute; see docs/decisions.md.
const maxShareFactor = 3

// shareSweepInterval is the time between removals of callers without recent service
// from the service history.
const shareSweepInterval = time.Second

// decayingCost is the cost of past service, which decays with shareTimeConstant; cost
// is the amount left at the time at.
type decayingCost struct {
	cost float64
	at   time.Time
}

// decayedTo returns the cost left at the given time.
func (s decayingCost) decayedTo(now time.Time) float64 {
	return s.cost * math.Exp(-now.Sub(s.at).Seconds()/shareTimeConstant.Seconds())
}

// serviceHistory records the recent service of each account and each key. The zero
// value is empty and ready to use.
//
// With priorities alone, one caller could starve all others by sending only
// requests of high priority. So a caller, or a key that many callers send, that
// received more than maxShareFactor times the mean is served after all others. It
// still gets the capacity that the others leave.
type serviceHistory struct {
	served map[caller]decayingCost
	total  decayingCost
	// accountCount is the number of accounts in served.
	accountCount int
	lastSweep    time.Time
}

// record records that a caller was served an item of the given cost; a negative cost
// undoes an earlier call.
func (s *serviceHistory) record(now time.Time, c caller, cost int) {
	if s.served == nil {
		s.served = make(map[caller]decayingCost)
	}
	s.sweep(now)
	previous, known := s.served[c]
	s.served[c] = decayingCost{cost: max(0, previous.decayedTo(now)+float64(cost)), at: now}
	if c.key != 0 {
		return
	}
	if !known {
		s.accountCount++
	}
	s.total = decayingCost{cost: max(0, s.total.decayedTo(now)+float64(cost)), at: now}
}

// isOverShare reports whether the caller received more than maxShareFactor times the
// mean service of an account.
func (s *serviceHistory) isOverShare(now time.Time, c caller) bool {
	previous, known := s.served[c]
	return known && previous.decayedTo(now)*float64(s.accountCount) > maxShareFactor*s.total.decayedTo(now)
}

// sweep removes callers whose service has decayed to a cost of less than one token.
func (s *serviceHistory) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < shareSweepInterval {
		return
	}
	s.lastSweep = now
	for c, previous := range s.served {
		if previous.decayedTo(now) < 1 {
			delete(s.served, c)
			if c.key == 0 {
				s.accountCount--
			}
		}
	}
}
