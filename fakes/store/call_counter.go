package store

import (
	"net/http"
	"time"
)

// callCounter counts the calls in the current second, to limit their rate.
type callCounter struct {
	second time.Time
	count  int
}

// allow counts a call and reports whether it is within the rate in calls per second;
// zero means no limit. A call over the rate is not counted.
func (m *callCounter) allow(now time.Time, rate int) bool {
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

// admitCall counts a call and reports whether it is within the rate; otherwise it has
// answered with status 429. The caller holds p.mu.
func (p *Platform) admitCall(w http.ResponseWriter, m *callCounter, rate int, counter *int) bool {
	if !m.allow(time.Now(), rate) {
		p.counts.Limited++
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return false
	}
	*counter++
	return true
}
