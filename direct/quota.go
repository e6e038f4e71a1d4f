package direct

import (
	"context"
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/paths"
	"jacinthworks/quota"
)

const (
	// quotaPath is the peer endpoint at which the owner of an account's quota is called.
	quotaPath = "/v1/quota"
	// isolatedQuotaPart is the part of its share of an account's quota that an entry grants
	// while it reaches no owner of the quota. The owners go on granting the whole quota,
	// since they can't tell an entry that is cut off from one that has stopped.
	isolatedQuotaPart = 0.2
	// isolatedQuotaAccrual is how long the isolated counter of an entry counts as having
	// accrued quota when the fleet starts, or if the entry has no peers. An entry that starts
	// again has accrued nothing: its earlier start may have spent it.
	isolatedQuotaAccrual = time.Hour
	// overQuotaPart is the part of the excess over quotas tolerated by the operators that is
	// granted to accounts.
	// The rest covers requests that reach their engines later than they were granted, and
	// what is spent by entries that can't reach the owner.
	overQuotaPart = 0.5
	// standbyQuotaAccrual limits the burst that an owner grants while other entries precede
	// it as owners, to what accrues in this time.
	//
	// If the first owner is cut off during a flood, the next one has counted nothing for
	// minutes, and would grant a second burst in the same window.
	standbyQuotaAccrual = 250 * time.Millisecond
)

// quotas counts the quotas of accounts: those that this entry owns, and what it has learned
// of those that others own. The zero value is ready to use; it must not be copied.
type quotas struct {
	// shared counts the requests of all entries for the accounts whose quota this entry
	// owns. isolated counts the requests of this entry alone while it reaches no owner.
	shared   quota.Counter
	isolated quota.Counter

	mu sync.Mutex // leaf lock: no other lock is acquired while it is held
	// exhaustedUntil is when an account that was denied may be granted requests of the same
	// size again.
	exhaustedUntil map[denialKey]time.Time
}

// denialKey tells the denials of an account's small requests from those of its others,
// which are denied more often.
type denialKey struct {
	account domain.Account
	small   bool
}

// quotaRequest asks the owner of an account's quota to charge a cost, or to refund it.
type quotaRequest struct {
	Account domain.Account `json:"account"`
	Cost    float64        `json:"cost"`
	// Refund asks for a refund. Over means that the cost was granted over the quota.
	Refund bool `json:"back,omitempty"`
	Over   bool `json:"over,omitempty"`
}

// charge charges the request's cost to the quota of its account, before anything else is
// spent on the request.
func (s *Server) charge(ctx context.Context, r *request) *failure {
	if r.client == nil || !r.client.Quota.Limited() {
		return nil
	}
	cost := r.client.Quota.Cost(r.info.PromptTokens + r.info.MaxOutputTokens)
	now := time.Now()
	key := denialKey{account: r.account, small: s.sharesOn() && quotaLimit(r.client).IsSmall(cost)}
	decision, decidedBy := quota.Decision{Wait: s.quotas.remainingWait(now, key)}, "known"
	if decision.Wait <= 0 {
		decision, decidedBy = s.callQuotaOwner(ctx, r.client, quotaRequest{Account: r.account, Cost: cost})
		s.quotas.recordDenial(now, key, decision)
	}
	if decision.Granted {
		r.cost, r.overQuota = cost, decision.OverQuota
		s.Log.Debug("quota", "request", r.id, "account", r.account, "cost", cost, "over", decision.OverQuota, "left", decision.BucketLevel, "by", decidedBy, "took", time.Since(now))
		return nil
	}
	s.Log.Info("over quota", "request", r.id, "account", r.account, "cost", cost, "left", decision.BucketLevel, "wait", decision.Wait, "by", decidedBy,
		"rate", r.client.Quota.Rate, "burst", r.client.Quota.Burst, "version", r.version)
	return &failure{ran: domain.NotRun, reason: domain.ReasonQuota, detail: "the account is over its quota", retryAfter: decision.Wait}
}

// refuseOverQuota refuses a request that goes over its account's quota and for which the
// other requests leave no room.
func (s *Server) refuseOverQuota(r *request) *failure {
	wait := s.queues.For(r.service.Name).RetryAfter.Delay(time.Now())
	s.Log.Info("over quota", "request", r.id, "account", r.account, "cost", r.cost, "by", "no room", "asked", r.enginesAsked, "wait", wait)
	return &failure{ran: domain.NotRun, reason: domain.ReasonQuota, detail: "the account is over its quota and no engine has room to spare", retryAfter: wait, final: true}
}

// refundQuota refunds, in the background, the cost of a request that has not run.
func (s *Server) refundQuota(r *request) {
	if r.cost == 0 {
		return
	}
	call := quotaRequest{Account: r.account, Cost: r.cost, Refund: true, Over: r.overQuota}
	r.cost = 0
	client := r.client
	s.background("refund quota", maxOwnerTries*ownerTimeout, func(ctx context.Context) error {
		s.callQuotaOwner(ctx, client, call)
		return nil
	})
}

// callQuotaOwner makes a call at the owner of the account's quota. If no owner can be
// reached, it spends a part of this entry's own share.
func (s *Server) callQuotaOwner(ctx context.Context, a *paths.Account, call quotaRequest) (decision quota.Decision, decidedBy string) {
	local := func(first bool) quota.Decision { return s.applyQuota(time.Now(), a, call, first) }
	if decision, k, ok := callOwner(ctx, s, quotaKey(a.Name), quotaPath, maxOwnerTries, call, local); ok {
		return decision, k.name()
	}
	now := time.Now()
	share := 1.0
	if n := s.members.count(now); n > 1 {
		share = isolatedQuotaPart / float64(n)
	}
	return applyQuotaRequest(&s.quotas.isolated, now, call, quota.Allowance{Quota: quotaLimit(a).Scale(share)}), "alone"
}

// quotaKey is the key by which the owner of an account's quota is determined.
func quotaKey(a domain.Account) string { return "quota/" + string(a) }

// applyQuota applies a call to an account whose quota this entry owns. first means that no
// other entry precedes it: only the first owner grants requests over the quota, which two
// owners would otherwise both do.
func (s *Server) applyQuota(now time.Time, a *paths.Account, call quotaRequest, first bool) quota.Decision {
	allowance := quota.Allowance{Quota: quotaLimit(a)}
	if first && s.sharesOn() {
		allowance.SmallDebt = allowance.Quota.SmallDebtLimit()
	}
	if first {
		allowance.Excess = s.liveSettings.Load().QuotaTolerance.ExcessLimit(allowance.Quota, overQuotaPart)
	} else {
		allowance.Quota.Burst = min(allowance.Quota.Burst, allowance.Quota.Rate*standbyQuotaAccrual.Seconds())
	}
	return applyQuotaRequest(&s.quotas.shared, now, call, allowance)
}

func quotaLimit(a *paths.Account) quota.Limit {
	return quota.Limit{Rate: a.Quota.Rate, Burst: a.Quota.Burst}
}

func applyQuotaRequest(c *quota.Counter, now time.Time, call quotaRequest, allowance quota.Allowance) quota.Decision {
	if call.Refund {
		c.Refund(now, call.Account, allowance, call.Cost, call.Over)
		return quota.Decision{Granted: true}
	}
	return c.Take(now, call.Account, allowance, call.Cost)
}

// handleQuota answers a quota call of another entry. It returns false if the configuration
// is not known yet or the cost is invalid.
func (s *Server) handleQuota(call quotaRequest) (v quota.Decision, ok bool) {
	c := s.config.Current()
	if c == nil || call.Cost < 0 {
		return v, false
	}
	a := c.AccountByName(call.Account)
	if a == nil || !a.Quota.Limited() {
		return quota.Decision{Granted: true}, true
	}
	return s.applyQuota(time.Now(), a, call, s.isFirstOwner(quotaKey(a.Name))), true
}

// remainingWait is how long requests like a denied one are still denied.
//
// An account may send many times its quota, and each denial costs the owner as much as a
// grant. After one denial, an entry denies all such requests of the account by itself until
// the quota has accrued again.
func (q *quotas) remainingWait(now time.Time, k denialKey) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.exhaustedUntil[k].Sub(now))
}

// recordDenial records until when an account is denied, unless the decision is a grant.
func (q *quotas) recordDenial(now time.Time, k denialKey, v quota.Decision) {
	if v.Granted {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.exhaustedUntil == nil {
		q.exhaustedUntil = make(map[denialKey]time.Time)
	}
	q.exhaustedUntil[k] = now.Add(v.Wait)
}
