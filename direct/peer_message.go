package direct

import (
	"net/http"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/meter"
)

// The bounds on the numbers and the lists in messages of other entries.
const (
	maxPeerNumber = 1e12
	maxPeerList   = 4096
	// maxPeerName bounds the name of the entry that wrote a message or a notice, in bytes.
	maxPeerName = 256
)

var errLongPeerName = errors.New("direct: name of an entry is too long")

func checkPeerName(name domain.Host) error {
	if len(name) > maxPeerName {
		return errors.Wrapf(errLongPeerName, "%d bytes", len(name))
	}
	return nil
}

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
