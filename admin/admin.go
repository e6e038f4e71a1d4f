// Package admin implements the operators' HTTP interface: Server on an entry's
// administration address, and Client for the commands.
//
// # Usage
//
//	s := admin.Server{Operators: settings.Operators, TableSource: &holder, Editor: &ed,
//		StatusSource: entry, Traces: entry, Drainer: entry, Log: log}
//	http.Serve(listener, s.Handler())
//
//	c := admin.Client{Address: netip.MustParseAddrPort("127.0.0.1:8001"), Token: token}
//	t, err := c.Table(ctx)
//	o, err := c.Edit(ctx, admin.EditRequest{Edit: edit, IfMatch: &version})
//
// The paths, all of which require an operator's bearer token:
//
//	GET   /admin/v1/table           JSON or CSV by Accept; ETag is the version
//	PATCH /admin/v1/table           a table.Edit as JSON, or CSV records to put
//	GET   /admin/v1/status          state and table version of each host
//	GET   /admin/v1/requests/{id}   the trace of a request
//	POST  /admin/v1/drain           {"host": "..."}
//	POST  /admin/v1/orders          an OrderRequest
//
// PATCH accepts If-Match with the ETag that the edit was made for; without it the
// edit applies to any version. Idempotency-Key, or "id" in JSON, is the edit's id;
// "?sent_before=true" says that the edit was sent before and is unsettled. An error
// is a Problem as application/problem+json.
package admin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/check"
	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/table"
	"jacinthworks/trace"
)

// The paths of the interface.
const (
	pathTable    = "/admin/v1/table"
	pathStatus   = "/admin/v1/status"
	pathRequests = "/admin/v1/requests/"
	pathDrain    = "/admin/v1/drain"
	pathOrders   = "/admin/v1/orders"
)

// The media types of the interface.
const (
	typeJSON    = "application/json"
	typeCSV     = "text/csv"
	typeProblem = "application/problem+json"
)

// headerEditID is the header field with the id of an edit.
const headerEditID = "Idempotency-Key"

// The errors of TraceSource, Drainer and Orderer.
var (
	// ErrNoTrace is returned if no event of the request was found.
	ErrNoTrace = errors.New("admin: no story of this request")
	// ErrUnknownHost is returned if the entry tracks no host with this name.
	ErrUnknownHost = errors.New("admin: no such host")
)

// TableSource returns the table in force on this host; *table.Holder implements it.
type TableSource interface {
	Table() table.Table
}

// Editor submits edits; *editor.Editor implements it.
type Editor interface {
	Submit(ctx context.Context, s editor.Submission) editor.Outcome
}

// StatusSource returns the state of the hosts.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// TraceSource returns the trace of a request, or ErrNoTrace if there is none.
type TraceSource interface {
	Trace(ctx context.Context, id domain.RequestID) (trace.Trace, error)
}

// Drainer makes a host accept no new work. It returns ErrUnknownHost if there is no
// such host.
type Drainer interface {
	Drain(ctx context.Context, host domain.Host, by string) error
}

// Status is the state of the hosts as seen by the host that responds.
type Status struct {
	// Host is the host that responds.
	Host domain.Host `json:"host"`
	// Version is the newest version of the table that the responding host has
	// received.
	Version table.Version `json:"table_version"`
	Hosts   []HostStatus  `json:"hosts"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	Host    domain.Host    `json:"host"`
	Zone    domain.Zone    `json:"zone"`
	Role    domain.Role    `json:"role"`
	Service domain.Service `json:"service,omitempty"`
	State   HostState      `json:"state"`
	// Version is the version of the table in force on the host since Since; zero
	// for hosts without a table.
	Version table.Version `json:"table_version,omitempty"`
	Since   time.Time     `json:"in_force_since,omitzero"`
	// InFlight is the number of requests in progress.
	InFlight int `json:"in_flight"`
	// LastSeen is when the last message of the host was received, on the
	// responding host's clock.
	LastSeen time.Time `json:"heard,omitzero"`
}

// HostState is whether a host accepts new work, as seen by the responding host.
type HostState string

// The states of a host.
const (
	HostServing  HostState = "serving"
	HostDraining HostState = "draining"
	// HostStale has not received a confirmation of its table in time and
	// accepts no new work.
	HostStale HostState = "stale"
	// HostUnreachable has sent no message within the timeout.
	HostUnreachable HostState = "silent"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// State, Reason and Version are the state, the refusal reason and the table
	// version of an edit that was not accepted; empty for other requests.
	State    editor.State   `json:"state,omitempty"`
	Reason   editor.Reason  `json:"reason,omitempty"`
	Version  table.Version  `json:"table_version,omitempty"`
	EditID   table.EditID   `json:"edit_id,omitempty"`
	Findings check.Findings `json:"findings,omitempty"`
}

// Error returns title, detail and findings.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	if len(p.Findings) > 0 {
		text += "\n" + p.Findings.Error()
	}
	return text
}

// EditReply is the response to an accepted edit.
type EditReply struct {
	EditID  table.EditID  `json:"edit_id"`
	State   editor.State  `json:"state"`
	Version table.Version `json:"table_version"`
}

func problem(status int, detail string) *Problem {
	return &Problem{Title: http.StatusText(status), Status: status, Detail: detail}
}

func etag(v table.Version) string { return fmt.Sprintf("%q", fmt.Sprint(uint64(v))) }
