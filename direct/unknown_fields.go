package direct

import (
	"net/http"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/roster"
)

// logUnknownFields logs and counts response header fields that have no meaning here, each
// name once. The values are left out, since they belong to the caller.
func (s *Server) logUnknownFields(id domain.RequestID, upstream roster.ID, h http.Header) {
	for _, name := range s.unknownFields.AddHeader(h) {
		if s.Protocol.KnownField(name) {
			continue
		}
		s.Log.Warn("response has an unknown header field", "request", id, "upstream", upstream, "field", name)
		s.Meter.Inc("jacinthworks_fields_unknown_total", meter.Labels{"field", name})
	}
}
