package model

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

func (e *Engine) prefill(w http.ResponseWriter, r *http.Request) {
	var o engine.PrefillRequest
	if !serve.Read(w, r, &o) {
		return
	}
	if o.PromptTokens <= 0 {
		http.Error(w, "prompt_tokens is not positive", http.StatusBadRequest)
		return
	}
	m := e.now()
	ctx, run, problem := e.begin(m, Run{
		Request: o.Request, Attempt: o.Attempt, Work: domain.RolePrefill, ReservedTokens: o.PromptTokens,
	})
	if problem != "" {
		notTaken(w, problem)
		return
	}
	if err := e.fillCache(ctx, m, run, o); err != nil {
		e.finish(m, run, Cancelled)
		stopped(w, err)
		return
	}
	kv, ok := e.keep(m, run, o)
	if !ok || e.losesAnswer() {
		serve.AbortConn()
	}
	kv.Engine = localAddr(r)
	serve.Write(w, http.StatusOK, kv)
}

// fillCache computes what no cached prefix covers.
func (e *Engine) fillCache(ctx context.Context, m *memory, run *Run, o engine.PrefillRequest) error {
	if err := m.lane.take(ctx, o.Priority); err != nil {
		return err
	}
	defer m.lane.free()
	tokens := o.PromptTokens - e.cached(m, o)
	took := time.Duration(tokens) * time.Second / time.Duration(e.PrefillRate)
	if strings.Contains(o.Prompt, CrashInPrefill) {
		if err := e.pace(ctx, took/2); err != nil {
			return err
		}
		e.Crash()
		return errCrashed
	}
	err := e.pace(ctx, took)
	if err == nil {
		e.computed(run, tokens)
		e.remember(m, o)
	}
	return err
}

func (e *Engine) losesAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.LoseAnswers == 0 {
		return false
	}
	e.fault.LoseAnswers--
	return true
}

func notTaken(w http.ResponseWriter, detail string) {
	serve.Write(w, http.StatusServiceUnavailable, engine.Problem{Code: engine.CodeNotStarted, Detail: detail})
}

// stopped answers a run that was cancelled, and drops one that crashed.
func stopped(w http.ResponseWriter, err error) {
	if errors.Is(err, errCrashed) {
		serve.AbortConn()
	}
	serve.Write(w, http.StatusConflict, engine.Problem{Code: "cancelled", Detail: err.Error()})
}

// localAddr gives the address that the request came to; it is zero where the
// handler is called without a network.
func localAddr(r *http.Request) netip.AddrPort {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}
