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
	// headerTimeoutPart is the part of the target latency after which a stream that can be
	// resumed elsewhere gives up an upstream that has not sent a header.
	headerTimeoutPart = 0.7
	// stallProbeGaps is the time without data after which an upstream is probed, in
	// multiples of the route's longest gap between two events: a batch that prefills pauses
	// the answers for one or two.
	stallProbeGaps = 3
	// defaultTargetGap is the longest gap between two events for routes that state none.
	defaultTargetGap = 300 * time.Millisecond
	// streamReadSize is the size of the read buffer of a stream, in bytes.
	streamReadSize = 16 << 10
)

// serveStream serves a request whose answer is passed on event by event.
func (s *Server) serveStream(ctx context.Context, r *request) *failure {
	e := &events.Splitter{LastEventID: r.info.LastEvent}
	for {
		f := s.streamOnce(ctx, r, e)
		if f == nil {
			return nil
		}
		if !f.retryGranted && !s.mayRetry(ctx, r, f) {
			s.endResumed(r, f)
			return f
		}
		e.DiscardPartial()
	}
}

// streamOnce makes one attempt at the rest of a stream.
func (s *Server) streamOnce(ctx context.Context, r *request, e *events.Splitter) *failure {
	s.awaitResumed(r)
	a, f := s.prepareAttempt(ctx, r)
	if f != nil {
		return f
	}
	s.settleResumed(r)
	a.headerTimeout, a.info.LastEvent = s.streamHeaderTimeout(r), e.LastEventID
	reply, f := s.sendAttempt(ctx, r, a)
	if f != nil {
		s.freeHandle(r, a.prefilled)
		return f
	}
	defer reply.Close()
	if reply.Status != http.StatusOK || r.responseBegun && !reply.EventStream {
		return s.passNonStream(ctx, r, a, reply)
	}
	return s.passEvents(ctx, r, a, reply, e)
}

// streamHeaderTimeout bounds the wait for the header of a stream if another attempt can
// follow; zero is no bound.
func (s *Server) streamHeaderTimeout(r *request) time.Duration {
	if !s.canFollow(r) {
		return 0
	}
	return time.Duration(headerTimeoutPart * float64(r.targetLatency()))
}

// probeInterval is the time without data after which the upstream of a stream is probed, if
// the stream can be resumed elsewhere; zero is never.
func (r *request) probeInterval() time.Duration {
	if !r.attempts.CanRepeat() {
		return 0
	}
	gap := r.route.TargetGap
	if gap <= 0 {
		gap = defaultTargetGap
	}
	return stallProbeGaps * gap
}

// stallProbe dials the upstream of a stream on which no data arrives.
//
// An engine that runs out of memory suspends a request for seconds and then continues. If
// it were taken for crashed, its stream would be cut, and with no memory elsewhere for the
// rest the caller would get an answer that ends in the middle. A crashed engine accepts no
// connection, so the dial tells the two apart. It does not detect a connection that fails
// without a reset while the engine is alive; such a stream ends when the caller gives up.
type stallProbe struct {
	interval time.Duration
	timer    *time.Timer
	stopped  atomic.Bool
}

func (s *Server) startStallProbe(r *request, a *attempt, reply *send.Response) *stallProbe {
	p := &stallProbe{interval: r.probeInterval()}
	if p.interval <= 0 {
		return p
	}
	addr := a.upstream.Server().Addr
	p.timer = time.AfterFunc(p.interval, func() {
		err := dialUpstream(s.backgroundCtx, addr)
		switch {
		case p.stopped.Load():
		case err != nil:
			s.Log.Info("stalled upstream is unreachable", "request", r.id, "upstream", a.start.ID, "silent", p.interval, "err", err)
			reply.FailTimedOut()
		default:
			p.timer.Reset(p.interval)
		}
	})
	return p
}

// reset restarts the interval after data came.
func (p *stallProbe) reset() {
	if p.timer != nil {
		p.timer.Reset(p.interval)
	}
}

// stop ends the probing.
func (p *stallProbe) stop() {
	p.stopped.Store(true)
	if p.timer != nil {
		p.timer.Stop()
	}
}

// passNonStream passes on a response that is no stream. It can't be the rest of one.
func (s *Server) passNonStream(ctx context.Context, r *request, a *attempt, reply *send.Response) *failure {
	head, complete, err := s.bufferResponse(r, reply)
	if err != nil {
		return s.failSend(ctx, r, a, err)
	}
	took := time.Since(a.startedAt)
	if r.responseBegun {
		s.finishAnswered(r, a, took, 1, reply.Status < http.StatusInternalServerError)
		r.attempts.Ended(domain.DidRun)
		return &failure{ran: domain.DidRun, reason: domain.ReasonUpstream, detail: "the upstream failed the rest of the stream"}
	}
	return s.passBuffered(ctx, r, a, bufferedResponse{Response: reply, head: head, complete: complete}, took)
}

// passEvents passes the events of an answer on as they come.
func (s *Server) passEvents(ctx context.Context, r *request, a *attempt, reply *send.Response, e *events.Splitter) *failure {
	reply.SetReadTimeout(r.timeLeft() + readTimeoutMargin)
	p := s.startStallProbe(r, a, reply)
	defer p.stop()
	flush := http.NewResponseController(r.w)
	buffer := make([]byte, streamReadSize)
	var firstAfter, longestGap time.Duration
	var pace eventPace
	var progress answerProgress
	lastRead := time.Now()
	held := 0 // bytes of an event that has not ended, beyond what each request holds
	for {
		n, err := reply.Read(buffer)
		if n > 0 && firstAfter > 0 {
			longestGap = max(longestGap, time.Since(lastRead))
		}
		if n > 0 {
			p.reset()
		}
		lastRead = time.Now()
		if n > 0 && firstAfter == 0 {
			// Before the splitter has the events: the next attempt must not continue after them.
			if f := s.confirmInstance(ctx, r, a, reply); f != nil {
				return f
			}
			firstAfter, a.gotEvents = time.Since(a.startedAt), true
			if !a.allocatedAt.IsZero() {
				s.queues.For(r.service.Name).RecordFirstEvent(time.Since(a.allocatedAt))
			}
		}
		if n > 0 {
			pace.add(s, r, a, buffer[:n])
			progress.add(s, r, a)
		}
		unsent := buffer[:n]
		if r.route.Resumable && reply.EventStream {
			unsent = e.Add(unsent)
			if !s.holdEvent(r, &held, len(e.Partial())) {
				err = reply.Exceed(send.EventBound)
			}
		}
		if len(unsent) > 0 {
			if !r.responseBegun {
				r.software = &a.software
				s.recordOrigin(ctx, r, a)
				s.writeHeader(r, reply)
				s.Log.Info("first event", "request", r.id, "upstream", a.start.ID, "took", time.Since(r.accepted), "framing", reply.Framing,
					"software", a.software)
			}
			if _, writeErr := r.w.Write(unsent); writeErr == nil {
				writeErr = flush.Flush()
				if writeErr != nil {
					return s.failCallerGone(r, a, writeErr)
				}
			} else {
				return s.failCallerGone(r, a, writeErr)
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return s.failSend(ctx, r, a, err)
		}
		break
	}
	if !r.responseBegun {
		s.writeHeader(r, reply) // a stream without events
	}
	s.finishAnswered(r, a, firstAfter, 1, true)
	s.finish(r, "answered", append([]any{"upstream", a.start.ID, "status", reply.Status, "first", firstAfter, "longest_gap", longestGap, "last_event", e.LastEventID, "software", a.software},
		s.recordEnd(r, a, endWhole)...)...)
	return nil
}

// failCallerGone ends an attempt whose caller can't be written to.
func (s *Server) failCallerGone(r *request, a *attempt, err error) *failure {
	return s.finishFailed(r, a, &failure{ran: domain.DidRun, reason: domain.ReasonCallerGone, detail: err.Error()})
}

// holdEvent reserves memory for an event that has not ended, of which so many bytes have come. It
// returns false if the event is too long or there is no memory for it.
func (s *Server) holdEvent(r *request, held *int, bytes int) bool {
	for *held+bodyStep < bytes {
		if !s.holdMemory(r, growthFactor*bodyStep) {
			return false
		}
		*held += bodyStep
	}
	return bytes <= send.MaxEventBytes
}
