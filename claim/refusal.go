package claim

import (
	"fmt"

	"jacinthworks/domain"
)

// Code is the reason why a claim, a dispatch or a request to a runner was refused.
type Code string

// The codes of refusals. Owner.Claim returns the first six, CodeOtherRunner and CodeFull;
// the methods of Runner return the last five.
const (
	// CodeOtherBody: the key was claimed for a request with another body.
	CodeOtherBody Code = "other_body"
	// CodeInProgress: an attempt of the key is granted and has not ended.
	CodeInProgress Code = "in_progress"
	// CodeAlreadyRan: an attempt of the key ran.
	CodeAlreadyRan Code = "already_ran"
	// CodeMayHaveRun: an attempt of the key may have run.
	CodeMayHaveRun Code = "may_have_run"
	// CodeNotRestored: the table is not complete and does not list the key.
	CodeNotRestored Code = "unvouched"
	// CodeNotOwner: this process does not own the shard.
	CodeNotOwner Code = "not_owner"

	// CodeFenced: the message is of an older epoch than the runner's fence.
	CodeFenced Code = "fenced"
	// CodeKeyTaken: the runner lists the key already.
	CodeKeyTaken Code = "key_taken"
	// CodeBlocked: the attempt was blocked before its dispatch arrived.
	CodeBlocked Code = "refused_beforehand"
	// CodeOtherRunner: the named runner is not eligible, is another incarnation, or did not
	// accept the attempt.
	CodeOtherRunner Code = "other_runner"

	// CodeFull: the shard remembers as many keys as MaxKeys allows.
	CodeFull Code = "full"
)

// Refusal is the error of a Ledger, an Owner or a Runner that refuses a message.
type Refusal struct {
	Code Code `json:"code"`
	// KeyRan states whether any attempt of the key ran, as a caller may be told.
	KeyRan domain.Execution `json:"ran"`
	// AttemptNotRun reports that this attempt did not run and never will: the entry may resolve
	// it as StateNotRun. If false, the refusal does not say whether the attempt ran.
	AttemptNotRun bool `json:"try_not_run"`
	// Epoch is the epoch of the refusing owner, or the runner's fence; zero if there is
	// none.
	Epoch Epoch `json:"epoch"`
	// Attempt and Runner name the earlier attempt of the key and the runner that can report its
	// status, if known.
	Attempt AttemptID `json:"try"`
	Runner  Process   `json:"runner"`
}

// Error returns the code, whether the key ran, and the epoch, in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("claim: %s (%s) at epoch %s", r.Code, r.KeyRan, r.Epoch)
}

// Reason returns the reason that callers receive for a refusal with this code.
func (r *Refusal) Reason() domain.Reason {
	switch r.Code {
	case CodeOtherBody:
		return domain.ReasonOtherBody
	case CodeInProgress:
		return domain.ReasonInProgress
	case CodeAlreadyRan:
		return domain.ReasonAlreadyRan
	case CodeMayHaveRun, CodeNotRestored, CodeKeyTaken:
		return domain.ReasonMayHaveRun
	}
	return domain.ReasonNoClaim
}
