package model

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
	"jacinthworks/send"
)

// A transfer is sent in chunks, so that concurrent transfers share the link. The cache
// of a token has only a few bytes here; the link's rate determines how long the
// transfer takes.
const (
	chunkTokens       = 256
	bytesPerToken     = 8
	importReadTimeout = 2 * time.Second
	maxTransferBytes  = 64 << 20
)

// transferHeader is the first line of an exported KV cache; the bytes of the cache follow
// it. Crash makes the importing engine crash when it decodes from the cache.
type transferHeader struct {
	Tokens int    `json:"tokens"`
	Seed   uint64 `json:"seed"`
	Crash  bool   `json:"crash"`
}

// link models the outgoing network link over which an engine sends all exported KV
// caches, one after the other. The zero value is idle.
type link struct {
	mu sync.Mutex
	// freeAt is the time at which the accepted transfers end.
	freeAt time.Time
}

// reserve appends a transfer of tokens to the link and returns the time until it ends;
// rate is in tokens per second.
func (l *link) reserve(tokens, rate int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(tokens) * time.Second / time.Duration(rate))
	return l.freeAt.Sub(now)
}

// export sends a KV cache at the link's rate. It closes the connection if the cache is
// evicted during the transfer.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	c, ok := e.findKV(handle)
	if !ok {
		writeEvicted(w, "no such KV cache")
		return
	}
	header := transferHeader{Tokens: c.tokens, Seed: c.seed, Crash: c.crashOnDecode}
	if json.NewEncoder(w).Encode(header) != nil {
		return
	}
	for remaining := c.tokens; remaining > 0; remaining -= chunkTokens {
		tokens := min(remaining, chunkTokens)
		if e.simulateWork(r.Context(), e.link.reserve(tokens, e.LinkRate)) != nil {
			serve.AbortConn()
		}
		if _, ok := e.findKV(handle); !ok {
			serve.AbortConn()
		}
		if _, err := w.Write(make([]byte, tokens*bytesPerToken)); err != nil {
			return
		}
	}
}

func writeEvicted(w http.ResponseWriter, detail string) {
	serve.WriteJSON(w, http.StatusGone, engine.Problem{Code: engine.CodeEvicted, Detail: detail})
}

// importKV imports a KV cache from the engine at kv.Engine, or from this engine if that
// address is zero.
func (e *Engine) importKV(ctx context.Context, kv engine.KV) (transferHeader, error) {
	if kv.Engine == (netip.AddrPort{}) {
		return e.importOwnKV(ctx, kv)
	}
	peer := send.Client{Addr: kv.Engine, ReadTimeout: importReadTimeout}
	defer peer.CloseIdleConnections()
	reply, err := peer.Do(ctx, send.Request{Method: http.MethodGet, Target: "/kv/" + kv.Handle})
	if err != nil {
		return transferHeader{}, err
	}
	body, err := reply.ReadAll(maxTransferBytes)
	if err != nil {
		return transferHeader{}, err
	}
	if reply.Status != http.StatusOK {
		return transferHeader{}, errors.Errorf("model: status %d", reply.Status)
	}
	return readTransfer(body)
}

// readTransfer decodes an exported KV cache and checks that its length matches its header.
func readTransfer(body []byte) (transferHeader, error) {
	rest := bufio.NewReader(bytes.NewReader(body))
	line, err := rest.ReadBytes('\n')
	if err != nil {
		return transferHeader{}, errors.Wrap(err, "model: reading transfer")
	}
	var t transferHeader
	if err := json.Unmarshal(line, &t); err != nil {
		return transferHeader{}, errors.Wrap(err, "model: reading transfer")
	}
	n, err := io.Copy(io.Discard, rest)
	if err != nil || n != int64(t.Tokens)*bytesPerToken {
		return transferHeader{}, errors.Errorf("model: transfer of %d tokens has %d bytes", t.Tokens, n)
	}
	return t, nil
}

// importOwnKV transfers a KV cache within this engine, over the same link.
func (e *Engine) importOwnKV(ctx context.Context, kv engine.KV) (transferHeader, error) {
	c, ok := e.findKV(kv.Handle)
	if !ok {
		return transferHeader{}, errors.New("model: no such KV cache")
	}
	if err := e.simulateWork(ctx, e.link.reserve(c.tokens, e.LinkRate)); err != nil {
		return transferHeader{}, err
	}
	if _, ok := e.findKV(kv.Handle); !ok {
		return transferHeader{}, errors.New("model: evicted in mid-transfer")
	}
	return transferHeader{Tokens: c.tokens, Seed: c.seed, Crash: c.crashOnDecode}, nil
}
