package direct

import (
	"time"

	"jacinthworks/meter"
	"jacinthworks/resp"
	"jacinthworks/roster"
	"jacinthworks/send"
)

// The clients whose responses are counted if they exceed a bound.
const (
	ClientUpstream = "upstream"
	ClientEntry    = "entry"
	ClientStore    = "store"
)

// RecordInvalid logs and counts a response that exceeds a bound or is malformed. name is the ID of the upstream, the
// name of the entry or the address of the store.
func (s *Server) RecordInvalid(client, name string, err error) {
	send.LogInvalid(s.Log, client, name, err)
	if b := send.BoundOf(err); b != "" {
		s.Meter.Inc("jacinthworks_response_bounds_total", meter.Labels{"client", client, "bound", string(b)})
		return
	}
	s.Meter.Inc("jacinthworks_malformed_responses_total", meter.Labels{"client", client, "part", string(resp.PartOf(err))})
}

// recordFault counts a call of this entry's own whose response exceeds a bound or is malformed as a failure
// of the upstream.
func (s *Server) recordFault(u *roster.Upstream, err error) {
	if send.IsInvalid(err) {
		u.Stats.RecordFailure(time.Now())
	}
}
