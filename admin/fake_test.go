package admin

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/infra"
	"jacinthworks/table"
	"jacinthworks/trace"
)

const (
	ashaToken   = "operator-token-asha"
	raviToken   = "operator-token-ravi"
	callerToken = "a-callers-own-token"
)

// fakeObjects is a fake object API that stores the table and can be down.
type fakeObjects struct {
	infra.Objects // nil: the tests don't make the other calls

	mu      sync.Mutex
	version infra.Version
	value   []byte
	down    bool
}

func (o *fakeObjects) Get(context.Context, string) (infra.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return infra.Object{}, infra.ErrRefused
	}
	return infra.Object{Version: o.version, Value: o.value}, nil
}

func (o *fakeObjects) Put(_ context.Context, _ string, value []byte, at infra.Version) (infra.Version, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return 0, infra.ErrRefused
	}
	if at != o.version {
		return 0, infra.ErrConflict
	}
	o.version, o.value = at+1, value
	return o.version, nil
}

// fakeHost is a fake of the other parts of an entry.
type fakeHost struct{ drained domain.Host }

func (h *fakeHost) Status(context.Context) (Status, error) {
	return Status{Host: "entry-1", Version: 1, Hosts: []HostStatus{{Host: "entry-1", Zone: "salt-lake", State: HostServing, Version: 1,
		Since: time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)}, {Host: "side-1", Zone: "salt-lake", Role: domain.RoleDecode, Service: "appraiser-lm", State: HostUnreachable}}}, nil
}

func (h *fakeHost) Trace(_ context.Context, id domain.RequestID) (trace.Trace, error) {
	if id != "entry-1.1.7" {
		return trace.Trace{}, ErrNoTrace
	}
	return trace.Trace{Request: id, State: trace.StateAnswered, Execution: domain.DidRun}, nil
}

func (h *fakeHost) Drain(_ context.Context, target domain.Host, _ string) error {
	if target != "side-1" {
		return ErrUnknownHost
	}
	h.drained = target
	return nil
}

func row(kind domain.Kind, team string) table.Row {
	return table.Row{Service: "appraiser-lm", Zone: table.AnyZone, Kind: kind, Team: team, Weight: 1, InFlight: 8,
		Deadline: table.Duration(time.Minute)}
}

// fixture is a server with its fakes, and a client for it.
type fixture struct {
	objects *fakeObjects
	host    *fakeHost
	holder  *table.Holder
	http    *httptest.Server
	client  Client
}

func newFixture(t *testing.T) *fixture {
	first := table.New(1, []table.Row{row("appraisal", "appraisal"), row("enquiry", "listing")})
	text, err := first.Encode()
	require.NoError(t, err)
	b := &fixture{objects: &fakeObjects{version: 1, value: text}, host: new(fakeHost), holder: new(table.Holder)}
	b.holder.Update(first, time.Now())
	s := Server{
		Operators: []conf.Operator{{Name: "asha", Token: ashaToken, Teams: []string{"appraisal"}},
			{Name: "ravi", Token: raviToken, Teams: []string{"listing"}}, {Name: "nobody"}},
		TableSource: b.holder, Editor: &editor.Editor{Objects: b.objects, Holder: b.holder, Timeout: 20 * time.Millisecond, RetryInterval: time.Millisecond},
		StatusSource: b.host, Traces: b.host, Drainer: b.host, MaxBody: 2000,
	}
	b.http = httptest.NewServer(s.Handler())
	t.Cleanup(b.http.Close)
	b.client = Client{Address: netip.MustParseAddrPort(strings.TrimPrefix(b.http.URL, "http://")), Token: ashaToken, RetryInterval: time.Nanosecond}
	return b
}

func weightEdit(kind domain.Kind, weight table.Value) table.Edit {
	return table.Edit{ID: "e-1", Changes: []table.Change{table.Set(row(kind, "").Key(), table.Cell{Column: "weight", Value: weight})}}
}
