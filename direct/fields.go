package direct

import (
	"net/http"
	"sync"

	"jacinthworks/meter"
	"jacinthworks/roster"
	"jacinthworks/work"
)

// fieldsMost bounds how many names of answers' header fields are remembered.
const fieldsMost = 64

// fields are names of header fields that answers had. The zero value is ready to
// use; it must not be copied.
//
// Failure: upstreams begin to state something that no code reads, and nothing in the
// logs shows that they do.
type fields struct {
	mu   sync.RWMutex // a leaf
	seen map[string]bool
}

// fresh gives the names in a header that no answer had before.
func (f *fields) fresh(h http.Header) (names []string) {
	f.mu.RLock()
	for name := range h {
		if !f.seen[name] && len(f.seen) < fieldsMost {
			names = append(names, name)
		}
	}
	f.mu.RUnlock()
	if len(names) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == nil {
		f.seen = make(map[string]bool)
	}
	var first []string
	for _, name := range names {
		if !f.seen[name] && len(f.seen) < fieldsMost {
			f.seen[name] = true
			first = append(first, name)
		}
	}
	return first
}

// first says whether no answer had the field before.
func (f *fields) first(name string) bool { return len(f.fresh(http.Header{name: nil})) > 0 }

// noteFields logs and counts the fields that an answer is the first to have and that have
// no meaning here, without their values, which are the caller's.
func (s *Server) noteFields(id work.RequestID, upstream roster.ID, h http.Header) {
	for _, name := range s.fields.fresh(h) {
		if s.Protocol.Known(name) {
			continue
		}
		s.Log.Warn("answer has an unknown field", "request", id, "upstream", upstream, "field", name)
		s.Meter.Count("jacinthworks_fields_unknown_total", meter.Labels{"field", name})
	}
}
