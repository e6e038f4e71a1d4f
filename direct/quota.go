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
	// quotaPath is where the entry that counts for an account is asked.
	quotaPath = "/v1/quota"
	// quotaAlone is the part of its share that an entry spends which reaches none of
	// those that count: they go on giving out all of it, since they can't tell an
	// entry that is cut off from one that is gone.
	quotaAlone = 0.2
	// quotaSaved is the time for which an entry has saved up at its start for when it
	// reaches none of those that count.
	quotaSaved = time.Hour
	// quotaOver is the part of the operators' tolerance that accounts get. The rest is for
	// requests that reach their engines later than they were granted, and for what
	// entries spend that can't reach the one that counts.
	quotaOver = 0.5
	// quotaStandby is the time for which an entry saves up that counts only while
	// another can't be reached.
	//
	// Failure: the host that counts is cut off in the middle of a flood. The next one has
	// counted nothing for minutes, and grants a second burst in the same window.
	quotaStandby = 250 * time.Millisecond
)

// quotas are what this entry counts for others, and what it knows of accounts that
// others count for. The zero value is ready to use; it must not be copied.
type quotas struct {
	// counter is asked by all entries, alone is for what this one spends unasked.
	counter quota.Counter
	alone   quota.Counter

	mu sync.Mutex // a leaf
	// spent is until when an account has nothing.
	spent map[domain.Account]time.Time
}

// quotaCall asks the entry that counts to take the cost, or to give it back.
type quotaCall struct {
	Account domain.Account `json:"account"`
	Cost    float64        `json:"cost"`
	// Back gives back; Over says that it was granted over the quota.
	Back bool `json:"back,omitempty"`
	Over bool `json:"over,omitempty"`
}

// charge takes the request's cost from its account's quota, before anything is
// spent on it.
func (s *Server) charge(ctx context.Context, r *request) *failure {
	if r.client == nil || !r.client.Quota.Limited() {
		return nil
	}
	cost := r.client.Quota.Cost(r.ask.PromptTokens + r.ask.MaxOutputTokens)
	now := time.Now()
	v, by := quota.Decision{Wait: s.quotas.wait(now, r.account)}, "known"
	if v.Wait <= 0 {
		v, by = s.takeQuota(ctx, r.client, quotaCall{Account: r.account, Cost: cost})
		s.quotas.note(now, r.account, v)
	}
	if v.Granted {
		r.cost, r.over = cost, v.OverQuota
		s.Log.Debug("quota", "request", r.id, "account", r.account, "cost", cost, "over", v.OverQuota, "left", v.Level, "by", by, "took", time.Since(now))
		return nil
	}
	s.Log.Info("over quota", "request", r.id, "account", r.account, "cost", cost, "left", v.Level, "wait", v.Wait, "by", by,
		"rate", r.client.Quota.Rate, "burst", r.client.Quota.Burst, "version", r.version)
	return &failure{ran: domain.NotRun, reason: domain.ReasonQuota, detail: "the account is over its quota", retryAfter: v.Wait}
}

// overQuota refuses a request whose account is over its quota, and for which others
// leave no room.
func (s *Server) overQuota(r *request) *failure {
	wait := s.lines.For(r.service.Name).RetryAfter.Delay(time.Now())
	s.Log.Info("over quota", "request", r.id, "account", r.account, "cost", r.cost, "by", "no room", "asked", r.asked, "wait", wait)
	return &failure{ran: domain.NotRun, reason: domain.ReasonQuota, detail: "the account is over its quota and no engine has room to spare", retryAfter: wait, final: true}
}

// giveBack gives back what a request took that has not run.
func (s *Server) giveBack(r *request) {
	if r.cost == 0 {
		return
	}
	call := quotaCall{Account: r.account, Cost: r.cost, Back: true, Over: r.over}
	r.cost = 0
	client := r.client
	s.later("give back quota", keeperTries*keeperWithin, func(ctx context.Context) error {
		s.takeQuota(ctx, client, call)
		return nil
	})
}

// takeQuota makes the call at the entry that counts for the account; where none of
// those can be reached it spends a part of this entry's share.
func (s *Server) takeQuota(ctx context.Context, a *paths.Account, call quotaCall) (v quota.Decision, by string) {
	own := func(first bool) quota.Decision { return s.count(time.Now(), a, call, first) }
	if v, k, ok := askKeeper(ctx, s, quotaKey(a.Name), quotaPath, keeperTries, call, own); ok {
		return v, k.name()
	}
	now := time.Now()
	part := 1.0
	if n := s.members.count(now); n > 1 {
		part = quotaAlone / float64(n)
	}
	return apply(&s.quotas.alone, now, call, quota.Allowance{Quota: limitOf(a).Scale(part)}), "alone"
}

// quotaKey is by which the entry is found that counts for an account.
func quotaKey(a domain.Account) string { return "quota/" + string(a) }

// count answers for an account that this entry counts for. first says that no other
// should: only that one grants what goes over the quota, which two would both do.
func (s *Server) count(now time.Time, a *paths.Account, call quotaCall, first bool) quota.Decision {
	terms := quota.Allowance{Quota: limitOf(a)}
	if first {
		terms.Excess = s.live.Load().Quotas.ExcessLimit(terms.Quota, quotaOver)
	} else {
		terms.Quota.Burst = min(terms.Quota.Burst, terms.Quota.Rate*quotaStandby.Seconds())
	}
	return apply(&s.quotas.counter, now, call, terms)
}

func limitOf(a *paths.Account) quota.Limit {
	return quota.Limit{Rate: a.Quota.Rate, Burst: a.Quota.Burst}
}

func apply(c *quota.Counter, now time.Time, call quotaCall, terms quota.Allowance) quota.Decision {
	if call.Back {
		c.Refund(now, call.Account, terms, call.Cost, call.Over)
		return quota.Decision{Granted: true}
	}
	return c.Take(now, call.Account, terms, call.Cost)
}

// answerQuota answers the other entries.
func (s *Server) answerQuota(call quotaCall) (v quota.Decision, ok bool) {
	c := s.holder.Current()
	if c == nil || call.Cost < 0 {
		return v, false
	}
	a := c.AccountByName(call.Account)
	if a == nil || !a.Quota.Limited() {
		return quota.Decision{Granted: true}, true
	}
	return s.count(time.Now(), a, call, s.first(quotaKey(a.Name))), true
}

// wait gives how long the account is known to have nothing.
//
// Load pattern: an account sends many times its quota, and each refusal costs the
// entry that counts as much as a grant. Told once, an entry refuses by itself what
// can't be granted yet, whatever its size: asking again for smaller requests only gave
// them all that came back.
func (q *quotas) wait(now time.Time, a domain.Account) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.spent[a].Sub(now))
}

// note remembers an account that has nothing.
func (q *quotas) note(now time.Time, a domain.Account, v quota.Decision) {
	if v.Granted {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.spent == nil {
		q.spent = make(map[domain.Account]time.Time)
	}
	q.spent[a] = now.Add(v.Wait)
}
