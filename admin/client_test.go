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

func TestTheClientReadsWhatTheServerSays(t *testing.T) {
	b := newBench(t)
	got, err := b.client.Table(t.Context())
	require.NoError(t, err)
	require.Equal(t, b.holder.Table(), got)

	s, err := b.client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, HostUnreachable, s.Hosts[1].State)

	a, err := b.client.Trace(t.Context(), "entry-1.1.7")
	require.NoError(t, err)
	require.Equal(t, domain.DidRun, a.Ran)
	_, err = b.client.Trace(t.Context(), "entry/1?x")
	var p *Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, 404, p.Status)

	require.NoError(t, b.client.Drain(t.Context(), "side-1"))
	require.Equal(t, domain.Host("side-1"), b.host.drained)
}

func TestTheClientGivesOutcomes(t *testing.T) {
	b := newBench(t)
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

func TestTheClientTellsNoAnswerFromARefusal(t *testing.T) {
	b := newBench(t)
	b.client.Token = callerToken
	_, err := b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "3")})
	var p *Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, 401, p.Status)

	b.http.Close()
	_, err = b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "3")})
	require.ErrorIs(t, err, ErrUnreachable, "nothing was sent, so the edit isn't in doubt")
	_, err = b.client.Table(t.Context())
	require.ErrorIs(t, err, ErrUnreachable)
}

// losing loses the first answers after the server has acted on the request.
type losing struct{ answers int }

func (l *losing) RoundTrip(r *http.Request) (*http.Response, error) {
	w, err := http.DefaultTransport.RoundTrip(r)
	if l.answers == 0 || err != nil {
		return w, err
	}
	l.answers--
	_ = w.Body.Close()
	return nil, errors.New("connection reset")
}

// An operator's connection breaks after the entry has accepted the edit. The
// command sends it again under its id: it is in the table once, and the
// operator reads "accepted". If no answer ever comes they read that it isn't
// settled, never that it was refused.
func TestAnEditWhoseAnswersAreLostIsAppliedOnce(t *testing.T) {
	b := newBench(t)
	b.client.Transport = &losing{answers: 2}
	o, err := b.client.Edit(t.Context(), EditRequest{Edit: weightEdit("appraisal", "3")})
	require.NoError(t, err)
	require.Equal(t, editor.Outcome{State: editor.Accepted, Version: 2}, o)

	b.client.Transport = &losing{answers: editTries}
	second := weightEdit("appraisal", "4")
	second.ID = "e-2"
	o, err = b.client.Edit(t.Context(), EditRequest{Edit: second})
	require.NoError(t, err)
	require.Equal(t, editor.Unsettled, o.State)
	require.EqualValues(t, 3, b.objects.version)
}

func TestTheClientGivesUpOnAnAddressThatRefuses(t *testing.T) {
	c := Client{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err := c.Status(t.Context())
	require.ErrorIs(t, err, ErrUnreachable)
	require.True(t, neverSent(err))
}
