package direct

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// readinessInterval is the time between two looks at whether this entry is ready, for the log.
const readinessInterval = 100 * time.Millisecond

// readinessLogInterval is the time between two log lines of an entry that stays not ready.
const readinessLogInterval = 2 * time.Second

// sourceErrors holds the last error of each source that this entry needs before it is ready.
type sourceErrors struct{ configs, upstreams lastError }

// lastError is the error of the last call of a source; nil if it succeeded or there was none.
type lastError struct{ err atomic.Pointer[error] }

func (l *lastError) record(err error) { l.err.Store(&err) }

// String returns the error, or that there is none.
func (l *lastError) String() string {
	switch err := l.err.Load(); {
	case err == nil:
		return "no answer yet"
	case *err == nil:
		return "the last call succeeded"
	default:
		return (*err).Error()
	}
}

// notReady returns why this entry is not ready, and the last error of what it waits for; both are empty if it
// is ready.
func (s *Server) notReady() (why, detail string) {
	switch {
	case s.draining.Load():
		return "draining", ""
	case s.config.Current() == nil:
		return "no configuration", s.sourceErrors.configs.String()
	case !s.roster.Loaded():
		return "registry not listed", s.sourceErrors.upstreams.String()
	case !s.ledgerTried():
		return "ledger of versions not tried", ""
	}
	return "", ""
}

// readyHandler answers the health checks of the platform's load balancer. The body says why the entry is not
// ready.
func (s *Server) readyHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		why, detail := s.notReady()
		s.logReadiness(time.Now(), why, detail)
		if why == "" {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready: "+why+": "+boundedDetail(detail)+"\n") // the check needs only the status
	})
	return m
}

// maxDetail bounds an error in the body of a health check and in its log line, in bytes.
const maxDetail = 512

func boundedDetail(detail string) string { return detail[:min(len(detail), maxDetail)] }

// readiness is what the log last said of whether this entry is ready.
type readiness struct {
	mu      sync.Mutex // leaf lock but for the log: no other lock is acquired while it is held
	why     string
	known   bool
	since   time.Time // of the state
	written time.Time // of the last line
}

// logReadiness logs whether this entry is ready, and why not, if that has changed, and repeatedly while it
// is not ready.
func (s *Server) logReadiness(now time.Time, why, detail string) {
	r := &s.readiness
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := !r.known || why != r.why
	if !changed && (why == "" || now.Sub(r.written) < readinessLogInterval) {
		return
	}
	if changed {
		r.since = now
	}
	r.why, r.known, r.written = why, true, now
	if why == "" {
		s.Log.Info("ready", "since_start", now.Sub(s.startTime))
		return
	}
	s.Log.Info("not ready", "why", why, "detail", boundedDetail(detail), "for", now.Sub(r.since), "since_start", now.Sub(s.startTime))
}

// watchReadiness logs each change of whether this entry is ready, also if nobody asks.
func (s *Server) watchReadiness(ctx context.Context) error {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	for {
		why, detail := s.notReady()
		s.logReadiness(time.Now(), why, detail)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}
