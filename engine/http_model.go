package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/send"
)

// The silences of an HTTPModel that sets none. A prefill answers only when it
// is done: a pedigree of 50,000 tokens behind a few others takes seconds.
const (
	DefaultPrefillTimeout = 60 * time.Second
	DefaultTokenTimeout   = 10 * time.Second
	maxReport             = 4 << 20
	maxLine               = 1 << 16
)

// HTTPModel is a model engine over HTTP and JSON; a decode answers with one
// Token a line. The zero value with a Base is ready to use; it must not be
// copied after its first use.
type HTTPModel struct {
	// Base is the engine's address.
	Base netip.AddrPort
	// PrefillTimeout is how long a prefill may take to answer.
	PrefillTimeout time.Duration
	// TokenTimeout is how long any other answer, and a decode's next token,
	// may take.
	TokenTimeout time.Duration

	once   sync.Once
	client send.Client
}

var _ Model = (*HTTPModel)(nil)

// Prefill fills KV cache and says where it is.
func (h *HTTPModel) Prefill(ctx context.Context, o PrefillOrder) (KV, error) {
	silence := h.PrefillTimeout
	if silence <= 0 {
		silence = DefaultPrefillTimeout
	}
	var kv KV
	err := h.ask(ctx, http.MethodPost, "/prefill", silence, o, &kv)
	return kv, err
}

// Decode imports the cache and gives each token to emit. It ends with emit's
// error if emit has one; the engine runs on until Cancel.
func (h *HTTPModel) Decode(ctx context.Context, o DecodeOrder, emit func(Token) error) error {
	const call = "POST /decode"
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "engine: writing order")
	}
	reply, err := h.open().Do(ctx, send.Request{Method: http.MethodPost, Target: "/decode", Header: jsonHeader(), Body: body})
	if err != nil {
		return lost(call, err)
	}
	if reply.Status != http.StatusOK {
		return refused(call, reply)
	}
	defer reply.Close()
	return readTokens(call, reply, emit)
}

// readTokens reads a decode's lines.
//
// Failure: an engine dies, or its process ends in good order, in mid-answer.
// It shows as a body that ends early, with or without an error. The guard
// holds because only a line marked Last ends the answer; the end of the body
// before it is ErrCrashed, never nil.
func readTokens(call string, body io.Reader, emit func(Token) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var t Token
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
			return &Failure{Call: call, Class: ErrCrashed, Cause: errors.Wrap(err, "engine: reading token")}
		}
		if err := emit(t); err != nil {
			return err
		}
		if t.Last {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return lost(call, err)
	}
	return &Failure{Call: call, Class: ErrCrashed, Cause: io.ErrUnexpectedEOF}
}

// Cancel frees whatever the request holds.
func (h *HTTPModel) Cancel(ctx context.Context, request domain.RequestID) error {
	return h.ask(ctx, http.MethodPost, "/cancel", 0, CancelOrder{Request: request}, nil)
}

// State gives the engine's report.
func (h *HTTPModel) State(ctx context.Context) (State, error) {
	var s State
	err := h.ask(ctx, http.MethodGet, "/state", 0, nil, &s)
	return s, err
}

// Give passes an order on.
func (h *HTTPModel) Give(ctx context.Context, o Order) error {
	return h.ask(ctx, http.MethodPost, "/order", 0, o, nil)
}

// CacheEvents gives the events after the given sequence number.
func (h *HTTPModel) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := h.ask(ctx, http.MethodGet, "/events?after="+strconv.FormatUint(after, 10), 0, nil, &events)
	return events, err
}

func (h *HTTPModel) ask(ctx context.Context, method, target string, silence time.Duration, order, into any) error {
	call := method + " " + target
	r := send.Request{Method: method, Target: target, Header: jsonHeader(), ReadTimeout: silence}
	if order != nil {
		body, err := json.Marshal(order)
		if err != nil {
			return errors.Wrap(err, "engine: writing order")
		}
		r.Body = body
	}
	reply, err := h.open().Do(ctx, r)
	if err != nil {
		return lost(call, err)
	}
	if reply.Status != http.StatusOK {
		return refused(call, reply)
	}
	body, err := reply.ReadAll(maxReport)
	if err != nil {
		return lost(call, err)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &Failure{Call: call, Class: ErrUnexpectedResponse, Cause: err}
	}
	return nil
}

// refused reads and sorts an answer other than 200.
func refused(call string, reply *send.Response) error {
	body, err := reply.ReadAll(maxLine)
	if err != nil {
		return lost(call, err)
	}
	return answered(call, reply.Status, body)
}

func (h *HTTPModel) open() *send.Client {
	h.once.Do(func() {
		h.client.Base, h.client.ReadTimeout = h.Base, h.TokenTimeout
		if h.client.ReadTimeout <= 0 {
			h.client.ReadTimeout = DefaultTokenTimeout
		}
	})
	return &h.client
}

func jsonHeader() http.Header { return http.Header{"Content-Type": {"application/json"}} }
