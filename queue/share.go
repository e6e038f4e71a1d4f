package queue

import (
	"math"
	"time"
)

// shareMemory is the time constant over which a caller's service is remembered:
// several of the longest requests of today, so that one pedigree does not make
// its breeder a hot caller.
const shareMemory = 10 * time.Second

// overShare is how many times the mean share a caller may have had before its
// work counts as of the lowest priority. Callers differ by a factor of two
// from minute to minute; docs/decisions.md has the runs.
const overShare = 3

// shareSweep is how often callers without recent service are forgotten.
const shareSweep = time.Second

// service is what a caller was served, decaying.
type service struct {
	cost float64
	at   time.Time
}

func (s service) now(now time.Time) float64 {
	return s.cost * math.Exp(-now.Sub(s.at).Seconds()/shareMemory.Seconds())
}

// shares remembers what each caller and each key was served of late. The zero
// value remembers nothing.
//
// Priorities alone let one caller starve all others by sending work of high
// priority only. So a caller, or a key that many callers send, which has had
// more than overShare times the mean is served after those that have not. It
// still gets whatever they leave.
type shares struct {
	served map[caller]service
	total  service
	// accounts counts the accounts among the callers served.
	accounts int
	swept    time.Time
}

// add remembers service; a negative cost takes it back.
func (s *shares) add(now time.Time, c caller, cost int) {
	if s.served == nil {
		s.served = make(map[caller]service)
	}
	s.sweep(now)
	had, known := s.served[c]
	s.served[c] = service{cost: max(0, had.now(now)+float64(cost)), at: now}
	if c.key != 0 {
		return
	}
	if !known {
		s.accounts++
	}
	s.total = service{cost: max(0, s.total.now(now)+float64(cost)), at: now}
}

// over says whether the caller has had more than its share.
func (s *shares) over(now time.Time, c caller) bool {
	had, known := s.served[c]
	return known && had.now(now)*float64(s.accounts) > overShare*s.total.now(now)
}

// sweep forgets callers of whose service less than a token is left.
func (s *shares) sweep(now time.Time) {
	if now.Sub(s.swept) < shareSweep {
		return
	}
	s.swept = now
	for c, had := range s.served {
		if had.now(now) < 1 {
			delete(s.served, c)
			if c.key == 0 {
				s.accounts--
			}
		}
	}
}
