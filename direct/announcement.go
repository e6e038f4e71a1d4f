package direct

import (
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/roster"
)

// recordAnnouncement records that a response announces that the upstream is leaving, or
// requests a backoff. A response of another start than the called one is ignored.
func (s *Server) recordAnnouncement(id domain.RequestID, u *roster.Upstream, n ResponseInfo) {
	m := u.Server()
	if n.Misdirected || n.Instance != "" && n.Instance != m.ID {
		return
	}
	now := time.Now()
	if n.Leaving && u.Stats.MarkLeaving(now) {
		s.Log.Info("upstream is leaving", "request", id, "upstream", m.ID, "service", m.Service, "draining", m.Draining, "registry_age", u.EntryAge(now))
		s.Meter.Inc("jacinthworks_upstream_stated_total", meter.Labels{"service", string(m.Service), "what", "leaving"})
	}
	stated := u.Stats.Announcement()
	before := stated.BackoffLeft(now)
	if u.Stats.RequestBackoff(now, n.Backoff) {
		s.Log.Info("upstream requested a backoff", "request", id, "upstream", m.ID, "service", m.Service, "pause", n.Backoff, "before", before)
		s.Meter.Inc("jacinthworks_upstream_stated_total", meter.Labels{"service", string(m.Service), "what", "backoff"})
	}
	for _, name := range n.MalformedFields {
		s.logMalformedField(id, m.ID, name)
	}
}

// logMalformedField counts a response header field whose value could not be parsed, and
// logs it once for each name.
func (s *Server) logMalformedField(id domain.RequestID, upstream roster.ID, name string) {
	s.Meter.Inc("jacinthworks_fields_unread_total", meter.Labels{"field", name})
	if s.malformedFields.Add(name) {
		s.Log.Warn("response header field not parsed", "request", id, "upstream", upstream, "field", name)
	}
}
