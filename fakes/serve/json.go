package serve

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes limits the body of a request that ReadJSON accepts.
const maxBodyBytes = 16 << 20

// WriteJSON answers with the value as JSON. It ignores write errors.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may have disconnected
}

// ReadJSON decodes the request's JSON body and rejects unknown fields. It reports whether
// that succeeded; otherwise it has answered with status 400.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
