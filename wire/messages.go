package wire

import (
	"encoding/json"
	"time"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/limit"
	"jacinthworks/retry"
)

// Methods of the calls from an entry to a side.
const (
	// MethodReserve reserves a decode slot and KV memory at a decode side. It takes a
	// ReserveRequest and returns a ReserveReply.
	MethodReserve = "reserve"
	// MethodRun runs one stage of a request at the side. It takes a RunRequest and returns an
	// Outcome, preceded by Frame notifications.
	MethodRun = "run"
	// MethodAttach resumes an attempt that is already running. It takes an AttachRequest and
	// returns an Outcome, preceded by Frame notifications.
	MethodAttach = "attach"
	// MethodSettle asks how an attempt ended and, if it never arrived, makes the side refuse
	// it from then on. It takes an AttemptRef and returns an Outcome.
	MethodSettle = "settle"
	// MethodCancel ends an attempt and releases its reserved capacity. It takes an
	// AttemptRef and returns nothing.
	MethodCancel = "cancel"
	// MethodTrace requests the span that a process recorded of a request. It takes a
	// TraceRequest and returns a trace.Span.
	MethodTrace = "story"
	// MethodDrain makes a side refuse new work, and an entry report itself as not ready.
	MethodDrain = "drain"
)

// MethodEvidence is the notification that carries the evidence of which requests crash
// upstreams, a retry.Record, in both directions.
const MethodEvidence = "evidence"

// MethodFrame is the notification that carries tokens to the entry: Frame.
const MethodFrame = "frame"

// Stage is the part of a request that one side executes.
type Stage string

// Stages of a request. A model request runs prefill and decode; a request to an application
// runs one call.
const (
	StagePrefill Stage = "prefill"
	StageDecode  Stage = "decode"
	StageCall    Stage = "call"
)

// AttemptRef identifies one attempt at one stage of a request.
type AttemptRef struct {
	Request domain.RequestID `json:"request"`
	Attempt domain.Attempt   `json:"attempt"`
	Stage   Stage            `json:"stage"`
}

// ReserveRequest requests room at a decode side before prefill starts.
type ReserveRequest struct {
	AttemptRef
	// Tokens is the length of prompt and answer together, which is the KV memory needed at the
	// end.
	Tokens int `json:"tokens"`
	// TTL is how long the reservation lasts; it then expires by itself.
	TTL      time.Duration  `json:"hold"`
	Identity retry.Identity `json:"identity"`
}

// ReserveReply is the side's unreserved capacity after a reservation: decode slots, and KV
// memory in tokens.
type ReserveReply struct {
	FreeSlots  int `json:"free_slots"`
	FreeTokens int `json:"free_tokens"`
}

// RunRequest sends one stage of a request to a side. Exactly one of Prefill, Decode and Call is set,
// depending on Stage.
type RunRequest struct {
	AttemptRef
	Account domain.Account `json:"account"`
	Kind    domain.Kind    `json:"kind"`
	// Identity identifies the caller's request independently of its request ID.
	Identity retry.Identity `json:"identity"`
	// PromptParts are the parts of the prompt that other requests may share.
	PromptParts []retry.Part `json:"prompt_parts,omitempty"`
	// Timeout is the time left until the request's deadline, at which the side cancels the
	// stage.
	Timeout time.Duration `json:"within"`
	// Tokens is the KV memory, in tokens, needed when the answer is complete.
	Tokens  int                    `json:"tokens,omitempty"`
	Prefill *engine.PrefillRequest `json:"prefill,omitempty"`
	Decode  *engine.DecodeRequest  `json:"decode,omitempty"`
	Call    *engine.Call           `json:"call,omitempty"`
	// Dispatch is the claim that allows work with an idempotency key to be sent to the
	// upstream; nil for work without a key.
	Dispatch *claim.Dispatch `json:"dispatch,omitempty"`
	// Idempotent marks work whose key is freed if it ended without a complete answer.
	Idempotent bool `json:"idempotent,omitempty"`
}

// AttachRequest resumes an attempt after its connection was lost.
type AttachRequest struct {
	AttemptRef
	// FromOffset is the offset of the next token that the entry needs.
	FromOffset int `json:"from"`
}

// Outcome is the result of a stage.
type Outcome struct {
	AttemptRef
	// Execution reports whether the upstream started to execute the stage.
	Execution domain.Execution `json:"ran"`
	// Reason is why the stage failed; empty if it succeeded.
	Reason domain.Reason `json:"reason,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// Claim is set if the side refused the claim.
	Claim *claim.Refusal `json:"claim,omitempty"`
	// Tokens is the number of tokens of a complete answer.
	Tokens int              `json:"tokens,omitempty"`
	KV     *engine.KV       `json:"kv,omitempty"`
	Answer *engine.Response `json:"answer,omitempty"`
	// Death is set if the upstream crashed while it executed the stage.
	Death *retry.Death `json:"death,omitempty"`
}

// Frame carries consecutive tokens of one attempt. The entry accepts a frame only if it
// belongs to the current attempt and starts at the next offset, so that late frames of an
// earlier attempt, gaps and overlaps never reach a caller.
type Frame struct {
	AttemptRef
	// Offset is the position in the answer, from 0, of the first of Tokens.
	Offset int      `json:"offset"`
	Tokens []string `json:"tokens"`
	// Last marks the end of a complete answer.
	Last bool `json:"last,omitempty"`
}

// TraceRequest asks for the span that a process recorded of a request.
type TraceRequest struct {
	Request domain.RequestID `json:"request"`
}

// Methods of the calls between entries.
const (
	// MethodTable requests the operators' table. It takes a TableRequest and returns a Table.
	MethodTable = "table"
	// MethodPushTable pushes a newly written table. It takes a Table, and returns a Table with
	// only the version that the receiver then has in force.
	MethodPushTable = "offer"
)

// TableRequest asks for the table if it is newer than version HaveVersion.
type TableRequest struct {
	HaveVersion uint64 `json:"have"`
}

// Table is a version of the operators' table. Value is its stored form, empty if the requester
// already has that version.
type Table struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// MethodRate asks the owner of a caller's rate limit whether the caller may send one more
// request. It takes a RateRequest and returns a RateReply.
const MethodRate = "rate"

// RateRequest asks to admit one request of a caller under the rate limit of a row of the table.
type RateRequest struct {
	Key limit.Key `json:"of"`
	// PrefillRate is the limit of that row, in requests per second.
	Rate float64 `json:"rate"`
	// Standby reports that the addressed entry does not own the caller's rate limit and
	// replaces an unreachable owner.
	Standby bool `json:"standby,omitempty"`
}

// RateReply is the decision whether a caller may send one more request. If it is not granted,
// Wait is the time until a request may be granted.
type RateReply struct {
	Granted bool          `json:"granted"`
	Wait    time.Duration `json:"wait,omitempty"`
}

// MethodState requests an entry's state. It takes nothing and returns an EntryState.
const MethodState = "state"

// EntryState is an entry's report of its own state.
type EntryState struct {
	Host domain.Host `json:"host"`
	Zone domain.Zone `json:"zone"`
	// TableVersion is the version of the operators' table that the entry has in force, and Since
	// the time from which it has been in force.
	TableVersion uint64    `json:"table_version"`
	InForceSince time.Time `json:"in_force_since"`
	Draining     bool      `json:"draining,omitempty"`
	// Stale reports that the entry receives table confirmations from no source and therefore
	// accepts no new work.
	Stale bool `json:"stale,omitempty"`
	// InFlight is the number of requests that the entry has accepted and not ended.
	InFlight int `json:"in_flight"`
}

// MethodMembers requests a service's membership record from an entry. It takes a
// MembersRequest and returns a member.Record.
const MethodMembers = "members"

// MembersRequest asks for a service's membership record; HaveVersion is the version that the requester
// already has.
type MembersRequest struct {
	Service     domain.Service `json:"service"`
	HaveVersion uint64         `json:"have"`
}

// Methods of the calls, and of the notification, that claim requests with an idempotency key.
// Their messages are those of package claim.
const (
	// MethodClaim claims a key at the owner of the key's shard. It takes a claim.Request and
	// returns a ClaimReply.
	MethodClaim = "claim"
	// MethodResolve reports to the owner of a key's shard how an attempt ended. It takes a
	// claim.Resolution and returns nothing.
	MethodResolve = "resolve"
	// MethodStatus asks the runner of an attempt how it ended. It takes a
	// claim.StatusRequest and returns a claim.Resolution.
	MethodStatus = "ask"
	// The owner of a shard calls other sides with MethodFence, so that a runner refuses grants
	// of earlier owners and lists its keys; with MethodRestore, so that a runner stores keys
	// whose own runner is no longer eligible; and with MethodHandover, to hand the shard to
	// its successor.
	MethodFence    = "fence"
	MethodRestore  = "restore"
	MethodHandover = "handover"
	// MethodOwnedShards is a side's notification of the shards that it owns, as OwnedShards.
	MethodOwnedShards = "owned"
)

// ClaimReply is the owner's decision on a claim of an idempotency key; exactly one of its fields is
// set.
type ClaimReply struct {
	Grant   *claim.Grant   `json:"grant,omitempty"`
	Refusal *claim.Refusal `json:"refusal,omitempty"`
}

// FenceReply is a runner's reply to MethodFence; exactly one of its fields is set.
type FenceReply struct {
	Reply   *claim.FenceReply `json:"reply,omitempty"`
	Refusal *claim.Refusal    `json:"refusal,omitempty"`
}

// OwnedShards is the complete list of the shards that a side owns.
type OwnedShards struct {
	Service domain.Service    `json:"service"`
	Shards  []claim.Ownership `json:"shards"`
}

// MethodCacheEvents is a side's notification of its engine's cache events, as CacheEvents.
const MethodCacheEvents = "cache"

// CacheEvents carries the cache events of one engine in the order of their sequence numbers.
type CacheEvents struct {
	Events []engine.CacheEvent `json:"events"`
}

// MethodOrder forwards an operator's order for an engine to the engine's side. It takes an
// Order and returns an OrderReply.
const MethodOrder = "order"

// Order is an operator's order to load a model or an adapter.
type Order struct {
	Kind  engine.OrderKind `json:"kind"`
	Value string           `json:"value"`
	// Operator is the name of the operator, for the log.
	Operator string `json:"by"`
	// Timeout bounds the time that the order may wait for its lease.
	Timeout time.Duration `json:"within"`
}

// OrderReply reports that the engine accepted the order, with the fencing token used.
type OrderReply struct {
	Fence uint64 `json:"fence"`
}
