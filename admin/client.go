package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/send"
	"jacinthworks/table"
	"jacinthworks/trace"
)

// ErrUnreachable is returned if no response was received. The request may have arrived.
var ErrUnreachable = errors.New("admin: no answer from the administration address")

// clientTimeout bounds a request of a Client. It is above the 3s in which an editor
// determines the outcome of an edit plus the second in which it replicates the table to
// another host.
const clientTimeout = 10 * time.Second

// editTries is how many times an unsettled edit is sent at most.
const editTries = 3

// Client sends requests to the administration address of one entry. Address must be
// set.
type Client struct {
	Address netip.AddrPort
	Token   conf.Secret
	// TLS is the TLS configuration; nil connects without TLS.
	TLS *tls.Config
	// Transport, if set, replaces the transport that is made from TLS.
	Transport http.RoundTripper
	// RetryInterval is the delay before an edit is sent again; default 1s.
	RetryInterval time.Duration
}

// EditRequest is an edit to send.
type EditRequest struct {
	Edit table.Edit
	// IfMatch is the version that the edit was made for; nil for any.
	IfMatch *table.Version
}

// Table returns the table in force on the host that responds.
func (c *Client) Table(ctx context.Context) (table.Table, error) {
	var t table.Table
	err := c.call(ctx, http.MethodGet, pathTable, nil, nil, &t)
	return t, err
}

// Edit sends an edit and returns its outcome. An edit that is unsettled, or got no
// response, is sent again under the same id, which applies it at most once. An
// error means that nothing was sent or that the request was invalid.
func (c *Client) Edit(ctx context.Context, e EditRequest) (editor.Outcome, error) {
	if e.Edit.ID == "" {
		e.Edit.ID = NewEditID()
	}
	sentBefore := false
	for try := 1; ; try++ {
		o, err := c.sendEdit(ctx, e, sentBefore)
		switch {
		case err != nil && !sentBefore && neverSent(err):
			return editor.Outcome{}, err
		case errors.Is(err, ErrUnreachable), err != nil && sentBefore:
			// Whatever the error of this try, an earlier try may have arrived.
			o = editor.Outcome{State: editor.Unsettled, Detail: err.Error()}
		case err != nil:
			return editor.Outcome{}, err
		case o.State != editor.Unsettled:
			return o, nil
		}
		sentBefore = true
		if try == editTries || !c.waitRetryInterval(ctx) {
			return o, nil
		}
	}
}

// sendEdit sends an edit once. It returns refused and unsettled outcomes as outcomes,
// not as errors.
func (c *Client) sendEdit(ctx context.Context, e EditRequest, sentBefore bool) (editor.Outcome, error) {
	header := make(http.Header)
	if e.IfMatch != nil {
		header.Set("If-Match", etag(*e.IfMatch))
	}
	path := pathTable
	if sentBefore {
		path += "?sent_before=true"
	}
	var a EditReply
	err := c.call(ctx, http.MethodPatch, path, header, e.Edit, &a)
	var p *Problem
	switch {
	case errors.As(err, &p) && p.State != "":
		return editor.Outcome{State: p.State, Reason: p.Reason, Version: p.Version, Findings: p.Findings, Detail: p.Detail}, nil
	case err != nil:
		return editor.Outcome{}, err
	}
	return editor.Outcome{State: a.State, Version: a.Version}, nil
}

// Trace returns the trace of a request.
func (c *Client) Trace(ctx context.Context, id domain.RequestID) (trace.Trace, error) {
	var a trace.Trace
	err := c.call(ctx, http.MethodGet, pathRequests+url.PathEscape(string(id)), nil, nil, &a)
	return a, err
}

// Status returns the state of the hosts as seen by the host that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, pathStatus, nil, nil, &s)
	return s, err
}

// Drain makes a host accept no new work.
func (c *Client) Drain(ctx context.Context, host domain.Host) error {
	return c.call(ctx, http.MethodPost, pathDrain, nil, drainRequest{Host: host}, &drainRequest{})
}

// call sends a request once and decodes the JSON response. The error is a *Problem
// for an error response, and wraps ErrUnreachable if there is no readable response.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "admin: encode the request")
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base()+path, bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "admin: create the request")
	}
	if header != nil {
		r.Header = header
	}
	r.Header.Set("Authorization", "Bearer "+string(c.Token))
	r.Header.Set("Content-Type", typeJSON)
	r.Header.Set("Accept", typeJSON+", "+typeProblem)
	w, err := c.transport().RoundTrip(r)
	if err != nil {
		return &unreachable{cause: err}
	}
	defer func() { _ = w.Body.Close() }()
	return readResponse(w, into)
}

func readResponse(w *http.Response, into any) error {
	text, err := io.ReadAll(io.LimitReader(w.Body, 2*defaultMaxBody))
	if err != nil {
		return &unreachable{cause: err}
	}
	if strings.HasPrefix(w.Header.Get("Content-Type"), typeProblem) {
		p := new(Problem)
		if err := json.Unmarshal(text, p); err != nil {
			return &unreachable{cause: err}
		}
		return p
	}
	if w.StatusCode != http.StatusOK {
		return problem(w.StatusCode, strings.TrimSpace(string(text)))
	}
	if err := json.Unmarshal(text, into); err != nil {
		return &unreachable{cause: err}
	}
	return nil
}

func (c *Client) base() string {
	if c.TLS != nil {
		return "https://" + c.Address.String()
	}
	return "http://" + c.Address.String()
}

// transport returns the transport for one request.
func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return &transport{client: &send.Client{Addr: c.Address, TLS: c.TLS}}
}

// transport is an http.RoundTripper that sends with a send.Client, each request on a new connection.
type transport struct{ client *send.Client }

// RoundTrip sends a request.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Wrap(err, "admin: read the request")
	}
	reply, err := t.client.Do(r.Context(), send.Request{
		Method: r.Method, Target: r.URL.RequestURI(), Host: r.URL.Host, Header: r.Header, Body: body, NewConn: true, ReadTimeout: clientTimeout,
	})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: reply.Status, Header: reply.Header, Body: replyBody{reply, t.client}}, nil
}

// replyBody is the body of a response, whose connection is closed with it.
type replyBody struct {
	*send.Response
	client *send.Client
}

// Close closes the response and its connection.
func (b replyBody) Close() error {
	b.Response.Close()
	b.client.CloseIdleConnections()
	return nil
}

func (c *Client) waitRetryInterval(ctx context.Context) bool {
	d := c.RetryInterval
	if d == 0 {
		d = time.Second
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// unreachable is an ErrUnreachable with its cause.
type unreachable struct{ cause error }

func (u *unreachable) Error() string   { return ErrUnreachable.Error() + ": " + u.cause.Error() }
func (u *unreachable) Is(t error) bool { return t == ErrUnreachable }
func (u *unreachable) Unwrap() error   { return u.cause }

// neverSent reports whether no part of the request can have arrived.
func neverSent(err error) bool { return send.StageOf(err) == send.NotSent }
