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

	"jacinthworks/send"
)

// server answers the first request on its first connection, then reads each
// further one whole and closes its connection without an answer. It gives the
// requests it read.
func server(t *testing.T) (netip.AddrPort, <-chan *http.Request) {
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

// Story: a climber logs an ascent. The entry has a kept-alive connection to the
// server; the server runs the call and dies before it answers. Left alone,
// net/http takes a GET, or a POST with an Idempotency-Key, for repeatable and
// sends it again on a new connection: the ascent is logged twice.
func TestABrokenConnectionRepeatsNothing(t *testing.T) {
	for _, r := range []send.Request{
		{Method: http.MethodGet, Target: "/ascents"},
		{Method: http.MethodDelete, Target: "/ascents", Header: http.Header{"Idempotency-Key": {"k"}}},
		{Method: http.MethodPost, Target: "/ascents", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("one")},
		{Method: http.MethodPost, Target: "/ascents", Header: http.Header{"Idempotency-Key": {"k"}}},
	} {
		t.Run(r.Method, func(t *testing.T) {
			addr, read := server(t)
			c := send.Client{Base: addr}
			reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/first"})
			require.NoError(t, err)
			body, err := reply.ReadAll(10)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
			require.Equal(t, "/first", (<-read).URL.Path)

			_, err = c.Do(t.Context(), r)
			require.Equal(t, send.Broken, send.StageOf(err), "%v", err)
			require.Equal(t, "/ascents", (<-read).URL.Path)
			require.Empty(t, read, "the call was sent a second time")
		})
	}
}

// Story: something between entry and upstream has lost track of an open
// connection. A request on it gets no answer; the next one must dial.
func TestSilenceClosesIdleConnections(t *testing.T) {
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
	c := send.Client{Base: netip.MustParseAddrPort(s.Listener.Addr().String())}
	ask := func(target string, silence time.Duration) error {
		reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: target, ReadTimeout: silence})
		if err == nil {
			_, err = reply.ReadAll(10)
		}
		return err
	}
	// Two at once leave an idle connection beside the one that goes silent.
	reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
	require.NoError(t, err)
	other, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/hold"})
	require.NoError(t, err)
	for _, p := range []*send.Response{reply, other} {
		_, err = p.ReadAll(10)
		require.NoError(t, err)
	}
	require.Equal(t, send.TimedOut, send.StageOf(ask("/silent", 10*time.Millisecond)))
	require.NoError(t, ask("/", 0))
	require.EqualValues(t, 3, dials.Load(), "the silent one, the idle one, a fresh one")
}

func TestStages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	refused := send.Client{Base: addr}
	_, err = refused.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
	require.Equal(t, send.NotSent, send.StageOf(err), "nobody listens")

	gone, cancel := context.WithCancel(t.Context())
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
	c := send.Client{Base: netip.MustParseAddrPort(s.Listener.Addr().String())}
	reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/short"})
	require.NoError(t, err)
	_, err = reply.ReadAll(100)
	require.Equal(t, send.Broken, send.StageOf(err), "a body cut short is no body")

	go func() { <-began; cancel() }()
	_, err = c.Do(gone, send.Request{Method: http.MethodGet, Target: "/wait"})
	require.Equal(t, send.Canceled, send.StageOf(err))
	require.ErrorIs(t, err, context.Canceled)
}

// inTwo answers in two parts, the second when it is told to.
func inTwo(t *testing.T) (c *send.Client, second chan struct{}) {
	second = make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-second
		_, _ = io.WriteString(w, "second")
	}))
	t.Cleanup(s.Close)
	return &send.Client{Base: netip.MustParseAddrPort(s.Listener.Addr().String())}, second
}

// Story: a host is held up for 100 ms while an answer arrives. When it goes on,
// the time that the answer had is over, although it came in it. Taken for silent,
// the connection is closed under an answer that has been passed on in part, and
// the caller sees a stream that ends in its middle.
func TestAnAnswerThatCameInTimeIsNotSilent(t *testing.T) {
	c, second := inTwo(t)
	const silence = 50 * time.Millisecond
	reply, err := c.Do(t.Context(), send.Request{
		Method: http.MethodGet, Target: "/", ReadTimeout: silence,
		Match: func(http.Header) bool { <-time.After(silence * 3 / 2); return true }, // the host is held up
	})
	require.NoError(t, err)
	reply.SetReadTimeout(time.Second)
	close(second)
	body, err := reply.ReadAll(100)
	require.NoError(t, err)
	require.Equal(t, "first second", string(body))
}

// The same, while part of the answer lies unread.
func TestAnUnreadAnswerIsNotSilent(t *testing.T) {
	c, second := inTwo(t)
	reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
	require.NoError(t, err)
	const silence = 20 * time.Millisecond
	reply.SetReadTimeout(silence)
	close(second)
	<-time.After(5 * silence) // the host is held up
	body, err := reply.ReadAll(100)
	require.NoError(t, err)
	require.Equal(t, "first second", string(body))
}

func TestSilenceAfterAPartIsSilence(t *testing.T) {
	c, second := inTwo(t)
	defer close(second)
	reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/"})
	require.NoError(t, err)
	reply.SetReadTimeout(20 * time.Millisecond)
	_, err = reply.ReadAll(100)
	require.Equal(t, send.TimedOut, send.StageOf(err))
}

// Story: an upstream starts anew without closing its connections. What waits for
// an answer of the earlier start would wait until its time is over.
func TestAnAbandonedExchangeEndsAtOnce(t *testing.T) {
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
	c := &send.Client{Base: netip.MustParseAddrPort(h.Listener.Addr().String())}
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
