package main

import (
	"time"

	"jacinthworks/domain"
	"jacinthworks/route"
)

// outcome is the result of one send for its caller.
type outcome string

const (
	outcomePending  outcome = ""
	outcomeAnswered outcome = "answered"
	outcomeRefused  outcome = "refused"
	outcomeFailed   outcome = "failed"
	outcomeExpired  outcome = "gone" // the caller's deadline passed
)

// request is one send of a caller.
type request struct {
	id      domain.RequestID
	caller  *caller
	kind    *kind
	attempt domain.Attempt
	prompt  int
	output  int
	// prefix identifies the prompt prefix; bodyHash is the hash of the body.
	prefix       uint64
	prefixTokens int
	bodyHash     uint64
	// sendNumber counts the sends of the same body by its caller, from 1.
	sendNumber int
	sentAt     time.Time
	// dequeuedAt is the time at which the request left the entry's queue;
	// promptToFill is the number of prompt tokens for the latency estimate.
	dequeuedAt   time.Time
	promptToFill int
	// firstTokenAt and endedAt are the times at which the first and the last token
	// reached the caller.
	firstTokenAt, endedAt time.Time
	outcome               outcome
	retryAfter            time.Duration

	// The upstreams that process the request.
	prefill *prefillEngine
	decode  *decodeEngine
	app     *appServer
	pair    route.EnginePair
	// filledTokens counts the prompt tokens that engines prefilled for the request.
	filledTokens int
	onEnd        func(r *request)
}

// hasEnded reports whether the request has an outcome.
func (r *request) hasEnded() bool { return r.outcome != outcomePending }

func (r *request) deadline() time.Time {
	return r.sentAt.Add(time.Duration(r.kind.row.Deadline))
}

// firstTokenDeadline returns the time by which the first token is due: the
// request's deadline if its kind has no target for the first token.
func (r *request) firstTokenDeadline() time.Time {
	if r.kind.row.FirstToken == 0 {
		return r.deadline()
	}
	return r.sentAt.Add(time.Duration(r.kind.row.FirstToken))
}

// meanTokenGap returns the mean time between the tokens of the answer, zero for
// fewer than two tokens.
func (r *request) meanTokenGap() time.Duration {
	if r.output < 2 {
		return 0
	}
	return r.endedAt.Sub(r.firstTokenAt) / time.Duration(r.output-1)
}

// meetsTargets reports whether the request was answered within both latency targets.
// A kind that may wait has no target for the first token, only its deadline.
func (r *request) meetsTargets() bool {
	if r.outcome != outcomeAnswered || r.meanTokenGap() > time.Duration(r.kind.row.TokenGap) {
		return false
	}
	return r.kind.row.MayWait || !r.firstTokenAt.After(r.firstTokenDeadline())
}

// finish records the request's outcome and calls onEnd; further calls have no effect.
func (r *request) finish(o outcome) {
	if r.hasEnded() {
		return
	}
	r.outcome = o
	r.onEnd(r)
}
