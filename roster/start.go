package roster

import "time"

// ID names an upstream in its registry.
type ID string

// Start names one start of an upstream. What is known of an upstream, sent to it
// or ordered of it is of one start: after it the upstream knows nothing of it.
type Start struct {
	ID ID `json:"upstream"`
	// StartedAtMillis is when it started, in whole milliseconds; zero where it does not say.
	Born time.Time `json:"born,omitzero"`
}

// InstanceKey is a Start as a key of maps.
type InstanceKey struct {
	ID              ID
	StartedAtMillis int64 // Unix milliseconds, zero for unknown
}

// Key gives the start as a key.
func (s Start) Key() InstanceKey {
	if s.Born.IsZero() {
		return InstanceKey{ID: s.ID}
	}
	return InstanceKey{s.ID, s.Born.UnixMilli()}
}

// Same says whether both are one start. One that does not say when it was is
// taken for any of its ID.
func (s Start) Same(o Start) bool {
	return s.ID == o.ID && (s.Born.IsZero() || o.Born.IsZero() || s.Born.Equal(o.Born))
}

// Before says whether s is an earlier start of the same upstream than o.
func (s Start) Before(o Start) bool { return !s.Same(o) && s.ID == o.ID && s.Born.Before(o.Born) }
