package model

import (
	"net/http"
	"strconv"
	"time"

	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

// prefix is a cached prompt prefix: the last prompt that was prefilled with this prefix
// hash.
type prefix struct {
	prompt   string
	tokens   int
	lastUsed time.Time
}

// event is a cache event with the time at which it occurred.
type event struct {
	at time.Time
	engine.CacheEvent
}

// cachedTokens returns how many of the prompt's tokens need no prefill: the tokens of
// the beginning that it shares with the last prompt with the same prefix hash. The last
// token is always computed.
func (e *Engine) cachedTokens(m *volatileState, o engine.PrefillRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := m.prefixes[o.Prefix]
	if o.Prefix == 0 || p == nil || len(o.Prompt) == 0 {
		return 0
	}
	common := 0
	for common < min(len(p.prompt), len(o.Prompt)) && p.prompt[common] == o.Prompt[common] {
		common++
	}
	return min(o.PromptTokens*common/len(o.Prompt), o.PromptTokens-1)
}

// cachePrompt caches the prompt under its prefix hash and evicts the least recently
// used prefixes until the rest fits into PrefixTokens.
func (e *Engine) cachePrompt(m *volatileState, o engine.PrefillRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Prefix == 0 || o.PromptTokens > e.PrefixTokens {
		return
	}
	if m.prefixes[o.Prefix] == nil {
		e.recordEvent(m, engine.CacheEvent{Prefix: o.Prefix, Tokens: o.PromptTokens})
	}
	m.prefixes[o.Prefix] = &prefix{prompt: o.Prompt, tokens: o.PromptTokens, lastUsed: time.Now()}
	for m.prefixTokens() > e.PrefixTokens {
		oldest := o.Prefix
		for hash, p := range m.prefixes {
			if p.lastUsed.Before(m.prefixes[oldest].lastUsed) {
				oldest = hash
			}
		}
		e.recordEvent(m, engine.CacheEvent{Prefix: oldest, Tokens: m.prefixes[oldest].tokens, Evicted: true})
		delete(m.prefixes, oldest)
	}
}

// prefixTokens returns the size of all cached prefixes in tokens.
func (m *volatileState) prefixTokens() int {
	n := 0
	for _, p := range m.prefixes {
		n += p.tokens
	}
	return n
}

// recordEvent appends a cache event with the next sequence number. The caller holds
// e.mu.
func (e *Engine) recordEvent(m *volatileState, c engine.CacheEvent) {
	e.lastEventSeq++
	c.Seq = e.lastEventSeq
	m.events = append(m.events, event{at: time.Now(), CacheEvent: c})
}

// cacheEvents answers with the cache events that are older than EventDelay, without
// every EventGap-th event. A crash empties the cache without an event.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	visibleUntil := time.Now().Add(-max(e.EventDelay, 0))
	events := []engine.CacheEvent{}
	for _, v := range e.volatile.events {
		lost := e.EventGap > 0 && v.Seq%uint64(e.EventGap) == 0
		if v.Seq > after && !lost && !v.at.After(visibleUntil) {
			events = append(events, v.CacheEvent)
		}
	}
	serve.WriteJSON(w, http.StatusOK, events)
}
