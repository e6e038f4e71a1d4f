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
	// limitPath is where the entry that counts for an upstream under a rate limit is
	// asked, and told of the limit.
	limitPath = "/v1/limit"
	// limitNewsPath is where an entry is told that a limit has begun, fallen far or ended.
	limitNewsPath = "/v1/limit_news"
	// pauseLongest bounds the time for which an entry that was told to wait does not
	// ask again: meanwhile it does not hear that the limit has ended.
	pauseLongest = 2 * time.Second
	// spreadWithin bounds the telling of all entries.
	spreadWithin = 5 * time.Second
	// noKeeperAfter is when to ask again where no request was granted and no entry that
	// counts could be reached.
	noKeeperAfter = time.Second
)

// limits are what this entry counts of upstreams under a rate limit. The zero value is
// ready to use; it must not be copied.
type limits struct {
	// keeper is asked by all entries, alone is for what this one sends while it reaches
	// none of those that count.
	keeper pacer.Limiter[roster.InstanceKey]
	alone  pacer.Limiter[roster.InstanceKey]
}

// limitUse is what a limitCall is for.
type limitUse string

// The uses.
const (
	limitTake limitUse = "take"
	limitGive limitUse = "give"
	// limitTell only tells of the limit.
	limitTell limitUse = "tell"
)

// limitCall asks the entry that counts for an upstream.
type limitCall struct {
	Use   limitUse             `json:"use"`
	Start roster.Start         `json:"start"`
	Said  pacer.ObservationAge `json:"said"`
	// Timeout is how long the request can wait.
	Within time.Duration `json:"within,omitempty"`
}

// limitAnswer is the verdict, and what the entry that counts knows of the limit.
type limitAnswer struct {
	Granted bool                 `json:"granted"`
	Wait    time.Duration        `json:"wait"`
	Said    pacer.ObservationAge `json:"said"`
}

// permit allows one request to an upstream, and says by whom it was counted. The zero
// value is one that nobody counted.
type permit struct {
	upstream *roster.Upstream
	by       string
	wait     time.Duration
}

// log gives what the line of a placement says of the permit.
func (p permit) log() []any {
	if p.upstream == nil {
		return nil
	}
	return []any{"limit_by", p.by, "limit_wait", p.wait}
}

// limited keeps the request from an upstream whose rate limit allows it only later.
func (r *request) limited(u *roster.Upstream, wait time.Duration) {
	r.avoid(u)
	if r.limitWait == 0 || wait < r.limitWait {
		r.limitWait = max(wait, time.Millisecond)
	}
}

// heardLimit notes what an answer says of the upstream's rate limit. An answer that says
// nothing ends a limit, unless it is a failure or a refusal: those need not be the
// upstream's own words.
func (s *Server) heardLimit(r *request, a *attempt, n ResponseInfo, status int) {
	if !n.RateLimitReported || n.Misdirected {
		return
	}
	if !n.RateLimit.Limited() && (n.NotExecuted || status >= http.StatusInternalServerError) {
		return
	}
	if s.learnLimit(a.upstream, pacer.Observation{Rate: n.RateLimit, Sent: a.began, Received: time.Now()}, r.id, "answer") {
		s.tellLimit(a.upstream)
	}
}

// learnLimit takes a statement, and says whether the belief has changed.
func (s *Server) learnLimit(u *roster.Upstream, st pacer.Observation, id domain.RequestID, by string) bool {
	_, age := u.Stats.RateLimit(time.Now())
	before, rate := u.Stats.ObserveRateLimit(st)
	if before == rate {
		return false
	}
	m := u.Server()
	s.Log.Info("rate limit", "request", id, "upstream", m.ID, "service", m.Service,
		"limit", rate, "before", before, "age", age, "by", by)
	return true
}

// tellLimit tells the entry that counts, which tells the others of what they can't wait
// for, and of the rest when they next ask.
func (s *Server) tellLimit(u *roster.Upstream) {
	s.later("tell rate limit", keeperTries*keeperWithin, func(ctx context.Context) error {
		s.askLimit(ctx, u, limitCall{Use: limitTell})
		return nil
	})
}

// permit asks for one request to the upstream. It waits for the request's turn, where
// that comes within the given time, and else gives false and when to ask again.
func (s *Server) permit(ctx context.Context, r *request, u *roster.Upstream, within time.Duration) (p permit, wait time.Duration, ok bool) {
	for ctx.Err() == nil {
		now := time.Now()
		rate, age := u.Stats.RateLimit(now)
		if !rate.Limited() {
			return permit{}, 0, true
		}
		a, by := limitAnswer{Wait: u.Stats.RateLimitWait(now)}, "known"
		if a.Wait <= within {
			a, by = s.askLimit(ctx, u, limitCall{Use: limitTake, Within: within})
			s.learnLimit(u, a.Said.At(time.Now()), r.id, by)
		}
		if !a.Granted {
			u.Stats.SetRateLimitWait(now.Add(min(a.Wait, pauseLongest)))
			s.logLimited(r, u, "denied", rate, age, a.Wait, by)
			return permit{}, a.Wait, false
		}
		p := permit{upstream: u, by: by, wait: a.Wait}
		if a.Wait <= 0 {
			return p, 0, true
		}
		s.logLimited(r, u, "waits", rate, age, a.Wait, by)
		group.Sleep(ctx, a.Wait)
		if now, _ := u.Stats.RateLimit(time.Now()); ctx.Err() == nil && !now.Stricter(rate) {
			return p, 0, true
		}
		// The turn was counted by a limit that has become stricter since.
		s.unpermit(p)
		within -= a.Wait
	}
	return permit{}, noKeeperAfter, false
}

// logLimited writes the line of a request that is held up by a rate limit.
func (s *Server) logLimited(r *request, u *roster.Upstream, outcome string, rate pacer.Rate, age, wait time.Duration, by string) {
	s.Log.Info("rate limited", "request", r.id, "upstream", u.Server().ID, "outcome", outcome, "limit", rate, "limit_age", age, "wait", wait, "by", by)
	s.Meter.Inc("jacinthworks_limited_total", meter.Labels{"service", string(r.service.Name), "outcome", outcome})
}

// unpermit gives back a permit whose request was not sent.
func (s *Server) unpermit(p permit) {
	if p.upstream == nil {
		return
	}
	s.later("give back permit", keeperTries*keeperWithin, func(ctx context.Context) error {
		s.askLimit(ctx, p.upstream, limitCall{Use: limitGive})
		return nil
	})
}

// askLimit makes the call at the entry that counts for the upstream. Where none of those
// can be reached, this entry has its part of the limit.
func (s *Server) askLimit(ctx context.Context, u *roster.Upstream, call limitCall) (a limitAnswer, by string) {
	call.Start = u.Server().Start
	call.Said = u.Stats.RateLimitObservation().Age(time.Now())
	own := func(bool) limitAnswer { return s.countLimit(call) }
	key := limitKey(call.Start.Key())
	if a, k, ok := askKeeper(ctx, s, key, limitPath, math.MaxInt, call, own); ok {
		return a, k.name()
	}
	now := time.Now()
	standing := pacer.Reachability{Members: 1, Reached: 1}
	if s.Members != nil {
		standing.Members = s.members.count(now)
	}
	return countAt(&s.limits.alone, now, call, standing), "alone"
}

// limitKey is by which the entry is found that counts for an upstream.
func limitKey(k roster.InstanceKey) string { return "limit/" + string(k.ID) }

// countLimit answers for an upstream that this entry counts for.
func (s *Server) countLimit(call limitCall) limitAnswer {
	now, key := time.Now(), call.Start.Key()
	s.reach.Use(now, limitKey(key))
	a := countAt(&s.limits.keeper, now, call, s.standing(now, limitKey(key)))
	if said, news := s.limits.keeper.NextBroadcast(now, key); news {
		n := limitNews{Start: call.Start, Said: said.Age(now), By: s.Settings.Name}
		s.answerLimitNews(n)
		s.spreadLimit(n)
	}
	return a
}

// limitNews tells of a limit that has begun, fallen far or ended.
type limitNews struct {
	Start roster.Start         `json:"start"`
	Said  pacer.ObservationAge `json:"said"`
	By    domain.Host          `json:"by"`
}

// spreadLimit tells all other entries.
func (s *Server) spreadLimit(n limitNews) {
	began := time.Now()
	s.later("spread rate limit", spreadWithin, func(ctx context.Context) error {
		for _, p := range s.peers.fleet.Others(s.peers.fleet.MemberCount()) {
			if ask, _ := s.keepers.Check(time.Now(), p); !ask {
				continue
			}
			late := n
			late.Said = n.Said.Add(time.Since(began))
			if err := callPeer(ctx, p, http.MethodPost, limitNewsPath, keeperWithin, late, nil); err != nil {
				s.Log.Debug("rate limit not told", "entry", p.Name, "err", err)
			}
		}
		return nil
	})
}

// answerLimitNews takes the word of another entry.
func (s *Server) answerLimitNews(n limitNews) (struct{}, bool) {
	if n.Said.Rate < 0 {
		return struct{}{}, false
	}
	if u := s.roster.ByInstance(n.Start); u != nil {
		s.learnLimit(u, n.Said.At(time.Now()), "", string(n.By))
	}
	return struct{}{}, true
}

func countAt(k *pacer.Limiter[roster.InstanceKey], now time.Time, call limitCall, standing pacer.Reachability) limitAnswer {
	key, said := call.Start.Key(), call.Said.At(now)
	switch call.Use {
	case limitGive:
		return limitAnswer{Granted: true, Said: k.Refund(now, key, said, standing).Age(now)}
	case limitTell:
		return limitAnswer{Granted: true, Said: k.Observe(now, key, said).Age(now)}
	}
	v := k.Take(now, key, said, standing, call.Within)
	return limitAnswer{Granted: v.Granted, Wait: v.Wait, Said: v.Observation.Age(now)}
}

// answerLimit answers the other entries.
func (s *Server) answerLimit(call limitCall) (limitAnswer, bool) {
	if call.Start.ID == "" || call.Said.Rate < 0 || call.Within < 0 {
		return limitAnswer{}, false
	}
	return s.countLimit(call), true
}

// limitWithin is how long a plain request can wait for its turn at an upstream: not at
// all where another one may take it, and else until its target.
func (s *Server) limitWithin(r *request, u *roster.Upstream) time.Duration {
	now := time.Now()
	for _, other := range s.roster.Upstreams(r.service.Name) {
		m := other.Server()
		if other != u && other.Eligibility(now).Eligible() && !r.tried[m.Key()] && !other.Stats.Candidate(now).RecentlyFull {
			return 0
		}
	}
	return max(0, r.first.Add(r.targetLatency()).Sub(now)-u.Stats.Candidate(now).UnitTime)
}
