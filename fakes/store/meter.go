package store

import (
	"net/http"
	"time"
)

// meter counts calls in the current second.
type meter struct {
	second time.Time
	count  int
}

func (m *meter) allow(now time.Time, rate int) bool {
	second := now.Truncate(time.Second)
	if !second.Equal(m.second) {
		m.second, m.count = second, 0
	}
	if rate > 0 && m.count >= rate {
		return false
	}
	m.count++
	return true
}

// count counts one call and answers 429 when it is over the rate. The caller
// holds p.mu.
func (p *Platform) count(w http.ResponseWriter, m *meter, rate int, kind *int) bool {
	if !m.allow(time.Now(), rate) {
		p.counts.Limited++
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return false
	}
	*kind++
	return true
}
