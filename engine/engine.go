// Package engine is the client side of model engines and plain application
// servers. Model and AppServer are the interfaces; HTTPModel and HTTPAppServer
// implement them over HTTP.
//
// # Usage
//
//	var m engine.Model = &engine.HTTPModel{Addr: netip.MustParseAddrPort("127.0.0.1:9001")}
//	kv, err := m.Prefill(ctx, engine.PrefillRequest{Request: id, Attempt: 1, Prompt: text, PromptTokens: 812})
//	err = m.Decode(ctx, engine.DecodeRequest{Request: id, Attempt: 1, KV: kv, MaxTokens: 64}, emit)
//
// If errors.Is(err, ErrNotStarted) holds, the engine reported that it never
// began the work, or the request was never sent. After any other error the work
// may have run.
package engine

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// Errors of calls to engines and application servers.
var (
	// ErrNotStarted means that the upstream never began the work: the request
	// was not sent, or the upstream reported so.
	ErrNotStarted = errors.New("engine: not taken")
	// ErrCrashed means that the connection broke, or the answer ended early,
	// after the request was sent.
	ErrCrashed = errors.New("engine: died while running")
	// ErrEvicted means that the KV cache to import is no longer in memory.
	ErrEvicted = errors.New("engine: KV cache evicted")
	// ErrFenced means that the engine refused an order with a stale fencing token.
	ErrFenced = errors.New("engine: old fencing number")
)

// KV identifies the KV cache that a prefill left in an engine's memory.
type KV struct {
	// Engine is the address of the engine that exports the cache.
	Engine netip.AddrPort `json:"engine"`
	// Handle is the engine's name for the cache.
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	// TTL is how long the engine keeps the cache after it has answered the
	// prefill.
	TTL time.Duration `json:"life"`
}

// PrefillRequest is the request to compute the KV cache of a prompt.
type PrefillRequest struct {
	Request      domain.RequestID `json:"request"`
	Attempt      domain.Attempt   `json:"attempt"`
	Prompt       string           `json:"prompt"`
	PromptTokens int              `json:"prompt_tokens"`
	// Prefix is the hash of the prompt's cacheable prefix.
	Prefix uint64 `json:"prefix"`
	// Priority is that of the request's kind in the operators' table, from
	// 0 to 9; 9 is the highest.
	Priority int `json:"priority"`
}

// DecodeRequest is the request to import a KV cache and generate tokens from it.
type DecodeRequest struct {
	Request   domain.RequestID `json:"request"`
	Attempt   domain.Attempt   `json:"attempt"`
	KV        KV               `json:"kv"`
	MaxTokens int              `json:"max_tokens"`
	// Priority is that of the request's kind in the operators' table, from
	// 0 to 9; 9 is the highest.
	Priority int `json:"priority"`
}

// Token is one generated token of an answer.
type Token struct {
	// Offset is the token's index in the answer, from 0.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	// Last marks the final token of a complete answer.
	Last bool `json:"last,omitempty"`
}

// State is the state that an engine reports. It may lag behind the engine's
// actual state.
type State struct {
	Role domain.Role `json:"role"`
	// Incarnation changes when the engine restarts.
	Incarnation domain.Incarnation `json:"incarnation"`
	// Running lists the requests that hold KV memory.
	Running []domain.RequestID `json:"running"`
	// Slots is the number of decodes that can run at once. UsedTokens and
	// MemoryTokens are the used and the total KV memory in tokens.
	Slots        int `json:"slots"`
	UsedTokens   int `json:"used_tokens"`
	MemoryTokens int `json:"memory_tokens"`
	// HonoursFencing is set if the engine refuses stale fencing tokens.
	HonoursFencing bool           `json:"honours_fencing"`
	Model          domain.Service `json:"model"`
}

// OrderKind is the kind of an operator's order to an engine.
type OrderKind string

// Kinds of operators' orders: load a model, load an adapter, change the
// engine's role.
const (
	OrderLoad    OrderKind = "load"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
)

// Order is an operator's order that changes what an engine serves. Fence is a
// fencing token, which increases with every order.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Value string    `json:"value"`
	Fence uint64    `json:"fence"`
}

// CacheEvent reports that a prefix entered or, if Evicted, left an engine's
// cache. Events arrive with a delay, and some are missing, which leaves gaps in
// Seq.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Model is a client of one model engine.
type Model interface {
	// Prefill computes the KV cache of a prompt and returns its location.
	Prefill(ctx context.Context, o PrefillRequest) (KV, error)
	// Decode imports the cache and calls emit for each token. It returns nil
	// only after the token that is marked Last.
	Decode(ctx context.Context, o DecodeRequest, emit func(Token) error) error
	// Cancel releases everything that the request holds. It is idempotent.
	Cancel(ctx context.Context, request domain.RequestID) error
	// State returns the state that the engine reports.
	State(ctx context.Context) (State, error)
	// SendOrder sends an operator's order to the engine.
	SendOrder(ctx context.Context, o Order) error
	// CacheEvents returns the cache events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Call is one request to a plain application server.
type Call struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Response is the response of a plain application server.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// AppServer is a client of one plain application server.
type AppServer interface {
	// Do sends the call and returns the complete response.
	Do(ctx context.Context, c Call) (Response, error)
}
