package send

import (
	"net/http"
	"strings"
)

// hopByHopFields are the header fields that apply to a single connection (RFC 9110, section 7.6.1),
// and Content-Length, which is written for each message.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of a header without the fields that apply to a single connection,
// including those that the Connection field names.
func EndToEnd(header http.Header) http.Header {
	h := header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
	return h
}
