package main

import (
	"time"

	"jacinthworks/domain"
)

// maxAttempts bounds the attempts per send, under every policy.
const maxAttempts = 2

// naivePolicy is the baseline that the router is compared with: round robin, unbounded queues at the engines,
// no reservations and no refusals.
type naivePolicy struct {
	sim                     *simulation
	nextPrefill, nextDecode int
	crashed                 map[domain.Host]bool
}

func newNaivePolicy(w *simulation) *naivePolicy {
	return &naivePolicy{sim: w, crashed: make(map[domain.Host]bool)}
}

func (n *naivePolicy) arrive(r *request) {
	if len(n.sim.apps) > 0 {
		n.callApp(r)
		return
	}
	for range n.sim.prefills {
		r.prefill = n.sim.prefills[n.nextPrefill%len(n.sim.prefills)]
		n.nextPrefill++
		if !n.crashed[r.prefill.host] {
			break
		}
	}
	r.prefill.add(r)
}

// callApp sends a plain call to the next application server.
func (n *naivePolicy) callApp(r *request) {
	for range n.sim.apps {
		r.app = n.sim.apps[n.nextPrefill%len(n.sim.apps)]
		n.nextPrefill++
		if !n.crashed[r.app.host] {
			break
		}
	}
	r.app.add(r)
}

func (n *naivePolicy) prefillDone(r *request, evictAt time.Time) {
	if r.hasEnded() {
		n.sim.filledTokens += r.filledTokens
		n.sim.wastedTokens += r.filledTokens
		return
	}
	for range n.sim.decodes {
		r.decode = n.sim.decodes[n.nextDecode%len(n.sim.decodes)]
		n.nextDecode++
		if !n.crashed[r.decode.host] {
			break
		}
	}
	n.sim.transferKV(r, evictAt)
}

func (n *naivePolicy) kvEvicted(r *request) {
	if r.hasEnded() {
		return
	}
	if r.attempt >= maxAttempts || !r.kind.row.Idempotent {
		n.sim.end(r, outcomeFailed)
		return
	}
	n.sim.resetForRetry(r)
	n.arrive(r)
}

func (n *naivePolicy) upstreamCrashed(h domain.Host, lost []*request) {
	n.crashed[h] = true
	for _, r := range lost {
		n.kvEvicted(r)
	}
}

func (n *naivePolicy) release(*request) {}
func (n *naivePolicy) expire(*request)  {}
