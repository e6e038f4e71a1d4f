package domain

import (
	"strings"

	"jacinthworks/check"
)

// Problem is a refusal in the form in which callers receive it: an RFC 9457 problem,
// extended by the request's ID, the reason, and whether the request ran.
type Problem struct {
	Type       string         `json:"type"`
	Title      string         `json:"title"`
	Status     int            `json:"status"`
	Detail     string         `json:"detail,omitempty"`
	RequestID  RequestID      `json:"request_id"`
	Reason     Reason         `json:"reason"`
	Ran        Execution      `json:"ran"`
	RetryAfter float64        `json:"retry_after_seconds,omitempty"`
	Findings   check.Findings `json:"findings,omitempty"`
}

// Problem returns the refusal as an RFC 9457 problem.
func (r *Refusal) Problem() Problem {
	return Problem{
		Type: "about:blank", Title: strings.ReplaceAll(string(r.Reason), "_", " "), Status: r.Reason.Status(),
		Detail: r.Detail, RequestID: r.RequestID, Reason: r.Reason, Ran: r.Ran,
		RetryAfter: r.RetryAfter.Seconds(), Findings: r.Findings,
	}
}
