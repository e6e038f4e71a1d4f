package entry

import (
	"encoding/json"
	"sync"
	"time"

	"jacinthworks/route"
	"jacinthworks/wire"
)

// stream collects the tokens of one decode attempt in order.
type stream struct {
	mu     sync.Mutex
	tokens []string
	// delivered is the number of tokens that takeNew has returned.
	delivered int
	// changed has capacity for one signal, which is sent when tokens have arrived.
	changed chan struct{}
}

// takeNew returns the tokens that arrived since the last call.
func (s *stream) takeNew() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.tokens[s.delivered:]
	s.delivered = len(s.tokens)
	return fresh
}

// nextOffset returns the offset of the next expected token.
func (s *stream) nextOffset() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// add appends the tokens of a frame. Tokens that the stream already has are skipped. A
// frame that starts after nextOffset is dropped; reattaching from nextOffset fills the
// gap.
func (s *stream) add(f wire.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	skip := len(s.tokens) - f.Offset
	if skip < 0 || skip >= len(f.Tokens) {
		return
	}
	s.tokens = append(s.tokens, f.Tokens[skip:]...)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// streams finds the stream of a frame by request, attempt and stage. A late frame of an
// earlier attempt or of another request would otherwise add foreign tokens to an answer;
// an abandoned attempt has no stream any more, so its frames are dropped. The zero value
// is ready to use. Its lock is a leaf lock: no other lock is acquired while it is held.
type streams struct {
	mu  sync.Mutex
	all map[wire.AttemptRef]*stream
}

// open adds an empty stream for the attempt, replacing an earlier one.
func (s *streams) open(r wire.AttemptRef) *stream {
	st := &stream{changed: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[wire.AttemptRef]*stream)
	}
	s.all[r] = st
	return st
}

// close removes the attempt's stream, so that later frames of the attempt are dropped.
func (s *streams) close(r wire.AttemptRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, r)
}

// find returns the attempt's stream, or nil if there is none.
func (s *streams) find(r wire.AttemptRef) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[r]
}

// handleNotification handles the notifications of sides, in the order of their arrival.
func (e *Entry) handleNotification(p *wire.Peer, method string, params json.RawMessage) {
	switch method {
	case wire.MethodEvidence:
		e.mergeEvidence(params)
		return
	case wire.MethodOwnedShards:
		e.handleOwned(p.RemoteHello().Host, params)
		return
	case wire.MethodCacheEvents:
		e.handleCacheEvents(p.RemoteHello(), params)
		return
	case wire.MethodFrame:
	default:
		e.handleHeartbeat(p)
		return
	}
	var f wire.Frame
	if json.Unmarshal(params, &f) != nil {
		return
	}
	if s := e.streams.find(f.AttemptRef); s != nil {
		s.add(f)
	}
}

// handleHeartbeat passes a side's heartbeat to the scheduler of its service.
func (e *Entry) handleHeartbeat(p *wire.Peer) {
	b, heard := p.LastHeartbeat()
	if !heard {
		return
	}
	side := e.sides.Find(p.RemoteHello().Host)
	if side == nil || side.Peer() != p {
		return
	}
	e.schedulers.get(p.RemoteHello().Service).update(p.RemoteHello(), b, side.HostLeaving.Load())
}

// handleCacheEvents passes an engine's cache events to the scheduler of its service.
func (e *Entry) handleCacheEvents(from wire.Hello, params json.RawMessage) {
	var c wire.CacheEvents
	if json.Unmarshal(params, &c) != nil {
		return
	}
	s := e.schedulers.get(from.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range c.Events {
		s.model.CacheEvent(time.Now(), from.Host, route.CacheEvent{Seq: v.Seq, Prefix: v.Prefix, Tokens: v.Tokens, Evicted: v.Evicted})
	}
}
