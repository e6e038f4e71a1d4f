package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

// fleetCall is one request, as its caller saw it.
type fleetCall struct {
	id, kind, method, target, body string
	entry, incarnation             int
	sent, ended                    time.Time
	got                            fake.Response
	// fresh says that its connection was made for it, left that its caller
	// gave up.
	fresh, left bool
}

// The callers of a fleet.
const (
	fleetCallers   = 12
	fleetWithin    = 4 * time.Second
	fleetPatience  = fleetWithin + 2*time.Second
	fleetThinks    = 15 * time.Millisecond
	fleetProbes    = 60 * time.Millisecond
	fleetGivesUpIn = 15 // one call in so many
)

// fleetKinds are the kinds that are served to their end; longKind is a stream
// whose caller always gives it up.
var fleetKinds = []string{"once", "again", "stream", "resumed"}

const longKind = "long"

// caller makes requests until ctx ends. It keeps a connection for as long as the
// entry lets it, also while the entry stops.
func (f *fleet) caller(ctx context.Context, number int, r *rand.Rand) {
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
			h = f.balanced(r)
			if h == nil {
				c = nil
				group.Sleep(ctx, fleetThinks)
				continue
			}
			l = h.now()
			c = &fake.Caller{To: l.listen}
		}
		kind, givesUp := pick(r, fleetKinds), r.IntN(fleetGivesUpIn) == 0
		if givesUp && r.IntN(2) == 0 {
			kind = longKind
		}
		one := call1(fmt.Sprintf("c%d-%d", number, n), kind)
		one.entry, one.incarnation = h.index, l.number
		f.call(c, one, givesUp, r)
		group.Sleep(ctx, fleetThinks)
		if ended(l) {
			c.Close()
			c = nil
		}
	}
}

// ended says whether a process is gone.
func ended(l *incarnation) bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// call1 gives a call of a kind, with a target of its own.
func call1(id, kind string) fleetCall {
	one := fleetCall{id: id, kind: kind, method: "POST", target: "/" + kind + "/" + id}
	if kind == "again" || kind == "probe" {
		one.method = "GET"
	} else {
		one.body = "body of " + id
	}
	return one
}

// call makes one call and keeps what became of it.
func (f *fleet) call(c *fake.Caller, one fleetCall, givesUp bool, r *rand.Rand) fleetCall {
	patience := fleetPatience
	if givesUp {
		patience = time.Duration(20+r.IntN(150)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(f.w.ctx, patience)
	defer cancel()
	a := fake.Request{ID: one.id, Method: one.method, Target: one.target, Body: one.body, Timeout: fleetWithin}
	if one.kind == "stream" || one.kind == "resumed" || one.kind == longKind {
		a.PromptTokens, a.MaxOutputTokens = 1000, 200
	}
	one.sent = time.Now()
	one.got, one.fresh = c.Do(ctx, a)
	one.ended = time.Now()
	one.left = givesUp && ctx.Err() != nil
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, one)
	return one
}

// balanced gives an entry that gets new connections; nil for none.
func (f *fleet) balanced(r *rand.Rand) *entryHost {
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

// probe asks one host again and again which version is in force there.
func (f *fleet) probe(ctx context.Context, h *entryHost) {
	for n := 0; ctx.Err() == nil; n++ {
		l := h.now()
		one := call1("p"+strconv.Itoa(h.index)+"-"+strconv.Itoa(n), "probe")
		one.entry, one.incarnation = h.index, l.number
		c := &fake.Caller{To: l.listen}
		f.call(c, one, false, nil)
		c.Close()
		group.Sleep(ctx, fleetProbes)
	}
}
