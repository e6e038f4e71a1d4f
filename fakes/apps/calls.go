package apps

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

// maxBodyBytes limits the body of a call that the server reads.
const maxBodyBytes = 8 << 20

// Run is one execution of a call.
type Run struct {
	Request domain.RequestID `json:"request"`
	// Key is the call's Idempotency-Key.
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Start  time.Time `json:"start"`
	// End is zero for a call that is in progress or was cancelled by a crash.
	End time.Time `json:"end,omitzero"`
}

// Report lists all calls that the server executed and counts the executions of each
// key. It is kept across crashes.
type Report struct {
	Runs []Run          `json:"runs"`
	Keys map[string]int `json:"keys"`
}

// Reply is the body of an answer. Echo depends on method, path and body, so that
// tests detect an answer that was delivered to the wrong call.
type Reply struct {
	Request domain.RequestID `json:"request"`
	Key     string           `json:"key"`
	// RunCount is the number of executions with the key so far, including this one.
	RunCount int    `json:"run"`
	Echo     string `json:"echo"`
}

// Echo returns the value of Reply.Echo for a call with this method, path with query,
// and body.
func Echo(method, path string, body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(fmt.Appendf(nil, "%s %s\n%s", method, path, body)))
}

// Report returns a copy of the executions so far.
func (a *App) Report() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := Report{Runs: make([]Run, len(a.runs)), Keys: map[string]int{}}
	for i, r := range a.runs {
		p.Runs[i] = *r
	}
	for key, n := range a.runsByKey {
		p.Keys[key] = n
	}
	return p
}

func (a *App) call(w http.ResponseWriter, r *http.Request) {
	ctx := a.currentContext()
	if a.gate.Pass(ctx) != nil {
		serve.AbortConn()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		serve.AbortConn()
	}
	f := a.Fault()
	if f.Refuse {
		w.Header().Set(engine.NotStartedHeader, "1")
		http.Error(w, "told to refuse", http.StatusServiceUnavailable)
		return
	}
	run, count := a.recordStart(r)
	if strings.Contains(r.URL.Path, CrashMarker) || strings.Contains(string(body), CrashMarker) {
		a.crash()
		serve.AbortConn()
	}
	if serve.Sleep(ctx, a.CallTime+f.Delay) != nil || a.gate.Pass(ctx) != nil || a.recordEnd(run) {
		serve.AbortConn()
	}
	if f.Fail {
		http.Error(w, "told to fail", http.StatusInternalServerError)
		return
	}
	serve.WriteJSON(w, http.StatusOK, Reply{
		Request: run.Request, Key: run.Key, RunCount: count, Echo: Echo(r.Method, r.RequestURI, body),
	})
}

// currentContext returns the context that the next crash cancels.
func (a *App) currentContext() context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ctx
}

// recordStart records the start of a call and returns the number of executions with
// its key; 1 for a call without a key.
func (a *App) recordStart(r *http.Request) (*Run, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	run := &Run{
		Request: domain.RequestID(r.Header.Get("Request-Id")), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.RequestURI, Start: time.Now(),
	}
	a.runs = append(a.runs, run)
	if run.Key == "" {
		return run, 1
	}
	if a.runsByKey == nil {
		a.runsByKey = map[string]int{}
	}
	a.runsByKey[run.Key]++
	return run, a.runsByKey[run.Key]
}

// recordEnd records the end of a run and reports whether its answer must be lost.
func (a *App) recordEnd(run *Run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	run.End = time.Now()
	if a.fault.LoseAnswers == 0 {
		return false
	}
	a.fault.LoseAnswers--
	return true
}
