package send

import (
	"net/http"
	"strings"
)

// oneConnection are the fields that concern a single connection (RFC 9110,
// 7.6.1), and the length, which is written anew.
var oneConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd copies a header without what concerns one connection only.
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
	for _, name := range oneConnection {
		h.Del(name)
	}
	return h
}
