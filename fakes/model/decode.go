package model

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

const (
	// crashOffset is the offset of the token before which a decode of a prompt
	// with CrashInDecode crashes.
	crashOffset = 2
	// writeTimeout is how long the engine waits for a caller that does not read.
	// After that it decodes without sending.
	writeTimeout = 200 * time.Millisecond
)

func (e *Engine) decode(w http.ResponseWriter, r *http.Request) {
	var o engine.DecodeRequest
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	if o.MaxTokens <= 0 || o.KV.Tokens <= 0 {
		http.Error(w, "max_tokens or kv.tokens is not positive", http.StatusBadRequest)
		return
	}
	m := e.currentState()
	ctx, run, problem := e.startRun(m, Run{
		Request: o.Request, Attempt: o.Attempt, Role: domain.RoleDecode, ReservedTokens: o.KV.Tokens + o.MaxTokens,
	})
	if problem != "" {
		writeNotStarted(w, problem)
		return
	}
	t, err := e.importKV(ctx, o.KV)
	if cause := context.Cause(ctx); cause != nil {
		e.finishRun(m, run, OutcomeCancelled)
		writeCancelled(w, cause)
		return
	}
	if err != nil {
		e.finishRun(m, run, OutcomeEvicted)
		writeEvicted(w, err.Error())
		return
	}
	s := stream{w: w, controller: http.NewResponseController(w)}
	s.flush()
	if err := e.decodeTokens(ctx, m, run, t, o.MaxTokens, &s); err != nil {
		e.finishRun(m, run, OutcomeCancelled)
		serve.AbortConn()
	}
}

// decodeTokens decodes count tokens and sends them. It continues if the caller
// disconnects, and returns an error if the run is cancelled or the engine crashes.
func (e *Engine) decodeTokens(ctx context.Context, m *volatileState, run *Run, t transferHeader, count int, s *stream) error {
	for i := range count {
		if err := e.simulateWork(ctx, e.batchTokenGap(m)); err != nil {
			return err
		}
		if t.Crash && i == crashOffset {
			e.Crash()
			return errCrashed
		}
		e.addTokens(run, 1)
		last := i == count-1
		if last && !e.finishRun(m, run, OutcomeDone) {
			return errCancelled
		}
		s.write(engine.Token{Offset: i, Text: TokenAt(t.Seed, i), Last: last})
	}
	return nil
}

// batchTokenGap returns the time to the next token, which grows with the number of
// decodes in the batch.
func (e *Engine) batchTokenGap(m *volatileState) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := max(m.decodeCount()-1, 0)
	return time.Duration(float64(e.TokenGap) * (1 + e.BatchCost*float64(others)))
}

// stream sends tokens to the caller until the caller disconnects.
type stream struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	disconnected bool
}

func (s *stream) write(t engine.Token) {
	if s.disconnected {
		return
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only in tests without a network, which need no deadline
	if json.NewEncoder(s.w).Encode(t) != nil || s.controller.Flush() != nil {
		s.disconnected = true
	}
}

func (s *stream) flush() {
	s.disconnected = s.controller.Flush() != nil
}
