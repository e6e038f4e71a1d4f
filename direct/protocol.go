package direct

import (
	"net/http"
	"net/netip"
	"time"

	"jacinthworks/fence"
	"jacinthworks/pacer"
	"jacinthworks/roster"
	"jacinthworks/send"
	"jacinthworks/work"
)

// Protocol is how requests and answers say what the product has to know of
// them, beside method, path and body. Each deployment's adapter has one.
type Protocol interface {
	// Ask reads what a request says of itself, and takes out of its header
	// what only this system may set.
	Ask(h http.Header) Ask
	// Key reads the key that a caller shows, and takes it out of its header
	// together with whatever it says of its account.
	Key(h http.Header) string
	// Stamp sets what an upstream is to know of an attempt.
	Stamp(h http.Header, s Stamp)
	// Note tells what an answer says beside its body.
	Note(status int, h http.Header) Note
	// Known says whether a header field of an answer has a meaning here, be it used or not.
	Known(name string) bool
	// Handle reads the answer to a prefill.
	Handle(body []byte) (Handle, error)
	// Free gives the call that frees a prefilled prompt.
	Free(h Handle) send.Request
	// Hold gives the call that holds room for so many tokens, Held reads its
	// answer ("" where there is no room), Drop gives the call that frees it.
	Hold(tokens int, life time.Duration) (send.Request, error)
	Held(status int, body []byte) (Hold, error)
	Drop(h Hold) send.Request
	// AskState gives the call for an engine's state, State reads its answer.
	AskState() send.Request
	State(body []byte) (State, error)
	// ChangeRole gives the order that changes an engine's role, if it has
	// taken just so many orders before; Ordered reads its answer's status.
	ChangeRole(to work.Role, holder work.Host, number fence.Number, after int) (send.Request, error)
	Ordered(status int) Ordered
}

// Ask is what a request says of itself.
type Ask struct {
	// ID is the caller's, one for each send.
	ID work.RequestID
	// Within is how long the caller waits; zero where it does not say.
	Within time.Duration
	// Prompt and Output are the prompt's tokens and the most of the answer.
	Prompt, Output int
	// Likely is the caller's guess of the answer's tokens; zero for none.
	Likely int
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

// Stamp is what an upstream is to know of an attempt.
type Stamp struct {
	// Upstream is the start that the attempt is meant for; any other refuses.
	Upstream roster.ID
	// Account is who asks; empty where callers have no accounts.
	Account work.Account
	// Within is the time left.
	Within time.Duration
	Stage  Stage
	// Source is where the prompt's memory is, for StageDecode.
	Source Handle
	// Hold is room that is held for the attempt.
	Hold Hold
	// LastEvent is the last event passed on, where a stream goes on.
	LastEvent string
	// Priority is the route's rank, 0 first.
	Priority int
}

// Note is what an answer says beside its body.
type Note struct {
	// ID is that of the request it answers; empty where it does not say.
	ID work.RequestID
	// Unrun says that the upstream did not run the request and will not.
	Unrun bool
	// Elsewhere says that the request was not for this start of the upstream,
	// or not for its role; Instance is the start that answered, where it says.
	Elsewhere bool
	Instance  roster.ID
	// HasLoad says that Running counts the requests there, those that wait
	// included.
	HasLoad bool
	Running int
	// HasLimit says that Limit is the rate limit that the upstream stated, or that it
	// stated none.
	HasLimit bool
	Limit    pacer.Rate
	// Leaving says that the upstream is on its way out.
	Leaving bool
	// Backoff is for how long the upstream wants nothing of this process; zero where it
	// does not say.
	Backoff time.Duration
	// Unread are the names of fields that say nothing which could be read.
	Unread []string
}

// Handle is the memory of a prompt that was read, at an upstream.
type Handle struct {
	At     netip.AddrPort
	Name   string
	Tokens int
}

// Valid says whether there is one.
func (h Handle) Valid() bool { return h.Name != "" }

// Hold names room that an engine keeps for one request.
type Hold string

// State is an engine's own account of itself.
type State struct {
	// Born is when it started; zero where it does not say.
	Born time.Time
	Role work.Role
	// Changing says that an order is being carried out; Orders counts those
	// taken since its start.
	Changing bool
	Orders   int
	// Running and Waiting count requests; Taken is the part of Memory, in
	// tokens, that cannot be given up.
	Running, Waiting int
	Memory, Taken    int
	// Leaving says that it is on its way out.
	Leaving bool
}

// Ordered is what an engine answers to an order.
type Ordered string

// The answers. Any other end leaves open whether it will be carried out.
const (
	OrderTaken   Ordered = "taken"
	OrderFenced  Ordered = "fenced"
	OrderRefused Ordered = "refused"
)
