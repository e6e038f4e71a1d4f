package route

import (
	"time"

	"jacinthworks/domain"
)

// ZonePair identifies the shared link over which KV caches are transferred from one
// zone to another, or within one zone if From equals To.
type ZonePair struct{ From, To domain.Zone }

// LinkReport is the last measurement of a link.
type LinkReport struct {
	// Rate is the link's throughput in bytes per second; zero means that the link is
	// no bottleneck.
	Rate float64
	// QueuedBytes is the number of bytes that are waiting or in transfer.
	QueuedBytes int64
}

// link is a shared link with the transfers that were planned since its last report.
type link struct {
	report          LinkReport
	reportedAt      time.Time
	unreported      []transfer
	unreportedTotal int64
}

// transfer is a planned KV cache transfer over a link.
type transfer struct {
	at    time.Time
	bytes int64
}

// links holds the links by zone pair. The zero value is empty and ready to use.
type links map[ZonePair]*link

// update records a report and drops the planned transfers that the report includes.
// A report older than the last one is ignored.
func (s *links) update(p ZonePair, at time.Time, r LinkReport) {
	if *s == nil {
		*s = make(links)
	}
	l, ok := (*s)[p]
	if !ok {
		l = &link{}
		(*s)[p] = l
	}
	if at.Before(l.reportedAt) {
		return
	}
	l.report, l.reportedAt = r, at
	kept := l.unreported[:0]
	l.unreportedTotal = 0
	for _, t := range l.unreported {
		if t.at.After(at) {
			kept = append(kept, t)
			l.unreportedTotal += t.bytes
		}
	}
	l.unreported = kept
}

// addTransfer records a planned transfer that the link's report does not include
// yet.
func (s links) addTransfer(p ZonePair, at time.Time, bytes int64) {
	if l, ok := s[p]; ok {
		l.unreported = append(l.unreported, transfer{at: at, bytes: bytes})
		l.unreportedTotal += bytes
	}
}

// estimate returns how long a transfer that is ready after the given delay waits
// for the link, and how long the transfer itself takes; both are zero if the link is
// no bottleneck or has no report.
func (s links) estimate(now time.Time, p ZonePair, delay time.Duration, bytes int64) (wait, transferTime time.Duration) {
	l, ok := s[p]
	if !ok || l.report.Rate <= 0 {
		return 0, 0
	}
	queue := time.Duration(float64(l.report.QueuedBytes+l.unreportedTotal) / l.report.Rate * float64(time.Second))
	elapsed := now.Sub(l.reportedAt) + delay
	return max(0, queue-elapsed), time.Duration(float64(bytes) / l.report.Rate * float64(time.Second))
}
