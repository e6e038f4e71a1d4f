package memory

// Hold is what one request or connection has reserved in a budget. Set Budget and Account before first use. A
// Hold must not be copied. It is safe for concurrent use.
type Hold[K comparable] struct {
	Budget  *Budget[K]
	Account K

	bytes   int64 // guarded by Budget.mu
	revoked bool  // guarded by Budget.mu
}

// Reserve reserves more bytes. It reports false, and reserves nothing, if they do not fit or the hold was revoked.
func (h *Hold[K]) Reserve(bytes int64) bool {
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	if h.revoked || !h.Budget.reserve(h.Account, bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// Release gives back all that is reserved.
func (h *Hold[K]) Release() {
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	h.release()
}

// Revoke gives back all that is reserved, before the holder itself does, and lets nothing more be reserved.
func (h *Hold[K]) Revoke() {
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	h.release()
	h.revoked = true
}

// Revoked reports whether Revoke was called.
func (h *Hold[K]) Revoked() bool {
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	return h.revoked
}

// Bytes returns what is reserved.
func (h *Hold[K]) Bytes() int64 {
	h.Budget.mu.Lock()
	defer h.Budget.mu.Unlock()
	return h.bytes
}

// release gives back what is reserved. Budget.mu must be held.
func (h *Hold[K]) release() {
	if h.bytes > 0 {
		h.Budget.release(h.Account, h.bytes)
		h.bytes = 0
	}
}
