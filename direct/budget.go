package direct

import (
	"sync"
	"time"

	"jacinthworks/clock"
	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/retry"
)

// retryCause is why a retry was charged to the budget.
type retryCause string

// The causes of retries.
const (
	// retryRefused follows an attempt that did not run, retryLost one that ran or may have run,
	// and retryFailed an answer that reports a failure.
	retryRefused retryCause = "refused"
	retryLost    retryCause = "lost"
	retryFailed  retryCause = "failed"
	// retryPrefill is another prefill after the first, and retryFirstPrefill a first one that
	// failed; retryTrial is such a one that was charged to the fleet's trials.
	retryPrefill      retryCause = "prefill"
	retryFirstPrefill retryCause = "first_prefill"
	retryTrial        retryCause = "trial"
	// retryExpired is a granted retry that the budget no longer had when it was to be sent.
	retryExpired retryCause = "expired"
)

// causeOfRetry is the cause of a retry after an attempt.
func causeOfRetry(ran domain.Execution) retryCause {
	if ran == domain.NotRun {
		return retryRefused
	}
	return retryLost
}

// retryBudget is the retry budget of one service at this entry. The zero value is ready to use; it
// must not be copied.
type retryBudget struct {
	window retry.Window

	mu sync.Mutex // leaf lock: no other lock is acquired while it is held
	// charged and denied are counted since the last log line.
	charged  map[retryCause]int
	denied   int
	loggedAt time.Time
}

// count counts a retry that was charged or denied, and returns the counts if a log line is due.
func (b *retryBudget) count(now time.Time, cause retryCause, granted bool) (charged map[retryCause]int, denied int, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.charged == nil {
		b.charged = make(map[retryCause]int)
	}
	if granted {
		b.charged[cause]++
	} else {
		b.denied++
	}
	if now.Sub(b.loggedAt) < retryLogInterval {
		return nil, 0, false
	}
	charged, denied = b.charged, b.denied
	b.charged, b.denied, b.loggedAt = nil, 0, now
	return charged, denied, true
}

// retryLogInterval is the least time between two log lines on the budget of a service.
const retryLogInterval = time.Second

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	byService map[domain.Service]*retryBudget
}

// of returns the budget of a service.
func (b *retryBudgets) of(s domain.Service) (budget *retryBudget, added bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = make(map[domain.Service]*retryBudget)
	}
	if b.byService[s] == nil {
		b.byService[s], added = &retryBudget{}, true
	}
	return b.byService[s], added
}

// retryBudget returns the budget of a service, and registers its gauges on first use.
func (s *Server) retryBudget(v domain.Service) *retryBudget {
	b, added := s.retryBudgets.of(v)
	if added && s.Meter != nil {
		for what, value := range map[string]func(retry.Usage) float64{
			"requests": func(u retry.Usage) float64 { return float64(u.Requests) },
			"retries":  func(u retry.Usage) float64 { return float64(u.Retries) },
			"allowed":  func(u retry.Usage) float64 { return u.Allowed },
		} {
			s.Meter.Gauge("jacinthworks_retry_budget", meter.Labels{"service", string(v), "what", what}, func() float64 {
				return value(b.window.Usage(clock.Boottime(), s.retryTerms(v)))
			})
		}
	}
	return b
}

// retryTerms returns the bounds on this entry's retries of a service.
func (s *Server) retryTerms(v domain.Service) retry.WindowConfig {
	now, c := clock.Boottime(), s.config.Current()
	trials := false
	if c != nil {
		if service := c.Service(v); service != nil {
			trials = service.HasEngines()
		}
	}
	return s.fleetBudget().Terms(now, s.retryMember(now), trials)
}

// grantRetry charges the next attempt of the request to the budget, and reports whether a retry was
// left for it. The attempt counts when it is sent.
func (s *Server) grantRetry(r *request, cause retryCause) bool {
	s.dropRetry(r)
	r.retry = s.retryBudget(r.service.Name).window.Grant(clock.Boottime(), s.retryTerms(r.service.Name))
	s.recordRetry(r, cause, r.retry.Held())
	return r.retry.Held()
}

// sendRetry counts an attempt that is about to be sent, if it is a retry. It returns false if the
// attempt must not be sent.
func (s *Server) sendRetry(r *request, a *attempt) (ok bool) {
	if !r.retry.Held() {
		return true
	}
	a.retry, ok = s.retryBudget(r.service.Name).window.Send(clock.Boottime(), s.retryTerms(r.service.Name), r.retry)
	r.retry = retry.Grant{}
	if !ok {
		s.recordRetry(r, retryExpired, false)
	}
	return ok
}

// postponeRetry undoes sendRetry for an attempt that was not sent. The prefill before an attempt has
// no charge of this kind, and leaves the attempt its own.
func (s *Server) postponeRetry(r *request, a *attempt) {
	if !a.retry.Held() {
		return
	}
	r.retry, a.retry = s.retryBudget(r.service.Name).window.Postpone(a.retry), retry.Reservation{}
}

// dropRetry gives back a retry that was granted to the request and not sent.
func (s *Server) dropRetry(r *request) {
	s.retryBudget(r.service.Name).window.Drop(r.retry)
	r.retry = retry.Grant{}
}

// retryAvailable reports whether a retry of the request would be granted now.
func (s *Server) retryAvailable(r *request) bool {
	return s.retryBudget(r.service.Name).window.Available(clock.Boottime(), s.retryTerms(r.service.Name))
}

// recordRetry logs and counts a retry that was charged, or denied.
func (s *Server) recordRetry(r *request, cause retryCause, granted bool) {
	outcome, v := "granted", r.service.Name
	if !granted {
		outcome = "denied"
	}
	s.Meter.Inc("jacinthworks_retries_total", meter.Labels{"service", string(v), "cause", string(cause), "outcome", outcome})
	now, b, terms := time.Now(), s.retryBudget(v), s.retryTerms(v)
	if charged, denied, due := b.count(now, cause, granted); due {
		u := b.window.Usage(clock.Boottime(), terms)
		s.Log.Info("retry budget", "service", v, "charged", charged, "denied", denied, "requests", u.Requests, "retries", u.Retries, "allowed", round(u.Allowed),
			"fixed", round(terms.FixedRetries), "entries", s.members.count(now), "up", now.Sub(s.startTime), "request", r.id)
	}
}
