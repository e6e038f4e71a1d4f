package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/memory"
)

// guarded serves requests behind a Guard with a budget, and returns its address and the budget.
func guarded(t *testing.T, limit int64, readers *memory.Readers) (addr string, b *memory.Budget[netip.Addr], refused chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b, refused = &memory.Budget[netip.Addr]{Limit: limit}, make(chan string, 100)
	g := &Guard{
		Listener: l, MaxHeader: func() int64 { return 16 << 10 }, Readers: readers,
		NewHolder: func(from netip.Addr) Holder { return &memory.Hold[netip.Addr]{Budget: b, Account: from} },
		Reserve:   func(h Holder, bytes int64) bool { return h.Reserve(bytes) },
		OnRefuse:  func(reason string) { refused <- reason },
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // its length tells whether it came whole
		_, _ = fmt.Fprintln(w, len(r.Header), len(body))
	})}
	Prepare(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(g) }()
	t.Cleanup(func() { _ = server.Close(); <-ended })
	return l.Addr().String(), b, refused
}

func tinyHeader(lines int) string {
	var b strings.Builder
	for n := range lines {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// ask sends text on a new connection, and returns the connection and the first answer.
func ask(t *testing.T, addr, text string) (net.Conn, *bufio.Reader, *http.Response) {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	from := bufio.NewReader(c)
	answer, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	return c, from, answer
}

// Guards against a header over the limit that is read and parsed to its end, and a refusal that the caller does not see.
func TestHeaderOverLimitIsRefusedAndOneWithinIsServed(t *testing.T) {
	addr, _, refused := guarded(t, 0, &memory.Readers{})
	_, _, answer := ask(t, addr, "GET / HTTP/1.1\r\nHost: a\r\n"+tinyHeader(10_000)+"\r\n")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, answer.StatusCode)
	require.Equal(t, RefusedHeaderTooLarge, <-refused)
	_, _, answer = ask(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n"+tinyHeader(2000)+"\r\n"+strings.Repeat("b\n", 50_000))
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "2001 100000\n", string(text), "the body is not part of the header")
}

// Guards against memory of a header that is not reserved while its request is served, or is kept after it.
func TestHeaderIsHeldUntilItsRequestEnds(t *testing.T) {
	addr, b, refused := guarded(t, 1<<20, &memory.Readers{})
	request := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n" + tinyHeader(1000) + "\r\n"
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, request) // the body is missing
	require.NoError(t, err)
	held := func() int64 { requests, _, _ := b.Held(); return requests }
	require.Eventually(t, func() bool { return held() > 200_000 }, 10*time.Second, time.Millisecond)
	_, _, answer := ask(t, addr, "GET / HTTP/1.1\r\nHost: a\r\n"+tinyHeader(2500)+"\r\n")
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, "no room for a second one")
	require.Equal(t, RefusedHeaderNoMemory, <-refused)
	_, err = io.WriteString(c, "b")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return held() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a header that is not counted since it was read together with the body before it.
func TestHeaderReadWithBodyBeforeItIsCounted(t *testing.T) {
	addr, b, _ := guarded(t, 0, &memory.Readers{})
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nbPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"+tinyHeader(600)+"\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { requests, _, _ := b.Held(); return requests > 100_000 }, 10*time.Second, time.Millisecond)
}

// Guards against a request that runs, and whose caller gets no answer, since its header was read with the body before it
// and does not fit.
func TestHeaderReadWithBodyBeforeItIsRefusedWithoutRoom(t *testing.T) {
	addr, _, refused := guarded(t, 200_000, &memory.Readers{})
	_, from, answer := ask(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nbGET / HTTP/1.1\r\nHost: a\r\n"+tinyHeader(650)+"\r\n")
	require.Equal(t, http.StatusOK, answer.StatusCode)
	_, err := io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	answer, err = http.ReadResponse(from, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "1", answer.Header.Get("Retry-After"))
	require.Equal(t, RefusedHeaderNoMemory, <-refused)
}

// Guards against a caller that stops within its header and is not told that it was refused in favour of others.
func TestSlowHeaderGivesWay(t *testing.T) {
	var readers memory.Readers
	addr, _, refused := guarded(t, 0, &readers)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return readers.RevokeSlowest(time.Now()) }, 10*time.Second, 10*time.Millisecond)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, RefusedHeaderSlow, <-refused)
	require.Zero(t, readers.Count())
}

// Guards against a body that stops short and holds its connection for good.
func TestBodyThatStopsShortEnds(t *testing.T) {
	ended := make(chan error, 1)
	server := http.Server{Handler: LimitBody(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		ended <- err
	}), 50*time.Millisecond)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	defer func() { _ = server.Close(); <-served }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nb")
	require.NoError(t, err)
	require.Error(t, <-ended)
}
