package direct

import (
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/retry"
)

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	byService map[domain.Service]*retry.Window
}

func (b *retryBudgets) window(s domain.Service) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = make(map[domain.Service]*retry.Window)
	}
	if b.byService[s] == nil {
		b.byService[s] = &retry.Window{}
	}
	return b.byService[s]
}

// retryTerms returns the bounds on retries in this process: the fleet's ratio of retries to
// requests and its time span, and this entry's share of the fixed number of retries.
func (s *Server) retryTerms() retry.WindowConfig {
	p := s.liveSettings.Load().RetryBudget
	return retry.WindowConfig{RetryRatio: p.RetryRatio, FixedRetries: p.FixedRetries / float64(s.members.count(time.Now())) * fixedRetryPart, Span: p.Window}
}

// fixedRetryPart is the part of the fixed number of retries that is shared out among the
// entries. The rest covers entries that have just started, and retries that were not
// charged to a budget, such as a failed prefill.
const fixedRetryPart = 0.6
