package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/table"
)

// ErrNotTeamMember is returned if no row of the service belongs to one of the operator's
// teams.
var ErrNotTeamMember = errors.New("admin: no row of the service belongs to your teams")

// DefaultOrderTimeout is how long an order may wait for the order lease of its
// engine; it is below the timeout of clients. The lease of a side that crashed lasts
// longer, so the operator must then repeat the order.
const DefaultOrderTimeout = 8 * time.Second

// OrderRequest is an operator's order to the engine behind a side.
type OrderRequest struct {
	// Host is the side's name.
	Host domain.Host `json:"host"`
	// Kind is load or adapter; Value names what to load.
	Kind  engine.OrderKind `json:"kind"`
	Value string           `json:"value"`
}

// OrderReply is the response to an order that the engine accepted.
type OrderReply struct {
	OrderRequest
	// Fence is the fencing token of the order.
	Fence uint64 `json:"fence"`
}

// Orderer forwards an order. It returns ErrUnknownHost if there is no such side.
type Orderer interface {
	SendOrder(ctx context.Context, o OrderRequest, by table.Operator) (OrderReply, error)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request, by table.Operator) {
	var o OrderRequest
	if p := readJSON(r.Body, &o); p != nil {
		writeProblem(w, p)
		return
	}
	if o.Host == "" || o.Value == "" || o.Kind != engine.OrderLoad && o.Kind != engine.OrderAdapter {
		writeProblem(w, problem(http.StatusBadRequest, "needs host, kind (load or adapter) and value"))
		return
	}
	reply, err := s.Orderer.SendOrder(r.Context(), o, by)
	s.log().Info("order", "operator", by.Name, "target", o.Host, "kind", o.Kind, "value", o.Value, "fence", reply.Fence, "err", err)
	switch {
	case errors.Is(err, ErrUnknownHost):
		writeProblem(w, problem(http.StatusNotFound, "no side "+string(o.Host)+" is known"))
	case errors.Is(err, ErrNotTeamMember):
		writeProblem(w, problem(http.StatusForbidden, err.Error()))
	case err != nil:
		writeProblem(w, problem(http.StatusServiceUnavailable, err.Error()))
	default:
		writeJSON(w, typeJSON, http.StatusOK, reply)
	}
}

// SendOrder sends an order to the engine behind a side.
func (c *Client) SendOrder(ctx context.Context, o OrderRequest) (OrderReply, error) {
	var reply OrderReply
	err := c.call(ctx, http.MethodPost, pathOrders, nil, o, &reply)
	return reply, err
}
