package claim

import (
	"fmt"

	"jacinthworks/domain"
)

// Code says why a claim, a dispatch or an order was refused.
type Code string

// The codes. The first six answer Claim, the next four Accept and orders.
const (
	CodeOtherBody   Code = "other_body"
	CodeInProgress  Code = "in_progress"
	CodeAlreadyRan  Code = "already_ran"
	CodeMayHaveRun  Code = "may_have_run"
	CodeNotRestored Code = "unvouched"
	CodeNotOwner    Code = "not_owner"

	CodeFenced      Code = "fenced"
	CodeKeyTaken    Code = "key_taken"
	CodeRefused     Code = "refused_beforehand"
	CodeOtherRunner Code = "other_runner"

	CodeFull Code = "full"
)

// Refusal is a typed refusal of a Book, an owner or a runner.
type Refusal struct {
	Code Code `json:"code"`
	// Ran is what may be said to a caller of its key, whichever send of it
	// ran.
	Ran domain.Execution `json:"ran"`
	// TryNotRun says that this try did not run and never will: the entry may
	// resolve it as StateNotRun. When false, silence of the runner is all
	// that is known.
	TryNotRun bool `json:"try_not_run"`
	// Epoch is the epoch that the refuser knows of, if any.
	Epoch Epoch `json:"epoch"`
	// AttemptID and Runner name the earlier try of the key and who can be asked
	// about it, if known.
	Try    AttemptID `json:"try"`
	Runner Process   `json:"runner"`
}

// Error gives code, account and epoch in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("claim: %s (%s) at epoch %s", r.Code, r.Ran, r.Epoch)
}

// Reason gives the word for the refusal that callers see.
func (r *Refusal) Reason() domain.Reason {
	switch r.Code {
	case CodeOtherBody:
		return domain.ReasonOtherBody
	case CodeInProgress:
		return domain.ReasonInProgress
	case CodeAlreadyRan:
		return domain.ReasonAnswered
	case CodeMayHaveRun, CodeNotRestored, CodeKeyTaken:
		return domain.ReasonKeyUnknown
	}
	return domain.ReasonNoClaim
}
