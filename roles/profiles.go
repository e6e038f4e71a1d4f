package roles

import (
	"sync"
	"time"

	"jacinthworks/domain"
)

// Profiles holds the Profile of each service. The zero value is ready to use; it must not be
// copied. It is safe for concurrent use.
type Profiles struct {
	mu        sync.Mutex // leaf lock: no other lock is acquired while it is held
	byService map[domain.Service]*Profile
}

// Update calls change with the service's profile, under the lock. A new service starts with
// an empty profile.
func (m *Profiles) Update(s domain.Service, change func(*Profile)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byService == nil {
		m.byService = make(map[domain.Service]*Profile)
	}
	if m.byService[s] == nil {
		m.byService[s] = &Profile{}
	}
	change(m.byService[s])
}

// PromptTokenTime returns the prefill time of one prompt token of a service at an idle engine;
// zero if no prompt of the service has been recorded.
func (m *Profiles) PromptTokenTime(s domain.Service) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byService[s] == nil {
		return 0
	}
	return m.byService[s].PromptTokenTime()
}

// Samples returns what this process measured of the requests of each service. For a service
// with relative times of its engines, the times are those of the median engine.
func (m *Profiles) Samples(now time.Time, relative map[domain.Service]RelativeTimes) map[domain.Service]Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	samples := make(map[domain.Service]Sample, len(m.byService))
	for s, profile := range m.byService {
		if times := relative[s]; times != nil {
			samples[s] = profile.SampleBySpeed(now, times)
			continue
		}
		samples[s] = profile.Sample(now)
	}
	return samples
}
