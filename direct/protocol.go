package direct

import (
	"net/http"
	"net/netip"
	"time"

	"jacinthworks/domain"
	"jacinthworks/fence"
	"jacinthworks/pacer"
	"jacinthworks/roster"
	"jacinthworks/send"
)

// Protocol translates between requests and responses as the deployment's callers and
// upstreams send them and the facts that this package needs beside method, path and body.
// Each deployment has an adapter that implements it.
type Protocol interface {
	// ParseRequest parses what a request's header states, and removes from it the fields
	// that only this system may set.
	ParseRequest(h http.Header) RequestInfo
	// TakeAPIKey returns the caller's API key. It removes from the header the key and
	// whatever the caller stated about its account.
	TakeAPIKey(h http.Header) string
	// SetAttemptHeader sets the header fields that describe an attempt to an upstream.
	SetAttemptHeader(h http.Header, s AttemptInfo)
	// ParseResponse parses the status and the header of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// KnownField reports whether a response header field has a meaning here, whether or not
	// it is used.
	KnownField(name string) bool
	// ParseHandle parses the response to a prefill.
	ParseHandle(body []byte) (KVHandle, error)
	// FreeHandleRequest returns the call that frees the KV cache of a prefilled prompt.
	FreeHandleRequest(h KVHandle) send.Request
	// ReserveRequest returns the call that reserves memory for so many tokens, for at most
	// life. ParseReservation parses its response; the reservation is empty if there is no
	// memory. ReleaseRequest returns the call that frees the reservation.
	ReserveRequest(tokens int, life time.Duration) (send.Request, error)
	ParseReservation(status int, body []byte) (Reservation, error)
	ReleaseRequest(h Reservation) send.Request
	// StateRequest returns the call for an engine's state, and ParseState parses its
	// response. An upstream that is no engine refuses the call, and runs nothing.
	StateRequest() send.Request
	ParseState(body []byte) (EngineState, error)
	// RoleChangeRequest returns the call that orders an engine to change its role, provided
	// that it has accepted exactly as many orders before as after says. ParseOrderOutcome
	// reads the outcome from the status of the response.
	RoleChangeRequest(to domain.Role, holder domain.Host, number fence.Token, after int) (send.Request, error)
	ParseOrderOutcome(status int) OrderOutcome
}

// RequestInfo is what a request's header states.
type RequestInfo struct {
	// ID is the caller's request id, unique for each send.
	ID domain.RequestID
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, MaxOutputTokens the limit on the answer.
	PromptTokens, MaxOutputTokens int
	// PromptParts names the parts of the prompt, in order, of which the last belongs to the request or
	// to its session alone; empty if it states none.
	PromptParts []string
	// ExpectedOutputTokens is the caller's estimate of the answer's length; zero for none.
	ExpectedOutputTokens int
	// LastEvent is the id of the last event of the stream that the caller has.
	LastEvent string
	// Resumes is the id of the request that brought the first event of the stream that the caller
	// resumes.
	Resumes domain.RequestID
}

// Stage is the part of a model request that an upstream is to do.
type Stage string

// The stages.
const (
	// StageWhole is prefill and decode on one engine, or a plain request.
	StageWhole Stage = ""
	// StagePrefill reads the prompt and returns a handle of its KV cache.
	StagePrefill Stage = "prefill"
	// StageDecode fetches the KV cache of a prompt and generates the answer.
	StageDecode Stage = "decode"
)

// RunsRequest reports whether an upstream that does this stage runs the request: a prefill alone
// shows nothing of whether the request can be run.
func (s Stage) RunsRequest() bool { return s != StagePrefill }

// AttemptInfo describes an attempt to an upstream.
type AttemptInfo struct {
	// Upstream is the start of the upstream that the attempt is meant for; any other
	// refuses it.
	Upstream roster.ID
	// Account is the caller's account; empty if callers have none.
	Account domain.Account
	// Timeout is the time left to the request.
	Timeout time.Duration
	Stage   Stage
	// Source is where the prompt's KV cache is, for StageDecode.
	Source KVHandle
	// Reservation is the memory that was reserved for the attempt.
	Reservation Reservation
	// LastEvent is the id of the last event passed on, if a stream is resumed.
	LastEvent string
	// Priority is the request's priority, 0 being the highest.
	Priority int
}

// ResponseInfo is what the status and the header of a response state.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to; empty if it does not say.
	ID domain.RequestID
	// NamesSeveral means that the response names more than one request, of which ID is the first.
	NamesSeveral bool
	// NotExecuted means that the upstream did not run the request and will not.
	NotExecuted bool
	// Misdirected means that the request was meant for another start of the upstream, or
	// for another role. Instance is the start that answered, if stated.
	Misdirected bool
	Instance    roster.ID
	// LoadReported means that InFlight was stated: the requests at the upstream, waiting
	// ones included.
	LoadReported bool
	InFlight     int
	// HostLoad is how long work takes on the upstream's host at the moment, in a unit that is
	// the same for all upstreams of a service; zero if not stated. It holds the upstream's own
	// speed and the load of its host.
	HostLoad float64
	// RateLimitReported means that RateLimit is known: the rate limit that the upstream
	// stated, or that it stated none.
	RateLimitReported bool
	RateLimit         pacer.Rate
	// Leaving means that the upstream is shutting down.
	Leaving bool
	// Backoff is for how long the upstream wants no requests of this process; zero if it
	// does not say.
	Backoff time.Duration
	// MalformedFields names the header fields whose values could not be parsed.
	MalformedFields []string
}

// KVHandle refers to the KV cache of a prefilled prompt at an upstream.
type KVHandle struct {
	Addr   netip.AddrPort
	Name   string
	Tokens int
}

// Valid reports whether the handle refers to anything.
func (h KVHandle) Valid() bool { return h.Name != "" }

// Reservation names memory that an engine reserves for one request.
type Reservation string

// EngineState is what an engine reports of itself.
type EngineState struct {
	// StartedAt is when the engine started; zero if it does not say.
	StartedAt time.Time
	Role      domain.Role
	// RoleChanging means that the engine is changing its role. OrdersAccepted counts the
	// orders that it has accepted since its start.
	RoleChanging   bool
	OrdersAccepted int
	// Running and Waiting count requests. KVUsed is the part of KVCapacity, in tokens, that
	// can't be evicted.
	Running, Waiting   int
	KVCapacity, KVUsed int
	// Leaving means that the engine is shutting down.
	Leaving bool
}

// OrderOutcome is the outcome of an order to an engine.
type OrderOutcome string

// The outcomes that a response states. After any other response it is unknown whether the
// order will be carried out.
const (
	OrderAccepted OrderOutcome = "taken"
	OrderFenced   OrderOutcome = "fenced"
	OrderRefused  OrderOutcome = "refused"
)
