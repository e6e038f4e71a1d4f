package model

import (
	"strconv"
	"strings"
	"time"

	"jacinthworks/domain"
	"jacinthworks/engine"
)

// kvCache is the KV cache that a prefill produced.
type kvCache struct {
	request domain.RequestID
	tokens  int
	seed    uint64
	// crashOnDecode makes an engine that decodes from the cache crash.
	crashOnDecode bool
	expiresAt     time.Time
}

// storeKV converts a prefill's memory reservation into KV cache that expires after
// KVLifetime. It returns false if the run has already ended, by a crash or a cancel.
func (e *Engine) storeKV(m *volatileState, run *Run, o engine.PrefillRequest) (engine.KV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.Outcome != "" {
		return engine.KV{}, false
	}
	run.setOutcome(OutcomeDone)
	m.running[run](nil)
	delete(m.running, run)
	e.lastHandle++
	handle := strconv.FormatUint(uint64(m.incarnation), 36) + "-" + strconv.FormatUint(e.lastHandle, 36)
	m.caches[handle] = &kvCache{
		request: o.Request, tokens: o.PromptTokens, seed: AnswerSeed(o.Prompt),
		crashOnDecode: strings.Contains(o.Prompt, CrashInDecode), expiresAt: time.Now().Add(e.KVLifetime),
	}
	e.recordState()
	return engine.KV{Handle: handle, Tokens: o.PromptTokens, TTL: e.KVLifetime}, true
}

// findKV returns a copy of the KV cache with the handle, and false if it was evicted.
func (e *Engine) findKV(handle string) (kvCache, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evictExpired()
	c, ok := e.volatile.caches[handle]
	if !ok {
		return kvCache{}, false
	}
	return *c, true
}

// evictExpired removes the expired KV caches. The caller holds e.mu.
func (e *Engine) evictExpired() {
	now := time.Now()
	for handle, c := range e.volatile.caches {
		if now.After(c.expiresAt) {
			delete(e.volatile.caches, handle)
		}
	}
}

// usedTokens returns the KV memory in use by caches and reservations, in tokens. The
// caller holds e.mu.
func (e *Engine) usedTokens() int {
	e.evictExpired()
	n := 0
	for _, c := range e.volatile.caches {
		n += c.tokens
	}
	for r := range e.volatile.running {
		n += r.ReservedTokens
	}
	return n
}
