package direct

import (
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/roster"
)

// heardStated notes what an answer says of the upstream's leaving, and of a pause that it
// asks for. An answer of another start than was asked says nothing of this one.
func (s *Server) heardStated(id domain.RequestID, u *roster.Upstream, n ResponseInfo) {
	m := u.Server()
	if n.Misdirected || n.Instance != "" && n.Instance != m.ID {
		return
	}
	now := time.Now()
	if n.Leaving && u.Stats.MarkLeaving(now) {
		s.Log.Info("upstream leaves", "request", id, "upstream", m.ID, "service", m.Service, "draining", m.Draining, "registry_age", u.EntryAge(now))
		s.Meter.Inc("jacinthworks_upstream_stated_total", meter.Labels{"service", string(m.Service), "what", "leaving"})
	}
	stated := u.Stats.Announcement()
	before := stated.BackoffLeft(now)
	if u.Stats.BackOff(now, n.Backoff) {
		s.Log.Info("upstream asks for a pause", "request", id, "upstream", m.ID, "service", m.Service, "pause", n.Backoff, "before", before)
		s.Meter.Inc("jacinthworks_upstream_stated_total", meter.Labels{"service", string(m.Service), "what", "backoff"})
	}
	for _, name := range n.MalformedFields {
		s.noteUnread(id, m.ID, name)
	}
}

// noteUnread logs a field of an answer that could not be read, once for each name.
func (s *Server) noteUnread(id domain.RequestID, upstream roster.ID, name string) {
	s.Meter.Inc("jacinthworks_fields_unread_total", meter.Labels{"field", name})
	if s.unread.Add(name) {
		s.Log.Warn("field of an answer not read", "request", id, "upstream", upstream, "field", name)
	}
}
