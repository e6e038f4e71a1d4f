package direct

import (
	"jacinthworks/domain"
	"jacinthworks/roles"
	"jacinthworks/roster"
)

// engineSpeeds holds the speeds of the engines of one service for the planner. A nil pointer
// stands for a service whose speeds are not used. It is used by one goroutine.
type engineSpeeds struct {
	scale        roles.Scale
	observations map[roster.InstanceKey]int // in the present role
}

// update reads the relative times of the polled engines; see Server.relativeTime.
func (x *engineSpeeds) update(states []engineState, relativeTime func(domain.Role, roster.Start) (float64, int)) {
	if x == nil {
		return
	}
	x.observations = make(map[roster.InstanceKey]int, len(states))
	var measured []roles.RelativeTime
	for _, e := range states {
		if e.state.RoleChanging {
			continue
		}
		factor, observations := relativeTime(e.state.Role, e.server.Start)
		x.observations[e.server.Key()] = observations
		measured = append(measured, roles.RelativeTime{Engine: domain.Host(e.server.ID), Role: e.state.Role, Time: factor, Observations: observations})
	}
	x.scale.Update(measured)
}

// of returns the speed of an engine, zero if unknown, and the number of observations in its
// present role.
func (x *engineSpeeds) of(e roster.Start) (speed float64, observations int) {
	if x == nil {
		return 0, 0
	}
	return x.scale.Speed(domain.Host(e.ID)), x.observations[e.Key()]
}

// speedPrefillWeight takes the place of prefillWeight where speeds are used. In a burst the
// memory of decode engines takes what they cannot serve at once, while prefill has only the time
// until the first event, and it is a sixth of the work.
const speedPrefillWeight = 1.25

// prefillWeight returns the factor of the demand for prefill. The ratio of the mix is that of
// the median engines of both roles.
func (x *engineSpeeds) prefillWeight() float64 {
	if x == nil {
		return prefillWeight
	}
	return speedPrefillWeight * x.scale.MedianSpeed(domain.RolePrefill) / x.scale.MedianSpeed(domain.RoleDecode)
}

// exchangeRatio returns roles.Timing.ExchangeRatio.
func (x *engineSpeeds) exchangeRatio() float64 {
	if x == nil {
		return 0
	}
	return roles.DefaultExchangeRatio
}

// relativeTimes returns the relative times of the engines of a service, by role.
func (s *Server) relativeTimes(service domain.Service) roles.RelativeTimes {
	times := make(roles.RelativeTimes)
	for _, u := range s.activeEngines(service) {
		m := u.Server()
		factor, _ := s.relativeTime(service, m.Role, m.Start)
		if times[m.Role] == nil {
			times[m.Role] = make(map[domain.Host]float64)
		}
		times[m.Role][domain.Host(m.ID)] = factor
	}
	return times
}
