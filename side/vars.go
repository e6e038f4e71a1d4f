package side

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// serveVars serves the side's metrics at /debug/vars of admin_listen, in
// expvar's form, until the context ends.
func (s *Side) serveVars(ctx context.Context, ln net.Listener) error {
	m := http.NewServeMux()
	m.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintln(w, s.vars().String())
	})
	server := &http.Server{Handler: m, ReadHeaderTimeout: s.Settings.Limits.WithDefaults().HeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "side: admin_listen")
	}
	return nil
}

func (s *Side) vars() *expvar.Map {
	v := new(expvar.Map)
	add := func(name string, n int) { i := new(expvar.Int); i.Set(int64(n)); v.Set(name, i) }
	free := s.room.free(time.Now())
	owned, run := s.claims.book.Keys()
	add("orders_running", s.ledger.busy())
	add("slots_free", free.FreeRequests)
	add("kv_tokens_free", free.FreeTokens)
	add("prefill_tokens_queued", s.ledger.promptTokens())
	add("shards_owned", len(s.claims.book.Owned()))
	add("keys_owned", owned)
	add("keys_run", run)
	add("claims_version", int(s.claims.book.Record().Version))
	return v
}
