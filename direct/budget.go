package direct

import (
	"sync"
	"time"

	"jacinthworks/domain"
	"jacinthworks/retry"
)

// budgets are the allowances for repeats of each service.
type budgets struct {
	mu sync.Mutex // a leaf
	of map[domain.Service]*retry.Window
}

func (b *budgets) window(s domain.Service) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.of == nil {
		b.of = make(map[domain.Service]*retry.Window)
	}
	if b.of[s] == nil {
		b.of[s] = &retry.Window{}
	}
	return b.of[s]
}

// terms are the figures that bound repeats here: the fleet's, and this entry's
// part of the fixed number.
func (s *Server) terms() retry.WindowConfig {
	p := s.live.Load().Repeats
	return retry.WindowConfig{Ratio: p.Ratio, Fixed: p.Fixed / float64(s.members.count(time.Now())) * fixedPart, Span: p.Span}
}

// fixedPart is the part of the fixed number that is given out: the rest covers
// entries that have just come, and repeats that were not asked for here, such
// as a prefill that failed.
const fixedPart = 0.6
