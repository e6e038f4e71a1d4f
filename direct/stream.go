package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"jacinthworks/domain"
	"jacinthworks/events"
	"jacinthworks/send"
)

const (
	// headerPart is the part of the target after which a stream that may go
	// on elsewhere gives up an upstream that has not begun to answer.
	headerPart = 0.7
	// gapsLooked is after how many of the route's longest pauses an upstream is
	// looked at: a batch that prefills pauses for one or two.
	gapsLooked = 3
	// defaultGap is for routes without a longest pause.
	defaultGap = 300 * time.Millisecond
	// readAtOnce is how much of a stream is read at once, in bytes.
	readAtOnce = 16 << 10
)

// stream serves a request that is answered event by event.
func (s *Server) stream(ctx context.Context, r *request) *failure {
	e := &events.Splitter{LastEventID: r.ask.LastEvent}
	for {
		f := s.streamOnce(ctx, r, e)
		if f == nil {
			return nil
		}
		if !f.granted && !s.again(ctx, r, f) {
			return f
		}
		e.DiscardPartial()
	}
}

// streamOnce makes one attempt at the rest of a stream.
func (s *Server) streamOnce(ctx context.Context, r *request, e *events.Splitter) *failure {
	role := s.lastRole(r)
	p, f := s.room(ctx, r, role)
	if f != nil {
		return f
	}
	s.mixSent(r)
	var from *prefilled
	if role == domain.RoleDecode && r.ask.PromptTokens >= prefillFrom {
		from = s.prefill(ctx, r, p)
		if from == nil {
			s.ownTurn(ctx, r, p)
		}
	}
	if p, f = s.stillThere(ctx, r, role, p); f != nil {
		s.free(r, from)
		return f
	}
	a := &attempt{upstream: p.upstream, work: p.work, counted: true, silence: r.headerPatience(), permit: p.permit}
	a.stamp.LastEvent, a.stamp.Reservation = e.LastEventID, p.hold
	if from != nil {
		a.stamp.Stage, a.stamp.Source = StageDecode, from.handle
	}
	if ctx.Err() != nil {
		s.release(r, p)
		s.free(r, from)
		return &failure{ran: domain.NotRun, reason: domain.ReasonOf(ctx), detail: "ended before an upstream had it"}
	}
	reply, f := s.try(ctx, r, a)
	if f != nil {
		s.free(r, from)
		return f
	}
	defer reply.Close()
	if reply.Status != http.StatusOK {
		return s.passFailure(ctx, r, a, reply)
	}
	return s.events(ctx, r, a, reply, e, p.since)
}

// lastRole is the role of the upstream that makes the answer: decode where the
// service has such, else one that does everything.
func (s *Server) lastRole(r *request) domain.Role {
	if r.engine() == nil {
		return ""
	}
	for _, u := range s.roster.Upstreams(r.service.Name) {
		if u.Server().Role == domain.RoleDecode {
			return domain.RoleDecode
		}
	}
	return ""
}

// headerPatience bounds the wait for the beginning of a stream where it may go
// on elsewhere; zero is no bound.
func (r *request) headerPatience() time.Duration {
	if !r.tries.CanRepeat() {
		return 0
	}
	return time.Duration(headerPart * float64(r.targetLatency()))
}

// gapPatience is the pause after which an upstream is looked at, where the
// stream may go on elsewhere; zero is never.
func (r *request) gapPatience() time.Duration {
	if !r.tries.CanRepeat() {
		return 0
	}
	gap := r.route.TargetGap
	if gap <= 0 {
		gap = defaultGap
	}
	return gapsLooked * gap
}

// pulse looks at the upstream of a stream in which nothing comes.
//
// Failure: an engine that ran out of memory stops a request for seconds and
// then goes on. Taken for lost, its stream is cut, and no other has room for
// the rest: it shows as an answer that ends in its middle though its engine
// lives. An engine that is lost takes no connection, so that the dial tells the
// two apart. A connection that went silent under a live engine is not found;
// the caller leaves it.
type pulse struct {
	every time.Duration
	timer *time.Timer
	over  atomic.Bool
}

func (s *Server) pulse(r *request, a *attempt, reply *send.Response) *pulse {
	p := &pulse{every: r.gapPatience()}
	if p.every <= 0 {
		return p
	}
	addr := a.upstream.Server().Addr
	p.timer = time.AfterFunc(p.every, func() {
		err := takesNone(s.workCtx, addr)
		switch {
		case p.over.Load():
		case err != nil:
			s.Log.Info("silent upstream is lost", "request", r.id, "upstream", a.start.ID, "silent", p.every, "err", err)
			reply.Abort()
		default:
			p.timer.Reset(p.every)
		}
	})
	return p
}

// beat notes that something came.
func (p *pulse) beat() {
	if p.timer != nil {
		p.timer.Reset(p.every)
	}
}

// end ends the looking.
func (p *pulse) end() {
	p.over.Store(true)
	if p.timer != nil {
		p.timer.Stop()
	}
}

// passFailure passes on an answer that is not a stream.
func (s *Server) passFailure(ctx context.Context, r *request, a *attempt, reply *send.Response) *failure {
	head, whole, err := readHead(reply)
	if err != nil {
		return s.broke(ctx, r, a, err)
	}
	s.done(r, a, time.Since(a.began), 1, reply.Status < http.StatusInternalServerError)
	if r.begun {
		r.tries.Ended(domain.DidRun)
		return &failure{ran: domain.DidRun, reason: domain.ReasonUpstream, detail: "the upstream failed the rest of the stream"}
	}
	if err := s.pass(r, reply, head, whole); err != nil {
		return &failure{ran: domain.DidRun, reason: domain.ReasonLost, detail: err.Error()}
	}
	s.end(r, "answered", "upstream", a.start.ID, "status", reply.Status)
	return nil
}

// events passes the events of an answer on as they come.
func (s *Server) events(ctx context.Context, r *request, a *attempt, reply *send.Response, e *events.Splitter, placed time.Time) *failure {
	reply.SetReadTimeout(r.left() + silenceSlack)
	p := s.pulse(r, a, reply)
	defer p.end()
	flush := http.NewResponseController(r.w)
	buffer := make([]byte, readAtOnce)
	var first, longest time.Duration
	var pace paced
	last := time.Now()
	for {
		n, err := reply.Read(buffer)
		if n > 0 && first > 0 {
			longest = max(longest, time.Since(last))
		}
		if n > 0 {
			p.beat()
		}
		last = time.Now()
		if n > 0 && first == 0 {
			first = time.Since(a.began)
			s.lines.For(r.service.Name).RecordFirstEvent(time.Since(placed))
		}
		if n > 0 {
			pace.add(s, r, buffer[:n])
		}
		fresh := buffer[:n]
		if r.route.Resumable {
			fresh = e.Add(fresh)
		}
		if len(fresh) > 0 {
			if !r.begun {
				s.header(r, reply)
				s.Log.Info("first event", "request", r.id, "upstream", a.start.ID, "took", time.Since(r.accepted))
			}
			if _, werr := r.w.Write(fresh); werr == nil {
				werr = flush.Flush()
				if werr != nil {
					return s.callerGone(r, a, werr)
				}
			} else {
				return s.callerGone(r, a, werr)
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return s.broke(ctx, r, a, err)
		}
		if len(e.Partial()) > 0 {
			return s.broke(ctx, r, a, errors.New("direct: the stream ends in the middle of an event"))
		}
		break
	}
	if !r.begun {
		s.header(r, reply) // a stream without events
	}
	s.done(r, a, first, 1, true)
	s.end(r, "answered", "upstream", a.start.ID, "status", reply.Status, "first", first, "longest_gap", longest, "last_event", e.LastEventID)
	return nil
}

// callerGone ends an attempt whose caller takes no more.
func (s *Server) callerGone(r *request, a *attempt, err error) *failure {
	return s.failed(r, a, &failure{ran: domain.DidRun, reason: domain.ReasonCallerGone, detail: err.Error()})
}
