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

// refusedCode is the JSON-RPC error code that carries a Refused as its data.
const refusedCode = 1

const (
	methodHello = "hello"
	methodBeat  = "beat"
)

// Handlers is what a process brings to each of its connections.
type Handlers struct {
	// Hello introduces the process.
	Hello Hello
	// Heartbeat gives the content of the next heartbeat; nil sends an empty one.
	Heartbeat func() Heartbeat
	// Handle answers calls, each on a goroutine of its own.
	Handle func(ctx context.Context, p *Peer, method string, params json.RawMessage) (any, error)
	// HandleNotification takes notifications and heartbeats in the order of arrival. It
	// must not block.
	HandleNotification func(p *Peer, method string, params json.RawMessage)
	// OnOpen and Closed are told of each connection whose hello was heard.
	OnOpen  func(p *Peer)
	OnClose func(p *Peer)
	// HeartbeatInterval and Silence time the heartbeats; zero takes the defaults.
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
}

// Peer is one connection to another process of ours.
type Peer struct {
	local   *Handlers
	conn    *jsonrpc2.Conn
	remote  Hello
	beat    atomic.Pointer[ReceivedHeartbeat]
	sent    sentBeats
	heard   atomic.Int64
	started time.Time
	calls   group.Group
	ctx     context.Context
	cancel  context.CancelFunc
	once    sync.Once
	greeted chan struct{}
}

// newPeer runs the protocol on a fresh connection and returns once the other
// side's hello was heard.
func newPeer(ctx context.Context, c net.Conn, l *Handlers) (*Peer, error) {
	ctx, cancel := context.WithCancel(ctx)
	p := &Peer{local: l, started: time.Now(), ctx: ctx, cancel: cancel, greeted: make(chan struct{})}
	// The failure: the other end's host takes the connection and never speaks.
	// It shows as a link that never dials again: under TLS already the first
	// write waits for the other end. Closing ends both waits, here and below.
	giveUp := time.AfterFunc(dialWithin, func() { _ = c.Close() })
	defer giveUp.Stop()
	stream := jsonrpc2.NewBufferedStream(c, new(codec))
	// The library's own lines about lost connections are left out: what a lost
	// connection means is logged by whoever had work on it.
	p.conn = jsonrpc2.NewConn(ctx, stream, p, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	if err := p.conn.Notify(ctx, methodHello, l.Hello); err != nil {
		p.Close()
		return nil, errors.Wrap(err, "wire: hello")
	}
	select {
	case <-p.greeted:
		return p, nil
	case <-p.conn.DisconnectNotify():
	case <-ctx.Done():
	}
	p.Close()
	return nil, errors.Wrap(ErrNotSent, "no hello")
}

// run keeps the heartbeat until the connection ends.
func (p *Peer) run() error {
	ends := make(chan struct{})
	go func() { // ends with the calls of this connection, read below
		defer close(ends)
		for range p.calls.Exits() {
		}
	}()
	if p.local.OnOpen != nil {
		p.local.OnOpen(p)
	}
	err := p.keepBeating()
	p.Close()
	if p.local.OnClose != nil {
		p.local.OnClose(p)
	}
	p.calls.Close()
	<-ends
	return err
}

// keepBeating sends heartbeats and gives the connection up when the other end
// has been silent for too long. The failure: something between the two ends
// has lost track of the connection. It shows as a connection that neither
// errs nor delivers. Counting what was heard on this very connection holds,
// since no other connection's health speaks for this one.
func (p *Peer) keepBeating() error {
	every, silence := p.local.HeartbeatInterval, p.local.HeartbeatTimeout
	if every == 0 {
		every = DefaultHeartbeatInterval
	}
	if silence == 0 {
		silence = DefaultHeartbeatTimeout
	}
	t := time.NewTicker(every)
	defer t.Stop()
	sent := make(chan error, 1)
	sending := false
	for {
		if !sending {
			sending = true
			go func() { sent <- p.Notify(methodBeat, p.nextBeat()) }() // its end is read below
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
				return errors.Wrap(err, "wire: heartbeat")
			}
		default: // still in the socket: the other end takes nothing
		}
		if p.IdleTime() > silence {
			return errors.Wrap(ErrNoReply, "connection silent")
		}
	}
}

func (p *Peer) nextBeat() Heartbeat {
	var b Heartbeat
	if p.local.Heartbeat != nil {
		b = p.local.Heartbeat()
	}
	b.Number = p.sent.next(time.Now())
	if last := p.beat.Load(); last != nil {
		b.Echo = last.Number
	}
	return b
}

// Handle takes one message off the connection; it is called by jsonrpc2 in
// the order of arrival.
func (p *Peer) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	p.heard.Store(int64(time.Since(p.started)))
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	if !r.Notif {
		p.answer(r.ID, r.Method, params)
		return
	}
	switch r.Method {
	case methodHello:
		p.once.Do(func() {
			if json.Unmarshal(params, &p.remote) == nil {
				close(p.greeted)
			}
		})
	case methodBeat:
		var b Heartbeat
		if json.Unmarshal(params, &b) != nil {
			return
		}
		p.beat.Store(&ReceivedHeartbeat{Heartbeat: b, NotBefore: p.sent.at(b.Echo)})
		p.notice(r.Method, params)
	default:
		p.notice(r.Method, params)
	}
}

func (p *Peer) notice(method string, params json.RawMessage) {
	if p.local.HandleNotification != nil {
		p.local.HandleNotification(p, method, params)
	}
}

func (p *Peer) answer(id jsonrpc2.ID, method string, params json.RawMessage) {
	p.calls.Go(p.ctx, method, func(ctx context.Context) error {
		result, err := p.local.Handle(ctx, p, method, params)
		if err == nil {
			return p.conn.Reply(ctx, id, result)
		}
		var r *RefusalError
		if !errors.As(err, &r) {
			// The failure: the call was cancelled because this connection ends.
			// It shows as a refusal of work that goes on. With no answer the
			// other end takes the work up again.
			if ctx.Err() != nil {
				return errors.WithStack(err)
			}
			r = &RefusalError{Reason: domain.ReasonUpstream, Ran: domain.Unknown, Detail: err.Error()}
		}
		e := &jsonrpc2.Error{Code: refusedCode, Message: string(r.Reason)}
		e.SetError(r)
		return p.conn.ReplyWithError(ctx, id, e)
	})
}

// Call sends a call and waits for its result.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	if p == nil {
		return ErrNotSent
	}
	err := p.conn.Call(ctx, method, params, result)
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		var r RefusalError
		if e.Code == refusedCode && e.Data != nil && json.Unmarshal(*e.Data, &r) == nil {
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

// Notify sends a notification. No error does not mean that it arrived.
func (p *Peer) Notify(method string, params any) error {
	return errors.WithStack(p.conn.Notify(p.ctx, method, params))
}

// RemoteHello is what the other process said of itself.
func (p *Peer) RemoteHello() Hello { return p.remote }

// LastHeartbeat is the last heartbeat heard; false before the first.
func (p *Peer) LastHeartbeat() (ReceivedHeartbeat, bool) {
	h := p.beat.Load()
	if h == nil {
		return ReceivedHeartbeat{}, false
	}
	return *h, true
}

// IdleTime is the time since anything was heard on this connection.
func (p *Peer) IdleTime() time.Duration {
	return time.Since(p.started) - time.Duration(p.heard.Load())
}

// Done is closed when the connection is.
func (p *Peer) Done() <-chan struct{} { return p.conn.DisconnectNotify() }

// Close ends the connection. Calls in progress on it get ErrNoReply.
func (p *Peer) Close() {
	p.cancel()
	_ = p.conn.Close()
}

// Decode reads a call's parameters into the type that next takes.
func Decode[T any](params json.RawMessage, next func(T) (any, error)) (any, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return nil, &RefusalError{Reason: domain.ReasonBadInput, Ran: domain.NotRun, Detail: err.Error()}
	}
	return next(v)
}
