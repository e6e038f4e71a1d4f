package send

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// TCPUserTimeout is TCP_USER_TIMEOUT of tcp(7), in milliseconds.
const TCPUserTimeout = 18

// probes is how many probes may go unanswered: one can be lost on its way.
const probes = 2

// keepPart is the part of the other end's stated idle timeout for which a
// connection is used: the rest covers the way there and a late timer.
const keepPart = 0.7

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	in *bufio.Reader
	// since is when it became idle, keep how long it may be.
	since time.Time
	keep  time.Duration
	uses  int
	// sent counts the bytes of the present request that the system took.
	sent atomic.Int64
	// got counts the bytes read, over all requests.
	got atomic.Int64
}

func dial(ctx context.Context, to netip.AddrPort, timeout, user, probe time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	if probe > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: probes}
	}
	if user > 0 {
		d.Control = ControlUserTimeout(user)
	}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, errors.Wrap(err, "send: dial")
	}
	k := &conn{Conn: c}
	k.in = bufio.NewReaderSize(k, 8<<10)
	return k, nil
}

// ControlUserTimeout gives a Control function of a dialer or a listener that bounds how
// long sent data may stay unacknowledged.
func ControlUserTimeout(after time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, TCPUserTimeout, int(after.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

func (k *conn) begin() { k.sent.Store(0) }

func (k *conn) wrote() bool { return k.sent.Load() > 0 }

// Read counts what was read.
func (k *conn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	k.got.Add(int64(n))
	return n, err
}

// Write counts what the system took.
func (k *conn) Write(b []byte) (int, error) {
	n, err := k.Conn.Write(b)
	k.sent.Add(int64(n))
	return n, err
}

func (k *conn) write(q *http.Request) error {
	out := bufio.NewWriterSize(k, 8<<10)
	if err := q.Write(out); err != nil {
		return errors.Wrap(err, "send: writing request")
	}
	return errors.Wrap(out.Flush(), "send: writing request")
}

func (k *conn) expired(now time.Time) bool { return now.Sub(k.since) > k.keep }

// usable says whether an idle connection can take a request.
//
// Failure: the other end has closed the connection, or sent something that no
// request asked for. It shows as a request that breaks, or gets that answer.
// One read without waiting holds for all that has come until now; what comes
// later is told by the answer's id.
func (k *conn) usable(now time.Time) bool {
	if k.expired(now) || k.in.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepOf reads how long the other end keeps an idle connection; zero where it
// does not say.
func keepOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(keepPart * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}
