package direct

import (
	"net/http"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/roster"
)

// noteFields logs and counts the fields that an answer is the first to have and that have
// no meaning here, without their values, which are the caller's.
func (s *Server) noteFields(id domain.RequestID, upstream roster.ID, h http.Header) {
	for _, name := range s.fields.AddHeader(h) {
		if s.Protocol.KnownField(name) {
			continue
		}
		s.Log.Warn("answer has an unknown field", "request", id, "upstream", upstream, "field", name)
		s.Meter.Inc("jacinthworks_fields_unknown_total", meter.Labels{"field", name})
	}
}
