package direct

import (
	"sync"
	"time"

	"jacinthworks/retry"
	"jacinthworks/work"
)

// budgets are the allowances for repeats of each service.
type budgets struct {
	mu sync.Mutex // a leaf
	of map[work.Service]*retry.Window
}

func (b *budgets) window(s work.Service) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.of == nil {
		b.of = make(map[work.Service]*retry.Window)
	}
	if b.of[s] == nil {
		b.of[s] = &retry.Window{}
	}
	return b.of[s]
}

// terms are the figures that bound repeats here: the fleet's, and this entry's
// part of the fixed number.
func (s *Server) terms() retry.Terms {
	p := s.live.Load().Repeats
	return retry.Terms{Ratio: p.Ratio, Share: p.Fixed / float64(s.members.count(time.Now())) * fixedPart, Span: p.Span}
}

// fixedPart is the part of the fixed number that is given out: the rest covers
// entries that have just come, and repeats that were not asked for here, such
// as a prefill that failed.
const fixedPart = 0.6
