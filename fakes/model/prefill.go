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
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	if o.PromptTokens <= 0 {
		http.Error(w, "prompt_tokens is not positive", http.StatusBadRequest)
		return
	}
	m := e.currentState()
	ctx, run, problem := e.startRun(m, Run{
		Request: o.Request, Attempt: o.Attempt, Role: domain.RolePrefill, ReservedTokens: o.PromptTokens,
	})
	if problem != "" {
		writeNotStarted(w, problem)
		return
	}
	if err := e.fillCache(ctx, m, run, o); err != nil {
		e.finishRun(m, run, OutcomeCancelled)
		writeCancelled(w, err)
		return
	}
	kv, ok := e.storeKV(m, run, o)
	if !ok || e.consumeLostAnswer() {
		serve.AbortConn()
	}
	kv.Engine = localAddr(r)
	serve.WriteJSON(w, http.StatusOK, kv)
}

// fillCache waits for its turn and prefills the part of the prompt that is not cached.
func (e *Engine) fillCache(ctx context.Context, m *volatileState, run *Run, o engine.PrefillRequest) error {
	if err := m.prefillQueue.acquire(ctx, o.Priority); err != nil {
		return err
	}
	defer m.prefillQueue.release()
	tokens := o.PromptTokens - e.cachedTokens(m, o)
	duration := time.Duration(tokens) * time.Second / time.Duration(e.PrefillRate)
	if strings.Contains(o.Prompt, CrashInPrefill) {
		if err := e.simulateWork(ctx, duration/2); err != nil {
			return err
		}
		e.Crash()
		return errCrashed
	}
	err := e.simulateWork(ctx, duration)
	if err == nil {
		e.addTokens(run, tokens)
		e.cachePrompt(m, o)
	}
	return err
}

// consumeLostAnswer reports whether the answer must be lost, and decrements
// Fault.LoseAnswers if so.
func (e *Engine) consumeLostAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.LoseAnswers == 0 {
		return false
	}
	e.fault.LoseAnswers--
	return true
}

func writeNotStarted(w http.ResponseWriter, detail string) {
	serve.WriteJSON(w, http.StatusServiceUnavailable, engine.Problem{Code: engine.CodeNotStarted, Detail: detail})
}

// writeCancelled answers the request of a cancelled run, and closes its connection if the
// engine crashed.
func writeCancelled(w http.ResponseWriter, err error) {
	if errors.Is(err, errCrashed) {
		serve.AbortConn()
	}
	serve.WriteJSON(w, http.StatusConflict, engine.Problem{Code: "cancelled", Detail: err.Error()})
}

// localAddr returns the address at which the request was received, zero if the handler
// is called without a network.
func localAddr(r *http.Request) netip.AddrPort {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}
