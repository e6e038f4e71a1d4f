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
// An error for which errors.Is(err, ErrNotStarted) holds is the engine's word, or
// the dialer's, that it never began the work. Any other error leaves open
// whether it ran.
package engine

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// The errors of engines and applications.
var (
	// ErrNotStarted says that the upstream never began the work: the
	// connection was refused, or the upstream said so.
	ErrNotStarted = errors.New("engine: not taken")
	// ErrCrashed says that the upstream's connection broke while it ran the work.
	ErrCrashed = errors.New("engine: died while running")
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
	Request      domain.RequestID `json:"request"`
	Attempt      domain.Attempt   `json:"attempt"`
	Prompt       string           `json:"prompt"`
	PromptTokens int              `json:"prompt_tokens"`
	// Prefix is the hash of the part of the prompt that may be cached.
	Prefix   uint64 `json:"prefix"`
	Priority int    `json:"priority"`
}

// DecodeOrder asks for tokens from KV cache that is imported first.
type DecodeOrder struct {
	Request   domain.RequestID `json:"request"`
	Attempt   domain.Attempt   `json:"attempt"`
	KV        KV               `json:"kv"`
	MaxTokens int              `json:"max_tokens"`
	Priority  int              `json:"priority"`
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
	Role domain.Role `json:"role"`
	// Incarnation changes when the engine restarts.
	Incarnation domain.Incarnation `json:"incarnation"`
	// Running names the requests that hold memory.
	Running []domain.RequestID `json:"running"`
	// Slots is how many decodes fit; UsedTokens and MemoryTokens measure KV
	// memory in tokens.
	Slots        int `json:"slots"`
	UsedTokens   int `json:"used_tokens"`
	MemoryTokens int `json:"memory_tokens"`
	// HonoursFencing says that the engine refuses old fencing numbers.
	HonoursFencing bool           `json:"honours_fencing"`
	Model          domain.Service `json:"model"`
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
	Cancel(ctx context.Context, request domain.RequestID) error
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

// Response is a plain application server's answer.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// AppServer is a plain application server.
type AppServer interface {
	// Do passes the call on and gives the whole answer.
	Do(ctx context.Context, c Call) (Response, error)
}
