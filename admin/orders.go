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

// ErrNotTeamMember says that none of the operator's teams owns a row of the service.
var ErrNotTeamMember = errors.New("admin: no row of the service belongs to your teams")

// DefaultOrderTimeout is how long an order may wait for the order lease of its
// engine, below the time that clients wait. The lease of a side that died lasts
// longer: an order then has to be given again.
const DefaultOrderTimeout = 8 * time.Second

// OrderRequest is an order to the engine beside a side.
type OrderRequest struct {
	// Host is the side's name.
	Host domain.Host `json:"host"`
	// Kind is load or adapter, Value what to load.
	Kind  engine.OrderKind `json:"kind"`
	Value string           `json:"value"`
}

// OrderReply says that the engine took the order.
type OrderReply struct {
	OrderRequest
	// Fence is the fencing number that went with it.
	Fence uint64 `json:"fence"`
}

// Orderer passes an order on; ErrUnknownHost when there is no such side.
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
	given, err := s.Orderer.SendOrder(r.Context(), o, by)
	s.log().Info("order", "operator", by.Name, "target", o.Host, "kind", o.Kind, "value", o.Value, "fence", given.Fence, "err", err)
	switch {
	case errors.Is(err, ErrUnknownHost):
		writeProblem(w, problem(http.StatusNotFound, "no side "+string(o.Host)+" is known"))
	case errors.Is(err, ErrNotTeamMember):
		writeProblem(w, problem(http.StatusForbidden, err.Error()))
	case err != nil:
		writeProblem(w, problem(http.StatusServiceUnavailable, err.Error()))
	default:
		writeJSON(w, typeJSON, http.StatusOK, given)
	}
}

// SendOrder gives an order to the engine beside a side.
func (c *Client) SendOrder(ctx context.Context, o OrderRequest) (OrderReply, error) {
	var given OrderReply
	err := c.call(ctx, http.MethodPost, pathOrders, nil, o, &given)
	return given, err
}
