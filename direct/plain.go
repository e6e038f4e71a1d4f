package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/roster"
	"jacinthworks/route"
	"jacinthworks/send"
)

const (
	// wholeAnswer is the longest answer, in bytes, that is read to its end
	// before any of it is passed on: until then another attempt can replace it.
	wholeAnswer = 256 << 10
	// tryPart is the part of the target that a request which can be repeated
	// leaves to its first attempt.
	tryPart = 0.55
	// tryLeast is the least time for an attempt: several times the usual work.
	tryLeast = 60 * time.Millisecond
)

// plain serves a request that is answered whole.
func (s *Server) plain(ctx context.Context, r *request) *failure {
	for {
		p := s.place(r, "", s.Settings.Zone, route.Request{Units: 1, FailureCost: r.failCost(), CrossZoneCost: farCall})
		if p.upstream == nil {
			s.logPlaced(r, "", p)
			return s.unplaced(r, "")
		}
		allowed, wait, ok := s.permit(ctx, r, p.upstream, s.limitWithin(r, p.upstream))
		if !ok {
			r.limited(p.upstream, wait)
			continue
		}
		s.logPlaced(r, "", p, allowed.log()...)
		a := &attempt{upstream: p.upstream, silence: r.patience(), permit: allowed}
		f := s.call(ctx, r, a)
		if f == nil {
			return nil
		}
		if r.begun || !f.granted && !s.again(ctx, r, f) {
			return f
		}
	}
}

// unplaced is the refusal where no upstream of a role is left to try.
func (s *Server) unplaced(r *request, role domain.Role) *failure {
	f := &failure{ran: r.tries.Ran(), reason: domain.ReasonNoRoom, final: true}
	wait, each, paused := s.pausedFor(r.service.Name, role)
	switch {
	case r.limitWait > 0 && (!paused || r.limitWait < wait):
		f.detail, f.retryAfter = "upstreams are at their rate limits", r.limitWait
		return f
	case paused:
		f.detail = "all upstreams have asked for a pause"
		f.retryAfter = s.lines.For(r.service.Name).Stagger.Delay(time.Now(), wait, each)
		return f
	}
	return &failure{ran: r.tries.Ran(), reason: domain.ReasonNoUpstream, detail: "no upstream is left to try", final: true}
}

// pausedFor gives the time until the first upstream of a role may be sent something again,
// how often this entry's part of all of them takes a request, and whether all that stay
// have asked for a pause.
func (s *Server) pausedFor(service domain.Service, role domain.Role) (wait, each time.Duration, all bool) {
	now := time.Now()
	rate := 0.0 // requests a second
	for _, u := range s.roster.Upstreams(service) {
		if u.Server().Role != role {
			continue
		}
		a := u.Eligibility(now)
		if a.Eligible() {
			return 0, 0, false
		}
		if a.Remaining <= 0 {
			continue // it leaves
		}
		if !all || a.Remaining < wait {
			wait, all = a.Remaining, true
		}
		o := u.Stats.Candidate(now)
		o.Slots = u.Server().Slots
		rate += o.EstimateRate()
	}
	if rate > 0 {
		each = time.Duration(float64(s.searching(now)) / rate * float64(time.Second))
	}
	return wait, each, all
}

// patience bounds an attempt's silence where another can follow; zero is no
// bound. One that hangs would take the whole time else.
func (r *request) patience() time.Duration {
	if !r.tries.CanRepeat() {
		return 0
	}
	return max(time.Duration(tryPart*float64(r.targetLatency())), tryLeast)
}

// call makes one attempt and passes its answer on.
func (s *Server) call(ctx context.Context, r *request, a *attempt) *failure {
	reply, f := s.try(ctx, r, a)
	if f != nil {
		return f
	}
	defer reply.Close()
	head, whole, err := readHead(reply)
	if err != nil {
		return s.broke(ctx, r, a, err)
	}
	good := reply.Status < http.StatusInternalServerError
	if !good {
		if f := s.replaces(ctx, r, a); f != nil {
			return f
		}
	}
	s.done(r, a, time.Since(a.began), 1, good)
	if err := s.pass(r, reply, head, whole); err != nil {
		if errors.Is(err, errCaller) {
			s.end(r, "caller_gone", "upstream", a.start.ID, "err", err)
			panic(http.ErrAbortHandler)
		}
		return &failure{ran: domain.DidRun, reason: domain.ReasonLost, detail: err.Error()}
	}
	s.end(r, "answered", "upstream", a.start.ID, "status", reply.Status)
	return nil
}

// replaces drops an answer that tells of a failure where another attempt is
// granted in its place; else it gives nil, and the answer is passed on.
func (s *Server) replaces(ctx context.Context, r *request, a *attempt) *failure {
	if !r.tries.CanRepeat() || ctx.Err() != nil || !s.has(r, "", a.start) {
		return nil
	}
	f := &failure{ran: domain.DidRun, reason: domain.ReasonUpstream, detail: "the upstream answered with a failure", granted: true}
	if !s.budgets.window(r.service.Name).Take(time.Now(), s.terms()) {
		return nil
	}
	a.upstream.Stats.RecordFailure(time.Now())
	return s.failed(r, a, f)
}

// has says whether another upstream is left that was not tried.
func (s *Server) has(r *request, role domain.Role, but roster.Start) bool {
	for _, u := range s.roster.Upstreams(r.service.Name) {
		m, now := u.Server(), time.Now()
		if m.Role == role && m.Key() != but.Key() && !r.tried[m.Key()] && u.Eligibility(now).Eligible() && u.Stats.RateLimitWait(now) == 0 {
			return true
		}
	}
	return false
}

// readHead reads an answer to its end, or as much of it as is read ahead.
func readHead(reply *send.Response) (head []byte, whole bool, err error) {
	var b bytes.Buffer
	n, err := io.CopyN(&b, reply, wholeAnswer)
	switch {
	case errors.Is(err, io.EOF):
		return b.Bytes(), true, nil
	case err != nil:
		return nil, false, err
	}
	return b.Bytes(), n < wholeAnswer, nil
}

// errCaller is behind errors of writing to the caller.
var errCaller = errors.New("direct: caller")

// pass gives an answer to the caller.
func (s *Server) pass(r *request, reply *send.Response, head []byte, whole bool) error {
	s.header(r, reply)
	if _, err := r.w.Write(head); err != nil {
		return errors.Join(errCaller, err)
	}
	if whole {
		return nil
	}
	to := &callerWriter{w: r.w}
	if _, err := io.Copy(to, reply); err != nil {
		if to.err != nil {
			return errors.Join(errCaller, to.err)
		}
		return err
	}
	return nil
}

// callerWriter remembers an error of the caller's side.
type callerWriter struct {
	w   io.Writer
	err error
}

// Write passes bytes on.
func (c *callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		c.err = err
	}
	return n, err
}

// header passes the status and the header of an answer on as they are. An
// absent Date or Content-Type stays absent.
func (s *Server) header(r *request, reply *send.Response) {
	to := r.w.Header()
	length := reply.Header.Get("Content-Length")
	for name, values := range send.EndToEnd(reply.Header) {
		to[name] = values
	}
	if length != "" {
		to.Set("Content-Length", length)
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := to[name]; !given {
			to[name] = nil
		}
	}
	r.begun = true
	r.w.WriteHeader(reply.Status)
}
