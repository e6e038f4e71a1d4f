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
	// crashOffset is the token before which a marked decode crashes.
	crashOffset = 2
	// writeTimeout is how long the engine waits for a reader that takes
	// nothing; then it decodes on without it.
	writeTimeout = 200 * time.Millisecond
)

func (e *Engine) decode(w http.ResponseWriter, r *http.Request) {
	var o engine.DecodeRequest
	if !serve.Read(w, r, &o) {
		return
	}
	if o.MaxTokens <= 0 || o.KV.Tokens <= 0 {
		http.Error(w, "max_tokens or kv.tokens is not positive", http.StatusBadRequest)
		return
	}
	m := e.now()
	ctx, run, problem := e.begin(m, Run{
		Request: o.Request, Attempt: o.Attempt, Work: domain.RoleDecode, ReservedTokens: o.KV.Tokens + o.MaxTokens,
	})
	if problem != "" {
		notTaken(w, problem)
		return
	}
	t, err := e.fetch(ctx, o.KV)
	if cause := context.Cause(ctx); cause != nil {
		e.finish(m, run, Cancelled)
		stopped(w, cause)
		return
	}
	if err != nil {
		e.finish(m, run, Evicted)
		evicted(w, err.Error())
		return
	}
	s := stream{w: w, control: http.NewResponseController(w)}
	s.flush()
	if err := e.tokens(ctx, m, run, t, o.MaxTokens, &s); err != nil {
		e.finish(m, run, Cancelled)
		serve.AbortConn()
	}
}

// tokens decodes to the end, whether or not anyone reads.
func (e *Engine) tokens(ctx context.Context, m *memory, run *Run, t transfer, count int, s *stream) error {
	for i := range count {
		if err := e.pace(ctx, e.gap(m)); err != nil {
			return err
		}
		if t.Crash && i == crashOffset {
			e.Crash()
			return errCrashed
		}
		e.computed(run, 1)
		last := i == count-1
		if last && !e.finish(m, run, Done) {
			return errCancelled
		}
		s.write(engine.Token{Offset: i, Text: TokenAt(t.Seed, i), Last: last})
	}
	return nil
}

// gap is the time to the next token: it grows with the batch.
func (e *Engine) gap(m *memory) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := max(m.decodes()-1, 0)
	return time.Duration(float64(e.TokenGap) * (1 + e.BatchCost*float64(others)))
}

// stream writes tokens until the reader is gone.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	gone    bool
}

func (s *stream) write(t engine.Token) {
	if s.gone {
		return
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout)) // no network, no deadline
	if json.NewEncoder(s.w).Encode(t) != nil || s.control.Flush() != nil {
		s.gone = true
	}
}

func (s *stream) flush() {
	s.gone = s.control.Flush() != nil
}
