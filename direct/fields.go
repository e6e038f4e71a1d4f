package direct

import (
	"net/http"

	"jacinthworks/meter"
	"jacinthworks/roster"
	"jacinthworks/work"
)

// noteFields logs and counts the fields that an answer is the first to have and that have
// no meaning here, without their values, which are the caller's.
func (s *Server) noteFields(id work.RequestID, upstream roster.ID, h http.Header) {
	for _, name := range s.fields.Fresh(h) {
		if s.Protocol.Known(name) {
			continue
		}
		s.Log.Warn("answer has an unknown field", "request", id, "upstream", upstream, "field", name)
		s.Meter.Count("jacinthworks_fields_unknown_total", meter.Labels{"field", name})
	}
}
