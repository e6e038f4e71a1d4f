package model

import (
	"strconv"
	"strings"
	"time"

	"jacinthworks/domain"
	"jacinthworks/engine"
)

// cache is KV cache that a prefill left.
type cache struct {
	request domain.RequestID
	tokens  int
	seed    uint64
	// crash says that whatever decodes it crashes.
	crash bool
	until time.Time
}

// keep turns a prefill's reservation into KV cache with a short life.
func (e *Engine) keep(m *memory, run *Run, o engine.PrefillRequest) (engine.KV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.Outcome != "" {
		return engine.KV{}, false
	}
	run.end(Done)
	m.running[run](nil)
	delete(m.running, run)
	e.handles++
	handle := strconv.FormatUint(uint64(m.incarnation), 36) + "-" + strconv.FormatUint(e.handles, 36)
	m.caches[handle] = &cache{
		request: o.Request, tokens: o.PromptTokens, seed: Seed(o.Prompt),
		crash: strings.Contains(o.Prompt, CrashInDecode), until: time.Now().Add(e.KVLifetime),
	}
	e.note()
	return engine.KV{Handle: handle, Tokens: o.PromptTokens, TTL: e.KVLifetime}, true
}

// find gives KV cache that has not been evicted.
func (e *Engine) find(handle string) (cache, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evict()
	c, ok := e.memory.caches[handle]
	if !ok {
		return cache{}, false
	}
	return *c, true
}

// evict drops what has outlived its life. The caller holds e.mu.
func (e *Engine) evict() {
	now := time.Now()
	for handle, c := range e.memory.caches {
		if now.After(c.until) {
			delete(e.memory.caches, handle)
		}
	}
}

// used gives the KV memory held, in tokens. The caller holds e.mu.
func (e *Engine) used() int {
	e.evict()
	n := 0
	for _, c := range e.memory.caches {
		n += c.tokens
	}
	for r := range e.memory.running {
		n += r.ReservedTokens
	}
	return n
}
