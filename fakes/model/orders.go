package model

import (
	"net/http"
	"time"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
)

// ReceivedOrder is an order that the engine was given.
type ReceivedOrder struct {
	engine.Order
	At       time.Time `json:"at"`
	Executed bool      `json:"obeyed"`
}

// Orders gives a copy of all orders so far.
func (e *Engine) Orders() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedOrder{}, e.orders...)
}

// order obeys unless the fencing number is old. The same number again is
// obeyed: its sender may have lost the answer.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !serve.Read(w, r, &o) {
		return
	}
	m := e.now()
	obeyed := e.obey(o)
	if !obeyed {
		serve.Write(w, http.StatusConflict, engine.Problem{Code: engine.CodeFenced, Detail: "old fencing number"})
		return
	}
	if o.Kind == engine.OrderLoad && e.pace(m.ctx, e.LoadTime) != nil {
		serve.AbortConn()
	}
	serve.Write(w, http.StatusOK, o)
}

func (e *Engine) obey(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	obeyed := e.IgnoresFencing || o.Fence >= e.fence
	e.orders = append(e.orders, ReceivedOrder{Order: o, At: time.Now(), Executed: obeyed})
	if !obeyed {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case engine.OrderRole:
		e.Role = domain.Role(o.Value)
	case engine.OrderLoad:
		e.Model = domain.Service(o.Value)
	}
	e.note()
	return true
}

// cancel frees whatever the request holds. A cancel of nothing is answered
// like any other.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var o engine.CancelRequest
	if !serve.Read(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer serve.Write(w, http.StatusOK, o)
	if e.fault.DropCancels > 0 {
		e.fault.DropCancels--
		return
	}
	m := e.memory
	for run, stop := range m.running {
		if run.Request == o.Request {
			run.end(Cancelled)
			stop(errCancelled)
			delete(m.running, run)
		}
	}
	for handle, c := range m.caches {
		if c.request == o.Request {
			delete(m.caches, handle)
		}
	}
	e.note()
}
