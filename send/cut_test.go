package send_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/send"
)

// cutServer returns the function that sets what a server answers with before it closes or resets the
// connection, and a client of the server.
func cutServer(t *testing.T) (set func(answer string, reset bool), client *send.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	var answer string
	var reset bool
	go func() { // ends with the listener
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				mu.Lock()
				_, _ = io.WriteString(c, answer)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				mu.Unlock()
			}
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return func(a string, r bool) {
		mu.Lock()
		defer mu.Unlock()
		answer, reset = a, r
	}, &send.Client{Addr: l.Addr().(*net.TCPAddr).AddrPort(), ReadTimeout: 5 * time.Second}
}

// Guards against a response that is cut inside its head, its chunks or its trailers and looks
// complete. Each response is cut after each of its bytes.
func TestResponseCutAnywhereBeforeItsEndIsNotComplete(t *testing.T) {
	const fields = "Content-Type: text/event-stream\r\nX-Request-Id: one\r\n"
	const event = "data: a\n\n"
	set, client := cutServer(t)
	for name, c := range map[string]struct{ head, body string }{
		"length":         {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 9\r\n\r\n", event},
		"no body":        {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n", ""},
		"no content":     {"HTTP/1.1 204 No Content\r\n" + fields + "\r\n", ""},
		"chunks":         {"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", "9\r\n" + event + "\r\n0\r\n\r\n"},
		"trailers":       {"HTTP/1.1 200 OK\r\n" + fields + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n", "9\r\n" + event + "\r\n0\r\nA: b\r\nC: d\r\n\r\n"},
		"interim":        {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 9\r\n\r\n", event},
		"interims":       {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", event},
		"version 1.0":    {"HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 9\r\n\r\n", event},
		"closed":         {"HTTP/1.1 200 OK\r\n" + fields + "\r\n", ""},
		"closed 1.0":     {"HTTP/1.0 200 OK\r\n" + fields + "\r\n", ""},
		"line feeds":     {"HTTP/1.1 200 OK\nContent-Length: 9\n\n", event},
		"folded field":   {"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 9\r\n\r\n", event},
		"failure":        {"HTTP/1.1 503 Service Unavailable\r\n" + fields + "X-Not-Executed: 1\r\nContent-Length: 9\r\n\r\n", event},
		"closing answer": {"HTTP/1.1 200 OK\r\nConnection: close\r\n" + fields + "Content-Length: 9\r\n\r\n", event},
	} {
		t.Run(name, func(t *testing.T) {
			whole := c.head + c.body
			for _, reset := range []bool{false, true} {
				for at := range len(whole) {
					set(whole[:at], reset)
					status, body, err := get(t, client)
					require.Error(t, err, "%q: status %d, body %q", whole[:at], status, body)
					require.Equal(t, send.Broken, send.StageOf(err), "%v", err)
				}
			}
			set(whole, false)
			_, body, err := get(t, client)
			require.NoError(t, err)
			require.Equal(t, c.body != "", strings.Contains(body, event))
		})
	}
}

// get sends a request on a new connection and reads the whole response.
func get(t *testing.T, client *send.Client) (status int, body string, err error) {
	t.Helper()
	reply, err := client.Do(t.Context(), send.Request{Method: http.MethodGet, Target: "/", NewConn: true})
	if err != nil {
		return 0, "", err
	}
	text, err := reply.ReadAll(1 << 10)
	return reply.Status, string(text), err
}
