package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"jacinthworks/clock"
	"jacinthworks/conns"
	"jacinthworks/domain"
	"jacinthworks/memory"
	"jacinthworks/meter"
	"jacinthworks/paths"
	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/send"
	"jacinthworks/shares"
)

// request is one accepted request until its end.
type request struct {
	info     RequestInfo
	id       domain.RequestID
	accepted time.Time
	// received is when the request came, by clock.Boottime.
	received time.Time
	// firstSent is when the caller first sent the request, as far as known.
	firstSent time.Time
	// account is the caller's account, or the caller's address if it has none.
	account domain.Account
	// deadline is when the request must have ended, by the limit of the caller or of the
	// route.
	deadline time.Time
	version  paths.Version
	// client is the account of the caller's API key; nil if callers need none.
	client *paths.Account
	// cost is what was charged to the account's quota, in the unit of the quota.
	cost float64
	// overQuota means that the request goes over its account's quota, and may use only
	// capacity that no other request takes.
	overQuota bool
	route     *paths.Route
	service   *paths.Service
	// work identifies what is asked for; it is the same for each send of the same request.
	work retry.Work
	// isRecheck means that the request runs although a part of its prompt is blocked.
	isRecheck bool
	random    *rand.Rand

	method string
	target string
	host   string
	header http.Header
	body   []byte
	// hold is the memory that is reserved for the request.
	hold memory.Hold[domain.Account]
	// bodyRead means that the body was read to its end.
	bodyRead bool

	w http.ResponseWriter
	// supportsChunks means that the caller's version of HTTP has chunks.
	supportsChunks bool
	// responseBegun means that part of a response was written to the caller.
	responseBegun bool
	// attempts counts the attempts, and decides what may follow each.
	attempts retry.Attempts
	// retry is the retry that is granted to the next attempt; empty for the first one.
	retry retry.Grant
	// enginesAsked counts the engines that were asked for memory.
	enginesAsked int
	// prefills counts the calls that prefill the request's prompt.
	prefills int
	// prefilled means that an engine has read the prompt.
	prefilled bool
	// software is the software version to which the answer is bound; nil if it may come from any.
	software *domain.Software
	// excluded are the upstreams that later attempts must not use: those that failed or
	// refused the request, or were at their rate limit.
	excluded map[roster.InstanceKey]bool
	// passedUntil are the upstreams that attempts must not use before a time, as their free room is kept for streams that
	// have begun.
	passedUntil map[roster.InstanceKey]time.Time
	// limitWait is the time until the rate limit of an upstream may allow the request.
	limitWait time.Duration
	// crashChecks are the checks of whether failed attempts were crashes; each is closed when it
	// is over.
	crashChecks []<-chan struct{}
	// share counts the request in the shares of its service; nil if they are off.
	share *shares.Item
	// inProgress means that an attempt was passed on and has not ended, and passedOn is when the last one was.
	inProgress atomic.Bool
	passedOn   time.Time
	// finished means that the end of the request was logged and counted.
	finished bool
}

// partCost is what a part of a prompt holds, in bytes: its name, and what it is tracked under.
const partCost = 256

// defaultTimeout bounds a request if neither caller nor route states a limit.
const defaultTimeout = 30 * time.Second

// failure is why a request or an attempt has no response.
type failure struct {
	ran        domain.Execution
	reason     domain.Reason
	detail     string
	retryAfter time.Duration
	// retryPlanned means that retryAfter is the time at which capacity is expected for the
	// caller, which is not raised to minRetryAfter.
	retryPlanned bool
	// unsent means that no byte of the attempt left this process.
	unsent bool
	// final means that another attempt would not succeed either.
	final bool
	// permanent means that no later request would succeed either, so that the caller is not told when to
	// return.
	permanent bool
	// retryGranted means that another attempt needs no charge to the retry budget.
	retryGranted bool
}

// serve handles one request from its header to its end.
func (s *Server) serve(w http.ResponseWriter, h *http.Request) {
	r := &request{accepted: time.Now(), received: clock.Boottime(), w: conns.NewDeadlineWriter(w, s.Settings.Limits.WriteTimeout), random: newRandom()}
	r.deadline = r.accepted.Add(defaultTimeout)
	defer s.releaseMemory(r)
	defer func() { s.endPanicked(r, recover()) }()
	r.header = send.EndToEnd(h.Header)
	r.info = s.Protocol.ParseRequest(r.header)
	if from, err := netip.ParseAddrPort(h.RemoteAddr); err == nil {
		r.account = domain.Account(from.Addr().String())
	}
	r.supportsChunks = h.ProtoAtLeast(1, 1)
	r.id, r.method, r.target, r.host = r.info.ID, h.Method, h.RequestURI, h.Host
	if f := s.accept(r, h); f != nil {
		s.refuse(r, f)
		return
	}
	if !s.openRequest() {
		s.refuse(r, s.memoryFailure("connection to an upstream"))
		return
	}
	defer s.closeRequest()
	ctx, cancel := context.WithDeadline(h.Context(), r.deadline)
	defer cancel()
	ctx, release := s.stop.Bound(ctx, r.route.Name, r.deadline, &r.inProgress)
	defer release()
	s.countArrived(r)
	var f *failure
	defer func() { s.countEnded(r, f) }()
	defer s.dropRetry(r)
	if r.route.Kind == paths.Stream {
		f = s.serveStream(ctx, r)
	} else {
		f = s.servePlain(ctx, r)
	}
	if f != nil {
		s.refuse(r, f)
	}
}

// accept matches a request to its route, reads its body, and charges its account's quota.
func (s *Server) accept(r *request, h *http.Request) *failure {
	c := s.config.Current()
	if c == nil {
		return &failure{ran: domain.NotRun, reason: domain.ReasonStale, detail: "no configuration is known yet", retryAfter: s.configRetryAfter.Delay(r.accepted)}
	}
	r.version = c.Version
	if r.id == "" {
		return &failure{ran: domain.NotRun, reason: domain.ReasonBadInput, detail: "the request has no id"}
	}
	if !strings.HasPrefix(r.target, "/") {
		return &failure{ran: domain.NotRun, reason: domain.ReasonBadInput, detail: "the target of the request is not a path"}
	}
	path, _, _ := strings.Cut(r.target, "?")
	route, ok := c.Match(h.Host, path)
	if !ok {
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoService, detail: "no route matches host and path"}
	}
	r.route = route
	if f := s.identify(r, c); f != nil {
		return f
	}
	r.attempts = retry.Attempts{Repeatable: route.Retryable(), Limit: route.Attempts}
	if !s.holdMemory(r, memory.RequestCost+partCost*int64(len(r.info.PromptParts))) {
		return s.memoryFailure("request")
	}
	r.setDeadline()
	if f := s.readBody(r, h, c.Limits.MaxBody); f != nil {
		return f
	}
	r.bodyRead = true
	s.awaitLedger(h.Context(), r)
	name := route.Pick(r.random)
	if r.route.Kind == paths.Stream && r.isResumption() {
		var f *failure
		if name, f = s.bindToOrigin(h.Context(), r, name); f != nil {
			return f
		}
	}
	r.service = c.Service(name)
	if r.service == nil {
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the route names a service that does not exist", retryAfter: time.Second}
	}
	r.firstSent = r.accepted.Add(-s.ages.Estimate(route.Name, r.info.Timeout))
	r.work = retry.Work{Identity: retry.Identify("", name, []byte(r.method), []byte(r.target), r.body), Parts: retry.PartsOf(name, r.info.PromptParts)}
	s.logSuspicion(r)
	if f := s.refuseCrashing(r); f != nil {
		return f
	}
	if f := s.charge(h.Context(), r); f != nil {
		return f
	}
	s.retryBudget(name).window.RequestAccepted(clock.Boottime(), s.retryTerms(name))
	s.Log.Info("accepted", "request", r.id, "route", route.Name, "service", name, "version", c.Version, "prompt", r.info.PromptTokens, "tokens", r.expectedTokens(), "left", r.timeLeft(),
		"parts", r.info.PromptParts, "resumes", r.info.Resumes, "last_event", r.info.LastEvent)
	return nil
}

// setDeadline determines when the request must have ended.
func (r *request) setDeadline() {
	if r.info.Timeout > 0 {
		r.deadline = r.accepted.Add(r.info.Timeout)
	}
	if t := r.route.Timeout; t > 0 && r.accepted.Add(t).Before(r.deadline) {
		r.deadline = r.accepted.Add(t)
	}
}

// readBody reads the whole body: only a request that is held in memory can be sent again.
func (s *Server) readBody(r *request, h *http.Request, limit int64) *failure {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	// http.MaxBytesReader needs the server's own writer, to close the connection of a body
	// that is too large.
	w := r.w
	if bounded, ok := w.(*conns.DeadlineWriter); ok {
		w = bounded.Unwrap()
	}
	body, err := s.readInTime(r, http.MaxBytesReader(w, h.Body, limit), knownLength(h.ContentLength, limit))
	var large *http.MaxBytesError
	switch {
	case r.hold.Revoked():
		return s.memoryFailure("body that arrives slowly")
	case errors.Is(err, os.ErrDeadlineExceeded) && s.isBodyTooLate(r):
		return s.stopFailure()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &failure{ran: domain.NotRun, reason: domain.ReasonSlowCaller, detail: "the body did not arrive in time"}
	case errors.As(err, &large):
		return &failure{ran: domain.NotRun, reason: domain.ReasonTooLarge, detail: "the body is over the limit"}
	case errors.Is(err, errNoMemory):
		return s.memoryFailure("body")
	case errors.Is(err, errNeverFits):
		s.Meter.Inc(memoryRefusedTotal, meter.Labels{"what", "body"})
		return &failure{ran: domain.NotRun, reason: domain.ReasonTooLarge, detail: "the body does not fit into the memory of the process"}
	case err != nil:
		return &failure{ran: domain.NotRun, reason: domain.ReasonCallerGone, detail: "the body broke off: " + err.Error()}
	}
	r.body = body
	return nil
}

var (
	// errNoMemory is the error of a body for which there is no memory now, and errNeverFits that of one that
	// would not fit if nothing else were held: its caller must not be told to come back.
	errNoMemory  = errors.New("direct: no memory is left for the body")
	errNeverFits = errors.New("direct: body does not fit into the memory")
)

// holdBody reserves memory for a body, or for a part of one.
func (s *Server) holdBody(r *request, bytes int64) error {
	switch {
	case s.holdMemory(r, bytes):
		return nil
	case !s.memory.Fits(r.hold.Bytes() + bytes):
		return errNeverFits
	}
	return errNoMemory
}

// readInTime reads a body with readReserved, until the request must have ended. Meanwhile the request gives way to
// others if it arrives slowly and memory is short.
func (s *Server) readInTime(r *request, from io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	control := http.NewResponseController(r.w)
	until := r.deadline
	if t := r.accepted.Add(s.Settings.Limits.ReadTimeout); t.Before(until) {
		until = t
	}
	_ = control.SetReadDeadline(until) // only a recorder in a test has none
	hastened := make(chan struct{})
	endBegun := s.stop.AfterBegin(func() {
		defer close(hastened)
		if last, stops := s.bodyDeadline(r); stops && last.Before(until) {
			_ = control.SetReadDeadline(last) // a connection that fails here has ended
		}
	})
	d := &memory.Reader{Revoke: func() {
		r.hold.Revoke()
		_ = control.SetReadDeadline(time.Unix(1, 0)) // a connection that fails here has ended
	}}
	s.readers.Begin(time.Now(), d)
	body, err := s.readReserved(r, &countingReader{from, d}, length)
	s.readers.End(d)
	if !endBegun() {
		<-hastened
	}
	if err == nil && !r.hold.Revoked() {
		_ = control.SetReadDeadline(time.Time{}) // the deadline must not end the request while it is served
	}
	return body, err
}

// countingReader counts what it reads as received.
type countingReader struct {
	io.Reader
	reader *memory.Reader
}

// Read reads.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.reader.Received(n)
	return n, err
}

// knownLength is the length of a body that will be read whole; -1 if it is unknown or over the limit.
func knownLength(length, limit int64) int64 {
	if length > limit {
		return -1
	}
	return length
}

// readReserved reads all that a reader has, after reserving memory for it: at once if the length is known, and
// in steps if it is negative.
func (s *Server) readReserved(r *request, from io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		if length > 0 {
			if err := s.holdBody(r, length); err != nil {
				return nil, err
			}
		}
		b := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
		_, err := b.ReadFrom(from)
		return b.Bytes(), err
	}
	var b bytes.Buffer
	for {
		if err := s.holdBody(r, growthFactor*bodyStep); err != nil {
			return nil, err
		}
		switch _, err := io.CopyN(&b, from, bodyStep); {
		case errors.Is(err, io.EOF):
			return b.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}

// defaultMaxBody bounds a body, in bytes, if the configuration does not.
const defaultMaxBody = 4 << 20

// mayUse reports whether an attempt may use an upstream at which the request is bound to a software
// version; nil is any.
func (r *request) mayUse(m roster.Server, software *domain.Software) bool {
	return !r.excluded[m.Key()] && (software == nil || m.Software == *software)
}

// begun reports whether the caller has the beginning of the answer, from this or from an earlier request.
func (r *request) begun() bool { return r.responseBegun || r.software != nil }

// timeLeft is the time to the request's deadline.
func (r *request) timeLeft() time.Duration { return time.Until(r.deadline) }

// exclude keeps later attempts away from an upstream.
func (r *request) exclude(u *roster.Upstream) {
	if r.excluded == nil {
		r.excluded = make(map[roster.InstanceKey]bool)
	}
	r.excluded[u.Server().Key()] = true
}
