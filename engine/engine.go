// Package engine meets model engines and plain application servers. Model and
// App are the narrow interfaces; the adapters stand in http_model.go and
// http_app.go.
//
// # Usage
//
//	var m engine.Model = &engine.HTTPModel{Base: netip.MustParseAddrPort("127.0.0.1:9001")}
//	kv, err := m.Prefill(ctx, engine.PrefillOrder{Request: id, Attempt: 1, Prompt: text, PromptTokens: 812})
//	err = m.Decode(ctx, engine.DecodeOrder{Request: id, Attempt: 1, KV: kv, MaxTokens: 64}, emit)
//
// An error for which errors.Is(err, ErrNotTaken) holds is the engine's word, or
// the dialer's, that it never began the work. Any other error leaves open
// whether it ran.
package engine

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/work"
)

// The errors of engines and applications.
var (
	// ErrNotTaken says that the upstream never began the work: the
	// connection was refused, or the upstream said so.
	ErrNotTaken = errors.New("engine: not taken")
	// ErrDied says that the upstream's connection broke while it ran the work.
	ErrDied = errors.New("engine: died while running")
	// ErrEvicted says that the KV cache to import is gone.
	ErrEvicted = errors.New("engine: KV cache evicted")
	// ErrFenced says that the engine refused an order's old fencing number.
	ErrFenced = errors.New("engine: old fencing number")
)

// KV names KV cache that a prefill left in an engine's memory.
type KV struct {
	// Engine is where the cache is exported from.
	Engine netip.AddrPort `json:"engine"`
	Handle string         `json:"handle"`
	Tokens int            `json:"tokens"`
	// Life is how long the engine keeps it from the moment of the answer.
	Life time.Duration `json:"life"`
}

// PrefillOrder asks for the KV cache of a prompt.
type PrefillOrder struct {
	Request      work.RequestID `json:"request"`
	Attempt      work.Attempt   `json:"attempt"`
	Prompt       string         `json:"prompt"`
	PromptTokens int            `json:"prompt_tokens"`
	// Prefix is the hash of the part of the prompt that may be cached.
	Prefix   uint64 `json:"prefix"`
	Priority int    `json:"priority"`
}

// DecodeOrder asks for tokens from KV cache that is imported first.
type DecodeOrder struct {
	Request   work.RequestID `json:"request"`
	Attempt   work.Attempt   `json:"attempt"`
	KV        KV             `json:"kv"`
	MaxTokens int            `json:"max_tokens"`
	Priority  int            `json:"priority"`
}

// Token is one step of a decode.
type Token struct {
	// Offset counts tokens of the answer from 0.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	// Last marks the end of a whole answer.
	Last bool `json:"last,omitempty"`
}

// State is an engine's own report. It lags.
type State struct {
	Role work.Role `json:"role"`
	// Incarnation changes when the engine restarts.
	Incarnation work.Incarnation `json:"incarnation"`
	// Running names the requests that hold memory.
	Running []work.RequestID `json:"running"`
	// Slots is how many decodes fit; UsedTokens and MemoryTokens measure KV
	// memory in tokens.
	Slots        int `json:"slots"`
	UsedTokens   int `json:"used_tokens"`
	MemoryTokens int `json:"memory_tokens"`
	// Honours says that the engine refuses old fencing numbers.
	Honours bool         `json:"honours_fencing"`
	Model   work.Service `json:"model"`
}

// OrderKind is what an operator's order to an engine is about.
type OrderKind string

// The orders.
const (
	OrderLoad    OrderKind = "load"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
)

// Order changes what an engine serves. Fence grows with every order.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Value string    `json:"value"`
	Fence uint64    `json:"fence"`
}

// CacheEvent says that a prefix entered or left an engine's cache. Events come
// late and with gaps in Seq.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Model is a model engine.
type Model interface {
	// Prefill fills KV cache and says where it is.
	Prefill(ctx context.Context, o PrefillOrder) (KV, error)
	// Decode imports the cache and gives each token to emit. It returns nil
	// only after the token marked Last.
	Decode(ctx context.Context, o DecodeOrder, emit func(Token) error) error
	// Cancel frees whatever the request holds. It is idempotent.
	Cancel(ctx context.Context, request work.RequestID) error
	// State gives the engine's report.
	State(ctx context.Context) (State, error)
	// Give passes an order on.
	Give(ctx context.Context, o Order) error
	// CacheEvents gives the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Call is one request to a plain application server.
type Call struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Answer is a plain application server's answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// App is a plain application server.
type App interface {
	// Do passes the call on and gives the whole answer.
	Do(ctx context.Context, c Call) (Answer, error)
}
