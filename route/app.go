package route

import (
	"math/rand/v2"
	"time"

	"jacinthworks/work"
)

// AppReport is what the side of a plain application server reports.
type AppReport struct {
	// InFlight counts calls in progress; Limit is the most there may be, zero
	// for no limit.
	InFlight int
	Limit    int
}

// AppGrounds are the figures behind a choice of application server.
type AppGrounds struct {
	// Pool is the number of candidates known.
	Pool int `json:"pool"`
	// Unusable are draining, ejected or have not reported lately.
	Unusable int `json:"unusable"`
	// Considered are the candidates that were compared.
	Considered []AppScore `json:"considered"`
}

// AppScore is one candidate and its figures; the lowest score is chosen.
type AppScore struct {
	Host     work.Host `json:"host"`
	Zone     work.Zone `json:"zone"`
	InFlight int       `json:"in_flight"`
	Full     bool      `json:"full"`
	Score    float64   `json:"score"`
}

// Apps chooses among the application servers of one service: the one with the
// least in flight of two drawn at random. The zero value knows none.
type Apps struct {
	Pool Pool[AppReport]
}

// Choose gives the server for a call; false when none that was drawn has room.
func (a *Apps) Choose(now time.Time, w Weights, random *rand.Rand) (work.Host, AppGrounds, bool) {
	return a.ChooseAmong(now, w, nil, random)
}

// ChooseAmong chooses among the hosts that may take the call; nil is any.
func (a *Apps) ChooseAmong(now time.Time, w Weights, may func(work.Host) bool, random *rand.Rand) (work.Host, AppGrounds, bool) {
	g := AppGrounds{Pool: a.Pool.Len()}
	best := -1
	g.Unusable = a.Pool.draw(now, random, appSample, func(m *member[AppReport]) bool {
		if may != nil && !may(m.host) {
			return false
		}
		s := weighApp(m, w)
		if s.Score == 0 {
			return false
		}
		g.Considered = append(g.Considered, s)
		if !s.Full && (best < 0 || s.Score < g.Considered[best].Score) {
			best = len(g.Considered) - 1
		}
		return !s.Full
	})
	if best < 0 {
		return "", g, false
	}
	return g.Considered[best].Host, g, true
}

// weighApp works out the figures of a candidate; score zero excludes its zone.
func weighApp(m *member[AppReport], w Weights) AppScore {
	n := m.report.InFlight + m.total.requests
	s := AppScore{Host: m.host, Zone: m.zone, InFlight: n, Full: m.report.Limit > 0 && n >= m.report.Limit}
	if weight := w.of(m.zone); weight > 0 {
		s.Score = float64(max(n, 0)+1) / weight
	}
	return s
}

// Started counts a call sent to the host; Ended one that is over.
func (a *Apps) Started(now time.Time, h work.Host) { a.count(now, h, 1) }

// Ended counts a call that is over.
func (a *Apps) Ended(now time.Time, h work.Host) { a.count(now, h, -1) }

func (a *Apps) count(now time.Time, h work.Host, by int) {
	if m := a.Pool.find(h); m != nil {
		m.took(load{at: now, requests: by})
	}
}
