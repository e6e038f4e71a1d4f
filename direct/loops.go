package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/conns"
	"jacinthworks/group"
	"jacinthworks/meter"
)

// LoopFailuresTotal is the name of the counter of loops that panicked or ended, and of background work that
// panicked.
const LoopFailuresTotal = "jacinthworks_loop_failures_total"

// The messages of the log lines of these failures.
const (
	LoopFailureMessage     = "background loop failed, it runs again"
	BackgroundPanicMessage = "background work panicked"
)

// logLoopFailure logs and counts the failure of a loop of this process, which runs again after the pause.
func (s *Server) logLoopFailure(failed group.Exit, pause time.Duration) {
	s.Meter.Inc(LoopFailuresTotal, meter.Labels{"loop", failed.Name})
	s.Log.Error(LoopFailureMessage, append([]any{"loop", failed.Name, "pause", pause}, failureFields(failed.Err)...)...)
}

// failureFields are the log fields of an error, with the stack of a panic.
func failureFields(err error) []any {
	fields := []any{"err", err}
	var p *group.PanicError
	if errors.As(err, &p) {
		fields = append(fields, "stack", p.Stack)
	}
	return fields
}

// logBackground logs the errors of background work.
func (s *Server) logBackground(context.Context) error {
	for end := range s.backgroundWork.Exits() {
		var p *group.PanicError
		switch {
		case errors.As(end.Err, &p):
			s.Meter.Inc(LoopFailuresTotal, meter.Labels{"loop", "background work"})
			s.Log.Error(BackgroundPanicMessage, append([]any{"name", end.Name}, failureFields(end.Err)...)...)
		case end.Err != nil:
			s.Log.Debug("background work failed", "name", end.Name, "err", end.Err)
		}
	}
	return nil
}

// serveOn returns a loop that serves on a listener until h is shut down. If the listener fails, the loop
// ends with an error, and the next call opens the address again: a process whose listener ended would
// otherwise be ready and serve nobody.
// wrap, if not nil, wraps the listener.
func (s *Server) serveOn(h *http.Server, l net.Listener, setting string, wrap func(net.Listener) net.Listener) func(context.Context) error {
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	return func(ctx context.Context) (err error) {
		if l == nil {
			if l, err = conns.Listen(ctx, s.Log, setting, addr); err != nil {
				return err
			}
		}
		current := l
		l = nil
		defer func() { _ = current.Close() }()
		if wrap != nil {
			current = wrap(current)
		}
		if err := h.Serve(current); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "direct: serving HTTP")
		}
		return nil
	}
}

// serveMetrics serves the metrics until ctx ends.
func (s *Server) serveMetrics(addr netip.AddrPort, g *guardedListener) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := conns.Listen(ctx, s.Log, "metrics_listen", addr)
		if err != nil {
			return err
		}
		h := g.server(s.metricsHandler())
		h.WriteTimeout = s.Settings.Limits.WriteTimeout
		stop := context.AfterFunc(ctx, func() { _ = h.Close() }) // a reader of metrics retries
		defer stop()
		return s.serveOn(h, l, "metrics_listen", g.wrap)(ctx)
	}
}
