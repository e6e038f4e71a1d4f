package route

import (
	"math/rand/v2"
	"time"

	"jacinthworks/domain"
)

// AppReport is what the side of a plain application server reports.
type AppReport struct {
	// InFlight is the number of calls in progress at the server. Limit is the maximum
	// of InFlight, zero for no limit.
	InFlight int
	Limit    int
}

// AppEvaluation holds the figures that a choice of application server was based on.
type AppEvaluation struct {
	// Pool is the number of known candidates.
	Pool int `json:"pool"`
	// Unusable is the number of sampled candidates that were draining, ejected or
	// had not reported lately.
	Unusable int `json:"unusable"`
	// Considered are the candidates that were compared.
	Considered []AppCandidate `json:"considered"`
}

// AppCandidate is an application server that a choice compared. Score is the number of
// its calls in flight, with the new call, divided by the weight of its zone; the server
// with the lowest score that is not full is chosen.
type AppCandidate struct {
	Host     domain.Host `json:"host"`
	Zone     domain.Zone `json:"zone"`
	InFlight int         `json:"in_flight"`
	Full     bool        `json:"full"`
	Score    float64     `json:"score"`
}

// AppSelector selects among the application servers of one service: the one with
// the fewest calls in flight of two drawn at random. The zero value knows no
// servers.
type AppSelector struct {
	Pool Pool[AppReport]
}

// Choose returns the server for a call; false if none of the sampled servers has
// capacity.
func (a *AppSelector) Choose(now time.Time, w ZoneWeights, random *rand.Rand) (domain.Host, AppEvaluation, bool) {
	return a.ChooseAmong(now, w, nil, random)
}

// ChooseAmong is Choose restricted to the hosts that allowed reports true for; nil
// allows all.
func (a *AppSelector) ChooseAmong(now time.Time, w ZoneWeights, allowed func(domain.Host) bool, random *rand.Rand) (domain.Host, AppEvaluation, bool) {
	evaluation := AppEvaluation{Pool: a.Pool.Len()}
	best := -1
	evaluation.Unusable = a.Pool.sample(now, random, appSampleSize, func(m *member[AppReport]) bool {
		if allowed != nil && !allowed(m.host) {
			return false
		}
		s := evaluateApp(m, w)
		if s.Score == 0 {
			return false
		}
		evaluation.Considered = append(evaluation.Considered, s)
		if !s.Full && (best < 0 || s.Score < evaluation.Considered[best].Score) {
			best = len(evaluation.Considered) - 1
		}
		return !s.Full
	})
	if best < 0 {
		return "", evaluation, false
	}
	return evaluation.Considered[best].Host, evaluation, true
}

// evaluateApp computes the calls in flight and the score of a candidate; a score of
// zero means that the zone's weight is zero.
func evaluateApp(m *member[AppReport], w ZoneWeights) AppCandidate {
	n := m.report.InFlight + m.unreportedTotal.requests
	s := AppCandidate{Host: m.host, Zone: m.zone, InFlight: n, Full: m.report.Limit > 0 && n >= m.report.Limit}
	if weight := w.of(m.zone); weight > 0 {
		s.Score = float64(max(n, 0)+1) / weight
	}
	return s
}

// CallStarted counts a call sent to the host, until the host's reports include it.
func (a *AppSelector) CallStarted(now time.Time, h domain.Host) { a.addRequests(now, h, 1) }

// CallEnded records the end of a call that CallStarted counted.
func (a *AppSelector) CallEnded(now time.Time, h domain.Host) { a.addRequests(now, h, -1) }

func (a *AppSelector) addRequests(now time.Time, h domain.Host, by int) {
	if m := a.Pool.find(h); m != nil {
		m.addLoad(load{at: now, requests: by})
	}
}
