package admin

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/table"
)

func TestClientReadsServerResponses(t *testing.T) {
	b := newFixture(t)
	got, err := b.client.Table(t.Context())
	require.NoError(t, err)
	require.Equal(t, b.holder.Table(), got)

	s, err := b.client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, HostUnreachable, s.Hosts[1].State)

	a, err := b.client.Trace(t.Context(), "entry-1.1.7")
	require.NoError(t, err)
	require.Equal(t, domain.DidRun, a.Execution)
	_, err = b.client.Trace(t.Context(), "entry/1?x")
	var p *Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, 404, p.Status)

	require.NoError(t, b.client.Drain(t.Context(), "side-1"))
	require.Equal(t, domain.Host("side-1"), b.host.drained)
}

func TestClientEditReturnsOutcome(t *testing.T) {
	b := newFixture(t)
	stale, now := table.Version(0), table.Version(1)
	o, err := b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "3"), IfMatch: &stale})
	require.NoError(t, err)
	require.Equal(t, editor.ReasonStale, o.Reason)
	o, err = b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "-3"), IfMatch: &now})
	require.NoError(t, err)
	require.Len(t, o.Findings, 1)
	o, err = b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "3"), IfMatch: &now})
	require.NoError(t, err)
	require.Equal(t, editor.Outcome{State: editor.Accepted, Version: 2}, o)
}

func TestClientDistinguishesNoResponseFromProblem(t *testing.T) {
	b := newFixture(t)
	b.client.Token = callerToken
	_, err := b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "3")})
	var p *Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, 401, p.Status)

	b.http.Close()
	_, err = b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "3")})
	require.ErrorIs(t, err, ErrUnreachable, "nothing was sent, so the edit isn't unsettled")
	_, err = b.client.Table(t.Context())
	require.ErrorIs(t, err, ErrUnreachable)
}

// losingTransport drops the first responses, after the server has processed the
// requests.
type losingTransport struct{ responses int }

func (l *losingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w, err := http.DefaultTransport.RoundTrip(r)
	if l.responses == 0 || err != nil {
		return w, err
	}
	l.responses--
	_ = w.Body.Close()
	return nil, errors.New("connection reset")
}

// The connection breaks after the entry has accepted the edit. The client sends the
// edit again under the same id: it must be applied once and reported as accepted. If
// there is never a response, it must be reported as unsettled, not as refused.
func TestClientEditWithLostResponsesIsAppliedOnce(t *testing.T) {
	b := newFixture(t)
	b.client.Transport = &losingTransport{responses: 2}
	o, err := b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "3")})
	require.NoError(t, err)
	require.Equal(t, editor.Outcome{State: editor.Accepted, Version: 2}, o)

	b.client.Transport = &losingTransport{responses: editTries}
	second := weightEdit("appraisal", "4")
	second.ID = "e-2"
	o, err = b.client.Edit(t.Context(), EditRequest{Edit: second})
	require.NoError(t, err)
	require.Equal(t, editor.Unsettled, o.State)
	require.EqualValues(t, 3, b.objects.version)
}

func TestClientReportsRefusedConnectionAsNeverSent(t *testing.T) {
	c := Client{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err := c.Status(t.Context())
	require.ErrorIs(t, err, ErrUnreachable)
	require.True(t, neverSent(err))
}
