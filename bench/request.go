package main

import (
	"time"

	"jacinthworks/domain"
	"jacinthworks/route"
)

// outcome is what a caller received for one send.
type outcome string

const (
	waiting  outcome = ""
	answered outcome = "answered"
	refused  outcome = "refused"
	failed   outcome = "failed"
	gone     outcome = "gone" // the caller's deadline passed
)

// request is one send of a caller.
type request struct {
	id      domain.RequestID
	caller  *caller
	kind    *kind
	attempt domain.Attempt
	prompt  int
	output  int
	// prefix names the document; key is the hash of the body.
	prefix       uint64
	prefixTokens int
	key          uint64
	// send counts the sends of the same work, from 1.
	send int
	sent time.Time
	// left is when the request left its queue, with so many tokens to fill.
	left   time.Time
	toFill int
	// first and end are when its first and last token reached the caller.
	first, end time.Time
	outcome    outcome
	retryAfter time.Duration

	// The engines that have the request, and what they hold for it.
	prefill *prefillEngine
	decode  *decodeEngine
	app     *appServer
	pair    route.EnginePair
	// filled counts prompt tokens that engines filled for the request.
	filled int
	done   func(r *request)
}

// over says that nothing more is to be done for the request.
func (r *request) over() bool { return r.outcome != waiting }

func (r *request) deadline() time.Time {
	return r.sent.Add(time.Duration(r.kind.row.Deadline))
}

func (r *request) firstTarget() time.Time {
	if r.kind.row.FirstToken == 0 {
		return r.deadline()
	}
	return r.sent.Add(time.Duration(r.kind.row.FirstToken))
}

// gap is the mean time between the tokens of the answer.
func (r *request) gap() time.Duration {
	if r.output < 2 {
		return 0
	}
	return r.end.Sub(r.first) / time.Duration(r.output-1)
}

// good says that the answer met both latency targets. A row that may wait has
// its deadline in place of the target for the first token.
func (r *request) good() bool {
	if r.outcome != answered || r.gap() > time.Duration(r.kind.row.TokenGap) {
		return false
	}
	return r.kind.row.MayWait || !r.first.After(r.firstTarget())
}

// finish ends the request once.
func (r *request) finish(o outcome) {
	if r.over() {
		return
	}
	r.outcome = o
	r.done(r)
}
