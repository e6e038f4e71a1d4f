package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/relay"
	"jacinthworks/roles"
	"jacinthworks/roster"
	"jacinthworks/speed"
)

// prefillRatio is the number of busy prefill engines for each busy decode engine.
// sufficient means that enough requests were measured to take engines from decode for it.
type prefillRatio struct {
	ratio             float64
	known, sufficient bool
}

func prefillRatioOf(s roles.Sample) (r prefillRatio) {
	r.ratio, r.known = s.Ratio()
	r.sufficient = s.Sufficient()
	return r
}

const (
	// mixPath is the peer endpoint that returns what an entry measured of its requests to
	// each service.
	mixPath = "/v1/mix"
	// mixTimeout bounds a call of mixPath: one round trip, and the delay of an entry that
	// waits for its share of a processor.
	mixTimeout = 400 * time.Millisecond
	// maxMixPeers bounds the entries that are asked for their measurements: the ratio of
	// prefill to decode engines over some entries is close to that over all.
	maxMixPeers = 64
)

// serveMix returns to the holder of the roles lease what this entry measured of its
// requests.
func (s *Server) serveMix(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.mixSamples()); err != nil {
		s.Log.Debug("response with the measurements of requests not written", "err", err)
	}
}

// mixSamples returns what this entry measured of its requests, for services with known speeds
// of their engines in times of the median engine of each role.
func (s *Server) mixSamples() map[domain.Service]roles.Sample {
	relative := make(map[domain.Service]roles.RelativeTimes)
	if c := s.config.Current(); c != nil {
		for i := range c.Services {
			if v := &c.Services[i]; v.HasEngines() && s.speedsOn(v.Name) {
				relative[v.Name] = s.relativeTimes(v.Name)
			}
		}
	}
	return s.profiles.Samples(time.Now(), relative)
}

// fleetMix adds up what this and other entries measured of their requests to each service,
// and returns how many other entries answered. An entry that does not answer is left out.
func (s *Server) fleetMix(ctx context.Context) (sum map[domain.Service]roles.Sample, answered int) {
	ctx, cancel := context.WithTimeout(ctx, mixTimeout)
	defer cancel()
	others := s.peers.fleet.OtherPeers(maxMixPeers)
	var calls group.Group
	answers := make([]map[domain.Service]roles.Sample, len(others))
	for n, p := range others {
		calls.Call(ctx, string(p.Name), func(ctx context.Context) error {
			all, err := fetchMix(ctx, p)
			if err != nil {
				s.Log.Debug("no measurements of requests received from entry", "entry", p.Name, "err", err)
			}
			answers[n] = all
			return nil
		})
	}
	s.refreshFleetSpeeds(ctx)
	sum = s.mixSamples()
	calls.Wait()
	for _, all := range answers {
		if all != nil {
			answered++
		}
		for name, sample := range all {
			sum[name] = sum[name].Add(sample)
		}
	}
	return sum, answered
}

func fetchMix(ctx context.Context, p *relay.Peer) (all map[domain.Service]roles.Sample, err error) {
	err = callPeer(ctx, p, http.MethodGet, mixPath, mixTimeout, nil, &all)
	return all, err
}

// recordAllocated records in the load profile of its service a stream that has its
// allocation.
func (s *Server) recordAllocated(r *request) {
	e := r.service.Engine
	if e.KVTokens <= 0 {
		return
	}
	answer := r.expectedTokens() - r.info.PromptTokens
	// The memory grows with the answer: on average, half of the answer is in it.
	memory := (float64(r.info.PromptTokens) + float64(answer)/2) / float64(e.KVTokens)
	s.profiles.Update(r.service.Name, func(x *roles.Profile) { x.RecordRequest(time.Now(), r.info.PromptTokens, answer, memory) })
}

func (s *Server) recordPrefill(r *request, engine roster.ID, took time.Duration) {
	s.profiles.Update(r.service.Name, func(x *roles.Profile) {
		x.RecordPrefillAt(time.Now(), domain.Host(engine), r.info.PromptTokens, took)
	})
}

// paceSampleEvents is how many events of an answer make one measurement of its pace.
const paceSampleEvents = 8

// eventPace measures how fast the events of an answer come. The first event starts the
// measurement.
type eventPace struct {
	startedAt time.Time
	events    int
}

// otherRequests returns the estimated number of requests at the upstream beside one of this
// entry.
func otherRequests(now time.Time, u *roster.Upstream) float64 {
	c := u.Stats.Candidate(now)
	return max(0, float64(c.OwnRequests-1)+c.OtherRequests)
}

// add counts the events in the bytes that were read of the answer.
func (p *eventPace) add(s *Server, r *request, a *attempt, b []byte) {
	now := time.Now()
	if p.startedAt.IsZero() {
		p.startedAt = now
		return
	}
	p.events += bytes.Count(b, []byte("\n\n"))
	if p.events < paceSampleEvents || !r.service.HasEngines() {
		return
	}
	tokens, took := p.events*max(r.service.Engine.TokensPerEvent, 1), now.Sub(p.startedAt)
	s.profiles.Update(r.service.Name, func(x *roles.Profile) { x.RecordAnswerAt(now, domain.Host(a.start.ID), tokens, took) })
	m := a.upstream.Server()
	s.recordSpeed(m.Service, m.Role, a.start, speed.Observation{Units: p.events, Took: took, Load: otherRequests(now, a.upstream), HostLoad: recentHostLoad(now, a.upstream)})
	p.startedAt, p.events = now, 0
}
