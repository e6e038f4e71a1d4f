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

// The calls that an entry makes to a side.
const (
	// MethodReserve holds room at a decode side: Reserve to Reserved.
	MethodReserve = "reserve"
	// MethodRun hands work over: Run to Outcome, with Frames before it.
	MethodRun = "run"
	// MethodAttach takes up work that runs already: Attach to Outcome.
	MethodAttach = "attach"
	// MethodSettle asks what became of an attempt, and refuses it for good if
	// it never arrived: Ref to Outcome.
	MethodSettle = "settle"
	// MethodCancel ends an attempt and frees its room: Ref to nothing.
	MethodCancel = "cancel"
	// MethodTrace gives what a process knows of a request: TraceRequest to a
	// story's events as JSON.
	MethodTrace = "story"
	// MethodDrain tells a side to take no new work.
	MethodDrain = "drain"
)

// MethodEvidence is the notification that carries a retry.Record each way.
const MethodEvidence = "evidence"

// MethodFrame is the notification that carries a token to the entry.
const MethodFrame = "frame"

// Stage is the part of a request that one side does.
type Stage string

// The stages.
const (
	StagePrefill Stage = "prefill"
	StageDecode  Stage = "decode"
	StageCall    Stage = "call"
)

// AttemptRef names one attempt at one stage of a request.
type AttemptRef struct {
	Request domain.RequestID `json:"request"`
	Attempt domain.Attempt   `json:"attempt"`
	Stage   Stage            `json:"stage"`
}

// Reserve asks for room at a decode side before prefill starts.
type Reserve struct {
	AttemptRef
	// Tokens is prompt and answer together, the KV memory at the end.
	Tokens int `json:"tokens"`
	// Hold is how long the room is kept; it ends by itself.
	Hold     time.Duration  `json:"hold"`
	Identity retry.Identity `json:"identity"`
}

// ReserveReply is the room that was kept.
type ReserveReply struct {
	FreeSlots  int `json:"free_slots"`
	FreeTokens int `json:"free_tokens"`
}

// Run hands one stage of a request over to a side. Just one of Prefill,
// Decode and Call is set, by Stage.
type Run struct {
	AttemptRef
	Account domain.Account `json:"account"`
	Kind    domain.Kind    `json:"kind"`
	// Identity is what the caller sends, whatever its request id.
	Identity retry.Identity `json:"identity"`
	// Within is the time left for this stage.
	Within time.Duration `json:"within"`
	// Tokens is the KV memory needed in the end.
	Tokens  int                  `json:"tokens,omitempty"`
	Prefill *engine.PrefillOrder `json:"prefill,omitempty"`
	Decode  *engine.DecodeOrder  `json:"decode,omitempty"`
	Call    *engine.Call         `json:"call,omitempty"`
	// Dispatch is the claim under which keyed work may be handed to the
	// upstream; nil for work without a key.
	Dispatch *claim.Dispatch `json:"dispatch,omitempty"`
	// Idempotent work that did not end in a whole answer frees its key.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Attach takes up an attempt after its connection was lost.
type Attach struct {
	AttemptRef
	// From is the offset of the next token wanted.
	From int `json:"from"`
}

// Outcome says how a stage ended.
type Outcome struct {
	AttemptRef
	// Ran says whether the upstream began it.
	Ran domain.Execution `json:"ran"`
	// Reason is empty when the stage ended well.
	Reason domain.Reason `json:"reason,omitempty"`
	Detail string        `json:"detail,omitempty"`
	// Claim is set when the claim was refused at the side.
	Claim *claim.Refusal `json:"claim,omitempty"`
	// Tokens counts the tokens of a whole answer.
	Tokens int              `json:"tokens,omitempty"`
	KV     *engine.KV       `json:"kv,omitempty"`
	Answer *engine.Response `json:"answer,omitempty"`
	// Death is set when the upstream died while it ran the work.
	Death *retry.Death `json:"death,omitempty"`
}

// Frame carries tokens of one attempt from one offset on. The entry takes it
// only from the current attempt at the next offset, so that a late frame of an
// older attempt, a gap or an overlap never reaches a caller.
type Frame struct {
	AttemptRef
	// Offset counts from 0 and belongs to the first of Tokens.
	Offset int      `json:"offset"`
	Tokens []string `json:"tokens"`
	// Last marks the end of a whole answer.
	Last bool `json:"last,omitempty"`
}

// TraceRequest asks for what is known of a request.
type TraceRequest struct {
	Request domain.RequestID `json:"request"`
}

// The calls between entries.
const (
	// MethodTable asks for the operators' table: TableRequest to Table.
	MethodTable = "table"
	// MethodOffer hands over a table just written: Table to Table.
	MethodOffer = "offer"
)

// TableRequest asks for the table if it is newer than the version given.
type TableRequest struct {
	Have uint64 `json:"have"`
}

// Table is a version of the operators' table. Value is its stored form, empty
// where the asker has that version.
type Table struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// MethodRate asks the entry that counts for a caller whether it may send one more
// request: RateRequest to Rated.
const MethodRate = "rate"

// RateRequest is a request of a caller for a row of the table.
type RateRequest struct {
	Of limit.Key `json:"of"`
	// Rate is the row's, in requests a second.
	Rate float64 `json:"rate"`
	// Standby says that the entry is not the first that counts for the caller.
	Standby bool `json:"standby,omitempty"`
}

// RateReply is the answer: if it may not, when it may.
type RateReply struct {
	Granted bool          `json:"granted"`
	Wait    time.Duration `json:"wait,omitempty"`
}

// MethodState asks an entry for its own state: nothing to State.
const MethodState = "state"

// State is what an entry says of itself.
type State struct {
	Host     domain.Host `json:"host"`
	Zone     domain.Zone `json:"zone"`
	Version  uint64      `json:"table_version"`
	Since    time.Time   `json:"in_force_since"`
	Draining bool        `json:"draining,omitempty"`
	// Stale says that it hears of the table from nobody and takes no new work.
	Stale    bool `json:"stale,omitempty"`
	InFlight int  `json:"in_flight"`
}

// MethodMembers asks an entry for a service's member record: MembersRequest to a
// member.Record.
const MethodMembers = "members"

// MembersRequest asks for a record; Have is the version that the asker holds.
type MembersRequest struct {
	Service domain.Service `json:"service"`
	Have    uint64         `json:"have"`
}

// The calls and the notification by which keyed requests are claimed. What
// they carry are the messages of package claim.
const (
	// MethodClaim asks a shard's owner: claim.Request to Claimed.
	MethodClaim = "claim"
	// MethodResolve tells the owner how a try ended: claim.Resolution.
	MethodResolve = "resolve"
	// MethodAsk asks the runner of a try: claim.StatusRequest to claim.Resolution.
	MethodAsk = "ask"
	// MethodFence, MethodRestore and MethodHandover go between sides.
	MethodFence    = "fence"
	MethodRestore  = "restore"
	MethodHandover = "handover"
	// MethodOwned is a side's notification of the shards it owns: Owned.
	MethodOwned = "owned"
)

// ClaimReply answers a claim; just one of its fields is set.
type ClaimReply struct {
	Grant   *claim.Grant   `json:"grant,omitempty"`
	Refusal *claim.Refusal `json:"refusal,omitempty"`
}

// FenceReply answers a fence; just one of its fields is set.
type FenceReply struct {
	Reply   *claim.FenceReply `json:"reply,omitempty"`
	Refusal *claim.Refusal    `json:"refusal,omitempty"`
}

// Owned lists the shards that a side owns, all of them each time.
type Owned struct {
	Service domain.Service    `json:"service"`
	Shards  []claim.Ownership `json:"shards"`
}

// MethodCache is a side's notification of its engine's cache events: Cache.
const MethodCache = "cache"

// Cache carries cache events in the order of their numbers.
type Cache struct {
	Events []engine.CacheEvent `json:"events"`
}

// MethodOrder passes an operator's order for an engine to its side: Order to
// Ordered.
const MethodOrder = "order"

// Order is an operator's order to load a model or an adapter.
type Order struct {
	Kind  engine.OrderKind `json:"kind"`
	Value string           `json:"value"`
	// By names the operator, for the log.
	By string `json:"by"`
	// Within is how long the order may wait for its lease.
	Within time.Duration `json:"within"`
}

// OrderReply says that the engine took the order, under which fencing number.
type OrderReply struct {
	Fence uint64 `json:"fence"`
}
