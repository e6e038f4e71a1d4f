package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/paths"
	"jacinthworks/quota"
	"jacinthworks/relay"
	"jacinthworks/send"
	"jacinthworks/work"
)

const (
	// quotaPath is where the entry that counts for an account is asked.
	quotaPath = "/v1/quota"
	// quotaWithin bounds the call: two round trips, for a connection and the answer,
	// and a host that waits for its share of a processor.
	quotaWithin = 80 * time.Millisecond
	// quotaOwners is how many entries are asked before an own share is spent.
	quotaOwners = 2
	// quotaRest is how long an entry that did not answer is left alone: the time in
	// which a killed process starts again.
	quotaRest = time.Second
	// quotaAlone is the part of its share that an entry spends which reaches none of
	// those that count: they go on giving out all of it, since they can't tell an
	// entry that is cut off from one that is gone.
	quotaAlone = 0.4
	// quotaSlack is the part of the operators' slack that accounts may save up beside
	// their burst. The rest is for what entries spend that can't reach those that count.
	quotaSlack = 0.6
	// quotaMost bounds a call, in bytes.
	quotaMost = 4 << 10
)

// quotas are what this entry counts for others, and what it knows of accounts that
// others count for. The zero value is ready to use; it must not be copied.
type quotas struct {
	// counter is asked by all entries, alone is for what this one spends unasked.
	counter quota.Counter
	alone   quota.Counter

	mu      sync.Mutex // a leaf
	resting map[*relay.Peer]time.Time
	spent   map[work.Account]spent
}

// spent is an account that has not enough for a request of the cost until a time.
type spent struct {
	cost  float64
	until time.Time
}

// quotaCall asks the entry that counts to take the cost, or to give it back.
type quotaCall struct {
	Account work.Account `json:"account"`
	Cost    float64      `json:"cost"`
	// Back gives back; Over says that it went beyond the burst.
	Back bool `json:"back,omitempty"`
	Over bool `json:"over,omitempty"`
}

// charge takes the request's cost from its account's quota, before anything is
// spent on it.
func (s *Server) charge(ctx context.Context, r *request) *failure {
	if r.client == nil || !r.client.Quota.Limited() {
		return nil
	}
	cost := r.client.Quota.Cost(r.ask.Prompt + r.ask.Output)
	now := time.Now()
	v, by := quota.Verdict{Wait: s.quotas.wait(now, r.account, cost)}, "known"
	if v.Wait <= 0 {
		v, by = s.takeQuota(ctx, r.client, quotaCall{Account: r.account, Cost: cost})
		s.quotas.note(now, r.account, cost, v)
	}
	if v.Granted {
		r.cost, r.over = cost, v.Over
		s.Log.Debug("quota", "request", r.id, "account", r.account, "cost", cost, "over", v.Over, "left", v.Level, "by", by, "took", time.Since(now))
		return nil
	}
	s.Log.Info("over quota", "request", r.id, "account", r.account, "cost", cost, "left", v.Level, "wait", v.Wait, "by", by,
		"rate", r.client.Quota.Rate, "burst", r.client.Quota.Burst, "version", r.version)
	return &failure{ran: work.NotRun, reason: work.ReasonQuota, detail: "the account is over its quota", retryAfter: v.Wait}
}

// overQuota refuses a request whose account is over its quota, and for which others
// leave no room.
func (s *Server) overQuota(r *request) *failure {
	wait := s.lines.line(r.service.Name).returns(time.Now())
	s.Log.Info("over quota", "request", r.id, "account", r.account, "cost", r.cost, "by", "no room", "asked", r.asked, "wait", wait)
	return &failure{ran: work.NotRun, reason: work.ReasonQuota, detail: "the account is over its quota and no engine has room to spare", retryAfter: wait, final: true}
}

// giveBack gives back what a request took that has not run.
func (s *Server) giveBack(r *request) {
	if r.cost == 0 {
		return
	}
	call := quotaCall{Account: r.account, Cost: r.cost, Back: true, Over: r.over}
	r.cost = 0
	client := r.client
	s.later("give back quota", quotaOwners*quotaWithin, func(ctx context.Context) error {
		s.takeQuota(ctx, client, call)
		return nil
	})
}

// takeQuota makes the call at the entry that counts for the account; where none of
// those can be reached it spends a part of this entry's share.
func (s *Server) takeQuota(ctx context.Context, a *paths.Account, call quotaCall) (v quota.Verdict, by string) {
	now := time.Now()
	owners := s.peers.fleet.Owners(now, string(a.Name), quotaOwners)
	for n, o := range owners {
		if o.Peer == nil {
			return s.count(now, a, call, n == 0), "self"
		}
		if s.quotas.rests(now, o.Peer) {
			continue
		}
		v, err := askQuota(ctx, o.Peer, call)
		if err == nil {
			return v, string(o.Peer.Name)
		}
		if ctx.Err() != nil {
			break
		}
		s.quotas.rest(time.Now(), o.Peer)
		s.Log.Info("quota not answered", "account", a.Name, "by", o.Peer.Name, "err", err)
	}
	part := 1.0
	if n := s.members.count(now); n > 1 {
		part = quotaAlone / float64(n)
	}
	return apply(&s.quotas.alone, now, call, quota.Terms{Quota: limitOf(a).Part(part)}), "alone"
}

// count answers for an account that this entry counts for. first says that no other
// should: only that one grants what goes beyond the burst, which two would both do.
func (s *Server) count(now time.Time, a *paths.Account, call quotaCall, first bool) quota.Verdict {
	terms := quota.Terms{Quota: limitOf(a)}
	if first {
		terms.Slack = quotaSlack * s.live.Load().Quotas.Slack
	}
	return apply(&s.quotas.counter, now, call, terms)
}

func limitOf(a *paths.Account) quota.Limit {
	return quota.Limit{Rate: a.Quota.Rate, Burst: a.Quota.Burst}
}

func apply(c *quota.Counter, now time.Time, call quotaCall, terms quota.Terms) quota.Verdict {
	if call.Back {
		c.Give(now, call.Account, terms, call.Cost, call.Over)
		return quota.Verdict{Granted: true}
	}
	return c.Take(now, call.Account, terms, call.Cost)
}

// serveQuota answers the other entries.
func (s *Server) serveQuota(w http.ResponseWriter, h *http.Request) {
	var call quotaCall
	if err := json.NewDecoder(http.MaxBytesReader(w, h.Body, quotaMost)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := s.holder.Current()
	if c == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a := c.Named(call.Account)
	v := quota.Verdict{Granted: true}
	if a != nil && a.Quota.Limited() {
		now := time.Now()
		first := s.peers.fleet.Owners(now, string(a.Name), 1)
		v = s.count(now, a, call, len(first) > 0 && first[0].Peer == nil)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.Log.Debug("quota not taken", "err", err)
	}
}

func askQuota(ctx context.Context, p *relay.Peer, call quotaCall) (v quota.Verdict, err error) {
	ctx, cancel := context.WithTimeout(ctx, quotaWithin)
	defer cancel()
	body, err := json.Marshal(call)
	if err != nil {
		return v, errors.Wrap(err, "direct: quota")
	}
	reply, err := p.Do(ctx, send.Request{
		Method: http.MethodPost, Target: quotaPath, Header: http.Header{"Content-Type": {"application/json"}}, Body: body, Silence: quotaWithin,
	})
	if err != nil {
		return v, err
	}
	answer, err := reply.All(shortAnswer)
	if err != nil {
		return v, err
	}
	if reply.Status != http.StatusOK {
		return v, errors.Errorf("direct: quota: status %d", reply.Status)
	}
	return v, errors.Wrap(json.NewDecoder(bytes.NewReader(answer)).Decode(&v), "direct: quota")
}

// wait gives how long the account is known to have too little for the cost.
//
// Load pattern: an account sends many times its quota, and each refusal costs the
// entry that counts as much as a grant. Told once, an entry refuses by itself what
// can't be granted yet.
func (q *quotas) wait(now time.Time, a work.Account, cost float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.spent[a]; cost >= s.cost {
		return max(0, s.until.Sub(now))
	}
	return 0
}

// note remembers an account that has too little for the cost.
func (q *quotas) note(now time.Time, a work.Account, cost float64, v quota.Verdict) {
	if v.Granted {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.spent == nil {
		q.spent = make(map[work.Account]spent)
	}
	q.spent[a] = spent{cost: cost, until: now.Add(v.Wait)}
}

func (q *quotas) rests(now time.Time, p *relay.Peer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.resting[p])
}

// rest leaves an entry alone that did not answer.
func (q *quotas) rest(now time.Time, p *relay.Peer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for other, until := range q.resting {
		if now.After(until) {
			delete(q.resting, other)
		}
	}
	if q.resting == nil {
		q.resting = make(map[*relay.Peer]time.Time)
	}
	q.resting[p] = now.Add(quotaRest)
}
