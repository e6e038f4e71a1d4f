package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

// fleetCall is one request, with what its caller received.
type fleetCall struct {
	id, kind, method, target, body string
	entry, incarnation             int
	sentAt, endedAt                time.Time
	response                       fake.Response
	// newConn reports whether a new connection was opened for the request, and abandoned whether
	// its caller gave up.
	newConn, abandoned bool
	// resumes and lastEvent are the call and the event after which this one resumes a stream; empty
	// for none.
	resumes, lastEvent string
}

// Number and timing of the fleet's callers.
const (
	fleetCallers        = 12
	fleetRequestTimeout = 4 * time.Second
	fleetCallerTimeout  = fleetRequestTimeout + 2*time.Second
	fleetThinkTime      = 15 * time.Millisecond
	fleetProbeInterval  = 60 * time.Millisecond
	fleetAbandonEvery   = 15 // one call of this many is abandoned
)

// fleetKinds are the kinds of requests whose answers are read to the end. longKind is a stream that its
// caller always abandons.
var fleetKinds = []string{"once", "again", "stream", "resumed", plainStreamKind}

// plainStreamKind is a stream of plain servers that may be resumed.
const plainStreamKind = "plain-stream"

const longKind = "long"

// isStream reports whether calls of a kind are answered with a stream.
func isStream(kind string) bool {
	return slices.Contains([]string{"stream", "resumed", plainStreamKind, singleKind, resumedKind, longKind, deadlyKind}, kind)
}

// runCaller sends requests until ctx ends. It keeps a connection for as long as the entry allows,
// also while the entry stops.
func (f *fleet) runCaller(ctx context.Context, number int, r *rand.Rand) {
	var c *fake.Caller
	var h *entryHost
	var l *incarnation
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil || r.IntN(12) == 0 {
			if c != nil {
				c.Close()
			}
			h = f.pickReadyEntry(r)
			if h == nil {
				c = nil
				group.Sleep(ctx, fleetThinkTime)
				continue
			}
			l = h.current()
			c = &fake.Caller{EntryAddr: l.listen}
		}
		kinds := fleetKinds
		if f.versions {
			kinds = append(slices.Clone(kinds), singleKind)
		}
		if f.fleetKills {
			kinds = append(kinds, singleKind, singleKind, singleKind)
		}
		kind, givesUp := pick(r, kinds), r.IntN(fleetAbandonEvery) == 0
		if givesUp && r.IntN(2) == 0 {
			kind = longKind
		}
		request := newFleetCall(fmt.Sprintf("c%d-%d", number, n), kind)
		request.entry, request.incarnation = h.index, l.number
		request = f.sendCall(c, request, givesUp, r)
		if f.versions && kind == singleKind && request.response.Err != nil && !request.abandoned {
			f.resumeBroken(ctx, request, r)
		}
		group.Sleep(ctx, fleetThinkTime)
		if hasExited(l) {
			c.Close()
			c = nil
		}
	}
}

// hasExited reports whether a process has exited.
func hasExited(l *incarnation) bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// newFleetCall returns a call of a kind, with a target that no other call has.
func newFleetCall(id, kind string) fleetCall {
	request := fleetCall{id: id, kind: kind, method: "POST", target: "/" + kind + "/" + id}
	if kind == "again" || kind == "probe" {
		request.method = "GET"
	} else {
		request.body = "body of " + id
	}
	return request
}

// sendCall sends one request on the caller's connection and records its outcome.
func (f *fleet) sendCall(c *fake.Caller, request fleetCall, givesUp bool, r *rand.Rand) fleetCall {
	patience := fleetCallerTimeout
	if givesUp {
		patience = time.Duration(20+r.IntN(150)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(f.w.ctx, patience)
	defer cancel()
	a := fake.Request{ID: request.id, Method: request.method, Target: request.target, Body: request.body, Timeout: fleetRequestTimeout, Resumes: request.resumes, LastEvent: request.lastEvent}
	if isStream(request.kind) {
		a.PromptTokens, a.MaxOutputTokens = 1000, 200
		if f.deadly {
			a.PromptParts = request.promptParts()
		}
	}
	request.sentAt = time.Now()
	request.response, request.newConn = c.Do(ctx, a)
	request.endedAt = time.Now()
	request.abandoned = givesUp && ctx.Err() != nil
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, request)
	return request
}

// pickReadyEntry returns an entry to which the load balancer routes new connections, or nil if
// there is none.
func (f *fleet) pickReadyEntry(r *rand.Rand) *entryHost {
	var all []*entryHost
	for _, h := range f.entries {
		h.mu.Lock()
		if h.ready {
			all = append(all, h)
		}
		h.mu.Unlock()
	}
	if len(all) == 0 {
		return nil
	}
	return pick(r, all)
}

// runProbes asks one host periodically which version of the configuration is in force there.
func (f *fleet) runProbes(ctx context.Context, h *entryHost) {
	for n := 0; ctx.Err() == nil; n++ {
		l := h.current()
		request := newFleetCall("p"+strconv.Itoa(h.index)+"-"+strconv.Itoa(n), "probe")
		request.entry, request.incarnation = h.index, l.number
		c := &fake.Caller{EntryAddr: l.listen}
		f.sendCall(c, request, false, nil)
		c.Close()
		group.Sleep(ctx, fleetProbeInterval)
	}
}
