package test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"time"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

const (
	// crowdCallers is the number of callers of a crowd, crowdAddresses that of their addresses, if a crowd
	// has several.
	crowdCallers   = 200
	crowdAddresses = 50
	// crowdMaxHeader and crowdMaxBody are the limits of the configuration in these tests, in bytes.
	crowdMaxHeader = 16 << 10
	crowdMaxBody   = 4 << 20
	// crowdHead begins the request of a caller with its id; its header has no end.
	crowdHead = "POST /again/%[1]s HTTP/1.1\r\nHost: " + fake.Host + "\r\nX-Request-Id: %[1]s\r\nX-Deadline-Ms: 4000\r\n"
	// crowdEndlessBytes is how much a caller sends that never stops by itself.
	crowdEndlessBytes = 16 << 20
)

// crowd is a number of callers that do the same at once, and keep their connections.
type crowd struct {
	name string
	// callers is crowdCallers if zero; addresses is one if zero.
	callers, addresses int
	// again means that each caller comes again when its connection ends.
	again bool
	// reads means that callers read what they are sent.
	reads bool
	// send writes what a caller sends, until it is done or the connection ends.
	send func(w io.Writer, id string)
}

// tinyLines returns header lines of the least length, all different, of about so many bytes.
func tinyLines(bytes int, end string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		name := []byte{'z', letters[n%36], letters[n/36%36], letters[n/1296%36]}
		if n < 1296 {
			name = name[:3]
		}
		b.Write(name)
		b.WriteString(":" + end)
	}
	return b.String()
}

// repeatTo returns text repeated to at most so many bytes.
func repeatTo(text string, bytes int) string { return strings.Repeat(text, bytes/len(text)) }

// head writes the head of a request with the given header lines, complete up to the body.
func head(w io.Writer, id, lines string) { _, _ = fmt.Fprintf(w, crowdHead+"%[2]s\r\n", id, lines) }

// bodyOf writes a request whose stated length is one more than the body that it gets.
func bodyOf(w io.Writer, id string, bytes int) {
	head(w, id, fmt.Sprintf("Content-Length: %d\r\n", bytes))
	_, _ = io.WriteString(w, strings.Repeat("b", bytes-1))
}

// endless writes text again and again.
func endless(w io.Writer, text string) {
	block := repeatTo(text, 64<<10)
	for n := 0; n < crowdEndlessBytes; n += len(block) {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}

// trickle writes text byte by byte.
func trickle(w io.Writer, text string) {
	for {
		for _, c := range []byte(text) {
			if _, err := w.Write([]byte{c}); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// crowds are the callers that a process must withstand.
var crowds = []crowd{
	{name: "heads of tiny lines", reads: true, send: func(w io.Writer, id string) { head(w, id, tinyLines(15<<10, "\r\n")) }},
	{name: "heads of tiny lines with a body that stops short", send: func(w io.Writer, id string) {
		head(w, id, tinyLines(15<<10, "\r\n")+"Content-Length: 2\r\n")
		_, _ = io.WriteString(w, "b")
	}},
	{name: "heads of one short line again and again", reads: true, send: func(w io.Writer, id string) { head(w, id, repeatTo("a:\r\n", 15<<10)) }},
	{name: "heads over the limit with a body that stops short", send: func(w io.Writer, id string) {
		head(w, id, tinyLines(62<<10, "\n")+"Content-Length: 2\r\n")
		_, _ = io.WriteString(w, "b")
	}},
	{name: "heads over the limit of many callers", callers: 3 * crowdCallers, addresses: crowdAddresses, send: func(w io.Writer, id string) { head(w, id, tinyLines(62<<10, "\n")) }},
	{name: "heads without an end", send: func(w io.Writer, id string) { _, _ = fmt.Fprintf(w, crowdHead+"%s", id, tinyLines(60<<10, "\n")) }},
	{name: "heads within the limit without an end", send: func(w io.Writer, id string) { _, _ = fmt.Fprintf(w, crowdHead+"%s", id, tinyLines(15<<10, "\n")) }},
	{name: "field without an end", send: func(w io.Writer, id string) {
		_, _ = fmt.Fprintf(w, crowdHead+"a: ", id)
		endless(w, "x")
	}},
	{name: "empty lines without an end", send: func(w io.Writer, _ string) { endless(w, "\r\n") }},
	{name: "empty lines after a request without an end", send: func(w io.Writer, id string) {
		head(w, id, "Content-Length: 0\r\n")
		endless(w, "\r\n")
	}},
	{name: "head that trickles", send: func(w io.Writer, id string) { trickle(w, fmt.Sprintf(crowdHead, id)) }},
	{name: "long bodies that stop short", send: func(w io.Writer, id string) { bodyOf(w, id, crowdMaxBody) }},
	{name: "long chunks that stop short", send: func(w io.Writer, id string) {
		head(w, id, "Transfer-Encoding: chunked\r\n")
		_, _ = fmt.Fprintf(w, "%x\r\n%s", crowdMaxBody, strings.Repeat("b", crowdMaxBody))
	}},
	{name: "bodies that stop short", send: func(w io.Writer, id string) { bodyOf(w, id, 64<<10) }},
	{name: "bodies of many callers that stop short", callers: 3 * crowdCallers, addresses: crowdAddresses, send: func(w io.Writer, id string) { bodyOf(w, id, 64<<10) }},
	{name: "bodies that stop short and come again", again: true, addresses: crowdAddresses, send: func(w io.Writer, id string) { bodyOf(w, id, 64<<10) }},
	{name: "chunks of one byte", send: func(w io.Writer, id string) {
		head(w, id, "Transfer-Encoding: chunked\r\n")
		_, _ = io.WriteString(w, strings.Repeat("1\r\nb\r\n", 100_000))
	}},
	{name: "body that trickles", send: func(w io.Writer, id string) {
		head(w, id, "Content-Length: 1000\r\n")
		trickle(w, "b")
	}},
	{name: "body over the limit", send: func(w io.Writer, id string) {
		head(w, id, fmt.Sprintf("Content-Length: %d\r\n", 20*crowdMaxBody))
		endless(w, "b")
	}},
	{name: "trailers of tiny lines", send: func(w io.Writer, id string) {
		head(w, id, "Transfer-Encoding: chunked\r\n")
		_, _ = io.WriteString(w, "1\r\nb\r\n0\r\n"+tinyLines(60<<10, "\r\n"))
	}},
	{name: "odd queries and prompts", reads: true, send: func(w io.Writer, id string) {
		_, _ = fmt.Fprintf(w, "POST /again/%[1]s?%[2]s HTTP/1.1\r\nHost: "+fake.Host+"\r\nX-Request-Id: %[1]s\r\nX-Deadline-Ms: 4000\r\nX-Token-Usage: 9,9\r\nX-Prompt-Prefix: %[3]s\r\nContent-Length: 0\r\n\r\n",
			id, repeatTo("%61&", 7<<10), repeatTo("a:1,", 7<<10))
	}},
	{name: "request and more bytes", send: func(w io.Writer, id string) {
		head(w, id, "Content-Length: 4\r\n")
		_, _ = io.WriteString(w, "body"+strings.Repeat("b", crowdMaxBody))
	}},
	{name: "requests whose answers are not read", send: func(w io.Writer, id string) {
		for n := range 1000 {
			head(w, fmt.Sprintf("%s-%d", id, n), "Content-Length: 1000\r\n")
			_, _ = io.WriteString(w, strings.Repeat("b", 1000))
		}
	}},
	{name: "pipelined heads of tiny lines", send: func(w io.Writer, id string) {
		for n := range 8 {
			head(w, fmt.Sprintf("%s-%d", id, n), tinyLines(15<<10, "\n")+"Content-Length: 0\r\n")
		}
	}},
	{name: "expected continue", send: func(w io.Writer, id string) { head(w, id, "Expect: 100-continue\r\nContent-Length: 4000000\r\n") }},
	{name: "upgrade over HTTP 1.0", send: func(w io.Writer, id string) {
		_, _ = fmt.Fprintf(w, "POST /again/%[1]s HTTP/1.0\r\nHost: "+fake.Host+"\r\nX-Request-Id: %[1]s\r\nConnection: Upgrade\r\nUpgrade: other\r\nContent-Length: 100\r\n\r\n", id)
	}},
	{name: "connections without a request", callers: 3 * crowdCallers, addresses: crowdAddresses, send: func(io.Writer, string) {}},
}

// visit starts the callers of a crowd at a listener. They stay until ctx ends; the exits of all arrive at g.
func (c crowd) visit(ctx context.Context, g *group.Group, to netip.AddrPort) {
	for n := range cmp.Or(c.callers, crowdCallers) {
		from := netip.AddrFrom4([4]byte{127, 200, byte(n % max(c.addresses, 1)), 1})
		g.Go(ctx, c.name, func(ctx context.Context) error {
			for k := 0; ctx.Err() == nil; k++ {
				c.call(ctx, from, to, fmt.Sprintf("odd%d-%d", n, k))
				if !c.again {
					<-ctx.Done()
				}
				group.Sleep(ctx, 50*time.Millisecond)
			}
			return nil
		})
	}
}

// call is what one caller does on one connection. An error means that the process refuses the caller.
func (c crowd) call(ctx context.Context, from netip.Addr, to netip.AddrPort, id string) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}, Timeout: 5 * time.Second}
	conn, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	c.send(conn, id)
	if c.reads {
		_, _ = io.Copy(io.Discard, bufio.NewReaderSize(conn, 512)) // until either end closes
		return
	}
	if c.again {
		group.Sleep(ctx, 10*time.Second)
		return
	}
	<-ctx.Done()
}
