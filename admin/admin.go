// Package admin is the operators' interface over HTTP, both ends of it: Server
// on an entry's administration address, and Client for the commands.
//
// # Usage
//
//	s := admin.Server{Operators: settings.Operators, Tables: &holder, Editor: &ed,
//		Status: entry, Stories: entry, Drains: entry, Log: log}
//	http.Serve(listener, s.Handler())
//
//	c := admin.Client{Address: netip.MustParseAddrPort("127.0.0.1:8001"), Token: token}
//	t, err := c.Table(ctx)
//	o, err := c.Edit(ctx, admin.EditRequest{Edit: edit, IfMatch: &version})
//
// The paths, all with an operator's bearer token:
//
//	GET   /admin/v1/table           JSON or CSV by Accept; ETag is the version
//	PATCH /admin/v1/table           a table.Edit as JSON, or CSV records to put
//	GET   /admin/v1/status          which host holds which version, since when
//	GET   /admin/v1/requests/{id}   the story of a request
//	POST  /admin/v1/drain           {"host": "..."}
//	POST  /admin/v1/orders          an OrderRequest
//
// PATCH takes If-Match with the ETag that the edit was made for, or none for
// an edit that holds for any version. Idempotency-Key, or "id" in JSON, is the
// edit's id; "?sent_before=true" says that it was sent before and is not
// settled. An error is application/problem+json: a Problem.
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

const headerEditID = "Idempotency-Key"

// The errors of sources.
var (
	// ErrNoTrace says that nothing is known of a request.
	ErrNoTrace = errors.New("admin: no story of this request")
	// ErrUnknownHost says that no such host is known.
	ErrUnknownHost = errors.New("admin: no such host")
)

// TableSource gives the table in force on this host; *table.Holder does.
type TableSource interface {
	Table() table.Table
}

// Editor writes edits; *editor.Editor does.
type Editor interface {
	Submit(ctx context.Context, s editor.Submission) editor.Outcome
}

// StatusSource knows the hosts.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// TraceSource finds the story of a request; ErrNoTrace when there is none.
type TraceSource interface {
	Trace(ctx context.Context, id domain.RequestID) (trace.Trace, error)
}

// Drainer makes a host take no new work; ErrUnknownHost when there is no such host.
type Drainer interface {
	Drain(ctx context.Context, host domain.Host, by string) error
}

// Status is the state of the hosts as the host that answers knows it.
type Status struct {
	// Host is the one that answers.
	Host domain.Host `json:"host"`
	// Version is the newest version of the table it knows of.
	Version table.Version `json:"table_version"`
	Hosts   []HostStatus  `json:"hosts"`
}

// HostStatus is what is known of one host.
type HostStatus struct {
	Host    domain.Host    `json:"host"`
	Zone    domain.Zone    `json:"zone"`
	Role    domain.Role    `json:"role"`
	Service domain.Service `json:"service,omitempty"`
	State   HostState      `json:"state"`
	// Version is the table's version in force there, since Since; zero for
	// hosts that hold no table.
	Version table.Version `json:"table_version,omitempty"`
	Since   time.Time     `json:"in_force_since,omitzero"`
	// InFlight counts requests in progress.
	InFlight int `json:"in_flight"`
	// LastSeen is when the host was last heard, on the answering host's clock.
	LastSeen time.Time `json:"heard,omitzero"`
}

// HostState says whether a host takes work.
type HostState string

// The states of a host.
const (
	HostServing  HostState = "serving"
	HostDraining HostState = "draining"
	// HostStale hears of the table from nobody and takes no new work.
	HostStale HostState = "stale"
	// HostUnreachable is not heard from.
	HostUnreachable HostState = "silent"
)

// Problem is the body of an error (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// State, Reason and Version are set for edits.
	State    editor.State   `json:"state,omitempty"`
	Reason   editor.Reason  `json:"reason,omitempty"`
	Version  table.Version  `json:"table_version,omitempty"`
	EditID   table.EditID   `json:"edit_id,omitempty"`
	Findings check.Findings `json:"findings,omitempty"`
}

// Error gives title, detail and findings.
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

// EditReply is the answer to an edit that is in force.
type EditReply struct {
	EditID  table.EditID  `json:"edit_id"`
	State   editor.State  `json:"state"`
	Version table.Version `json:"table_version"`
}

func problem(status int, detail string) *Problem {
	return &Problem{Title: http.StatusText(status), Status: status, Detail: detail}
}

func etag(v table.Version) string { return fmt.Sprintf("%q", fmt.Sprint(uint64(v))) }
