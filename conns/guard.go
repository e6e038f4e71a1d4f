package conns

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/memory"
)

// The reasons for which a Guard refuses a request or closes a connection.
const (
	RefusedHeaderTooLarge = "header_too_large"
	RefusedHeaderNoMemory = "header_no_memory"
	RefusedHeaderSlow     = "header_slow"
)

const (
	// tooLarge answers a request whose header is over the limit. It was not read to its end, and has not run.
	tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

	// lingerTimeout and lingerBytes bound how long, and how much of what a caller still sends is read after a
	// refusal. A connection that is closed with bytes unread is reset, and the caller may not see the refusal
	// (RFC 9112, section 9.6).
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// errRefused is the error of a read from a connection whose request was refused.
var errRefused = errors.New("conns: the request was refused")

// Holder is what a request has reserved in a budget.
type Holder interface {
	Reserve(bytes int64) bool
	Release()
}

// Guard bounds what the requests of a listener hold while their headers are read. net/http reads and parses a whole
// header before it calls a handler, and a short line takes many times its length. Set the fields before first use.
//
// Load: callers send headers of thousands of lines, or stop within one, and stay connected.
type Guard struct {
	net.Listener
	// MaxHeader returns the most bytes of the lines of a header; the request line may have as many. A result of
	// zero is MaxHeaderBytes.
	MaxHeader func() int64
	// NewHolder returns a Holder for the requests of a connection, and Reserve reserves for one, at the expense of
	// Readers if there is no room.
	NewHolder func(from netip.Addr) Holder
	Reserve   func(h Holder, bytes int64) bool
	Readers   *memory.Readers
	// OnRefuse is called for each refusal, with its reason.
	OnRefuse func(reason string)
}

// Accept returns the next connection, guarded.
func (g *Guard) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var from netip.Addr
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		from = a.AddrPort().Addr()
	}
	guarded := &guardedConn{Conn: c, guard: g, holder: g.NewHolder(from)}
	guarded.awaitHeader()
	return guarded, nil
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Prepare sets up a server for guarded listeners, around its Handler and its ConnState.
func Prepare(s *http.Server) {
	handler, connState := s.Handler, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if g, ok := c.(*guardedConn); ok {
			g.setState(state)
		}
		if connState != nil {
			connState(c, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g, ok := r.Context().Value(connKey{}).(*guardedConn); ok && g.refused {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// guardedConn is a connection of a Guard. Its reads, and changes of its state, come one after the other.
type guardedConn struct {
	net.Conn
	guard  *Guard
	holder Holder
	reader *memory.Reader

	mu sync.Mutex // acquired before the lock of a budget
	// reading means that a header is awaited or read, and revoked that it is refused in favour of others.
	reading, revoked bool

	// refused means that the request was refused, and listed that reader is in the Readers.
	refused  bool
	listed   bool
	header   headerCount
	reserved int64
	// lastLines is the number of lines in the last read of a body, which may hold the beginning of the next header.
	lastLines int64
}

// awaitHeader prepares for the next header.
func (c *guardedConn) awaitHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.revoked = true, false
	c.header, c.reserved, c.lastLines = headerCount{carried: c.lastLines}, 0, 0
	c.reader = &memory.Reader{Revoke: c.revoke}
}

// endHeader ends the reading of a header. A request whose header is complete is served, also if it was to be revoked.
func (c *guardedConn) endHeader() {
	c.unlist()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked {
		_ = c.Conn.SetReadDeadline(time.Time{}) // a connection that fails here fails at its next use
	}
	c.reading, c.revoked = false, false
}

// list adds the connection to those that are being read.
func (c *guardedConn) list() {
	if !c.listed {
		c.listed = true
		c.guard.Readers.Begin(time.Now(), c.reader)
	}
}

// unlist takes it out.
func (c *guardedConn) unlist() {
	if c.listed {
		c.listed = false
		c.guard.Readers.End(c.reader)
	}
}

func (c *guardedConn) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.list()
	case http.StateActive:
		// Of a header that was read together with the body before it nothing is reserved yet.
		if !c.refused && !c.reserve() {
			c.refused = true
			c.guard.OnRefuse(RefusedHeaderNoMemory)
		}
		c.endHeader()
	case http.StateIdle:
		c.holder.Release()
		c.awaitHeader()
	case http.StateClosed, http.StateHijacked:
		c.endHeader()
		c.holder.Release()
	}
}

// Read reads, and refuses a request whose header is too long or for which there is no memory.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	reading, revoked := c.reading, c.revoked
	c.mu.Unlock()
	if !reading {
		c.countLines(p[:n])
		return n, err
	}
	if revoked {
		c.refuse(RefusedHeaderSlow, refusal, nil)
		return 0, refusedError()
	}
	if n == 0 {
		return n, err
	}
	c.list()
	c.reader.Received(n)
	c.countLines(c.header.count(p[:n]))
	limit := c.guard.MaxHeader()
	if limit <= 0 {
		limit = MaxHeaderBytes
	}
	switch {
	case c.header.first > limit || c.header.fields > limit:
		c.refuse(RefusedHeaderTooLarge, tooLarge, p)
	case !c.reserve():
		c.refuse(RefusedHeaderNoMemory, refusal, p)
	default:
		return n, err
	}
	return 0, refusedError()
}

// countLines counts the lines of a read that is not of a header. net/http reads single bytes to see whether the caller
// has gone.
func (c *guardedConn) countLines(p []byte) {
	lines := int64(bytes.Count(p, []byte("\n")))
	if len(p) <= 1 {
		lines += c.lastLines
	}
	c.lastLines = lines
}

// reserve reserves what the header holds so far.
func (c *guardedConn) reserve() bool {
	cost := memory.HeaderCost(c.header.first+c.header.fields, c.header.lines+c.header.carried)
	if cost <= c.reserved {
		return true
	}
	if !c.guard.Reserve(c.holder, cost-c.reserved) {
		return false
	}
	c.reserved = cost
	return true
}

// refusedError is an error on which net/http closes a connection without an answer.
func refusedError() error { return &net.OpError{Op: "read", Net: "tcp", Err: errRefused} }

// refuse answers a request that is not read to its end. If p is not empty, it reads some of what the caller still sends.
func (c *guardedConn) refuse(reason, answer string, p []byte) {
	c.unlist()
	c.refused = true
	c.guard.OnRefuse(reason)
	until := time.Now().Add(lingerTimeout)
	if c.Conn.SetDeadline(until) != nil { // closed already
		return
	}
	if _, err := io.WriteString(c.Conn, answer); err != nil || c.CloseWrite() != nil {
		return
	}
	for left := lingerBytes; left > 0 && len(p) > 0; {
		n, err := c.Conn.Read(p)
		if left -= n; err != nil {
			return
		}
	}
}

// revoke has a header refused that is not complete, in favour of others.
func (c *guardedConn) revoke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return
	}
	c.revoked = true
	c.holder.Release()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a connection that fails here has ended
}

// SetReadDeadline sets the deadline of reads, unless they were ended.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side, which net/http does before it closes a connection with a request unread.
func (c *guardedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// SetLinger sets how Close treats bytes that are not sent yet.
func (c *guardedConn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// headerCount counts a header as it is read.
type headerCount struct {
	// first and fields are the bytes of the request line and of the lines after it, lines the number of lines.
	first, fields, lines int64
	// carried is the number of lines that were read before, and may be part of the header.
	carried int64
	// lineBytes is the length of the last line so far, hasContent that some line was not empty, and ended that the
	// empty line at the end was read.
	lineBytes         int64
	hasContent, ended bool
}

// count counts the bytes of a header up to its end, and returns what follows.
func (h *headerCount) count(p []byte) (rest []byte) {
	h.ended = false // net/http reads on, so that the empty line was not the end
	for len(p) > 0 && !h.ended {
		end := bytes.IndexByte(p, '\n') + 1
		line := p[:end]
		if end == 0 {
			line = p
		}
		h.add(line)
		p = p[len(line):]
	}
	return p
}

// add counts a line, or part of one.
func (h *headerCount) add(line []byte) {
	if h.lines == 0 {
		h.first += int64(len(line))
	} else {
		h.fields += int64(len(line))
	}
	isEnd := line[len(line)-1] == '\n'
	h.lineBytes += int64(len(bytes.Trim(line, "\r\n")))
	if !isEnd {
		return
	}
	h.lines++
	h.ended = h.lineBytes == 0 && h.hasContent
	h.hasContent = h.hasContent || h.lineBytes > 0
	h.lineBytes = 0
}
