package direct

import (
	"context"
	"time"

	"jacinthworks/queue"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/send"
	"jacinthworks/work"
)

const (
	// lookAgain is how often a request whose turn it is looks for room that
	// the requests of other processes gave back.
	lookAgain = 40 * time.Millisecond
	// fullFor keeps work away from an upstream that has just said that it has
	// no room.
	fullFor = 80 * time.Millisecond
	// holdWithin bounds the call that holds room; it takes a round trip.
	holdWithin = 150 * time.Millisecond
	// dropWithin bounds the call that frees held room, which ends by itself.
	dropWithin = time.Second
	// fullCost is how much longer a request takes at an engine that is full
	// than at an empty one, of what counts here: its first event.
	fullCost = 200 * time.Millisecond
)

// room is a place for a request at the engine that makes the answer.
type room struct {
	upstream *roster.Upstream
	hold     Hold
	work     roster.Work
	since    time.Time
}

// room finds a place for a request at an engine of the role, before anything is
// spent on it.
//
// Failure: prompts are read for answers that no engine has memory for. It shows
// under bursts, as prompts read in vain and requests that are refused after
// they waited for the reading. Holding the place first holds because the engine
// itself counts what it has promised, to all callers together.
func (s *Server) room(ctx context.Context, r *request, role work.Role) (*room, *failure) {
	l := s.lines.line(r.service.Name)
	i := l.item(r)
	if refusal := l.enter(ctx, i); refusal != nil {
		return nil, s.unroomed(ctx, r, refusal)
	}
	defer l.leave()
	until := i.FirstToken.Add(-i.ToFirstToken)
	for {
		found, any := s.look(ctx, r, role)
		switch {
		case found != nil:
			return found, nil
		case ctx.Err() != nil:
			return nil, s.unroomed(ctx, r, &queue.Refusal{Reason: reasonOf(ctx)})
		case !any:
			return nil, s.unplaced(r)
		case !time.Now().Before(until):
			return nil, s.unroomed(ctx, r, l.lapsed(i))
		}
		t := time.NewTimer(lookAgain)
		select {
		case <-l.freed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// unroomed turns a refusal of the queue into the request's.
func (s *Server) unroomed(ctx context.Context, r *request, q *queue.Refusal) *failure {
	f := &failure{ran: work.NotRun, reason: q.Reason, detail: string(q.Detail), retryAfter: q.RetryAfter, final: true}
	if ctx.Err() != nil {
		f.reason = reasonOf(ctx)
	}
	s.Log.Info("no room", "request", r.id, "service", r.service.Name, "reason", f.reason, "detail", f.detail,
		"waited", time.Since(r.accepted), "wait_expected", q.Grounds.Wait, "waiting", q.Grounds.Items)
	return f
}

// look asks the engines that may have room, the best first. any says that
// there is an engine at all.
func (s *Server) look(ctx context.Context, r *request, role work.Role) (found *room, any bool) {
	for ctx.Err() == nil {
		u, held := s.placeWithRoom(r, role)
		if u == nil {
			return nil, held
		}
		any = true
		if p := s.take(ctx, r, u); p != nil {
			return p, true
		}
	}
	return nil, any
}

// placeWithRoom chooses an engine that has not just said that it is full; held
// says that there are only such.
func (s *Server) placeWithRoom(r *request, role work.Role) (u *roster.Upstream, held bool) {
	u, o := s.place(r, role, s.Settings.Zone, route.Load{
		SkipHeld: true,
		Units:    1, Tokens: r.tokens(), Usual: route.Usual{Tokens: r.tokens()},
		FullCost: fullCost, FailCost: r.failCost(), FarCost: farStage,
	})
	if u == nil || o.Held {
		return nil, u != nil
	}
	return u, false
}

// take holds room at the engine, where engines do; else it counts on it.
func (s *Server) take(ctx context.Context, r *request, u *roster.Upstream) *room {
	now := time.Now()
	p := &room{upstream: u, work: roster.Work{Tokens: r.tokens()}, since: now}
	life := r.engine().HoldLife
	if life <= 0 {
		u.Seen.Begin(p.work)
		return p
	}
	ask, err := s.Protocol.Hold(r.tokens(), life)
	if err != nil {
		s.Log.Error("hold not asked for", "request", r.id, "err", err)
		return nil
	}
	u.Seen.Begin(p.work)
	p.hold, err = s.askHold(ctx, u, ask)
	took := time.Since(now)
	switch {
	case err != nil:
		u.Seen.End(p.work)
		u.Seen.Failed(time.Now())
		r.avoid(u)
		s.Log.Info("hold failed", "request", r.id, "upstream", u.Server().ID, "err", err, "took", took)
		return nil
	case p.hold == "":
		u.Seen.End(p.work)
		u.Seen.Full(time.Now().Add(fullFor))
		s.Log.Debug("no room held", "request", r.id, "upstream", u.Server().ID, "took", took)
		return nil
	}
	s.Log.Info("room held", "request", r.id, "upstream", u.Server().ID, "tokens", p.work.Tokens, "took", took)
	return p
}

func (s *Server) askHold(ctx context.Context, u *roster.Upstream, ask send.Request) (Hold, error) {
	ctx, cancel := context.WithTimeout(ctx, holdWithin)
	defer cancel()
	s.Protocol.Stamp(ask.Header, Stamp{Upstream: u.Server().ID, Within: holdWithin})
	reply, err := u.Client.Do(ctx, ask)
	if err != nil {
		return "", err
	}
	body, err := reply.All(shortAnswer)
	if err != nil {
		return "", err
	}
	return s.Protocol.Held(reply.Status, body)
}

// release gives up room that was not used.
func (s *Server) release(r *request, p *room) {
	p.upstream.Seen.End(p.work)
	s.lines.line(r.service.Name).free()
	if p.hold == "" {
		return
	}
	s.later("drop hold", dropWithin, func(ctx context.Context) error {
		reply, err := p.upstream.Client.Do(ctx, s.Protocol.Drop(p.hold))
		if err != nil {
			s.Log.Info("hold not dropped", "request", r.id, "err", err)
			return nil
		}
		s.drain1(reply)
		return nil
	})
}
