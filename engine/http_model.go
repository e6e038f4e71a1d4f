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

// Default timeouts of an HTTPModel, and limits in bytes: maxLine of a line of a
// decode's response and of an error response, maxReport of any other response.
// The engine answers a prefill only once it is complete: a prompt of 50,000
// tokens queued behind a few others takes seconds.
const (
	DefaultPrefillTimeout = 60 * time.Second
	DefaultTokenTimeout   = 10 * time.Second
	maxReport             = 4 << 20
	maxLine               = 1 << 16
)

// HTTPModel is the client of a model engine over HTTP and JSON. The response to
// a decode has one Token per line. The zero value with an Addr is ready to use;
// it must not be copied after its first use.
type HTTPModel struct {
	// Addr is the engine's address.
	Addr netip.AddrPort
	// PrefillTimeout limits the time without a byte of the response to a
	// prefill; zero is DefaultPrefillTimeout.
	PrefillTimeout time.Duration
	// TokenTimeout limits the time without a byte of any other response, which
	// includes the wait for a decode's next token; zero is
	// DefaultTokenTimeout.
	TokenTimeout time.Duration
	// OnInvalid, if set, is called for each response that is malformed or exceeds a bound; see send.Client.
	OnInvalid func(error)

	once   sync.Once
	client send.Client
}

var _ Model = (*HTTPModel)(nil)

// Prefill computes the KV cache of a prompt and returns its location.
func (h *HTTPModel) Prefill(ctx context.Context, o PrefillRequest) (KV, error) {
	timeout := h.PrefillTimeout
	if timeout <= 0 {
		timeout = DefaultPrefillTimeout
	}
	var kv KV
	err := h.roundTrip(ctx, http.MethodPost, "/prefill", timeout, o, &kv)
	if err == nil && kv.Handle == "" {
		err = &Failure{Call: "POST /prefill", Kind: ErrUnexpectedResponse, Cause: errors.New("engine: the answer names no KV cache")}
	}
	return kv, err
}

// Decode imports the cache and calls emit for each token. If emit returns an
// error, Decode returns that error; the engine continues the decode until
// Cancel.
func (h *HTTPModel) Decode(ctx context.Context, o DecodeRequest, emit func(Token) error) error {
	const call = "POST /decode"
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "engine: writing order")
	}
	response, err := h.httpClient().Do(ctx, send.Request{Method: http.MethodPost, Target: "/decode", Header: jsonHeader(), Body: body})
	if err != nil {
		return transportFailure(call, err)
	}
	if response.Status != http.StatusOK {
		return readFailure(call, response)
	}
	defer response.Close()
	return readTokens(call, response, emit)
}

// readTokens reads the lines of a decode's response and calls emit for each
// token. If an engine crashes or exits in the middle of an answer, the body ends
// early, with or without a read error. Only a token marked Last ends the answer;
// the end of the body before that token is ErrCrashed.
func readTokens(call string, body io.Reader, emit func(Token) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var token Token
		if err := json.Unmarshal(scanner.Bytes(), &token); err != nil {
			return &Failure{Call: call, Kind: ErrCrashed, Cause: errors.Wrap(err, "engine: reading token")}
		}
		if err := emit(token); err != nil {
			return err
		}
		if token.Last {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return transportFailure(call, err)
	}
	return &Failure{Call: call, Kind: ErrCrashed, Cause: io.ErrUnexpectedEOF}
}

// Cancel releases everything that the request holds.
func (h *HTTPModel) Cancel(ctx context.Context, request domain.RequestID) error {
	return h.roundTrip(ctx, http.MethodPost, "/cancel", 0, CancelRequest{Request: request}, nil)
}

// State returns the state that the engine reports.
func (h *HTTPModel) State(ctx context.Context) (State, error) {
	var state State
	err := h.roundTrip(ctx, http.MethodGet, "/state", 0, nil, &state)
	return state, err
}

// SendOrder sends an operator's order to the engine.
func (h *HTTPModel) SendOrder(ctx context.Context, o Order) error {
	return h.roundTrip(ctx, http.MethodPost, "/order", 0, o, nil)
}

// CacheEvents returns the cache events after the given sequence number.
func (h *HTTPModel) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := h.roundTrip(ctx, http.MethodGet, "/events?after="+strconv.FormatUint(after, 10), 0, nil, &events)
	return events, err
}

// roundTrip sends one request with the JSON encoding of params as its body, if
// params is not nil, and decodes the response into result, if that is not nil.
// A timeout of zero is TokenTimeout.
func (h *HTTPModel) roundTrip(ctx context.Context, method, target string, timeout time.Duration, params, result any) error {
	call := method + " " + target
	request := send.Request{Method: method, Target: target, Header: jsonHeader(), ReadTimeout: timeout}
	if params != nil {
		body, err := json.Marshal(params)
		if err != nil {
			return errors.Wrap(err, "engine: writing order")
		}
		request.Body = body
	}
	response, err := h.httpClient().Do(ctx, request)
	if err != nil {
		return transportFailure(call, err)
	}
	if response.Status != http.StatusOK {
		return readFailure(call, response)
	}
	body, err := response.ReadAll(maxReport)
	if err != nil {
		return transportFailure(call, err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return &Failure{Call: call, Kind: ErrUnexpectedResponse, Cause: err}
	}
	return nil
}

// readFailure reads and classifies a response with a status other than 200.
func readFailure(call string, response *send.Response) error {
	body, err := response.ReadAll(maxLine)
	if err != nil {
		return transportFailure(call, err)
	}
	return statusFailure(call, response.Status, body)
}

// httpClient returns the HTTP client, which the first call configures.
func (h *HTTPModel) httpClient() *send.Client {
	h.once.Do(func() {
		h.client.Addr, h.client.ReadTimeout, h.client.OnInvalid = h.Addr, h.TokenTimeout, h.OnInvalid
		if h.client.ReadTimeout <= 0 {
			h.client.ReadTimeout = DefaultTokenTimeout
		}
	})
	return &h.client
}

// jsonHeader returns the header of a request with a JSON body.
func jsonHeader() http.Header { return http.Header{"Content-Type": {"application/json"}} }
