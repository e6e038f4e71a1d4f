package side

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/conns"
)

// serveMetrics serves the side's metrics at /debug/vars of admin_listen, in
// expvar's form, until the context ends.
func (s *Side) serveMetrics(ctx context.Context, ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintln(w, s.metrics().String())
	})
	server := &http.Server{Handler: &conns.PanicHandler{Handler: mux, Log: s.Log}, ReadHeaderTimeout: s.Settings.Limits.WithDefaults().HeaderTimeout, MaxHeaderBytes: conns.MaxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "side: serve metrics on admin_listen")
	}
	return nil
}

// metrics returns the side's current metrics.
func (s *Side) metrics() *expvar.Map {
	metrics := new(expvar.Map)
	add := func(name string, value int) {
		variable := new(expvar.Int)
		variable.Set(int64(value))
		metrics.Set(name, variable)
	}
	free := s.reservations.capacity(time.Now())
	owned, running := s.claims.ledger.CountKeys()
	add("orders_running", s.orderTable.runningCount())
	add("slots_free", free.FreeRequests)
	add("kv_tokens_free", free.FreeTokens)
	add("prefill_tokens_queued", s.orderTable.queuedPromptTokens())
	add("shards_owned", len(s.claims.ledger.OwnedShards()))
	add("keys_owned", owned)
	add("keys_run", running)
	if s.Invalid != nil {
		add("responses_invalid", int(s.Invalid.Count()))
	}
	add("claims_version", int(s.claims.ledger.Record().Version))
	return metrics
}
