package direct

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/meter"
	"jacinthworks/paths"
	"jacinthworks/queue"
	"jacinthworks/shares"
)

const (
	// sharesPath is the peer endpoint at which the owner of a service's shares takes reports.
	sharesPath = "/v1/shares"
	// sharesInterval is the time between two reports of an entry, and sharesIntervalPerEntry
	// its least value for each entry of the fleet, so that an owner answers at most 200
	// reports a second for a service.
	sharesInterval         = 250 * time.Millisecond
	sharesIntervalPerEntry = 5 * time.Millisecond
	// sharesUseTime is how long after the last use of a service's view the entry goes on
	// fetching it without work of its own for the service.
	sharesUseTime = 2 * time.Second
	// maxSharesName bounds, in bytes, the names of the accounts in a report, so that a report
	// fits into maxOwnerRequest.
	maxSharesName = 256
	// fullEffect is the effect of a view from which the requests that it limits do not wait.
	fullEffect = 0.5
)

// serviceShares is what this entry knows of the shares of one service: what it measured, the
// view of the fleet, and the sums of all entries if it owns them. The zero value is ready to
// use; it must not be copied.
type serviceShares struct {
	meter shares.Meter
	fleet shares.Fleet
	pool  shares.Pool
	// usedAt is when the view was last asked for, in Unix nanoseconds; reporting means that
	// a report is under way.
	usedAt    atomic.Int64
	reporting atomic.Bool
}

// fleetShares holds the shares of each service. The zero value is ready to use; it must not be
// copied.
type fleetShares struct {
	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	byService map[domain.Service]*serviceShares
}

// of returns the shares of a service.
func (f *fleetShares) of(v domain.Service) (shared *serviceShares, added bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byService == nil {
		f.byService = make(map[domain.Service]*serviceShares)
	}
	if f.byService[v] == nil {
		f.byService[v], added = &serviceShares{}, true
	}
	return f.byService[v], added
}

// services returns the names of the services that have shares.
func (f *fleetShares) services() []domain.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]domain.Service, 0, len(f.byService))
	for v := range f.byService {
		all = append(all, v)
	}
	return all
}

// sharesOf returns the shares of a service, and registers its gauge on first use.
func (s *Server) sharesOf(v domain.Service) *serviceShares {
	shared, added := s.shares.of(v)
	if added && s.Meter != nil {
		s.Meter.Gauge("jacinthworks_shares_over", meter.Labels{"service", string(v)}, func() float64 {
			return float64(shared.fleet.OverCount(time.Now()))
		})
	}
	return shared
}

// shareCost is the request's cost in the shares of its service: tokens of a stream, or a call.
func (r *request) shareCost() float64 {
	if r.route.Kind == paths.Stream {
		return float64(r.expectedTokens())
	}
	return 1
}

// countArrived counts the request as demand of its account.
func (s *Server) countArrived(r *request) {
	if s.sharesOn() {
		r.share = s.sharesOf(r.service.Name).meter.Arrived(r.accepted, r.account, r.priority(), r.shareCost())
	}
}

// countStarted counts the request, or another attempt of it, as served.
func (s *Server) countStarted(r *request) {
	if r.share != nil {
		s.sharesOf(r.service.Name).meter.Started(r.share)
	}
}

// countReturned undoes countStarted for an upstream that refused the request without running
// it.
func (s *Server) countReturned(r *request) {
	if r.share != nil {
		s.sharesOf(r.service.Name).meter.Returned(r.share)
	}
}

// countEnded counts the end of the request; f is nil if it was answered. Requests over their
// account's quota have no claim to a share, so that their refusals limit nobody else.
func (s *Server) countEnded(r *request, f *failure) {
	if r.share == nil {
		return
	}
	outcome := shares.Other
	if f != nil && !r.overQuota {
		switch f.reason {
		case domain.ReasonNoRoom, domain.ReasonTooLate, domain.ReasonDeadline, domain.ReasonCallerGone:
			outcome = shares.Refused
		case domain.ReasonCallerShare:
			outcome = shares.Limited
		}
	}
	s.sharesOf(r.service.Name).meter.Ended(r.share, outcome)
}

// overShare reports whether the account received more than its share of the service over the
// fleet while others were refused or waited. Such requests go after all others.
func (s *Server) overShare(v domain.Service, a domain.Account) bool {
	return s.overShareEffect(time.Now(), v, a) >= fullEffect
}

// overShareEffect is overShare with the effect that the view of the fleet still has, 0 to 1.
func (s *Server) overShareEffect(now time.Time, v domain.Service, a domain.Account) float64 {
	if !s.sharesOn() {
		return 0
	}
	shared := s.sharesOf(v)
	shared.usedAt.Store(now.UnixNano())
	return shared.fleet.Over(now, a)
}

// refuseOverShare refuses a request of an account that is over its share, for which the other
// requests leave no capacity.
func (s *Server) refuseOverShare(r *request) *failure {
	now := time.Now()
	wait := s.queues.For(r.service.Name).RetryAfter.Delay(now)
	part, age, _ := s.sharesOf(r.service.Name).fleet.Part(now, r.account)
	s.Log.Info("account over its share", "request", r.id, "service", r.service.Name, "account", r.account,
		"part", math.Round(1000*part)/1000, "age", age, "asked", r.enginesAsked, "wait", wait)
	return &failure{ran: domain.NotRun, reason: domain.ReasonCallerShare, detail: "the account is over its share and no engine has room to spare", retryAfter: wait, final: true}
}

// pressure returns the pressure on the request's priority over the fleet.
func (s *Server) pressure(now time.Time, r *request) shares.Pressure {
	if !s.prioritiesOn() {
		return shares.Pressure{}
	}
	target := func(rank int) time.Duration { return streamTarget(s.config.Current(), r.service.Name, rank) }
	return s.sharesOf(r.service.Name).fleet.Pressure(now, min(max(r.priority(), 0), shares.MaxRank), target)
}

// streamTarget is the shortest target of a service's streams of a priority.
func streamTarget(c *paths.Config, v domain.Service, priority int) time.Duration {
	shortest := time.Duration(0)
	for _, route := range c.Routes {
		serves := slices.ContainsFunc(route.Shares, func(w paths.WeightedService) bool { return w.Service == v })
		if serves && route.Kind == paths.Stream && route.Priority == priority && route.Target > 0 && (shortest == 0 || route.Target < shortest) {
			shortest = route.Target
		}
	}
	if shortest == 0 {
		return defaultTargetLatency
	}
	return shortest
}

// detailOutranked is the detail of a refusal for the sake of higher priorities.
const detailOutranked queue.Detail = "no engine has the room that is left to higher priorities, which are refused or wait"

// refuseOutranked refuses a request for which higher priorities leave no capacity.
func (s *Server) refuseOutranked(r *request) *failure {
	return s.queueFailure(context.Background(), r, &queue.Refusal{Reason: domain.ReasonNoRoom, Detail: detailOutranked})
}

// reportInterval is the time between two reports of an entry.
func (s *Server) reportInterval() time.Duration {
	return max(sharesInterval, time.Duration(s.members.count(time.Now()))*sharesIntervalPerEntry)
}

// reportShares reports periodically, to the owner of each service's shares, what this entry
// measured, and takes the view of the fleet from the answer.
func (s *Server) reportShares(ctx context.Context) error {
	for group.Sleep(ctx, s.reportInterval()); ctx.Err() == nil; group.Sleep(ctx, s.reportInterval()) {
		if !s.sharesOn() {
			continue
		}
		for _, v := range s.shares.services() {
			s.reportServiceShares(v)
		}
	}
	return nil
}

// reportServiceShares sends one report in the background. A report that reached no owner is
// dropped: an owner may have counted it before its answer was lost.
func (s *Server) reportServiceShares(v domain.Service) {
	shared := s.sharesOf(v)
	if !shared.reporting.CompareAndSwap(false, true) {
		return
	}
	now := time.Now()
	report, ok := shared.meter.Take(now)
	if !ok && now.Sub(time.Unix(0, shared.usedAt.Load())) > sharesUseTime {
		shared.reporting.Store(false)
		return
	}
	report.Service, report.Sender = v, s.Settings.Name
	kept := report.Accounts[:0]
	for _, u := range report.Accounts {
		if len(u.Account) <= maxSharesName {
			kept = append(kept, u)
		}
	}
	report.Accounts = kept
	s.background("report shares", maxOwnerTries*ownerTimeout, func(ctx context.Context) error {
		defer shared.reporting.Store(false)
		cutOff := false
		local := func(first bool) shares.View {
			view := s.addShares(report)
			cutOff = !first && shared.pool.SenderCount(time.Now()) <= 1
			return view
		}
		view, by, ok := callOwner(ctx, s, sharesKey(v), sharesPath, maxOwnerTries, report, local)
		if !ok || cutOff {
			// This entry reaches no other owner, and no other entry has turned to it: its own
			// few requests say nothing of an account's share. callOwner has logged the cause.
			return nil
		}
		if err := view.Check(); err != nil {
			return errors.Wrap(err, "direct: view of "+by.name())
		}
		if over, changed := shared.fleet.Update(time.Now(), view); changed {
			s.Log.Info("share picture", "service", v, "over", over, "by", by.name(), "age", time.Duration(view.AgeMS*float64(time.Millisecond)))
		}
		return nil
	})
}

// sharesKey is the key by which the owner of a service's shares is determined.
func sharesKey(v domain.Service) string { return "shares/" + string(v) }

// addShares adds a report to the sums of a service that this entry owns, and returns the view
// of the fleet.
func (s *Server) addShares(report shares.Report) shares.View {
	now := time.Now()
	pool := &s.sharesOf(report.Service).pool
	pool.Add(now, s.reportInterval(), report)
	return pool.View(now, accountWeights(s.config.Current()))
}

// accountWeights returns the weight of each account: the rate of its quota. Accounts without a
// quota weigh as much as the mean of the others. All weigh the same if there are no quotas, or
// quotas in different units.
func accountWeights(c *paths.Config) func(domain.Account) float64 {
	sum, limited, byTokens := 0.0, 0, 0
	if c != nil {
		for _, a := range c.Accounts {
			if a.Quota.Limited() {
				sum += a.Quota.Rate
				limited++
			}
			if a.Quota.Limited() && a.Quota.ByTokens {
				byTokens++
			}
		}
	}
	if limited == 0 || byTokens != 0 && byTokens != limited {
		return func(domain.Account) float64 { return 1 }
	}
	mean := sum / float64(limited)
	return func(name domain.Account) float64 {
		if a := c.AccountByName(name); a != nil && a.Quota.Limited() {
			return a.Quota.Rate
		}
		return mean
	}
}

// checkShares returns an error if a report of another entry must not be counted.
func (s *Server) checkShares(report shares.Report) error {
	c := s.config.Current()
	if c == nil {
		return nil // handleShares answers that this entry is not ready
	}
	if c.Service(report.Service) == nil {
		return errors.Errorf("direct: a report names service %q, which is not known", report.Service)
	}
	if !s.peers.fleet.HasMember(report.Sender) {
		return errors.Errorf("direct: a report names sender %q, which is not known", report.Sender)
	}
	return report.Check(func(a domain.Account) bool {
		if c.AccountByName(a) != nil {
			return true
		}
		// Callers without an account are counted by their address.
		_, err := netip.ParseAddr(string(a))
		return err == nil
	})
}

// handleShares answers a report of another entry. It returns false until the configuration is
// known.
func (s *Server) handleShares(report shares.Report) (shares.View, bool) {
	if s.config.Current() == nil {
		return shares.View{}, false
	}
	return s.addShares(report), true
}
