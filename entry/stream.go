package entry

import (
	"encoding/json"
	"sync"
	"time"

	"jacinthworks/route"
	"jacinthworks/wire"
)

// stream takes the tokens of one attempt in their order.
type stream struct {
	mu     sync.Mutex
	tokens []string
	taken  int
	// changed has room for one word: there is more.
	changed chan struct{}
}

// take gives the tokens that came since the last take.
func (s *stream) take() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.tokens[s.taken:]
	s.taken = len(s.tokens)
	return fresh
}

// next is the offset of the token wanted next.
func (s *stream) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// add takes a frame. What overlaps is skipped and what leaves a gap is
// dropped; the gap is filled by attaching again from next.
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

// streams finds the stream that a frame belongs to. The failure: a late frame
// of an older attempt, or of another request. It shows as tokens that are not
// of this answer. Looking frames up by request, attempt and stage holds, since
// an attempt's entry is gone from the map once the attempt is given up. The
// zero value is ready to use; its lock is taken before no other.
type streams struct {
	mu  sync.Mutex
	all map[wire.AttemptRef]*stream
}

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

func (s *streams) shut(r wire.AttemptRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, r)
}

func (s *streams) find(r wire.AttemptRef) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[r]
}

// notice takes notifications from sides in the order of their arrival.
func (e *Entry) notice(p *wire.Peer, method string, params json.RawMessage) {
	switch method {
	case wire.MethodEvidence:
		e.takeEvidence(params)
		return
	case wire.MethodOwned:
		e.takeOwned(p.RemoteHello().Host, params)
		return
	case wire.MethodCache:
		e.takeCache(p.RemoteHello(), params)
		return
	case wire.MethodFrame:
	default:
		e.hear(p)
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

// hear passes a side's heartbeat to its service's scheduler.
func (e *Entry) hear(p *wire.Peer) {
	b, heard := p.LastHeartbeat()
	if !heard {
		return
	}
	side := e.sides.Find(p.RemoteHello().Host)
	if side == nil || side.Peer() != p {
		return
	}
	e.schedulers.of(p.RemoteHello().Service).report(p.RemoteHello(), b, side.Leaving.Load())
}

// takeCache passes an engine's cache events to its service's scheduler.
func (e *Entry) takeCache(from wire.Hello, params json.RawMessage) {
	var c wire.Cache
	if json.Unmarshal(params, &c) != nil {
		return
	}
	s := e.schedulers.of(from.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range c.Events {
		s.model.CacheEvent(time.Now(), from.Host, route.CacheEvent{Seq: v.Seq, Prefix: v.Prefix, Tokens: v.Tokens, Evicted: v.Evicted})
	}
}
