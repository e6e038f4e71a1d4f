package direct

import (
	"time"

	"jacinthworks/meter"
	"jacinthworks/roster"
	"jacinthworks/send"
)

// The clients whose responses are counted if they exceed a bound.
const (
	ClientUpstream = "upstream"
	ClientEntry    = "entry"
	ClientStore    = "store"
)

// RecordBound logs and counts a response that exceeds a bound. name is the ID of the upstream, the
// name of the entry or the address of the store.
func (s *Server) RecordBound(client, name string, b send.Bound) {
	s.Log.Warn("response exceeds a bound", "client", client, "name", name, "bound", b)
	s.Meter.Inc("jacinthworks_response_bounds_total", meter.Labels{"client", client, "bound", string(b)})
}

// recordFault counts a call of this entry's own whose response exceeds a bound as a failure of the
// upstream.
func (s *Server) recordFault(u *roster.Upstream, err error) {
	if send.BoundOf(err) != "" {
		u.Stats.RecordFailure(time.Now())
	}
}
