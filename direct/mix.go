package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/relay"
	"jacinthworks/roles"
)

// mixRatio is how many prefill engines are kept busy for each decode engine that
// is; sure says that it may take engines from decode.
type mixRatio struct {
	ratio       float64
	known, sure bool
}

func ratioOf(s roles.Sample) (r mixRatio) {
	r.ratio, r.known = s.Ratio()
	r.sure = s.Sufficient()
	return r
}

const (
	// mixPath is where an entry tells what it saw of its requests.
	mixPath = "/v1/mix"
	// mixWithin bounds the call for it: one round trip, and an entry that waits for
	// its share of a processor.
	mixWithin = 400 * time.Millisecond
	// mixMost bounds the entries that are asked: the ratio of some is that of all.
	mixMost = 64
)

// serveMix answers the holder of the roles.
func (s *Server) serveMix(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.mixes.Samples(time.Now())); err != nil {
		s.Log.Debug("mix not taken", "err", err)
	}
}

// fleetMix adds up what all entries saw. One that does not answer counts for
// nothing.
func (s *Server) fleetMix(ctx context.Context) (sum map[domain.Service]roles.Sample, answered int) {
	ctx, cancel := context.WithTimeout(ctx, mixWithin)
	defer cancel()
	others := s.peers.fleet.Others(mixMost)
	answers := make(chan map[domain.Service]roles.Sample, len(others))
	for _, p := range others {
		go func() { // its end is read below
			all, err := askMix(ctx, p)
			if err != nil {
				s.Log.Debug("no mix of an entry", "entry", p.Name, "err", err)
			}
			answers <- all
		}()
	}
	sum = s.mixes.Samples(time.Now())
	for range others {
		all := <-answers
		if all != nil {
			answered++
		}
		for name, one := range all {
			sum[name] = sum[name].Add(one)
		}
	}
	return sum, answered
}

func askMix(ctx context.Context, p *relay.Peer) (all map[domain.Service]roles.Sample, err error) {
	err = callPeer(ctx, p, http.MethodGet, mixPath, mixWithin, nil, &all)
	return all, err
}

// mixSent notes a stream that has its room.
func (s *Server) mixSent(r *request) {
	e := r.engine()
	if e == nil || e.KVTokens <= 0 {
		return
	}
	answer := r.tokens() - r.ask.PromptTokens
	// Its memory grows with the answer: half of that on the mean.
	memory := (float64(r.ask.PromptTokens) + float64(answer)/2) / float64(e.KVTokens)
	s.mixes.Update(r.service.Name, func(x *roles.Profile) { x.RecordRequest(time.Now(), r.ask.PromptTokens, answer, memory) })
}

func (s *Server) mixPrefilled(r *request, took time.Duration) {
	s.mixes.Update(r.service.Name, func(x *roles.Profile) { x.RecordPrefill(time.Now(), r.ask.PromptTokens, took) })
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
	s.mixes.Update(r.service.Name, func(x *roles.Profile) { x.RecordAnswer(now, tokens, took) })
	p.began, p.events = now, 0
}
