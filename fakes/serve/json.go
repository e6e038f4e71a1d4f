package serve

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes limits the body of a request that Read accepts.
const maxBodyBytes = 16 << 20

// Write answers with the value as JSON. It ignores write errors.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may have disconnected
}

// Read decodes the request's JSON body and rejects unknown fields. It reports whether
// that succeeded; otherwise it has answered with status 400.
func Read(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
