package main

import (
	"time"

	"jacinthworks/domain"
)

// maxAttempts bounds how often one send is filled, under every policy.
const maxAttempts = 2

// naive is the policy to compare with: round robin, unbounded queues at the
// engines, no reservations, and no refusals.
type naive struct {
	w                   *world
	nextFill, nextToken int
	lost                map[domain.Host]bool
}

func newNaive(w *world) *naive { return &naive{w: w, lost: make(map[domain.Host]bool)} }

func (n *naive) arrive(r *request) {
	if len(n.w.apps) > 0 {
		n.call(r)
		return
	}
	for range n.w.prefills {
		r.prefill = n.w.prefills[n.nextFill%len(n.w.prefills)]
		n.nextFill++
		if !n.lost[r.prefill.host] {
			break
		}
	}
	r.prefill.add(r)
}

// call sends a plain call to the next application server.
func (n *naive) call(r *request) {
	for range n.w.apps {
		r.app = n.w.apps[n.nextFill%len(n.w.apps)]
		n.nextFill++
		if !n.lost[r.app.host] {
			break
		}
	}
	r.app.add(r)
}

func (n *naive) filled(r *request, evict time.Time) {
	if r.over() {
		n.w.filledTokens += r.filled
		n.w.wasted += r.filled
		return
	}
	for range n.w.decodes {
		r.decode = n.w.decodes[n.nextToken%len(n.w.decodes)]
		n.nextToken++
		if !n.lost[r.decode.host] {
			break
		}
	}
	n.w.transfer(r, evict)
}

func (n *naive) evicted(r *request) {
	if r.over() {
		return
	}
	if r.attempt >= maxAttempts || !r.kind.row.Idempotent {
		n.w.end(r, failed)
		return
	}
	n.w.again(r)
	n.arrive(r)
}

func (n *naive) down(h domain.Host, lost []*request) {
	n.lost[h] = true
	for _, r := range lost {
		n.evicted(r)
	}
}

func (n *naive) free(*request) {}
func (n *naive) gone(*request) {}
