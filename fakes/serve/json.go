package serve

import (
	"encoding/json"
	"net/http"
)

// maxOrder limits the body of an order or a fault in bytes.
const maxOrder = 16 << 20

// Write answers with the value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may be gone
}

// Read reads the request's JSON body, refusing unknown fields. When it fails
// it answers with 400 and reports false.
func Read(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
