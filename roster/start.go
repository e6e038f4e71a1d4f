package roster

import "time"

// ID identifies an upstream in the registry. A restarted upstream keeps its ID.
type ID string

// Start identifies one instance of an upstream, the run from one start of its process to the next.
// Observations of an upstream, requests sent to it and orders given to it belong to one instance:
// after a restart the upstream has no memory of them.
type Start struct {
	ID ID `json:"upstream"`
	// Born is the start time of the instance, in whole milliseconds; zero if the upstream does not
	// report it.
	Born time.Time `json:"born,omitzero"`
}

// InstanceKey is a Start in a form that can be compared with == and used as a map key.
type InstanceKey struct {
	ID              ID
	StartedAtMillis int64 // Unix milliseconds; zero if unknown
}

// Key returns the map key of the instance.
func (s Start) Key() InstanceKey {
	if s.Born.IsZero() {
		return InstanceKey{ID: s.ID}
	}
	return InstanceKey{s.ID, s.Born.UnixMilli()}
}

// Same reports whether s and o identify the same instance. A Start without a start time matches
// every instance with its ID.
func (s Start) Same(o Start) bool {
	return s.ID == o.ID && (s.Born.IsZero() || o.Born.IsZero() || s.Born.Equal(o.Born))
}

// Before reports whether s is an earlier instance of the same upstream than o.
func (s Start) Before(o Start) bool { return !s.Same(o) && s.ID == o.ID && s.Born.Before(o.Born) }
