package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/paths"
	"jacinthworks/roles"
	"jacinthworks/roster"
)

// engineState is an engine and its account of itself.
type engineState struct {
	upstream *roster.Upstream
	server   roster.Server
	state    State
}

// askedMost is how many engines the holder of the roles asks in a round.
//
// Load pattern: a thousand engines, each asked every second by one process, which
// holds a connection to each: 16% of a core and 72 MB with 1,350 of them. The
// means of 128 are within a few parts in a hundred. What it costs: the planner
// takes the engines that were asked for all there are, so that it moves too few at
// a time, and goes on at the next one.
const askedMost = 128

// engines gives the engines of a service that stay, those that have asked for a pause
// included: a pause is no loss.
func (s *Server) engines(service domain.Service) []*roster.Upstream {
	now := time.Now()
	var all []*roster.Upstream
	for _, u := range s.roster.Upstreams(service) {
		if m := u.Server(); m.Role != "" && stays(u.Eligibility(now)) {
			all = append(all, u)
		}
	}
	return all
}

// stays says whether an upstream will be sent something again.
func stays(a roster.Eligibility) bool { return a.Eligible() || a.Reason == roster.ExcludedBackoff }

// sample gives the engines to be asked: the same ones each time, so that
// connections to them are used again, but for those that come and go.
func sample(pool []*roster.Upstream, salt domain.Host) []*roster.Upstream {
	if len(pool) <= askedMost {
		return pool
	}
	rank := func(u *roster.Upstream) uint64 { return xxhash.Sum64String(string(salt) + "/" + string(u.Server().ID)) }
	drawn := slices.Clone(pool)
	slices.SortFunc(drawn, func(a, b *roster.Upstream) int { return cmp.Compare(rank(a), rank(b)) })
	return drawn[:askedMost]
}

// accounts are the engines' last accounts of themselves, for one goroutine.
type accounts map[roster.InstanceKey]State

// states asks engines for their accounts, all at once. One that has asked for a pause is
// taken to be as it last said.
func (s *Server) states(ctx context.Context, engines []*roster.Upstream, last accounts) []engineState {
	ctx, cancel := context.WithTimeout(ctx, stateWithin)
	defer cancel()
	answers := make(chan *engineState, len(engines))
	for _, u := range engines {
		go func() { // its end is read below
			m := u.Server()
			if state, known := last[m.Key()]; known && !u.Eligibility(time.Now()).Eligible() {
				answers <- &engineState{upstream: u, server: m, state: state}
				return
			}
			state, err := s.askState(ctx, u)
			if err != nil {
				s.Log.Debug("no state of an engine", "upstream", m.ID, "err", err)
				answers <- nil
				return
			}
			// Failure: an engine started anew under its id, and the registry does not
			// tell yet. An order by what the earlier start had taken would be one to
			// the later.
			if told := (roster.Start{ID: m.ID, Born: state.StartedAt}); !told.Same(m.Start) {
				s.Log.Info("engine started anew, its account is not used", "upstream", m.ID, "born", state.StartedAt, "known", m.Born)
				answers <- nil
				return
			}
			s.heardStated("", u, ResponseInfo{Leaving: state.Leaving})
			answers <- &engineState{upstream: u, server: m, state: state}
		}()
	}
	var all []engineState
	for range engines {
		if e := <-answers; e != nil {
			all = append(all, *e)
		}
	}
	clear(last)
	for _, e := range all {
		last[e.server.Key()] = e.state
	}
	return all
}

func (s *Server) askState(ctx context.Context, u *roster.Upstream) (State, error) {
	body, status, err := s.ask(ctx, u, s.Protocol.StateRequest(), stateWithin)
	if err != nil {
		return State{}, err
	}
	if status != 200 {
		return State{}, errors.Errorf("direct: status %d", status)
	}
	return s.Protocol.ParseState(body)
}

// view turns the engines' accounts into what the planner goes by: the share of
// memory taken at decode engines, and for each that is kept busy the prefill engines
// that the mix of the requests keeps busy beside it.
func view(v *paths.Service, states []engineState, mix mixRatio) roles.View {
	prefills, decodes := roles.Pool{Model: v.Name, Role: domain.RolePrefill}, roles.Pool{Model: v.Name, Role: domain.RoleDecode}
	out := roles.View{Demand: map[roles.Pool]float64{prefills: 0, decodes: 0}}
	engines := make(map[roles.Pool]int)
	taken := 0.0
	for _, e := range states {
		pool := roles.Pool{Model: v.Name, Role: e.state.Role}
		out.Engines = append(out.Engines, roles.Engine{
			Host: domain.Host(e.server.ID), Zone: e.server.Zone, Pool: pool, Changing: e.state.RoleChanging, Since: time.Now(),
		})
		engines[pool]++
		if pool == decodes && e.state.KVCapacity > 0 {
			taken += float64(e.state.KVUsed) / float64(e.state.KVCapacity)
		}
	}
	switch {
	case engines[decodes] == 0 && len(states) > 0:
		// Failure: all decode engines are lost. Where there is none, no memory is
		// taken, and nothing seems to ask for one, while all requests are refused.
		out.Demand[decodes] = 1
	case mix.known:
		out.Demand[decodes], out.Demand[prefills] = taken, prefillPart*mix.ratio*taken
		if even := taken * float64(engines[prefills]) / float64(engines[decodes]); !mix.sure {
			out.Demand[prefills] = min(out.Demand[prefills], even) // takes none from decode
		}
	}
	return out
}

// prefillPart weighs a busy prefill engine against the memory of a decode engine. A
// prompt can wait for some 100 ms within its target, so that prefill may be busier;
// a decode engine without memory refuses.
const prefillPart = 0.75
