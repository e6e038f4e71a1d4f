package route

import (
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
)

// AppReport is what the side of a plain application server reports.
type AppReport struct {
	// InFlight counts calls in progress; Limit is the most there may be, zero
	// for no limit.
	InFlight int
	Limit    int
}

// AppEvaluation are the figures behind a choice of application server.
type AppEvaluation struct {
	// Pool is the number of candidates known.
	Pool int `json:"pool"`
	// Unusable are draining, ejected or have not reported lately.
	Unusable int `json:"unusable"`
	// Considered are the candidates that were compared.
	Considered []AppCandidate `json:"considered"`
}

// AppCandidate is one candidate and its figures; the lowest score is chosen.
type AppCandidate struct {
	Host     domain.Host `json:"host"`
	Zone     domain.Zone `json:"zone"`
	InFlight int         `json:"in_flight"`
	Full     bool        `json:"full"`
	Score    float64     `json:"score"`
}

// AppSelector chooses among the application servers of one service: the one with the
// least in flight of two drawn at random. The zero value knows none.
type AppSelector struct {
	Pool Pool[AppReport]
}

// Choose gives the server for a call; false when none that was drawn has room.
func (a *AppSelector) Choose(now time.Time, w ZoneWeights, random *rand.Rand) (domain.Host, AppEvaluation, bool) {
	return a.ChooseAmong(now, w, nil, random)
}

// ChooseAmong chooses among the hosts that may take the call; nil is any.
func (a *AppSelector) ChooseAmong(now time.Time, w ZoneWeights, may func(domain.Host) bool, random *rand.Rand) (domain.Host, AppEvaluation, bool) {
	g := AppEvaluation{Pool: a.Pool.Len()}
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
func weighApp(m *member[AppReport], w ZoneWeights) AppCandidate {
	n := m.report.InFlight + m.total.requests
	s := AppCandidate{Host: m.host, Zone: m.zone, InFlight: n, Full: m.report.Limit > 0 && n >= m.report.Limit}
	if weight := w.of(m.zone); weight > 0 {
		s.Score = float64(max(n, 0)+1) / weight
	}
	return s
}

// Started counts a call sent to the host; Ended one that is over.
func (a *AppSelector) Started(now time.Time, h domain.Host) { a.count(now, h, 1) }

// Ended counts a call that is over.
func (a *AppSelector) Ended(now time.Time, h domain.Host) { a.count(now, h, -1) }

func (a *AppSelector) count(now time.Time, h domain.Host, by int) {
	if m := a.Pool.find(h); m != nil {
		m.took(load{at: now, requests: by})
	}
}
