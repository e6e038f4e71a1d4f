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

// Protocol is how requests and answers say what the product has to know of
// them, beside method, path and body. Each deployment's adapter has one.
type Protocol interface {
	// ParseRequest reads what a request says of itself, and takes out of its header
	// what only this system may set.
	ParseRequest(h http.Header) RequestInfo
	// TakeAPIKey reads the key that a caller shows, and takes it out of its header
	// together with whatever it says of its account.
	TakeAPIKey(h http.Header) string
	// AttemptInfo sets what an upstream is to know of an attempt.
	SetAttemptHeader(h http.Header, s AttemptInfo)
	// ParseResponse tells what an answer says beside its body.
	ParseResponse(status int, h http.Header) ResponseInfo
	// KnownField says whether a header field of an answer has a meaning here, be it used or not.
	KnownField(name string) bool
	// KVHandle reads the answer to a prefill.
	ParseHandle(body []byte) (KVHandle, error)
	// FreeHandleRequest gives the call that frees a prefilled prompt.
	FreeHandleRequest(h KVHandle) send.Request
	// Reservation gives the call that holds room for so many tokens, Held reads its
	// answer ("" where there is no room), Drop gives the call that frees it.
	ReserveRequest(tokens int, life time.Duration) (send.Request, error)
	ParseReservation(status int, body []byte) (Reservation, error)
	ReleaseRequest(h Reservation) send.Request
	// StateRequest gives the call for an engine's state, State reads its answer.
	StateRequest() send.Request
	ParseState(body []byte) (State, error)
	// RoleChangeRequest gives the order that changes an engine's role, if it has
	// taken just so many orders before; Ordered reads its answer's status.
	RoleChangeRequest(to domain.Role, holder domain.Host, number fence.Token, after int) (send.Request, error)
	ParseOrderOutcome(status int) OrderOutcome
}

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	// ID is the caller's, one for each send.
	ID domain.RequestID
	// Timeout is how long the caller waits; zero where it does not say.
	Timeout time.Duration
	// PromptTokens and Output are the prompt's tokens and the most of the answer.
	PromptTokens, MaxOutputTokens int
	// ExpectedOutputTokens is the caller's guess of the answer's tokens; zero for none.
	ExpectedOutputTokens int
	// LastEvent is the last event that the caller has of the stream.
	LastEvent string
}

// Stage is the part of a model request that an upstream is to do.
type Stage string

// The stages.
const (
	// StageWhole is everything.
	StageWhole Stage = ""
	// StagePrefill reads the prompt and gives a handle to its memory.
	StagePrefill Stage = "prefill"
	// StageDecode fetches the memory of a prompt and makes the answer.
	StageDecode Stage = "decode"
)

// AttemptInfo is what an upstream is to know of an attempt.
type AttemptInfo struct {
	// Upstream is the start that the attempt is meant for; any other refuses.
	Upstream roster.ID
	// Account is who asks; empty where callers have no accounts.
	Account domain.Account
	// Timeout is the time left.
	Timeout time.Duration
	Stage   Stage
	// Source is where the prompt's memory is, for StageDecode.
	Source KVHandle
	// Reservation is room that is held for the attempt.
	Reservation Reservation
	// LastEvent is the last event passed on, where a stream goes on.
	LastEvent string
	// Priority is the route's rank, 0 first.
	Priority int
}

// ResponseInfo is what an answer says beside its body.
type ResponseInfo struct {
	// ID is that of the request it answers; empty where it does not say.
	ID domain.RequestID
	// NotExecuted says that the upstream did not run the request and will not.
	NotExecuted bool
	// Misdirected says that the request was not for this start of the upstream,
	// or not for its role; Instance is the start that answered, where it says.
	Misdirected bool
	Instance    roster.ID
	// LoadReported says that Running counts the requests there, those that wait
	// included.
	LoadReported bool
	InFlight     int
	// RateLimitReported says that Limit is the rate limit that the upstream stated, or that it
	// stated none.
	RateLimitReported bool
	RateLimit         pacer.Rate
	// Leaving says that the upstream is on its way out.
	Leaving bool
	// Backoff is for how long the upstream wants nothing of this process; zero where it
	// does not say.
	Backoff time.Duration
	// MalformedFields are the names of fields that say nothing which could be read.
	MalformedFields []string
}

// KVHandle is the memory of a prompt that was read, at an upstream.
type KVHandle struct {
	Addr   netip.AddrPort
	Name   string
	Tokens int
}

// Valid says whether there is one.
func (h KVHandle) Valid() bool { return h.Name != "" }

// Reservation names room that an engine keeps for one request.
type Reservation string

// State is an engine's own account of itself.
type State struct {
	// StartedAt is when it started; zero where it does not say.
	StartedAt time.Time
	Role      domain.Role
	// RoleChanging says that an order is being carried out; Orders counts those
	// taken since its start.
	RoleChanging   bool
	OrdersAccepted int
	// InFlight and Waiting count requests; Taken is the part of Memory, in
	// tokens, that cannot be given up.
	Running, Waiting   int
	KVCapacity, KVUsed int
	// Leaving says that it is on its way out.
	Leaving bool
}

// OrderOutcome is what an engine answers to an order.
type OrderOutcome string

// The answers. Any other end leaves open whether it will be carried out.
const (
	OrderAccepted OrderOutcome = "taken"
	OrderFenced   OrderOutcome = "fenced"
	OrderRefused  OrderOutcome = "refused"
)
