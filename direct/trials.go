package direct

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/infra"
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
	byService map[domain.Service]*trialPool
}

// trialPool holds the trials of one service.
type trialPool struct {
	window retry.Window
	// claimed means that this start of the entry may grant trials in its first span; claimTriedAt
	// is when that was last asked for, in Unix nanoseconds.
	claimed      atomic.Bool
	claimTriedAt atomic.Int64
}

// trialStart is the record in the store of the last start of an owner that granted trials of a service
// in its first span.
type trialStart struct {
	By domain.Host `json:"by"`
	At time.Time   `json:"at"`
}

const (
	// trialStartPrefix is the collection of the records of starts.
	trialStartPrefix = "trial_starts/"
	// trialClaimInterval is the least time between two attempts to write such a record.
	trialClaimInterval = 500 * time.Millisecond
)

// of returns the trials of a service.
func (p *trialPools) of(v domain.Service) *trialPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byService == nil {
		p.byService = make(map[domain.Service]*trialPool)
	}
	if p.byService[v] == nil {
		p.byService[v] = &trialPool{}
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
	now, pool := clock.Boottime(), s.trials.of(call.Service)
	if call.Return != 0 {
		pool.window.ReturnTicket(call.Return)
		return trialResponse{}
	}
	if !first {
		return trialResponse{}
	}
	budget, member := s.fleetBudget(), s.retryMember(now)
	if !s.Settings.PeerListen.IsValid() {
		budget.FixedRetries *= (retry.TrialPart + retry.StartPart) / retry.TrialPart / float64(member.Members)
	} else if member.IsNew(now, budget.Span) && !pool.claimed.Load() {
		s.claimTrials(call.Service, pool)
	}
	return trialResponse{Ticket: pool.window.Reserve(now, budget.PoolTerms(now, member, pool.claimed.Load())).Ticket()}
}

// claimTrials records in the store, in the background, that this start grants trials in its first
// span, unless another start has done so lately.
//
// When all entries crash, the owner of the trials does not know what its earlier start has granted.
// Without any, decode engines would read all prompts just when all callers come back.
func (s *Server) claimTrials(v domain.Service, pool *trialPool) {
	now := time.Now()
	tried := pool.claimTriedAt.Load()
	listed := s.members.foundAtStart.Load() > 0 || s.members.loaded.Load() // else every entry takes itself for the owner
	if s.Records == nil || !listed || now.UnixNano()-tried < int64(trialClaimInterval) || !pool.claimTriedAt.CompareAndSwap(tried, now.UnixNano()) {
		return
	}
	s.background("claim trials", storeTimeout, func(ctx context.Context) error {
		ok, err := s.recordTrialStart(ctx, v)
		pool.claimed.Store(ok)
		s.Log.Info("trials claimed", "service", v, "granted", ok, "err", err)
		return nil
	})
}

// recordTrialStart writes the record of this start. It returns false if another one was written
// within the last two spans, since the clocks of two starts may differ, or one that can't be read.
func (s *Server) recordTrialStart(ctx context.Context, v domain.Service) (bool, error) {
	name := trialStartPrefix + string(v)
	old, err := s.Records.Get(ctx, name)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return false, err
	}
	now := time.Now()
	granted := true
	if err == nil {
		var last trialStart
		if granted = json.Unmarshal(old.Value, &last) == nil; granted && now.Sub(last.At).Abs() < 2*s.fleetBudget().Span {
			return false, nil
		}
	}
	value, err := json.Marshal(trialStart{By: s.Settings.Name, At: now})
	if err != nil {
		return false, errors.Wrap(err, "direct: encoding the record of a start")
	}
	_, err = s.Records.Put(ctx, name, value, old.Version)
	return granted && err == nil, err
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
