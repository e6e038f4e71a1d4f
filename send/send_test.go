package send_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/resp"
	"jacinthworks/send"
)

// closingServer answers the first request on its first connection. It then reads each further
// request completely and closes the connection without a response. The channel returns the requests
// that it read.
func closingServer(t *testing.T) (netip.AddrPort, <-chan *http.Request) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	read := make(chan *http.Request, 16)
	go func() {
		defer close(read)
		for n := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			for in := bufio.NewReader(c); ; {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, r.Body)
				read <- r
				if n++; n > 1 {
					break
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			_ = c.Close()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), read
}

// Guards against a request sent twice. The server executes a request on a kept connection and dies
// before it responds. http.Transport takes a GET, and a POST with an Idempotency-Key, for
// repeatable and sends it again on a new connection, so that it is executed twice.
func TestBrokenConnectionDoesNotRetryRequest(t *testing.T) {
	for _, r := range []send.Request{
		{Method: http.MethodGet, Target: "/ascents"},
		{Method: http.MethodDelete, Target: "/ascents", Header: http.Header{"Idempotency-Key": {"k"}}},
		{Method: http.MethodPost, Target: "/ascents", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("one")},
		{Method: http.MethodPost, Target: "/ascents", Header: http.Header{"Idempotency-Key": {"k"}}},
	} {
		t.Run(r.Method, func(t *testing.T) {
			addr, read := closingServer(t)
			c := send.Client{Addr: addr}
			reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/first"})
			require.NoError(t, err)
			body, err := reply.ReadAll(10)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
			require.Equal(t, "/first", (<-read).URL.Path)

			_, err = c.Do(t.Context(), r)
			require.Equal(t, send.Broken, send.StageOf(err), "%v", err)
			require.Equal(t, "/ascents", (<-read).URL.Path)
			require.Empty(t, read, "the request was sent a second time")
		})
	}
}

// Guards against further requests on idle connections that a device on the way has dropped from its
// state: after a timeout the next request must dial.
func TestReadTimeoutClosesIdleConnections(t *testing.T) {
	release := make(chan struct{})
	var dials atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/silent":
			<-release
		default:
			_, _ = io.WriteString(w, "ok")
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			dials.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	defer close(release)
	c := send.Client{Addr: netip.MustParseAddrPort(s.Listener.Addr().String())}
	get := func(target string, timeout time.Duration) error {
		reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: target, ReadTimeout: timeout})
		if err == nil {
			_, err = reply.ReadAll(10)
		}
		return err
	}
	// Two concurrent requests leave a second idle connection beside the one that times out.
	reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
	require.NoError(t, err)
	other, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/hold"})
	require.NoError(t, err)
	for _, p := range []*send.Response{reply, other} {
		_, err = p.ReadAll(10)
		require.NoError(t, err)
	}
	require.Equal(t, send.TimedOut, send.StageOf(get("/silent", 10*time.Millisecond)))
	require.NoError(t, get("/", 0))
	require.EqualValues(t, 3, dials.Load(), "the connection that timed out, the idle one, a new one")
}

func TestFailureStageByCause(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	client := send.Client{Addr: addr}
	_, err = client.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
	require.Equal(t, send.NotSent, send.StageOf(err), "the connection is refused")

	ctx, cancel := context.WithCancel(t.Context())
	began := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
			return
		}
		close(began)
		<-r.Context().Done()
	}))
	defer s.Close()
	c := send.Client{Addr: netip.MustParseAddrPort(s.Listener.Addr().String())}
	reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/short"})
	require.NoError(t, err)
	_, err = reply.ReadAll(100)
	require.Equal(t, send.Broken, send.StageOf(err), "a truncated body is an error")

	go func() { <-began; cancel() }()
	_, err = c.Do(ctx, send.Request{Method: http.MethodGet, Target: "/wait"})
	require.Equal(t, send.Canceled, send.StageOf(err))
	require.ErrorIs(t, err, context.Canceled)
}

// twoPartServer returns a client of a server that responds with a body in two parts, the second part
// after the channel second is closed.
func twoPartServer(t *testing.T) (c *send.Client, second chan struct{}) {
	second = make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-second
		_, _ = io.WriteString(w, "second")
	}))
	t.Cleanup(s.Close)
	return &send.Client{Addr: netip.MustParseAddrPort(s.Listener.Addr().String())}, second
}

// Guards against a timeout of a response that arrived in time but is read late, because the host
// has no processor time left for 100 ms. The caller would see a stream truncated after its first
// part.
func TestResponseReadLateDoesNotTimeOut(t *testing.T) {
	c, second := twoPartServer(t)
	const timeout = 50 * time.Millisecond
	reply, err := c.Do(t.Context(), send.Request{
		Method: http.MethodGet, Target: "/", ReadTimeout: timeout,
		Match: func(int, http.Header) send.Match { <-time.After(timeout * 3 / 2); return send.Own }, // the process is delayed
	})
	require.NoError(t, err)
	reply.SetReadTimeout(time.Second)
	close(second)
	body, err := reply.ReadAll(100)
	require.NoError(t, err)
	require.Equal(t, "first second", string(body))
}

// Guards against the timeout of a response that arrived in time, while part of the body is still
// unread.
func TestUnreadBodyDoesNotTimeOut(t *testing.T) {
	c, second := twoPartServer(t)
	reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
	require.NoError(t, err)
	const timeout = 20 * time.Millisecond
	reply.SetReadTimeout(timeout)
	close(second)
	<-time.After(5 * timeout) // the process is delayed
	body, err := reply.ReadAll(100)
	require.NoError(t, err)
	require.Equal(t, "first second", string(body))
}

func TestStalledBodyTimesOut(t *testing.T) {
	c, second := twoPartServer(t)
	defer close(second)
	reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
	require.NoError(t, err)
	reply.SetReadTimeout(20 * time.Millisecond)
	_, err = reply.ReadAll(100)
	require.Equal(t, send.TimedOut, send.StageOf(err))
}

// Guards against requests that wait for their full timeout for a response of an upstream that
// restarted without closing its connections.
func TestCloseAllFailsExchangesAtOnce(t *testing.T) {
	began := make(chan struct{}, 2)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		}
		began <- struct{}{}
		<-r.Context().Done()
	}))
	defer h.Close()
	c := &send.Client{Addr: netip.MustParseAddrPort(h.Listener.Addr().String())}
	ended := make(chan error, 2)
	go func() {
		_, err := c.Do(t.Context(), send.Request{Method: "GET", Target: "/silent", ReadTimeout: time.Minute})
		ended <- err
	}()
	reply, err := c.Do(t.Context(), send.Request{Method: "GET", Target: "/stream", ReadTimeout: time.Minute})
	require.NoError(t, err)
	go func() {
		_, err := reply.ReadAll(1 << 10)
		ended <- err
	}()
	<-began
	<-began
	c.CloseAll()
	require.Equal(t, send.Broken, send.StageOf(<-ended))
	require.Equal(t, send.Broken, send.StageOf(<-ended))
}

// Guards against a body that is framed by its connection and counts as complete although the server
// ended with it.
func TestBodyFramedByConnectionIsCompleteOnlyIfServerStillAccepts(t *testing.T) {
	for _, dies := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { // ends with the exchange
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
			}
			if dies {
				_ = l.Close()
			}
			_ = c.Close()
		}()
		c := send.Client{Addr: l.Addr().(*net.TCPAddr).AddrPort()}
		reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
		require.NoError(t, err)
		require.Equal(t, resp.FramedByClose, reply.Framing)
		body, err := reply.ReadAll(10)
		if dies {
			require.Equal(t, send.Broken, send.StageOf(err))
		} else {
			require.NoError(t, err)
			require.Equal(t, "body", string(body))
		}
		_ = l.Close()
	}
}
