package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/paths"
	"jacinthworks/roles"
	"jacinthworks/roster"
	"jacinthworks/send"
)

// engineState is an engine and the state that it reported.
type engineState struct {
	upstream *roster.Upstream
	server   roster.Server
	state    EngineState
}

// maxPolledEngines is how many engines the holder of the roles lease polls in a round.
//
// Polling 1,350 engines each second from one process, with a connection to each, took 16%
// of a core and 72 MB. The means over 128 engines are within a few percent of those over
// all. The planner treats the polled engines as all engines, so it changes the roles of too
// few at a time and continues in the next round.
const maxPolledEngines = 128

// activeEngines returns the engines of a service that are not leaving, including those that
// have requested a backoff: a backoff is no loss of capacity.
func (s *Server) activeEngines(service domain.Service) []*roster.Upstream {
	now := time.Now()
	var all []*roster.Upstream
	for _, u := range s.roster.Upstreams(service) {
		if m := u.Server(); m.Role != "" && remainsInService(u.Eligibility(now)) {
			all = append(all, u)
		}
	}
	return all
}

// remainsInService reports whether an upstream is sent requests now or after its backoff.
func remainsInService(a roster.Eligibility) bool {
	return a.Eligible() || a.Reason == roster.ExcludedBackoff
}

// sample returns the engines to be polled: the same engines each time, apart from engines
// that are added or removed, so that connections are reused. salt makes the samples of two
// entries differ.
func sample(pool []*roster.Upstream, salt domain.Host) []*roster.Upstream {
	if len(pool) <= maxPolledEngines {
		return pool
	}
	rank := func(u *roster.Upstream) uint64 { return xxhash.Sum64String(string(salt) + "/" + string(u.Server().ID)) }
	drawn := slices.Clone(pool)
	slices.SortFunc(drawn, func(a, b *roster.Upstream) int { return cmp.Compare(rank(a), rank(b)) })
	return drawn[:maxPolledEngines]
}

// lastStates holds the state that each engine last reported. It is used by one goroutine.
type lastStates map[roster.InstanceKey]EngineState

// pollEngines fetches the states of all given engines at once. For an engine that has
// requested a backoff, the last reported state is used. unusable counts, by the role that the registry lists, the
// engines that answer and state nothing that can be used.
func (s *Server) pollEngines(ctx context.Context, engines []*roster.Upstream, last lastStates) (all []engineState, unusable map[domain.Role]int) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var calls group.Group
	answers := make([]*engineState, len(engines))
	answered := make([]bool, len(engines))
	for n, u := range engines {
		calls.Call(ctx, "state of an engine", func(ctx context.Context) error {
			m := u.Server()
			if state, known := last[m.Key()]; known && !u.Eligibility(time.Now()).Eligible() {
				answers[n] = &engineState{upstream: u, server: m, state: state}
				return nil
			}
			state, err := s.fetchState(ctx, u)
			if err != nil {
				s.Log.Debug("no state received from engine", "upstream", m.ID, "err", err)
				answered[n] = send.StageOf(err) == "" || send.IsInvalid(err)
				return nil
			}
			// The engine restarted under the same id, and the registry does not list the
			// new start yet. An order computed from the state of the earlier start would
			// reach the later one.
			if reported := (roster.Start{ID: m.ID, Born: state.StartedAt}); !reported.Same(m.Start) {
				s.Log.Info("engine restarted, its reported state is ignored", "upstream", m.ID, "born", state.StartedAt, "known", m.Born)
				return nil
			}
			s.recordAnnouncement("", u, ResponseInfo{Leaving: state.Leaving})
			answers[n] = &engineState{upstream: u, server: m, state: state}
			return nil
		})
	}
	calls.Wait()
	unusable = make(map[domain.Role]int)
	for n, e := range answers {
		switch {
		case e != nil:
			all = append(all, *e)
		case answered[n]:
			unusable[engines[n].Server().Role]++
		}
	}
	clear(last)
	for _, e := range all {
		last[e.server.Key()] = e.state
	}
	return all, unusable
}

func (s *Server) fetchState(ctx context.Context, u *roster.Upstream) (EngineState, error) {
	body, status, err := s.callUpstream(ctx, u, s.Protocol.StateRequest(), stateTimeout)
	if err != nil {
		return EngineState{}, err
	}
	if status != 200 {
		return EngineState{}, errors.Errorf("direct: fetching engine state: status %d", status)
	}
	state, err := s.Protocol.ParseState(body)
	if err == nil && state.Role == "" {
		err = errors.New("direct: fetching engine state: the answer states no role")
	}
	return state, err
}

// demandView turns the engines' states into the input of the planner. The demand for decode
// engines is the memory in use, in engines; that for prefill engines follows from it by the
// ratio of the two in the current mix of requests. With speeds (nil if they are not used), the
// demands are in engines of speed 1: a slow engine holds its memory for longer for the same work.
func demandView(v *paths.Service, states []engineState, mix prefillRatio, speeds *engineSpeeds) roles.View {
	prefillPool, decodePool := roles.Pool{Model: v.Name, Role: domain.RolePrefill}, roles.Pool{Model: v.Name, Role: domain.RoleDecode}
	result := roles.View{Demand: map[roles.Pool]float64{prefillPool: 0, decodePool: 0}}
	engines := make(map[roles.Pool]int)
	decodeWork := 0.0
	for _, e := range states {
		pool := roles.Pool{Model: v.Name, Role: e.state.Role}
		speed, observations := speeds.of(e.server.Start)
		result.Engines = append(result.Engines, roles.Engine{
			Host: domain.Host(e.server.ID), Zone: e.server.Zone, Software: e.server.Software, Pool: pool, Changing: e.state.RoleChanging, ChangingSince: time.Now(),
			Speed: speed, Observations: observations,
		})
		if speed == 0 {
			speed = 1
		}
		engines[pool]++
		if pool == decodePool && e.state.KVCapacity > 0 {
			decodeWork += float64(e.state.KVUsed) / float64(e.state.KVCapacity) * speed
		}
	}
	switch {
	case engines[decodePool] == 0 && len(states) > 0:
		// No decode engine is left. Without an engine no memory is in use, so that there
		// would seem to be no demand, while all requests are refused.
		result.Demand[decodePool] = 1
	case mix.known:
		result.Demand[decodePool], result.Demand[prefillPool] = decodeWork, speeds.prefillWeight()*mix.ratio*decodeWork
		if balanced := decodeWork * result.Capacity(prefillPool) / result.Capacity(decodePool); !mix.sufficient {
			result.Demand[prefillPool] = min(result.Demand[prefillPool], balanced) // takes no engine from decode
		}
	}
	return result
}

// prefillWeight weighs a busy prefill engine against the memory of a decode engine. A
// prompt can wait for some 100 ms within its target latency, so prefill engines may be
// busier; a decode engine without memory refuses requests.
const prefillWeight = 0.75
