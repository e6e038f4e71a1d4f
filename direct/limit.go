package direct

import (
	"context"
	"math"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/meter"
	"jacinthworks/pacer"
	"jacinthworks/roster"
)

const (
	// limitPath is the peer endpoint at which the owner of an upstream's rate limit grants
	// requests and is notified of the limit.
	limitPath = "/v1/limit"
	// limitUpdatePath is the peer endpoint that is notified when a limit has begun, fallen
	// far or ended.
	limitUpdatePath = "/v1/limit_news"
	// maxLimitRecheck bounds how long an entry that was denied a permit does not call the
	// owner again: meanwhile it learns from no response that the limit has ended.
	maxLimitRecheck = 2 * time.Second
	// limitBroadcastTimeout bounds the calls that notify all entries of a limit.
	limitBroadcastTimeout = 5 * time.Second
	// noPermitRetryAfter is the time after which to try an upstream again if the request
	// ended before its permit was granted.
	noPermitRetryAfter = time.Second
)

// limits counts the requests to upstreams that state a rate limit. The zero value is ready
// to use; it must not be copied.
type limits struct {
	// shared counts the requests of all entries to the upstreams whose rate limit this entry
	// owns. isolated counts the requests of this entry alone while it reaches no owner.
	shared   pacer.Limiter[roster.InstanceKey]
	isolated pacer.Limiter[roster.InstanceKey]
}

// limitOp is the operation that a limitRequest asks for.
type limitOp string

// The operations on a rate limit that are requested from its owner.
const (
	limitTake   limitOp = "take" // acquires a permit
	limitRefund limitOp = "give" // returns an unused permit
	// limitReport only reports the rate limit that the upstream stated.
	limitReport limitOp = "tell"
)

// limitRequest is a call at the owner of an upstream's rate limit.
type limitRequest struct {
	Op     limitOp              `json:"use"`
	Start  roster.Start         `json:"start"`
	Stated pacer.ObservationAge `json:"said"`
	// MaxWait is how long the request can wait.
	MaxWait time.Duration `json:"within,omitempty"`
}

// limitResponse is the owner's decision, and the rate limit that it last observed.
type limitResponse struct {
	Granted bool                 `json:"granted"`
	Wait    time.Duration        `json:"wait"`
	Stated  pacer.ObservationAge `json:"said"`
}

// permit allows one request by the upstream's rate limit. grantedBy names the entry that
// granted it. The zero value is the permit for an upstream without a rate limit.
type permit struct {
	upstream  *roster.Upstream
	grantedBy string
	wait      time.Duration
}

// logFields returns the permit's fields of the log line of a placement.
func (p permit) logFields() []any {
	if p.upstream == nil {
		return nil
	}
	return []any{"limit_by", p.grantedBy, "limit_wait", p.wait}
}

// excludeLimited excludes an upstream whose rate limit allows the request only after wait.
func (r *request) excludeLimited(u *roster.Upstream, wait time.Duration) {
	r.exclude(u)
	if r.limitWait == 0 || wait < r.limitWait {
		r.limitWait = max(wait, time.Millisecond)
	}
}

// recordLimit records the rate limit that a response states. A response that states none
// ends the limit, unless it is a failure or a refusal: those may come from something other
// than the upstream itself.
func (s *Server) recordLimit(r *request, a *attempt, n ResponseInfo, status int) {
	if !n.RateLimitReported || n.Misdirected {
		return
	}
	if !n.RateLimit.Limited() && (n.NotExecuted || status >= http.StatusInternalServerError) {
		return
	}
	if s.observeLimit(a.upstream, pacer.Observation{Rate: n.RateLimit, Sent: a.startedAt, Received: time.Now()}, r.id, "answer") {
		s.reportLimit(a.upstream)
	}
}

// observeLimit records an observation of a rate limit, and reports whether the limit that
// this process assumes has changed. by names the source of the observation in the log.
func (s *Server) observeLimit(u *roster.Upstream, observation pacer.Observation, id domain.RequestID, by string) bool {
	_, age := u.Stats.RateLimit(time.Now())
	before, rate := u.Stats.ObserveRateLimit(observation)
	if before == rate {
		return false
	}
	m := u.Server()
	s.Log.Info("rate limit", "request", id, "upstream", m.ID, "service", m.Service,
		"limit", rate, "before", before, "age", age, "by", by)
	return true
}

// reportLimit reports, in the background, an upstream's rate limit to its owner. The owner
// broadcasts urgent changes, and notifies the other entries of all other changes in the
// responses to their calls.
func (s *Server) reportLimit(u *roster.Upstream) {
	s.background("report rate limit", maxOwnerTries*ownerTimeout, func(ctx context.Context) error {
		s.callLimitOwner(ctx, u, limitRequest{Op: limitReport})
		return nil
	})
}

// acquirePermit acquires a permit for one request to the upstream. It waits for the
// request's turn if that comes within the given time; otherwise it returns false and the
// time after which to try again.
func (s *Server) acquirePermit(ctx context.Context, r *request, u *roster.Upstream, within time.Duration) (granted permit, wait time.Duration, ok bool) {
	for ctx.Err() == nil {
		now := time.Now()
		rate, age := u.Stats.RateLimit(now)
		if !rate.Limited() {
			return permit{}, 0, true
		}
		answer, grantedBy := limitResponse{Wait: u.Stats.RateLimitWait(now)}, "known"
		if answer.Wait <= within {
			answer, grantedBy = s.callLimitOwner(ctx, u, limitRequest{Op: limitTake, MaxWait: within})
			s.observeLimit(u, answer.Stated.At(time.Now()), r.id, grantedBy)
		}
		if !answer.Granted {
			u.Stats.SetRateLimitWait(now.Add(min(answer.Wait, maxLimitRecheck)))
			s.logLimited(r, u, "denied", rate, age, answer.Wait, grantedBy)
			return permit{}, answer.Wait, false
		}
		granted := permit{upstream: u, grantedBy: grantedBy, wait: answer.Wait}
		if answer.Wait <= 0 {
			return granted, 0, true
		}
		s.logLimited(r, u, "waits", rate, age, answer.Wait, grantedBy)
		group.Sleep(ctx, answer.Wait)
		if now, _ := u.Stats.RateLimit(time.Now()); ctx.Err() == nil && !now.Stricter(rate) {
			return granted, 0, true
		}
		// The permit was counted by a limit that has since become stricter.
		s.releasePermit(granted)
		within -= answer.Wait
	}
	return permit{}, noPermitRetryAfter, false
}

// logLimited logs and counts a request that a rate limit delays or denies.
func (s *Server) logLimited(r *request, u *roster.Upstream, outcome string, rate pacer.Rate, age, wait time.Duration, by string) {
	s.Log.Info("rate limited", "request", r.id, "upstream", u.Server().ID, "outcome", outcome, "limit", rate, "limit_age", age, "wait", wait, "by", by)
	s.Meter.Inc("jacinthworks_limited_total", meter.Labels{"service", string(r.service.Name), "outcome", outcome})
}

// releasePermit returns, in the background, a permit whose request was not sent.
func (s *Server) releasePermit(p permit) {
	if p.upstream == nil {
		return
	}
	s.background("release permit", maxOwnerTries*ownerTimeout, func(ctx context.Context) error {
		s.callLimitOwner(ctx, p.upstream, limitRequest{Op: limitRefund})
		return nil
	})
}

// callLimitOwner makes a call at the owner of the upstream's rate limit. If no owner can be
// reached, this entry counts its own share of the limit.
func (s *Server) callLimitOwner(ctx context.Context, u *roster.Upstream, call limitRequest) (a limitResponse, by string) {
	call.Start = u.Server().Start
	call.Stated = u.Stats.RateLimitObservation().Age(time.Now())
	local := func(bool) limitResponse { return s.serveLimit(call) }
	key := limitKey(call.Start.Key())
	if a, k, ok := callOwner(ctx, s, key, limitPath, math.MaxInt, call, local); ok {
		return a, k.name()
	}
	now := time.Now()
	reachability := pacer.Reachability{Probed: 1, Reached: 1}
	if s.Members != nil {
		reachability.Probed = s.members.count(now)
	}
	return applyLimitRequest(&s.limits.isolated, now, call, reachability), "alone"
}

// limitKey is the key by which the owner of an upstream's rate limit is determined.
func limitKey(k roster.InstanceKey) string { return "limit/" + string(k.ID) }

// serveLimit answers a call for an upstream whose rate limit this entry owns.
func (s *Server) serveLimit(call limitRequest) limitResponse {
	now, key := time.Now(), call.Start.Key()
	s.ownerProber.MarkUsed(now, limitKey(key))
	a := applyLimitRequest(&s.limits.shared, now, call, s.reachability(now, limitKey(key)))
	if observation, due := s.limits.shared.NextBroadcast(now, key); due {
		update := limitUpdate{Start: call.Start, Stated: observation.Age(now), Sender: s.Settings.Name}
		s.handleLimitUpdate(update)
		s.broadcastLimit(update)
	}
	return a
}

// limitUpdate notifies an entry of a limit that has begun, fallen far or ended.
type limitUpdate struct {
	Start  roster.Start         `json:"start"`
	Stated pacer.ObservationAge `json:"said"`
	Sender domain.Host          `json:"by"`
}

// broadcastLimit notifies all other entries of a limit in the background.
func (s *Server) broadcastLimit(n limitUpdate) {
	started := time.Now()
	s.background("broadcast rate limit", limitBroadcastTimeout, func(ctx context.Context) error {
		for _, p := range s.peers.fleet.OtherPeers(s.peers.fleet.MemberCount()) {
			if allowed, _ := s.unresponsive.MayAsk(time.Now(), p); !allowed {
				continue
			}
			update := n
			update.Stated = n.Stated.Add(time.Since(started))
			if err := callPeer(ctx, p, http.MethodPost, limitUpdatePath, ownerTimeout, update, nil); err != nil {
				s.Log.Debug("rate limit not sent to entry", "entry", p.Name, "err", err)
			}
		}
		return nil
	})
}

// handleLimitUpdate records a rate limit that another entry broadcast. It returns false if
// the limit is invalid.
func (s *Server) handleLimitUpdate(n limitUpdate) (struct{}, bool) {
	if n.Stated.Rate < 0 {
		return struct{}{}, false
	}
	if u := s.roster.UpstreamByInstance(n.Start); u != nil {
		s.observeLimit(u, n.Stated.At(time.Now()), "", string(n.Sender))
	}
	return struct{}{}, true
}

func applyLimitRequest(k *pacer.Limiter[roster.InstanceKey], now time.Time, call limitRequest, reachability pacer.Reachability) limitResponse {
	key, observation := call.Start.Key(), call.Stated.At(now)
	switch call.Op {
	case limitRefund:
		return limitResponse{Granted: true, Stated: k.Refund(now, key, observation, reachability).Age(now)}
	case limitReport:
		return limitResponse{Granted: true, Stated: k.Observe(now, key, observation).Age(now)}
	}
	v := k.Take(now, key, observation, reachability, call.MaxWait)
	return limitResponse{Granted: v.Granted, Wait: v.Wait, Stated: v.Observation.Age(now)}
}

// handleLimit answers a rate limit call of another entry. It returns false if the call is
// invalid.
func (s *Server) handleLimit(call limitRequest) (limitResponse, bool) {
	if call.Start.ID == "" || call.Stated.Rate < 0 || call.MaxWait < 0 {
		return limitResponse{}, false
	}
	return s.serveLimit(call), true
}

// maxLimitWait is how long a plain request can wait for its turn at an upstream: not at all
// if another upstream may take the request, otherwise until its target.
func (s *Server) maxLimitWait(r *request, u *roster.Upstream) time.Duration {
	now := time.Now()
	for _, other := range s.roster.Upstreams(r.service.Name) {
		m := other.Server()
		if other != u && other.Eligibility(now).Eligible() && !r.excluded[m.Key()] && !other.Stats.Candidate(now).CoolingDown {
			return 0
		}
	}
	return max(0, r.firstSent.Add(r.targetLatency()).Sub(now)-u.Stats.Candidate(now).UnitTime)
}
