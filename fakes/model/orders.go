package model

import (
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

// ReceivedOrder is an order that the engine received; Executed reports whether the
// engine executed it.
type ReceivedOrder struct {
	engine.Order
	At       time.Time `json:"at"`
	Executed bool      `json:"obeyed"`
}

// Orders returns a copy of all orders received so far.
func (e *Engine) Orders() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedOrder{}, e.orders...)
}

// order executes an order unless its fencing number is lower than that of an earlier
// order. An equal number is accepted, since the sender retries if the answer is lost.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	m := e.currentState()
	executed := e.execute(o)
	if !executed {
		serve.WriteJSON(w, http.StatusConflict, engine.Problem{Code: engine.CodeFenced, Detail: "old fencing number"})
		return
	}
	if o.Kind == engine.OrderLoad && e.simulateWork(m.ctx, e.LoadTime) != nil {
		serve.AbortConn()
	}
	serve.WriteJSON(w, http.StatusOK, o)
}

// execute records an order and applies it if its fencing number permits. It reports
// whether the order was applied.
func (e *Engine) execute(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	executed := e.IgnoresFencing || o.Fence >= e.fence
	e.orders = append(e.orders, ReceivedOrder{Order: o, At: time.Now(), Executed: executed})
	if !executed {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case engine.OrderRole:
		e.Role = domain.Role(o.Value)
	case engine.OrderLoad:
		e.Model = domain.Service(o.Value)
	}
	e.recordState()
	return true
}

// cancel ends the runs of a request and removes its KV caches. A cancel of an unknown
// request gets the same answer.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var o engine.CancelRequest
	if !serve.ReadJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer serve.WriteJSON(w, http.StatusOK, o)
	if e.fault.DropCancels > 0 {
		e.fault.DropCancels--
		return
	}
	m := e.volatile
	for run, stop := range m.running {
		if run.Request == o.Request {
			run.setOutcome(OutcomeCancelled)
			stop(errCancelled)
			delete(m.running, run)
		}
	}
	for handle, c := range m.caches {
		if c.request == o.Request {
			delete(m.caches, handle)
		}
	}
	e.recordState()
}
