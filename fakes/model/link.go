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

// A transfer goes in pieces, so that concurrent ones share the link; a token's
// cache is a few bytes here, and the link's rate makes it slow.
const (
	pieceTokens   = 256
	bytesPerToken = 8
	importSilence = 2 * time.Second
	maxTransfer   = 64 << 20
)

// transfer is the first line of an export; the cache's bytes follow.
type transfer struct {
	Tokens int    `json:"tokens"`
	Seed   uint64 `json:"seed"`
	Crash  bool   `json:"crash"`
}

// link is shared by all exports of an engine. The zero value is idle.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// book gives how long to wait until tokens have gone through at the rate.
func (l *link) book(tokens, rate int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(tokens) * time.Second / time.Duration(rate))
	return l.free.Sub(now)
}

// export sends KV cache at the link's rate. Eviction meanwhile cuts it.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	c, ok := e.find(handle)
	if !ok {
		evicted(w, "no such KV cache")
		return
	}
	first := transfer{Tokens: c.tokens, Seed: c.seed, Crash: c.crash}
	if json.NewEncoder(w).Encode(first) != nil {
		return
	}
	for left := c.tokens; left > 0; left -= pieceTokens {
		tokens := min(left, pieceTokens)
		if e.pace(r.Context(), e.link.book(tokens, e.LinkRate)) != nil {
			serve.AbortConn()
		}
		if _, ok := e.find(handle); !ok {
			serve.AbortConn()
		}
		if _, err := w.Write(make([]byte, tokens*bytesPerToken)); err != nil {
			return
		}
	}
}

func evicted(w http.ResponseWriter, detail string) {
	serve.Write(w, http.StatusGone, engine.Problem{Code: engine.CodeEvicted, Detail: detail})
}

// fetch imports KV cache from the engine that has it, or from this one where
// no address is given.
func (e *Engine) fetch(ctx context.Context, kv engine.KV) (transfer, error) {
	if kv.Engine == (netip.AddrPort{}) {
		return e.fetchOwn(ctx, kv)
	}
	peer := send.Client{Base: kv.Engine, ReadTimeout: importSilence}
	defer peer.CloseIdleConnections()
	reply, err := peer.Do(ctx, send.Request{Method: http.MethodGet, Target: "/kv/" + kv.Handle})
	if err != nil {
		return transfer{}, err
	}
	body, err := reply.ReadAll(maxTransfer)
	if err != nil {
		return transfer{}, err
	}
	if reply.Status != http.StatusOK {
		return transfer{}, errors.Errorf("model: status %d", reply.Status)
	}
	return readTransfer(body)
}

func readTransfer(body []byte) (transfer, error) {
	rest := bufio.NewReader(bytes.NewReader(body))
	line, err := rest.ReadBytes('\n')
	if err != nil {
		return transfer{}, errors.Wrap(err, "model: reading transfer")
	}
	var t transfer
	if err := json.Unmarshal(line, &t); err != nil {
		return transfer{}, errors.Wrap(err, "model: reading transfer")
	}
	n, err := io.Copy(io.Discard, rest)
	if err != nil || n != int64(t.Tokens)*bytesPerToken {
		return transfer{}, errors.Errorf("model: transfer of %d tokens has %d bytes", t.Tokens, n)
	}
	return t, nil
}

func (e *Engine) fetchOwn(ctx context.Context, kv engine.KV) (transfer, error) {
	c, ok := e.find(kv.Handle)
	if !ok {
		return transfer{}, errors.New("model: no such KV cache")
	}
	if err := e.pace(ctx, e.link.book(c.tokens, e.LinkRate)); err != nil {
		return transfer{}, err
	}
	if _, ok := e.find(kv.Handle); !ok {
		return transfer{}, errors.New("model: evicted in mid-transfer")
	}
	return transfer{Tokens: c.tokens, Seed: c.seed, Crash: c.crash}, nil
}
