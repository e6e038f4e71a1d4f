package direct

import (
	"net/http"

	"jacinthworks/meter"
)

// The bounds on the numbers and the lists in messages of other entries.
const (
	maxPeerNumber = 1e12
	maxPeerList   = 4096
)

// validNumber reports whether a number of a message is possible.
func validNumber(f float64) bool { return f >= 0 && f <= maxPeerNumber } // false for NaN

// rejectMessage counts a malformed message of another entry.
func (s *Server) rejectMessage(path string) {
	s.Meter.Inc("jacinthworks_peer_messages_rejected_total", meter.Labels{"path", path})
}

// rejectPeerMessage answers a malformed message of another entry, and counts it.
func (s *Server) rejectPeerMessage(w http.ResponseWriter, path string, err error) {
	s.rejectMessage(path)
	s.Log.Info("message of another entry rejected", "path", path, "err", err)
	http.Error(w, err.Error(), http.StatusBadRequest)
}
