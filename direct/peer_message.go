package direct

import (
	"encoding/json"
	"net/http"

	"jacinthworks/meter"
	"jacinthworks/split"
)

// The bounds on the numbers and the lists in messages of other entries.
const (
	maxPeerNumber = 1e12
	maxPeerList   = 4096
)

// validNumber reports whether a number of a message is possible.
func validNumber(f float64) bool { return f >= 0 && f <= maxPeerNumber } // false for NaN

// decodeEach decodes the elements of a list of another entry apart, and returns those that check accepts and
// the number of others. It returns an error if the list can't be divided into elements.
func decodeEach[T any](text []byte, check func(T) error) (valid []T, invalid int, err error) {
	err = split.Elements(text, func(element []byte) error {
		var v T
		if json.Unmarshal(element, &v) != nil || check(v) != nil {
			invalid++
			return nil
		}
		valid = append(valid, v)
		return nil
	})
	return valid, invalid, err
}

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
