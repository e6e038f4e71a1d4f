package direct

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"jacinthworks/conns"
	"jacinthworks/domain"
	"jacinthworks/paths"
	"jacinthworks/retry"
	"jacinthworks/roster"
	"jacinthworks/send"
)

// request is one accepted request until its end.
type request struct {
	ask      RequestInfo
	id       domain.RequestID
	accepted time.Time
	// first is when the caller asked for the first time, as far as known.
	first time.Time
	// account is who asks: the caller's address, where nothing else names one.
	account domain.Account
	// until is when it must have its end: the caller's or the route's limit.
	until   time.Time
	version paths.Version
	// client is the account whose key the caller showed; nil where callers need none.
	client *paths.Account
	// cost is what was taken of its quota.
	cost float64
	// over says that it goes over its account's quota: it takes only what others leave.
	over    bool
	route   *paths.Route
	service *paths.Service
	// identity is the same for each send of the same work.
	identity retry.Identity
	random   *rand.Rand

	method string
	target string
	host   string
	header http.Header
	body   []byte

	w http.ResponseWriter
	// begun says that the caller has been given part of an answer.
	begun bool
	// tries are its attempts, and what may follow each.
	tries retry.Attempts
	// asked counts the engines that were asked to hold room for it.
	asked int
	// prefills counts the calls that had its prompt read.
	prefills int
	// tried are upstreams that failed or refused it.
	tried map[roster.InstanceKey]bool
	// limitWait is the time until the rate limit of an upstream may allow the request.
	limitWait time.Duration
	ended     bool
}

// defaultWithin bounds a request whose caller and route say nothing.
const defaultWithin = 30 * time.Second

// failure is why a request has no answer, or not yet.
type failure struct {
	ran        domain.Execution
	reason     domain.Reason
	detail     string
	retryAfter time.Duration
	// unsent says that no byte of the attempt left this process.
	unsent bool
	// final says that no other attempt would find more.
	final bool
	// granted says that another attempt was taken from the budget already.
	granted bool
}

// serve takes one request from its header to its end.
func (s *Server) serve(w http.ResponseWriter, h *http.Request) {
	r := &request{accepted: time.Now(), w: conns.NewDeadlineWriter(w, s.Settings.Limits.WriteTimeout), random: random()}
	r.until = r.accepted.Add(defaultWithin)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	r.header = send.EndToEnd(h.Header)
	r.ask = s.Protocol.ParseRequest(r.header)
	if from, err := netip.ParseAddrPort(h.RemoteAddr); err == nil {
		r.account = domain.Account(from.Addr().String())
	}
	r.id, r.method, r.target, r.host = r.ask.ID, h.Method, h.RequestURI, h.Host
	if f := s.accept(r, h); f != nil {
		s.refuse(r, f)
		return
	}
	ctx, cancel := context.WithDeadline(h.Context(), r.until)
	defer cancel()
	var f *failure
	if r.route.Kind == paths.Stream {
		f = s.stream(ctx, r)
	} else {
		f = s.plain(ctx, r)
	}
	if f != nil {
		s.refuse(r, f)
	}
}

// accept matches a request to its route and reads its body.
func (s *Server) accept(r *request, h *http.Request) *failure {
	c := s.holder.Current()
	if c == nil {
		return &failure{ran: domain.NotRun, reason: domain.ReasonStale, detail: "no configuration is known yet", retryAfter: s.unready.Delay(r.accepted)}
	}
	r.version = c.Version
	if r.id == "" {
		return &failure{ran: domain.NotRun, reason: domain.ReasonBadInput, detail: "the request has no id"}
	}
	route, ok := c.Match(h.Host, h.URL.EscapedPath())
	if !ok {
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoService, detail: "no route matches host and path"}
	}
	r.route = route
	if f := s.identify(r, c); f != nil {
		return f
	}
	r.tries = retry.Attempts{Repeatable: route.Retryable(), Limit: route.Attempts}
	if f := r.read(h, c.Limits.MaxBody); f != nil {
		return f
	}
	name := route.Pick(r.random)
	r.service = c.Service(name)
	if r.service == nil {
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoUpstream, detail: "the route names a service that does not exist", retryAfter: time.Second}
	}
	r.first = r.accepted.Add(-s.ages.Estimate(route.Name, r.ask.Timeout))
	r.identity = retry.Identify("", name, []byte(r.method), []byte(r.target), r.body)
	r.limit()
	if s.crashes.Ledger.Suspicion(r.accepted, r.identity) == retry.Blocked {
		return &failure{ran: domain.NotRun, reason: domain.ReasonCrashes, detail: "upstreams died running it"}
	}
	if f := s.charge(h.Context(), r); f != nil {
		return f
	}
	s.budgets.window(name).Accepted(r.accepted, s.terms())
	s.Log.Info("accepted", "request", r.id, "route", route.Name, "service", name, "version", c.Version, "prompt", r.ask.PromptTokens, "tokens", r.tokens(), "left", r.left())
	return nil
}

// limit works out when the request must have its end.
func (r *request) limit() {
	if r.ask.Timeout > 0 {
		r.until = r.accepted.Add(r.ask.Timeout)
	}
	if t := r.route.Timeout; t > 0 && r.accepted.Add(t).Before(r.until) {
		r.until = r.accepted.Add(t)
	}
}

// read takes in the whole body: only what is held here can be sent again.
func (r *request) read(h *http.Request, most int64) *failure {
	if most <= 0 {
		most = defaultMaxBody
	}
	// The server's own writer: it closes the connection of a body that is too large.
	w := r.w
	if bounded, ok := w.(*conns.DeadlineWriter); ok {
		w = bounded.Unwrap()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, h.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &failure{ran: domain.NotRun, reason: domain.ReasonTooLarge, detail: "the body is over the limit"}
	case err != nil:
		return &failure{ran: domain.NotRun, reason: domain.ReasonCallerGone, detail: "the body broke off: " + err.Error()}
	}
	r.body = body
	return nil
}

// defaultMaxBody bounds a body, in bytes, where the configuration does not.
const defaultMaxBody = 4 << 20

// left is the time to the request's end.
func (r *request) left() time.Duration { return time.Until(r.until) }

// avoid keeps the next attempt from an upstream.
func (r *request) avoid(u *roster.Upstream) {
	if r.tried == nil {
		r.tried = make(map[roster.InstanceKey]bool)
	}
	r.tried[u.Server().Key()] = true
}
