package route

import (
	"time"

	"jacinthworks/domain"
)

// ZonePair names the shared link that KV cache takes between two zones, or within
// one.
type ZonePair struct{ From, To domain.Zone }

// LinkReport is what was last measured of a link.
type LinkReport struct {
	// EstimateRate is in bytes a second; zero stands for a link that is no bottleneck.
	Rate float64
	// QueuedBytes wait for the link or are on their way.
	QueuedBytes int64
}

// link is a shared link with the transfers that were planned since its report.
type link struct {
	report LinkReport
	at     time.Time
	own    []transfer
	total  int64
}

type transfer struct {
	at    time.Time
	bytes int64
}

// links holds the links by path. The zero value knows none.
type links map[ZonePair]*link

func (s *links) update(p ZonePair, at time.Time, r LinkReport) {
	if *s == nil {
		*s = make(links)
	}
	l, ok := (*s)[p]
	if !ok {
		l = &link{}
		(*s)[p] = l
	}
	if at.Before(l.at) {
		return
	}
	l.report, l.at = r, at
	keep := l.own[:0]
	l.total = 0
	for _, t := range l.own {
		if t.at.After(at) {
			keep = append(keep, t)
			l.total += t.bytes
		}
	}
	l.own = keep
}

// planned records a transfer that the report does not show yet.
func (s links) planned(p ZonePair, at time.Time, bytes int64) {
	if l, ok := s[p]; ok {
		l.own = append(l.own, transfer{at: at, bytes: bytes})
		l.total += bytes
	}
}

// wait gives the time that a transfer waits for the link and the time it takes,
// if it begins at the given time from now.
func (s links) wait(now time.Time, p ZonePair, begins time.Duration, bytes int64) (wait, takes time.Duration) {
	l, ok := s[p]
	if !ok || l.report.Rate <= 0 {
		return 0, 0
	}
	queue := time.Duration(float64(l.report.QueuedBytes+l.total) / l.report.Rate * float64(time.Second))
	passed := now.Sub(l.at) + begins
	return max(0, queue-passed), time.Duration(float64(bytes) / l.report.Rate * float64(time.Second))
}
