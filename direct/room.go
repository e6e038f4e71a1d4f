package direct

import (
	"context"
	"errors"
	"time"

	"jacinthworks/domain"
	"jacinthworks/queue"
	"jacinthworks/roster"
	"jacinthworks/route"
)

const (
	// lookAgain is how often a request whose turn it is looks for room that
	// the requests of other processes gave back.
	lookAgain = 40 * time.Millisecond
	// holdWithin bounds the call that holds room; it takes a round trip.
	holdWithin = 150 * time.Millisecond
	// holdPart is the part of the likely answer that room is held for. The
	// engine keeps what is held for the whole run, and most of an answer's
	// memory is taken near its end.
	holdPart = 1.0
	// reserve is the part of an engine's memory that is left to requests which
	// can still meet their target: two or three of them.
	reserve = 0.20
	// dropWithin bounds the call that frees held room, which ends by itself.
	dropWithin = time.Second
	// fullCost is how much longer a request takes at an engine that is full
	// than at an empty one, of what counts here: its first event.
	fullCost = 200 * time.Millisecond
)

// room is a place for a request at the engine that makes the answer.
type room struct {
	upstream *roster.Upstream
	hold     Reservation
	work     roster.Cost
	since    time.Time
	// permit allows the request by the upstream's rate limit.
	permit permit
}

// room finds a place for a request at an engine of the role, before anything is
// spent on it.
//
// Failure: prompts are read for answers that no engine has memory for. It shows
// under bursts, as prompts read in vain and requests that are refused after
// they waited for the reading. Holding the place first holds because the engine
// itself counts what it has promised, to all callers together.
func (s *Server) room(ctx context.Context, r *request, role domain.Role) (*room, *failure) {
	l := s.lines.For(r.service.Name)
	i, until, late := item(l, r)
	late = late || r.over && !r.begun
	if found, any := s.look(ctx, r, role, late); found != nil {
		return found, nil
	} else if !any {
		return nil, s.unplaced(r, role)
	}
	if r.over && !r.begun {
		return nil, s.overQuota(r)
	}
	if late {
		return nil, s.unroomed(ctx, r, &queue.Refusal{Reason: domain.ReasonTooLate, Detail: queue.DetailExpired})
	}
	if refusal := l.Acquire(ctx, i, until); refusal != nil {
		return nil, s.unroomed(ctx, r, refusal)
	}
	defer l.Release()
	for {
		found, any := s.look(ctx, r, role, late)
		switch {
		case found != nil:
			return found, nil
		case ctx.Err() != nil:
			return nil, s.unroomed(ctx, r, &queue.Refusal{Reason: domain.ReasonOf(ctx)})
		case !any:
			return nil, s.unplaced(r, role)
		case !time.Now().Before(until):
			return nil, s.unroomed(ctx, r, l.Expire(i))
		}
		t := time.NewTimer(lookAgain)
		select {
		case <-l.Freed():
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// stillThere gives the room, or another where its engine takes nothing new any more.
//
// Failure: an engine leaves, or asks for a pause, while a prompt is read for it,
// which can take seconds where prefill engines are lost. It shows as a request
// that reaches a server which takes nothing new any more. Looking again just
// before the send leaves the time of one message.
func (s *Server) stillThere(ctx context.Context, r *request, role domain.Role, p *room) (*room, *failure) {
	if p.upstream.Eligibility(time.Now()).Eligible() {
		return p, nil
	}
	s.Log.Info("engine takes nothing new, other room is sought", "request", r.id, "upstream", p.upstream.Server().ID)
	s.release(r, p)
	return s.room(ctx, r, role)
}

// unroomed turns a refusal of the queue into the request's.
func (s *Server) unroomed(ctx context.Context, r *request, q *queue.Refusal) *failure {
	f := &failure{ran: domain.NotRun, reason: q.Reason, detail: string(q.Detail), final: true}
	f.retryAfter = max(q.RetryAfter, s.lines.For(r.service.Name).RetryAfter.Delay(time.Now()))
	if ctx.Err() != nil {
		f.reason = domain.ReasonOf(ctx)
	}
	s.Log.Info("no room", "request", r.id, "service", r.service.Name, "reason", f.reason, "detail", f.detail,
		"asked", r.asked, "retry_after", f.retryAfter, "waited", time.Since(r.accepted), "wait_expected", q.Inputs.Wait, "waiting", q.Inputs.Items)
	return f
}

// look asks the engines that may have room, the best first. any says that
// there is an engine at all.
func (s *Server) look(ctx context.Context, r *request, role domain.Role, late bool) (found *room, any bool) {
	load := route.Request{
		SkipRecentlyFull: true, Units: 1, Tokens: r.tokens(), Typical: route.RequestSize{Tokens: r.tokens()},
		MemoryPressureCost: fullCost, FailureCost: r.failCost(), CrossZoneCost: farStage,
	}
	for n := 0; n < route.MaxEnginesPerSearch && ctx.Err() == nil; n++ {
		p := s.place(r, role, s.Settings.Zone, load)
		if p.upstream == nil {
			return nil, p.of > 0
		}
		r.asked++
		if found := s.take(ctx, r, p.upstream, late); found != nil {
			more := append(found.permit.log(), "held", found.hold != "", "asked", r.asked, "late", late, "waited", time.Since(r.accepted))
			s.logPlaced(r, role, p, more...)
			return found, true
		}
	}
	return nil, true
}

// take holds room at the engine, where engines do; else it counts on it. For a
// request that is late already it first asks for more than it needs.
//
// Load pattern: a burst with returns from an earlier one. What is late takes
// each place that comes free while no fresh request happens to wait here, and
// the fresh ones of all entries find none. Asking for more leaves the last
// places of each engine to them.
func (s *Server) take(ctx context.Context, r *request, u *roster.Upstream, late bool) *room {
	allowed, _, ok := s.permit(ctx, r, u, 0)
	if !ok {
		return nil
	}
	p := &room{upstream: u, work: roster.Cost{MemoryTokens: r.tokens()}, since: time.Now(), permit: allowed}
	if r.engine().HoldLife > 0 && !s.takeHold(ctx, r, p, late) {
		s.unpermit(allowed)
		return nil
	}
	u.Stats.RequestStarted(p.work)
	return p
}

// takeHold has the engine hold the room, and says whether it does.
func (s *Server) takeHold(ctx context.Context, r *request, p *room, late bool) bool {
	u := p.upstream
	need := r.ask.PromptTokens + max(int(holdPart*float64(r.tokens()-r.ask.PromptTokens)), leastOutput)
	more := 0
	if !r.begun {
		more = s.lines.For(r.service.Name).Headroom(time.Now(), need)
	}
	if late {
		more = max(more, int(reserve*float64(r.engine().KVTokens)))
	}
	if more > 0 {
		spare := s.held(ctx, r, u, need+more)
		if spare == "" {
			return false
		}
		// Both together would need the room twice.
		s.dropNow(ctx, r, u, spare)
	}
	p.hold = s.held(ctx, r, u, need)
	return p.hold != ""
}

// held asks an engine to hold room; "" says that there is none, or no answer.
func (s *Server) held(ctx context.Context, r *request, u *roster.Upstream, tokens int) Reservation {
	began := time.Now()
	h, err := s.askHold(ctx, u, tokens, r.engine().HoldLife)
	switch {
	case errors.Is(err, errBarred):
		return ""
	case err != nil:
		u.Stats.RecordFailure(time.Now())
		r.avoid(u)
		s.Log.Info("hold failed", "request", r.id, "upstream", u.Server().ID, "err", err, "took", time.Since(began))
		return ""
	case h == "":
		u.Stats.HoldOff(time.Now().Add(s.fullFor()))
		s.lines.For(r.service.Name).RecordFull(time.Now())
		s.Log.Debug("no room held", "request", r.id, "upstream", u.Server().ID, "took", time.Since(began))
	}
	return h
}

// fullFor is how long work is kept away from an engine that has just said that it
// has no room.
func (s *Server) fullFor() time.Duration {
	return route.CapacityBackoff{Processes: s.searching(time.Now())}.Interval()
}

// searching counts the entries that look for room.
//
// Failure: until the records were read, more entries are assumed than most deployments
// have, which keeps the sum of all shares small. Taken for those that ask engines, they
// made an entry that is alone leave a full engine for longer than its requests may wait.
// It shows as requests that are refused although a place came free.
func (s *Server) searching(now time.Time) int {
	if s.members.known.Load() {
		return s.members.count(now)
	}
	return s.peers.fleet.MemberCount()
}

func (s *Server) askHold(ctx context.Context, u *roster.Upstream, tokens int, life time.Duration) (Reservation, error) {
	ask, err := s.Protocol.ReserveRequest(tokens, life)
	if err != nil {
		return "", err
	}
	body, status, err := s.ask(ctx, u, ask, holdWithin)
	if err != nil {
		return "", err
	}
	return s.Protocol.ParseReservation(status, body)
}

// release gives up room that was not used.
func (s *Server) release(r *request, p *room) {
	p.upstream.Stats.RequestEnded(p.work)
	s.unpermit(p.permit)
	s.lines.For(r.service.Name).SignalFree()
	if p.hold != "" {
		s.drop(r, p.upstream, p.hold)
	}
}

// drop frees held room, past the end of the request.
func (s *Server) drop(r *request, u *roster.Upstream, h Reservation) {
	s.later("drop hold", dropWithin, func(ctx context.Context) error {
		s.dropNow(ctx, r, u, h)
		return nil
	})
}

// dropNow frees held room and waits for the answer.
func (s *Server) dropNow(ctx context.Context, r *request, u *roster.Upstream, h Reservation) {
	reply, _, err := s.exchange(ctx, r.id, u, s.Protocol.ReleaseRequest(h))
	if err != nil {
		s.Log.Info("hold not dropped", "request", r.id, "err", err)
		return
	}
	s.readShort(reply)
}
