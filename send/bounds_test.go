package send_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/send"
)

const (
	// maxHeapPerRequest bounds, in bytes, what this process may allocate for one request.
	maxHeapPerRequest = 1 << 20
	// requestTimeout bounds a request to an endless server; it must end well before.
	requestTimeout = 3 * time.Second
)

// endlessServer returns the address of a server that answers each request with begin, then with
// repeat until the client closes.
func endlessServer(t *testing.T, begin, repeat string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var conns sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); conns.Wait() })
	block := []byte(strings.Repeat(repeat, 1+(32<<10)/max(1, len(repeat))))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, begin)
				for err == nil {
					_, err = c.Write(block)
				}
			})
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// allocated returns how many bytes fn allocates, in all goroutines.
func allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a faulty upstream that sends without end: the heap grew by up to 1.7 GB within 3 s
// and the host ended the process.
func TestEndlessResponseIsCutAtBound(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		begin, repeat string
		bound         send.Bound
	}{
		"status line":                {"HTTP/1.1 200 ", "x", send.HeadBound},
		"no answer":                  {"", "x", send.HeadBound},
		"header line":                {ok + "A: ", "x", send.HeadBound},
		"continued header line":      {ok + "A: x", "\r\n x", send.HeadBound},
		"header fields":              {ok, "A: b\r\n", send.HeadBound},
		"header names":               {ok, "A", send.HeadBound},
		"header of stream":           {ok + "Content-Type: text/event-stream\r\n", "A: b\r\n", send.HeadBound},
		"interim responses":          {"", "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n", send.HeadBound},
		"header of interim response": {"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n", send.HeadBound},
		"body of another response":   {ok + "Foreign: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", send.SkipBound},
		"unframed other response":    {ok + "Foreign: 1\r\n\r\n", "abcde", send.SkipBound},
		"other responses":            {"", ok + "Foreign: 1\r\nContent-Length: 2\r\n\r\nno", send.SkipBound},
		"chunk extension":            {ok + "Transfer-Encoding: chunked\r\n\r\n5;a=", "x", send.FramingBound},
		"chunk extensions":           {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", send.FramingBound},
		"chunk length":               {ok + "Transfer-Encoding: chunked\r\n\r\n", "0", send.FramingBound},
		"trailer line":               {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: ", "x", send.FramingBound},
		"trailers":                   {ok + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "A: b\r\n", send.FramingBound},
		"body without length":        {ok + "\r\n", "a", send.BodyBound},
		"chunked body":               {ok + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", send.BodyBound},
		"body with length":           {ok + "Content-Length: 9000000000000000000\r\n\r\n", "a", send.BodyBound},
	} {
		t.Run(name, func(t *testing.T) {
			client := send.Client{Addr: endlessServer(t, c.begin, c.repeat)}
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
			defer cancel()
			began := time.Now()
			var err error
			bytes := allocated(func() {
				var reply *send.Response
				reply, err = client.Do(ctx, send.Request{
					Method: http.MethodGet, Target: "/",
					Match: func(_ int, h http.Header) send.Match {
						if h.Get("Foreign") != "" {
							return send.Other
						}
						return send.Own
					},
				})
				if err == nil {
					_, err = reply.ReadAll(64 << 10)
				}
			})
			t.Logf("heap: %d bytes in %v", bytes, time.Since(began))
			require.Error(t, err)
			require.Less(t, bytes, uint64(maxHeapPerRequest))
			require.Equal(t, c.bound, send.BoundOf(err), "%v", err)
			require.Equal(t, send.Broken, send.StageOf(err), "the request may have run")
			require.Less(t, time.Since(began), requestTimeout/3)
		})
	}
}
