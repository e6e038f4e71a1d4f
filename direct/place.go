package direct

import (
	"time"

	"jacinthworks/paths"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/work"
)

// The costs that a choice weighs, as time.
const (
	// onceFails is how many targets a failure costs a request that cannot be
	// repeated: it is lost.
	onceFails = 10
	// repeatFails is the same for one that can: it is late.
	repeatFails = 1.5
	// farCall and farStage are what crossing availability zones is worth: the
	// bytes are paid for, and a link between zones can fail.
	farCall  = 10 * time.Millisecond
	farStage = 20 * time.Millisecond
	// defaultTarget is for routes without one.
	defaultTarget = time.Second
)

// targetLatency is the time to the answer that the route aims at.
func (r *request) targetLatency() time.Duration {
	if r.route.Target > 0 {
		return r.route.Target
	}
	return defaultTarget
}

// failCost is what a failed attempt costs the request.
func (r *request) failCost() time.Duration {
	if r.route.MayRepeat() && r.runs+1 < r.route.Attempts {
		return time.Duration(repeatFails * float64(r.targetLatency()))
	}
	return onceFails * r.targetLatency()
}

// place chooses an upstream of a role for the request; "" is a plain one. It
// gives nil where none is left.
func (s *Server) place(r *request, role work.Role, near work.Zone, l route.Load) (*roster.Upstream, route.Offer) {
	now := time.Now()
	var offers []route.Offer
	var members []*roster.Upstream
	for _, u := range s.roster.Of(r.service.Name) {
		m := u.Server()
		if m.Draining || m.Role != role || r.tried[m.ID] {
			continue
		}
		o := u.Seen.Offer(now)
		o.Name, o.Near, o.Slots = string(m.ID), m.Zone == near, m.Slots
		if e := r.service.Engine; e != nil {
			o.Memory = e.KVTokens
		}
		offers = append(offers, o)
		members = append(members, u)
	}
	best, full := route.Best(offers, l, r.random)
	if best < 0 {
		s.Log.Info("no upstream", "request", r.id, "service", r.service.Name, "role", role, "tried", len(r.tried))
		return nil, route.Offer{}
	}
	u := members[best]
	s.Log.Info("placed", "request", r.id, "service", r.service.Name, "role", role, "upstream", offers[best].Name,
		"of", len(offers), "full", full, "own", offers[best].Own, "others", offers[best].Others, "tokens", offers[best].Tokens, "fails", offers[best].Fails,
		"speed", offers[best].Speed, "heard", u.Age(now))
	return u, offers[best]
}

// engine is the description of the service's engines; nil for a plain one.
func (r *request) engine() *paths.Engine { return r.service.Engine }

// tokens is the memory that the request is likely to need on an engine. The
// most that it may answer is several times what answers are as a rule.
func (r *request) tokens() int {
	likely := r.ask.Likely
	if likely <= 0 {
		likely = r.ask.Output / outputPart
	}
	return r.ask.Prompt + min(max(likely, leastOutput), max(r.ask.Output, leastOutput))
}

const (
	// outputPart is the part of the most that an answer is taken for where the
	// caller does not say.
	outputPart = 3
	// leastOutput is the least answer, in tokens, that room is kept for.
	leastOutput = 64
)
