package direct

import (
	"time"

	"jacinthworks/meter"
	"jacinthworks/roster"
	"jacinthworks/work"
)

// heardStated notes what an answer says of the upstream's leaving, and of a pause that it
// asks for. An answer of another start than was asked says nothing of this one.
func (s *Server) heardStated(id work.RequestID, u *roster.Upstream, n Note) {
	m := u.Server()
	if n.Elsewhere || n.Instance != "" && n.Instance != m.ID {
		return
	}
	now := time.Now()
	if n.Leaving && u.Seen.Leave(now) {
		s.Log.Info("upstream leaves", "request", id, "upstream", m.ID, "service", m.Service, "draining", m.Draining, "registry_age", u.Age(now))
		s.Meter.Count("jacinthworks_upstream_stated_total", meter.Labels{"service", string(m.Service), "what", "leaving"})
	}
	stated := u.Seen.Stated()
	before := stated.Paused(now)
	if u.Seen.BackOff(now, n.Backoff) {
		s.Log.Info("upstream asks for a pause", "request", id, "upstream", m.ID, "service", m.Service, "pause", n.Backoff, "before", before)
		s.Meter.Count("jacinthworks_upstream_stated_total", meter.Labels{"service", string(m.Service), "what", "backoff"})
	}
	for _, name := range n.Unread {
		s.noteUnread(id, m.ID, name)
	}
}

// noteUnread logs a field of an answer that could not be read, once for each name.
func (s *Server) noteUnread(id work.RequestID, upstream roster.ID, name string) {
	s.Meter.Count("jacinthworks_fields_unread_total", meter.Labels{"field", name})
	if s.unread.First(name) {
		s.Log.Warn("field of an answer not read", "request", id, "upstream", upstream, "field", name)
	}
}
