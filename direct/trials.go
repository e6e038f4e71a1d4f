package direct

import (
	"context"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/lease"
	"jacinthworks/retry"
)

// trialsPath is the peer endpoint at which the owner of a service's trials is called.
const trialsPath = "/v1/trials"

// trialPools holds the trials of the services that this entry owns: a part of the fixed number of
// retries that all entries share, for prefills that are expected to succeed. The zero value is ready
// to use; it must not be copied.
//
// The fixed number divided among many entries leaves each a few retries, fewer than the prompts that
// it has in progress in a burst, and an entry that has just started has none.
type trialPools struct {
	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	byService map[domain.Service]*retry.Window
}

// of returns the trials of a service.
func (p *trialPools) of(v domain.Service) *retry.Window {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byService == nil {
		p.byService = make(map[domain.Service]*retry.Window)
	}
	if p.byService[v] == nil {
		p.byService[v] = &retry.Window{}
	}
	return p.byService[v]
}

// trialRequest asks the owner of a service's trials for one, or gives one back.
type trialRequest struct {
	Service domain.Service `json:"service"`
	// Return is the ticket of a trial that is given back; zero asks for one.
	Return retry.Ticket `json:"back,omitempty"`
}

// trialResponse is the owner's answer; Ticket is zero if no trial is left.
type trialResponse struct {
	Ticket retry.Ticket `json:"ticket"`
}

// trial is a trial that was granted to a prefill. The zero value is none.
type trial struct {
	ticket retry.Ticket
	// by is the owner that granted it.
	by owner
}

// takeTrial asks the owner of the service's trials for one. An entry that does not take part in the
// exchange with others has its share of them.
func (s *Server) takeTrial(ctx context.Context, r *request) (trial, bool) {
	call := trialRequest{Service: r.service.Name}
	local := func(first bool) trialResponse { return s.applyTrial(call, first) }
	if !s.Settings.PeerListen.IsValid() {
		answer := s.applyTrial(call, true)
		return trial{ticket: answer.Ticket}, answer.Ticket != 0
	}
	answer, by, ok := callOwner(ctx, s, trialsKey(call.Service), trialsPath, 1, call, local)
	return trial{ticket: answer.Ticket, by: by}, ok && answer.Ticket != 0
}

// returnTrial gives a trial back, in the background. It goes to the entry that granted it: another
// one has not counted it.
func (s *Server) returnTrial(r *request, t trial) {
	if t.ticket == 0 {
		return
	}
	call := trialRequest{Service: r.service.Name, Return: t.ticket}
	if t.by.peer == nil {
		s.applyTrial(call, true)
		return
	}
	s.background("return trial", ownerTimeout, func(ctx context.Context) error {
		var answer trialResponse
		return callPeer(ctx, t.by.peer, "POST", trialsPath, ownerTimeout, call, &answer)
	})
}

// trialsKey is the key by which the owner of a service's trials is determined.
func trialsKey(v domain.Service) string { return "trials/" + string(v) }

// applyTrial grants or takes back a trial of a service that this entry owns. Only the first owner
// grants any: a later one can't know what the first has granted.
func (s *Server) applyTrial(call trialRequest, first bool) trialResponse {
	now, pool := lease.Boottime(), s.trials.of(call.Service)
	if call.Return != 0 {
		pool.ReturnTicket(call.Return)
		return trialResponse{}
	}
	if !first {
		return trialResponse{}
	}
	terms := s.fleetBudget().PoolTerms(now, s.retryMember(now))
	if !s.Settings.PeerListen.IsValid() {
		terms.FixedRetries /= float64(s.members.count(time.Now()))
	}
	return trialResponse{Ticket: pool.Reserve(now, terms).Ticket()}
}

// handleTrial answers a call of another entry. It returns false if the configuration is not known yet
// or has no such service.
func (s *Server) handleTrial(call trialRequest) (trialResponse, bool) {
	c := s.config.Current()
	if c == nil || c.Service(call.Service) == nil || call.Return < 0 {
		return trialResponse{}, false
	}
	return s.applyTrial(call, s.isFirstOwner(trialsKey(call.Service))), true
}

// retryMember is this entry among those that share the retry budgets.
func (s *Server) retryMember(now time.Time) retry.Member {
	return retry.Member{
		Members: s.members.count(time.Now()), FleetStarted: s.Settings.FirstStart, Started: s.startBoottime,
		Counted: s.Members == nil || s.members.countedByOthers(time.Now(), now.Sub(s.startBoottime), s.Settings.FirstStart),
	}
}

// fleetBudget is what the operators allow all entries together for each service.
func (s *Server) fleetBudget() retry.FleetBudget {
	p := s.liveSettings.Load().RetryBudget
	return retry.FleetBudget{RetryRatio: p.RetryRatio, FixedRetries: p.FixedRetries, Span: p.Window}
}
