package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"jacinthworks/check"
	"jacinthworks/domain"
	"jacinthworks/inject"
	"jacinthworks/retry"
	"jacinthworks/trace"
)

// The headers of the callers' interface.
const (
	headerKind  = "Request-Kind"
	headerKey   = "Idempotency-Key"
	headerID    = "Request-Id"
	maxKeyBytes = 256
)

// defaultKind is the kind of a request without a Request-Kind header.
const defaultKind domain.Kind = "*"

// callersHandler serves callers.
func (e *Entry) callersHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.serve(readCompletion, e.serveModel))
	m.HandleFunc("POST /v1/chat/completions", e.serve(readChat, e.serveModel))
	m.HandleFunc("/services/{service}/{path...}", e.serve(readCall, e.serveCall))
	m.HandleFunc("GET /ready", e.serveReady)
	m.HandleFunc("/", e.serve(readNothing, nil))
	return m
}

// serveReady answers the platform's balancer.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.draining.Load() || !e.inTouch(time.Now()) || !e.settled(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// settleWithin is how long a fresh entry stays unready while some service has
// no side that may be given work, or keys that nobody grants: time for a record
// to be read, a dial and a heartbeat, several times over. Later a service
// without sides is refused by name, and the entry goes on serving the others.
const settleWithin = 5 * time.Second

// settled says whether a fresh entry has met its sides.
func (e *Entry) settled(now time.Time) bool {
	if e.met.Load() || now.Sub(e.started) > settleWithin {
		return true
	}
	for _, s := range e.services() {
		if !e.sides.HasEveryRole(s) || !e.owners.served(s) {
			return false
		}
	}
	e.met.Store(true)
	return true
}

// reader fills a request in from its HTTP form.
type reader func(r *request, h *http.Request, body []byte) check.Findings

// server answers a request that was accepted. It ends its story.
type server func(ctx context.Context, r *request, w http.ResponseWriter)

// serve accepts a request and either refuses it or has it answered.
func (e *Entry) serve(read reader, answer server) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		r := &request{id: e.nextID(), accepted: time.Now(), kind: defaultKind}
		w.Header().Set(headerID, string(r.id))
		f := e.read(r, w, h, read)
		e.accept(r)
		e.FaultHook.Reach(inject.EntryAccepted)
		if f == nil {
			f = e.mayAccept(h.Context(), r)
		}
		if f != nil {
			e.refuse(w, r, f)
			return
		}
		ctx, cancel := context.WithTimeout(h.Context(), e.timeLeft(r))
		defer cancel()
		answer(ctx, r, w)
	}
}

// read fills the request in; every finding is reported together.
func (e *Entry) read(r *request, w http.ResponseWriter, h *http.Request, read reader) *failure {
	account, known := e.accountOf(h)
	if !known {
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoToken, detail: "no caller's bearer token"}
	}
	r.account = account
	if k := h.Header.Get(headerKind); k != "" {
		r.kind = domain.Kind(k)
	}
	r.key = h.Header.Get(headerKey)
	body, f := e.readBody(w, h)
	if f != nil {
		return f
	}
	found := read(r, h, body)
	if len(r.key) > maxKeyBytes {
		found.Add("header "+headerKey, "is longer than %d bytes", maxKeyBytes)
	}
	if len(found) > 0 {
		return &failure{ran: domain.NotRun, reason: domain.ReasonBadInput, detail: "the request cannot be read", findings: found}
	}
	r.body = hashOf(h.Method, h.URL.RequestURI(), string(body))
	r.identity = retry.Identify(r.account, r.service, []byte(h.URL.RequestURI()), body)
	r.row, _ = e.lookup(r.service, r.kind)
	return nil
}

// findRow refuses a request that the table has no row for.
func (e *Entry) findRow(r *request) *failure {
	_, known := e.lookup(r.service, r.kind)
	switch {
	case known:
		return nil
	case e.servesService(r.service):
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoKind, detail: "the table has no such kind for the service"}
	}
	return &failure{ran: domain.NotRun, reason: domain.ReasonNoService, detail: "the table has no such service"}
}

// mayAccept refuses what this entry must not take now.
func (e *Entry) mayAccept(ctx context.Context, r *request) *failure {
	if e.draining.Load() {
		return &failure{ran: domain.NotRun, reason: domain.ReasonDraining, detail: "this entry is stopping", retryAfter: time.Second}
	}
	// The failure: an edit came into force while this entry heard nobody. It
	// shows as work under rows that no longer hold. Taking nothing new holds,
	// since an edit is accepted no sooner than others have it.
	if !e.inTouch(time.Now()) {
		return &failure{ran: domain.NotRun, reason: domain.ReasonStale, detail: "this entry hears neither the platform nor another entry", retryAfter: time.Second}
	}
	if f := e.findRow(r); f != nil {
		return f
	}
	if wait, ok := e.takeRate(ctx, r); !ok {
		return &failure{ran: domain.NotRun, reason: domain.ReasonCallerShare, detail: "the caller is over its rate for this kind", retryAfter: wait}
	}
	return nil
}

// accountOf finds the caller by bearer token.
func (e *Entry) accountOf(h *http.Request) (domain.Account, bool) {
	given, found := strings.CutPrefix(h.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", false
	}
	return e.accounts.find(given)
}

// serveModel answers a completion, streamed or whole.
func (e *Entry) serveModel(ctx context.Context, r *request, w http.ResponseWriter) {
	to := newAnswer(r, w, e.Settings.Limits.WriteTimeout)
	f := e.model(ctx, r, to)
	if f == nil {
		e.FaultHook.Reach(inject.EntryRan)
		f = to.finish()
	}
	if f == nil {
		e.FaultHook.Reach(inject.EntryAnswered)
		e.answered(r)
		return
	}
	if to.begun() {
		to.breakOff(e.refusal(r, f))
		return
	}
	e.refuse(w, r, f)
}

// serveCall answers a plain call.
func (e *Entry) serveCall(ctx context.Context, r *request, w http.ResponseWriter) {
	if f := e.plain(ctx, r); f != nil {
		e.refuse(w, r, f)
		return
	}
	e.FaultHook.Reach(inject.EntryRan)
	for name, values := range r.answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(headerID, string(r.id))
	deadline(w, e.Settings.Limits.WriteTimeout)
	w.WriteHeader(r.answer.Status)
	if _, err := w.Write(r.answer.Body); err != nil {
		e.tell(r, trace.Event{Kind: trace.CallerGone, Detail: err.Error()})
	}
	e.FaultHook.Reach(inject.EntryAnswered)
	e.answered(r)
}
