package roles

import (
	"sync"
	"time"

	"jacinthworks/domain"
)

// Profiles measure what the requests of each service take of its engines. The zero
// value is ready to use; it must not be copied.
type Profiles struct {
	mu sync.Mutex // a leaf
	of map[domain.Service]*Profile
}

// Update changes the measurement of a service.
func (m *Profiles) Update(s domain.Service, change func(*Profile)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.of == nil {
		m.of = make(map[domain.Service]*Profile)
	}
	if m.of[s] == nil {
		m.of[s] = &Profile{}
	}
	change(m.of[s])
}

// PromptTokenTime is the time that a prefill engine takes for a token of a prompt; zero
// while none was seen.
func (m *Profiles) PromptTokenTime(s domain.Service) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.of[s] == nil {
		return 0
	}
	return m.of[s].PromptTokenTime()
}

// Samples gives what was seen of each service.
func (m *Profiles) Samples(now time.Time) map[domain.Service]Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[domain.Service]Sample, len(m.of))
	for s, x := range m.of {
		all[s] = x.Sample(now)
	}
	return all
}
