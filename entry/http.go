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

// Headers of the callers' API, and the maximum length of an idempotency key in bytes.
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
	m.HandleFunc("GET /ready", e.serveReady)
	m.HandleFunc("/", e.serve(readUnknownPath, nil))
	call := e.serve(readCall, e.serveCall)
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		// A ServeMux would redirect calls whose path has empty segments or dots.
		if strings.HasPrefix(h.RequestURI, servicesPrefix) {
			call(w, h)
			return
		}
		m.ServeHTTP(w, h)
	})
}

// servicesPrefix begins the paths of plain calls: the name of the service follows, and then the target
// at its upstream.
const servicesPrefix = "/services/"

// serveReady handles the readiness probe of the platform's balancer.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.draining.Load() || !e.tableFresh() || !e.startupComplete(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// startupTimeout is how long a starting entry stays not ready while some service lacks a
// usable side for a role, or has a shard of keys without an owner that grants claims. It
// covers several times the read of a record, a dial and a heartbeat. After it, requests
// for a service without sides are refused with that reason, and the entry serves the
// other services.
const startupTimeout = 5 * time.Second

// startupComplete reports whether every service has its sides and shard owners, or
// startupTimeout has passed. Once every service had them, it stays true.
func (e *Entry) startupComplete(now time.Time) bool {
	if e.startupDone.Load() || now.Sub(e.started) > startupTimeout {
		return true
	}
	for _, s := range e.services() {
		if !e.sides.HasEveryRole(s) || !e.owners.complete(s) {
			return false
		}
	}
	e.startupDone.Store(true)
	return true
}

// readFunc fills in a request from its HTTP form and returns what is invalid in it.
type readFunc func(r *request, h *http.Request, body []byte) check.Findings

// answerFunc runs an accepted request, writes its answer or refusal, and ends its trace.
type answerFunc func(ctx context.Context, r *request, w http.ResponseWriter)

// serve returns a handler that accepts a request and either refuses it or runs it with
// answer.
func (e *Entry) serve(read readFunc, answer answerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		r := &request{id: e.nextID(), acceptedAt: time.Now(), kind: defaultKind}
		w.Header().Set(headerID, string(r.id))
		f := e.read(r, w, h, read)
		e.recordAccepted(r)
		e.FaultHook.Reach(inject.EntryAccepted)
		if f == nil {
			f = e.checkAdmission(h.Context(), r)
		}
		if f != nil {
			e.writeRefusal(w, r, f)
			return
		}
		ctx, cancel := context.WithTimeout(h.Context(), e.timeLeft(r))
		defer cancel()
		ctx, release := e.stop.Bound(ctx, r.stopKind(), r.deadline(), &r.inProgress)
		defer release()
		answer(ctx, r, w)
	}
}

// read fills in the request from its HTTP form. It returns one failure with all findings.
func (e *Entry) read(r *request, w http.ResponseWriter, h *http.Request, read readFunc) *failure {
	account, known := e.accountOf(h)
	if !known {
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoToken, detail: "no caller's bearer token"}
	}
	r.account = account
	if k := h.Header.Get(headerKind); k != "" {
		r.kind = domain.Kind(k)
	}
	r.key = h.Header.Get(headerKey)
	bodyRead := e.endBodyWithStop(w)
	body, f := e.readBody(w, h)
	bodyRead()
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
	r.bodyHash = hashParts(h.Method, h.RequestURI, string(body))
	r.identity = retry.Identify(r.account, r.service, []byte(h.RequestURI), body)
	r.row, _ = e.lookupRow(r.service, r.kind)
	return nil
}

// findRow returns a failure if the table has no row for the request.
func (e *Entry) findRow(r *request) *failure {
	_, found := e.lookupRow(r.service, r.kind)
	switch {
	case found:
		return nil
	case e.servesService(r.service):
		return &failure{ran: domain.NotRun, reason: domain.ReasonNoKind, detail: "the table has no such kind for the service"}
	}
	return &failure{ran: domain.NotRun, reason: domain.ReasonNoService, detail: "the table has no such service"}
}

// checkAdmission returns a failure if this entry must not run the request now: it is
// stopping, its table is outdated, the table has no row for the request, or the caller is
// over its rate.
func (e *Entry) checkAdmission(ctx context.Context, r *request) *failure {
	if e.draining.Load() {
		return stopFailure("this entry is stopping")
	}
	// While this entry is cut off from the platform and the other entries, an edit may come
	// into force, and its rows may be outdated. Refusing new requests is sufficient: an edit
	// is accepted only once other entries have it.
	if !e.tableFresh() {
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

// accountOf returns the caller's account by the request's bearer token, and false if
// there is none.
func (e *Entry) accountOf(h *http.Request) (domain.Account, bool) {
	bearer, found := strings.CutPrefix(h.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", false
	}
	return e.accounts.find(bearer)
}

// serveModel runs a completion request and writes the completion, streamed or as one
// body.
func (e *Entry) serveModel(ctx context.Context, r *request, w http.ResponseWriter) {
	writer := newCompletionWriter(r, w, e.Settings.Limits.WriteTimeout)
	f := e.runModel(ctx, r, writer)
	if f == nil {
		e.FaultHook.Reach(inject.EntryRan)
		f = writer.finish()
	}
	if f == nil {
		e.FaultHook.Reach(inject.EntryAnswered)
		e.recordAnswered(r)
		return
	}
	if writer.hasBegun() {
		writer.writeError(e.recordRefusal(r, f))
		return
	}
	e.writeRefusal(w, r, f)
}

// serveCall runs a plain call and writes its response.
func (e *Entry) serveCall(ctx context.Context, r *request, w http.ResponseWriter) {
	if f := e.runCall(ctx, r); f != nil {
		e.writeRefusal(w, r, f)
		return
	}
	e.FaultHook.Reach(inject.EntryRan)
	for name, values := range r.response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(headerID, string(r.id))
	setWriteDeadline(w, e.Settings.Limits.WriteTimeout)
	w.WriteHeader(r.response.Status)
	if _, err := w.Write(r.response.Body); err != nil {
		e.recordEvent(r, trace.Event{Kind: trace.CallerGone, Detail: err.Error()})
	}
	e.FaultHook.Reach(inject.EntryAnswered)
	e.recordAnswered(r)
}
