package direct

import (
	"bytes"
	"sync"
	"time"

	"jacinthworks/place"
	"jacinthworks/work"
)

// mixes measure what the requests of each service take of its engines. The zero
// value is ready to use; it must not be copied.
type mixes struct {
	mu sync.Mutex // a leaf
	of map[work.Service]*place.Mix
}

// note changes the measurement of a service.
func (m *mixes) note(s work.Service, change func(*place.Mix)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.of == nil {
		m.of = make(map[work.Service]*place.Mix)
	}
	if m.of[s] == nil {
		m.of[s] = &place.Mix{}
	}
	change(m.of[s])
}

func (m *mixes) ratio(s work.Service) (r mixRatio) {
	m.note(s, func(x *place.Mix) {
		r.ratio, r.known = x.Ratio()
		r.sure = x.Sure()
	})
	return r
}

// mixRatio is how many prefill engines are kept busy for each decode engine that
// is; sure says that it may take engines from decode.
type mixRatio struct {
	ratio       float64
	known, sure bool
}

// mixSent notes a stream that has its room.
func (s *Server) mixSent(r *request) {
	e := r.engine()
	if e == nil || e.KVTokens <= 0 {
		return
	}
	answer := r.tokens() - r.ask.Prompt
	// Its memory grows with the answer: half of that on the mean.
	memory := (float64(r.ask.Prompt) + float64(answer)/2) / float64(e.KVTokens)
	s.mixes.note(r.service.Name, func(x *place.Mix) { x.Sent(time.Now(), r.ask.Prompt, answer, memory) })
}

func (s *Server) mixPrefilled(r *request, took time.Duration) {
	s.mixes.note(r.service.Name, func(x *place.Mix) { x.Prefilled(time.Now(), r.ask.Prompt, took) })
}

// notedEvents is how many events of an answer are noted at once.
const notedEvents = 8

// paced notes how fast the events of an answer come. The zero value begins with
// the first event.
type paced struct {
	began  time.Time
	events int
}

// add takes what was read of the answer.
func (p *paced) add(s *Server, r *request, b []byte) {
	now := time.Now()
	if p.began.IsZero() {
		p.began = now
		return
	}
	p.events += bytes.Count(b, []byte("\n\n"))
	if p.events < notedEvents || r.engine() == nil {
		return
	}
	tokens, took := p.events*max(r.engine().TokensPerEvent, 1), now.Sub(p.began)
	s.mixes.note(r.service.Name, func(x *place.Mix) { x.Answered(now, tokens, took) })
	p.began, p.events = now, 0
}
