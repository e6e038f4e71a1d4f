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

// maxBody limits a call's body in bytes.
const maxBody = 8 << 20

// Run is one call that the server ran.
type Run struct {
	Request domain.RequestID `json:"request"`
	// Key is the call's Idempotency-Key.
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Start  time.Time `json:"start"`
	// End is zero for a call in progress or dropped by a crash.
	End time.Time `json:"end,omitzero"`
}

// Report is every call that the server ran and how often it ran each key. It
// outlives crashes.
type Report struct {
	Runs []Run          `json:"runs"`
	Keys map[string]int `json:"keys"`
}

// Reply is the body of an answer. Echo depends on path and body, so that
// crossed answers are seen.
type Reply struct {
	Request domain.RequestID `json:"request"`
	Key     string           `json:"key"`
	// Run is how often the key has run by now.
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}

// Echo gives what a call with this method, path with query, and body is
// answered with.
func Echo(method, path string, body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(fmt.Appendf(nil, "%s %s\n%s", method, path, body)))
}

// Report gives a copy of what ran so far.
func (a *App) Report() Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := Report{Runs: make([]Run, len(a.runs)), Keys: map[string]int{}}
	for i, r := range a.runs {
		p.Runs[i] = *r
	}
	for key, n := range a.keys {
		p.Keys[key] = n
	}
	return p
}

func (a *App) call(w http.ResponseWriter, r *http.Request) {
	life := a.now()
	if a.gate.Pass(life) != nil {
		serve.AbortConn()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		serve.AbortConn()
	}
	f := a.Fault()
	if f.Refuse {
		w.Header().Set(engine.NotStartedHeader, "1")
		http.Error(w, "told to refuse", http.StatusServiceUnavailable)
		return
	}
	run, count := a.begin(r)
	if strings.Contains(r.URL.Path, CrashMarker) || strings.Contains(string(body), CrashMarker) {
		a.crash()
		serve.AbortConn()
	}
	if serve.Sleep(life, a.CallTime+f.Delay) != nil || a.gate.Pass(life) != nil || a.finish(run) {
		serve.AbortConn()
	}
	if f.Fail {
		http.Error(w, "told to fail", http.StatusInternalServerError)
		return
	}
	serve.Write(w, http.StatusOK, Reply{
		Request: run.Request, Key: run.Key, Run: count, Echo: Echo(r.Method, r.RequestURI, body),
	})
}

func (a *App) now() context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.life
}

func (a *App) begin(r *http.Request) (*Run, int) {
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
	if a.keys == nil {
		a.keys = map[string]int{}
	}
	a.keys[run.Key]++
	return run, a.keys[run.Key]
}

// finish ends a run and says whether its answer is to be lost.
func (a *App) finish(run *Run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	run.End = time.Now()
	if a.fault.LoseAnswers == 0 {
		return false
	}
	a.fault.LoseAnswers--
	return true
}
