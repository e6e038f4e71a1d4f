package place

import (
	"sync"
	"time"

	"jacinthworks/work"
)

// Mixes measure what the requests of each service take of its engines. The zero
// value is ready to use; it must not be copied.
type Mixes struct {
	mu sync.Mutex // a leaf
	of map[work.Service]*Mix
}

// Note changes the measurement of a service.
func (m *Mixes) Note(s work.Service, change func(*Mix)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.of == nil {
		m.of = make(map[work.Service]*Mix)
	}
	if m.of[s] == nil {
		m.of[s] = &Mix{}
	}
	change(m.of[s])
}

// PromptTime is the time that a prefill engine takes for a token of a prompt; zero
// while none was seen.
func (m *Mixes) PromptTime(s work.Service) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.of[s] == nil {
		return 0
	}
	return m.of[s].PromptTime()
}

// Samples gives what was seen of each service.
func (m *Mixes) Samples(now time.Time) map[work.Service]Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[work.Service]Sample, len(m.of))
	for s, x := range m.of {
		all[s] = x.Sample(now)
	}
	return all
}
