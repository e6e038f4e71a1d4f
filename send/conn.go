package send

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// TCPUserTimeout is the number of the socket option TCP_USER_TIMEOUT of tcp(7), which is set in
// milliseconds.
const TCPUserTimeout = 18

// writerSize is the size of the buffer of a request that is written, in bytes.
const writerSize = 8 << 10

// keepAliveProbes is the number of consecutive unanswered TCP keep-alive probes after which the
// kernel closes the connection; with one, a single lost packet would close it.
const keepAliveProbes = 2

// idleTimeoutFraction is the fraction of the idle timeout stated by the server for which an idle
// connection may be reused. The rest covers the network latency and a late timer.
const idleTimeoutFraction = 0.7

// conn is one connection. It carries one exchange, a request and its response, at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the connection became idle, and idleTimeout how long it may stay idle.
	idleSince   time.Time
	idleTimeout time.Duration
	exchanges   int // completed exchanges
	// dialedAt is when the dial ended.
	dialedAt time.Time
	// bytesWritten counts the bytes of the current request that the kernel accepted.
	bytesWritten atomic.Int64
	// bytesRead counts the bytes read over all exchanges.
	bytesRead atomic.Int64
	// readLimit is how many bytes may still be read while bound is set; see limitReads.
	readLimit int64
	bound     Bound
	// readErr is the error of the last read from the connection.
	readErr error
	// underTLS is the connection that carries TLS; nil without TLS.
	underTLS *endingConn
}

// endingConn records the end of a connection. crypto/tls reports the end of the connection like that of TLS, which only
// the other end can send (RFC 9112, section 9.8).
type endingConn struct {
	net.Conn
	ended atomic.Bool
}

// Read reads from the connection.
func (c *endingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

// errNoTLSEnd is the error of a response that ended with its connection before TLS ended.
var errNoTLSEnd = errors.New("send: the connection ended before TLS")

func dial(ctx context.Context, addr netip.AddrPort, timeout, userTimeout, probeInterval time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	if probeInterval > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: keepAliveProbes}
	}
	if userTimeout > 0 {
		d.Control = ControlUserTimeout(userTimeout)
	}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "send: dial")
	}
	k := &conn{Conn: c, dialedAt: time.Now()}
	k.reader = bufio.NewReaderSize(k, readerSize)
	return k, nil
}

// startTLS makes a handshake as the client of the address that was dialed. If it fails, the connection is closed.
func (k *conn) startTLS(ctx context.Context, config *tls.Config) error {
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(k.RemoteAddr().String())
		if err != nil {
			return errors.Wrap(err, "send: TLS handshake")
		}
		config = config.Clone()
		config.ServerName = host
	}
	k.underTLS = &endingConn{Conn: k.Conn}
	secured := tls.Client(k.underTLS, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = k.Close() // the error of the handshake is returned
		return errors.Wrap(err, "send: TLS handshake")
	}
	k.Conn = secured
	return nil
}

// ControlUserTimeout returns a Control function for a net.Dialer or net.ListenConfig. It sets how
// long sent data may stay unacknowledged before the kernel closes the connection.
func ControlUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, TCPUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}

func (k *conn) beginRequest() { k.bytesWritten.Store(0) }

func (k *conn) hasWritten() bool { return k.bytesWritten.Load() > 0 }

// Write writes to the connection and counts the bytes that the kernel accepted.
func (k *conn) Write(b []byte) (int, error) {
	n, err := k.Conn.Write(b)
	k.bytesWritten.Add(int64(n))
	return n, err
}

func (k *conn) expired(now time.Time) bool { return now.Sub(k.idleSince) > k.idleTimeout }

// usable reports whether the idle connection can carry a further request.
//
// The server may have closed an idle connection, or have sent data that belongs to no request. A
// request on such a connection would fail, or receive that data as its response. One non-blocking
// read detects what has arrived so far; what arrives later is detected by Request.Match.
func (k *conn) usable(now time.Time) bool {
	if k.expired(now) || k.reader.Buffered() > 0 {
		return false
	}
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// pendingError returns the error of the connection that no read or write has reported, such as a reset that came
// after the end of what was read.
func (k *conn) pendingError() error {
	number, err := k.socketState(func(fd int) (int, error) { return syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR) })
	if err == nil && number != 0 {
		err = errors.Wrap(syscall.Errno(number), "send: the connection broke after the end of the response")
	}
	return err
}

// unacknowledged returns how many bytes the other host has not acknowledged; zero if the kernel does not tell.
func (k *conn) unacknowledged() (int, error) {
	bytes, err := k.socketState(func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	if errors.Is(err, unix.ENOTTY) || errors.Is(err, unix.EINVAL) || errors.Is(err, unix.ENOSYS) {
		return 0, nil
	}
	return bytes, err
}

// socketState returns what read returns for the socket of the connection; zero if it has none or carries TLS.
func (k *conn) socketState(read func(fd int) (int, error)) (state int, err error) {
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err == nil {
		var readErr error
		if err = raw.Control(func(fd uintptr) { state, readErr = read(int(fd)) }); err == nil {
			err = readErr
		}
	}
	return state, errors.Wrap(err, "send: reading the state of a connection")
}

// statedIdleTimeout returns how long a connection may be idle and still be reused:
// idleTimeoutFraction of the timeout in the Keep-Alive header of a response; zero if the header
// states no timeout.
func statedIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}
