package model

import (
	"net/http"
	"strconv"
	"time"

	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

// prefix is a prompt whose beginning is cached under a hash.
type prefix struct {
	prompt string
	tokens int
	used   time.Time
}

type event struct {
	at time.Time
	engine.CacheEvent
}

// cached gives how many of the prompt's tokens need no prefill: those of the
// beginning that it shares with the prompt last seen under its prefix. The
// last token is always computed.
func (e *Engine) cached(m *memory, o engine.PrefillRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := m.prefixes[o.Prefix]
	if o.Prefix == 0 || p == nil || len(o.Prompt) == 0 {
		return 0
	}
	same := 0
	for same < min(len(p.prompt), len(o.Prompt)) && p.prompt[same] == o.Prompt[same] {
		same++
	}
	return min(o.PromptTokens*same/len(o.Prompt), o.PromptTokens-1)
}

// remember caches the prompt under its prefix and evicts what was used least
// recently until all fit.
func (e *Engine) remember(m *memory, o engine.PrefillRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Prefix == 0 || o.PromptTokens > e.PrefixTokens {
		return
	}
	if m.prefixes[o.Prefix] == nil {
		e.happened(m, engine.CacheEvent{Prefix: o.Prefix, Tokens: o.PromptTokens})
	}
	m.prefixes[o.Prefix] = &prefix{prompt: o.Prompt, tokens: o.PromptTokens, used: time.Now()}
	for m.prefixTokens() > e.PrefixTokens {
		oldest := o.Prefix
		for hash, p := range m.prefixes {
			if p.used.Before(m.prefixes[oldest].used) {
				oldest = hash
			}
		}
		e.happened(m, engine.CacheEvent{Prefix: oldest, Tokens: m.prefixes[oldest].tokens, Evicted: true})
		delete(m.prefixes, oldest)
	}
}

func (m *memory) prefixTokens() int {
	n := 0
	for _, p := range m.prefixes {
		n += p.tokens
	}
	return n
}

func (e *Engine) happened(m *memory, c engine.CacheEvent) {
	e.seq++
	c.Seq = e.seq
	m.events = append(m.events, event{at: time.Now(), CacheEvent: c})
}

// cacheEvents gives events late and with gaps. A crash empties the cache
// without an event.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known := time.Now().Add(-max(e.EventDelay, 0))
	events := []engine.CacheEvent{}
	for _, v := range e.memory.events {
		lost := e.EventGap > 0 && v.Seq%uint64(e.EventGap) == 0
		if v.Seq > after && !lost && !v.at.After(known) {
			events = append(events, v.CacheEvent)
		}
	}
	serve.Write(w, http.StatusOK, events)
}
