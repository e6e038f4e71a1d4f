package wire

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"jacinthworks/domain"
	"jacinthworks/group"
)

// refusalCode is the JSON-RPC error code that carries a RefusalError as its data.
const refusalCode = 1

const (
	methodHello     = "hello"
	methodHeartbeat = "beat"
)

// Handlers defines how a process acts on each of its connections.
type Handlers struct {
	// Hello describes this process to the remote end.
	Hello Hello
	// Heartbeat returns the content of the next heartbeat; nil sends an empty one.
	Heartbeat func() Heartbeat
	// Handle answers calls, each on its own goroutine.
	Handle func(ctx context.Context, p *Peer, method string, params json.RawMessage) (any, error)
	// HandleNotification receives notifications and heartbeats in the order of arrival. It
	// must not block.
	HandleNotification func(p *Peer, method string, params json.RawMessage)
	// OnOpen and OnClose are called for each connection whose hello was received.
	OnOpen  func(p *Peer)
	OnClose func(p *Peer)
	// OnPanic, if set, is called with each panic of the functions above, which ends only the call or the connection
	// that it came from; name says which.
	OnPanic func(name string, err error)
	// HeartbeatInterval is the time between heartbeats, HeartbeatTimeout the longest time
	// without a received message before the connection is closed. Zero selects the defaults.
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
}

// Peer is one connection to another process of the fleet.
type Peer struct {
	local         *Handlers
	conn          *jsonrpc2.Conn
	remote        Hello
	lastHeartbeat atomic.Pointer[ReceivedHeartbeat]
	sent          sentHeartbeats
	lastReceived  atomic.Int64 // time of the last received message, in nanoseconds since started
	started       time.Time
	calls         group.Group
	ctx           context.Context
	cancel        context.CancelFunc
	helloOnce     sync.Once
	helloReceived chan struct{}
}

// newPeer starts the protocol on a new connection and returns once the remote end's hello was
// received.
func newPeer(ctx context.Context, c net.Conn, l *Handlers) (*Peer, error) {
	ctx, cancel := context.WithCancel(ctx)
	p := &Peer{local: l, started: time.Now(), ctx: ctx, cancel: cancel, helloReceived: make(chan struct{})}
	// A remote host that accepts the connection and never sends would block the link for good,
	// and it would never redial; under TLS the first write already waits for the remote end.
	// Closing the connection ends both that write and the wait for the hello below.
	helloTimer := time.AfterFunc(dialTimeout, func() { _ = c.Close() })
	defer helloTimer.Stop()
	stream := jsonrpc2.NewBufferedStream(c, new(codec))
	// The library's log lines about lost connections are discarded: whoever had work on a lost
	// connection logs its consequences.
	p.conn = jsonrpc2.NewConn(ctx, stream, p, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	if err := p.conn.Notify(ctx, methodHello, l.Hello); err != nil {
		p.Close()
		return nil, errors.Wrap(err, "wire: send hello")
	}
	select {
	case <-p.helloReceived:
		return p, nil
	case <-p.conn.DisconnectNotify():
	case <-ctx.Done():
	}
	p.Close()
	return nil, errors.Wrap(ErrNotSent, "no hello received")
}

// run sends heartbeats until the connection ends, and returns why it ended.
func (p *Peer) run() error {
	ends := make(chan struct{})
	go func() { // ends with the calls of this connection; awaited below
		defer close(ends)
		for range p.calls.Exits() {
		}
	}()
	if p.local.OnOpen != nil {
		p.local.OnOpen(p)
	}
	err := p.sendHeartbeats()
	p.Close()
	if p.local.OnClose != nil {
		p.local.OnClose(p)
	}
	p.calls.Close()
	<-ends
	return err
}

// sendHeartbeats sends heartbeats, and returns an error when the remote end has sent nothing
// within the timeout. This detects a connection that some device between the two ends has
// dropped, which neither fails nor delivers. Only messages received on this very connection
// count, since the health of another connection proves nothing about this one.
func (p *Peer) sendHeartbeats() error {
	every, timeout := p.local.HeartbeatInterval, p.local.HeartbeatTimeout
	if every == 0 {
		every = DefaultHeartbeatInterval
	}
	if timeout == 0 {
		timeout = DefaultHeartbeatTimeout
	}
	t := time.NewTicker(every)
	defer t.Stop()
	sent := make(chan error, 1)
	sending := false
	for {
		if !sending {
			sending = true
			go func() { // its result is received below
				sent <- p.local.guard(p.ctx, "heartbeat", func(context.Context) error { return p.Notify(methodHeartbeat, p.nextHeartbeat()) })
			}()
		}
		select {
		case <-p.conn.DisconnectNotify():
			return errors.Wrap(ErrNoReply, "connection closed")
		case <-p.ctx.Done():
			return p.ctx.Err()
		case <-t.C:
		}
		select {
		case err := <-sent:
			sending = false
			if err != nil {
				return errors.Wrap(err, "wire: send heartbeat")
			}
		default: // the previous heartbeat is still being written: the remote end does not read
		}
		if p.IdleTime() > timeout {
			return errors.Wrap(ErrNoReply, "no message received within the heartbeat timeout")
		}
	}
}

func (p *Peer) nextHeartbeat() Heartbeat {
	var b Heartbeat
	if p.local.Heartbeat != nil {
		b = p.local.Heartbeat()
	}
	b.Number = p.sent.record(time.Now())
	if last := p.lastHeartbeat.Load(); last != nil {
		b.Echo = last.Number
	}
	return b
}

// Handle processes one received message. jsonrpc2 calls it in the order of arrival.
func (p *Peer) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	p.lastReceived.Store(int64(time.Since(p.started)))
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	if !r.Notif {
		p.handleCall(r.ID, r.Method, params)
		return
	}
	switch r.Method {
	case methodHello:
		p.helloOnce.Do(func() {
			if json.Unmarshal(params, &p.remote) == nil {
				close(p.helloReceived)
			}
		})
	case methodHeartbeat:
		var b Heartbeat
		if json.Unmarshal(params, &b) != nil {
			return
		}
		p.lastHeartbeat.Store(&ReceivedHeartbeat{Heartbeat: b, NotBefore: p.sent.sentAt(b.Echo)})
		p.notifyHandler(r.Method, params)
	default:
		p.notifyHandler(r.Method, params)
	}
}

func (p *Peer) notifyHandler(method string, params json.RawMessage) {
	if p.local.HandleNotification == nil {
		return
	}
	err := p.local.guard(p.ctx, method, func(context.Context) error {
		p.local.HandleNotification(p, method, params)
		return nil
	})
	if err != nil {
		p.Close()
	}
}

// guard calls fn and returns its error. A panic becomes an error, and is reported: otherwise one message would end
// the process with all that it serves.
func (l *Handlers) guard(ctx context.Context, name string, fn func(context.Context) error) error {
	err := group.Catch(ctx, fn)
	var p *group.PanicError
	if errors.As(err, &p) && l.OnPanic != nil {
		l.OnPanic(name, p)
	}
	return err
}

func (p *Peer) handleCall(id jsonrpc2.ID, method string, params json.RawMessage) {
	p.calls.Go(p.ctx, method, func(ctx context.Context) error {
		var result any
		err := p.local.guard(ctx, method, func(ctx context.Context) (err error) {
			result, err = p.local.Handle(ctx, p, method, params)
			return err
		})
		if err == nil {
			return p.conn.Reply(ctx, id, result)
		}
		var r *RefusalError
		if !errors.As(err, &r) {
			// An error after the end of this connection's context may come from the
			// cancellation alone, and a reply would tell the remote end that its work was
			// refused although the work goes on. Without a reply the remote end resumes the
			// work.
			if ctx.Err() != nil {
				return errors.WithStack(err)
			}
			r = &RefusalError{Reason: domain.ReasonUpstream, Execution: domain.Unknown, Detail: err.Error()}
		}
		e := &jsonrpc2.Error{Code: refusalCode, Message: string(r.Reason)}
		e.SetError(r)
		return p.conn.ReplyWithError(ctx, id, e)
	})
}

// Call sends a call and waits for its result. It fails with a *RefusalError if the remote
// process refused the call, with ErrNotSent on a nil Peer, with the context's error if the
// context ended, and with ErrNoReply otherwise.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	if p == nil {
		return ErrNotSent
	}
	err := p.conn.Call(ctx, method, params, result)
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		var r RefusalError
		if e.Code == refusalCode && e.Data != nil && json.Unmarshal(*e.Data, &r) == nil {
			return &r
		}
		return errors.Wrap(ErrNoReply, e.Message)
	}
	if err != nil && ctx.Err() != nil {
		return errors.WithStack(ctx.Err())
	}
	if err != nil {
		return errors.Wrap(ErrNoReply, err.Error())
	}
	return nil
}

// Notify sends a notification. A nil error does not mean that it was received.
func (p *Peer) Notify(method string, params any) error {
	return errors.WithStack(p.conn.Notify(p.ctx, method, params))
}

// RemoteHello returns the hello of the remote process.
func (p *Peer) RemoteHello() Hello { return p.remote }

// LastHeartbeat returns the last heartbeat received, and false before the first one.
func (p *Peer) LastHeartbeat() (ReceivedHeartbeat, bool) {
	h := p.lastHeartbeat.Load()
	if h == nil {
		return ReceivedHeartbeat{}, false
	}
	return *h, true
}

// IdleTime returns the time since the last message was received on this connection.
func (p *Peer) IdleTime() time.Duration {
	return time.Since(p.started) - time.Duration(p.lastReceived.Load())
}

// Done returns a channel that is closed when the connection closes.
func (p *Peer) Done() <-chan struct{} { return p.conn.DisconnectNotify() }

// Close ends the connection. Calls in progress on it return ErrNoReply.
func (p *Peer) Close() {
	p.cancel()
	_ = p.conn.Close()
}

// Decode decodes a call's parameters into a T and calls next with it. Parameters that cannot
// be decoded are refused as bad input.
func Decode[T any](params json.RawMessage, next func(T) (any, error)) (any, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return nil, &RefusalError{Reason: domain.ReasonBadInput, Execution: domain.NotRun, Detail: err.Error()}
	}
	return next(v)
}
