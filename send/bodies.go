package send

import "sync"

const (
	// MaxBodyBytes bounds, in bytes, what the bodies of all responses hold together that share a Bodies. One of 8 MiB fits, with
	// the buffer from which it is copied as it grows.
	MaxBodyBytes = 18 << 20
	// freeBodyBytes is how much of each body is not counted, so that short responses are read whatever the others hold.
	freeBodyBytes = 64 << 10
)

// Bodies counts what the bodies hold that Response.ReadAll is reading, over all clients that share it. The zero value is ready
// to use. It is safe for concurrent use, and must not be copied.
//
// Load: a faulty peer answers all calls without end. Each call bounds its own response, but many calls are in progress at once, and
// together they hold more than the host has.
type Bodies struct {
	mu   sync.Mutex // leaf lock: no other lock is acquired while it is held
	held int64      // bytes
}

// reserve adds bytes, and reports whether they fit. A nil Bodies has no bound.
func (b *Bodies) reserve(bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > 0 && b.held+bytes > MaxBodyBytes {
		return false
	}
	b.held += bytes
	return true
}
