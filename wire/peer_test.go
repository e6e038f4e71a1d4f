package wire

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// pipe is an in-memory connection with buffers, which can pause delivery to its second end or
// discard what is sent to that end. Its goroutines end with the connections.
type pipe struct {
	paused, discarding atomic.Bool
	carriers           sync.WaitGroup
}

// open returns the two ends.
func (p *pipe) open() (a, b net.Conn) {
	a, farA := net.Pipe()
	farB, b := net.Pipe()
	p.carriers.Go(func() { p.carry(farA, farB, true) })
	p.carriers.Go(func() { p.carry(farB, farA, false) })
	return a, b
}

func (p *pipe) carry(from, to net.Conn, faulty bool) {
	chunks := make(chan []byte, 4096)
	go func() { // ends with the connection it reads
		defer close(chunks)
		for {
			chunk := make([]byte, 4096)
			n, err := from.Read(chunk)
			if err != nil {
				return
			}
			chunks <- chunk[:n]
		}
	}()
	for chunk := range chunks {
		for faulty && p.paused.Load() {
			time.Sleep(time.Millisecond)
		}
		if faulty && p.discarding.Load() {
			continue
		}
		_, _ = to.Write(chunk)
	}
	_ = to.Close()
}

// openPeers exchanges the hellos of two ends over the pipe and returns both.
func openPeers(t *testing.T, p *pipe, a, b *Handlers) (left, right *Peer) {
	connA, connB := p.open()
	t.Cleanup(p.carriers.Wait)
	greeted := make(chan *Peer)
	go func() {
		r, err := newPeer(t.Context(), connB, b)
		if err != nil {
			t.Error(err)
		}
		greeted <- r
	}()
	left, err := newPeer(t.Context(), connA, a)
	require.NoError(t, err)
	return left, <-greeted
}

// runPeers runs the peers and returns a channel that receives the result of each run.
func runPeers(ends ...*Peer) chan error {
	runs := make(chan error, len(ends))
	for _, p := range ends {
		go func() { runs <- p.run() }()
	}
	return runs
}

// stopPeers closes the given ends and waits for both runs.
func stopPeers(runs chan error, ends ...*Peer) {
	for _, p := range ends {
		p.Close()
	}
	<-runs
	<-runs
}

// await returns the next value of the channel, or fails the test after a minute of the test's
// clock.
func await[T any](t *testing.T, ch <-chan T) (got T) {
	select {
	case got = <-ch:
	case <-time.After(time.Minute):
		require.FailNow(t, "no value received within a minute")
	}
	return got
}

// blockingHandler answers a call only when its connection ends.
func blockingHandler(ctx context.Context, _ *Peer, _ string, _ json.RawMessage) (any, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a call that never ends: a device between the two ends drops the connection
// while the call runs, so the connection neither fails nor delivers. An end must not trust a
// connection on which it receives nothing.
func TestPeerFailsCallWhenNothingIsReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pipe
		left, right := openPeers(t, &p, &Handlers{}, &Handlers{Handle: blockingHandler})
		runs := runPeers(left, right)
		called := make(chan error, 1)
		go func() { called <- left.Call(t.Context(), "call", nil, nil) }()
		time.Sleep(time.Minute)
		require.Empty(t, runs, "a connection that carries only heartbeats is kept open")

		p.discarding.Store(true)
		lost := time.Now()
		require.ErrorIs(t, await(t, runs), ErrNoReply)
		require.LessOrEqual(t, time.Since(lost), DefaultHeartbeatTimeout+2*DefaultHeartbeatInterval)
		require.ErrorIs(t, await(t, called), ErrNoReply)
		require.ErrorIs(t, await(t, runs), ErrNoReply)
	})
}

// Guards against work that is sent to a full server by an old load report: an entry that was
// frozen finds the reports from before its pause in its socket buffers, and would treat them
// as current if a heartbeat were dated by its arrival.
func TestHeartbeatNotBeforePrecedesCreationAfterPausedDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var createdAt [256]time.Time
		count, datedCount := 0, 0
		sender := &Handlers{HeartbeatTimeout: time.Minute, Heartbeat: func() Heartbeat {
			count++
			createdAt[count] = time.Now()
			return Heartbeat{}
		}}
		reader := &Handlers{HeartbeatTimeout: time.Minute, HandleNotification: func(p *Peer, _ string, _ json.RawMessage) {
			b, _ := p.LastHeartbeat()
			require.False(t, b.NotBefore.After(createdAt[b.Number]), "heartbeat %d", b.Number)
			if !b.NotBefore.IsZero() {
				datedCount++
				require.Less(t, createdAt[b.Number].Sub(b.NotBefore), DefaultHeartbeatTimeout, "NotBefore is earlier than the heartbeat by more than the timeout")
			}
		}}
		var p pipe
		left, right := openPeers(t, &p, sender, reader)
		runs := runPeers(left, right)
		for _, pause := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
			p.paused.Store(true)
			time.Sleep(pause)
			p.paused.Store(false)
			time.Sleep(3 * time.Second)
		}
		stopPeers(runs, left, right)
		synctest.Wait()
		require.Greater(t, datedCount, 40)
	})
}

// Tokens are sent as notifications: delivered out of order, they would garble an answer.
func TestNotificationsArriveInSendOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []int
		var p pipe
		left, right := openPeers(t, &p, &Handlers{}, &Handlers{HandleNotification: func(_ *Peer, method string, params json.RawMessage) {
			var n int
			if method == MethodFrame && json.Unmarshal(params, &n) == nil {
				got = append(got, n)
			}
		}})
		runs := runPeers(left, right)
		for n := range 500 {
			require.NoError(t, left.Notify(MethodFrame, n))
		}
		synctest.Wait()
		stopPeers(runs, left, right)
		require.Len(t, got, 500)
		require.IsIncreasing(t, got)
	})
}

// A failed call must distinguish a refusal by the remote process, a lost connection and a call
// that was never sent.
func TestCallErrorDistinguishesRefusalLossAndNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := &RefusalError{Reason: domain.ReasonDraining, Execution: domain.NotRun, Detail: "stopping"}
		var p pipe
		left, right := openPeers(t, &p, &Handlers{}, &Handlers{
			Handle: func(ctx context.Context, p *Peer, method string, params json.RawMessage) (any, error) {
				if method == "blocked" {
					return blockingHandler(ctx, p, method, params)
				}
				return nil, refusal
			},
		})
		runs := runPeers(left, right)
		var refused *RefusalError
		require.ErrorAs(t, left.Call(t.Context(), "refused", nil, nil), &refused)
		require.Equal(t, refusal, refused)

		called := make(chan error, 1)
		go func() { called <- left.Call(t.Context(), "blocked", nil, nil) }()
		synctest.Wait()
		right.Close()
		require.ErrorIs(t, await(t, called), ErrNoReply)
		require.ErrorIs(t, new(Link).Call(t.Context(), "unsent", nil, nil), ErrNotSent)
		stopPeers(runs, left)
	})
}

// Guards against a request that ends in upstream_failed while its side still executes it: the
// side receives nothing more on the connection and closes it, while the entry, which still
// receives the side's messages, would resume the call. A side must not answer a call with
// "cancelled" because its own connection ends.
func TestCallCanceledByClosingConnectionSendsNoReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pipe
		left, right := openPeers(t, &p, &Handlers{}, &Handlers{Handle: blockingHandler})
		calls, end := context.WithCancel(t.Context())
		right.ctx = calls // ends the handler before the connection closes
		called := make(chan error, 1)
		go func() { called <- left.Call(t.Context(), "call", nil, nil) }()
		synctest.Wait()
		end()
		synctest.Wait()
		require.Empty(t, called)
		right.Close()
		require.ErrorIs(t, await(t, called), ErrNoReply)
		<-right.calls.Exits()
		left.Close()
	})
}

// Guards against a side that stays without a connection although all processes are healthy: a
// frozen host, or a device in between, accepts a dial and never sends, whether it reads or
// not. The dialing end must give up.
func TestNewPeerFailsWithoutHello(t *testing.T) {
	for _, reads := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c, far := net.Pipe()
			if reads {
				go func() { _, _ = far.Read(make([]byte, 4096)) }()
			}
			defer far.Close()
			defer c.Close()
			began := time.Now()
			ended := make(chan error, 1)
			go func() {
				_, err := newPeer(t.Context(), c, &Handlers{})
				ended <- err
			}()
			require.Error(t, await(t, ended))
			require.LessOrEqual(t, time.Since(began), dialTimeout)
		})
	}
}

// Guards against the ejection of a healthy side: one connection became unresponsive while new
// ones to the same side work. A lost connection must not count as an unreachable side.
func TestLinkRedialsUnresponsiveConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 2)
	silent := &Handlers{HeartbeatInterval: time.Hour, HeartbeatTimeout: time.Hour, Handle: blockingHandler}
	healthy := &Handlers{HeartbeatInterval: 10 * time.Millisecond, HeartbeatTimeout: time.Hour}
	go func() { // the first connection sends nothing after its first heartbeat
		for _, l := range []*Handlers{silent, healthy} {
			c, err := ln.Accept()
			if err != nil {
				served <- err
				return
			}
			go func() {
				p, err := newPeer(t.Context(), c, l)
				if err == nil {
					_ = p.run()
				}
				served <- err
			}()
		}
	}()
	opened := make(chan *Peer, 2)
	l := Link{Target: ln.Addr().(*net.TCPAddr).AddrPort(), Local: &Handlers{
		HeartbeatInterval: 10 * time.Millisecond, HeartbeatTimeout: 500 * time.Millisecond, OnOpen: func(p *Peer) { opened <- p },
	}}
	ctx, cancel := context.WithCancel(t.Context())
	ran := make(chan error, 1)
	go func() { ran <- l.Run(ctx) }()
	first := await(t, opened)
	called := make(chan error, 1)
	go func() { called <- first.Call(t.Context(), "call", nil, nil) }()
	require.ErrorIs(t, await(t, called), ErrNoReply)
	second := await(t, opened)
	require.Zero(t, l.FailedDials())
	require.Same(t, second, l.Peer())
	cancel()
	require.NoError(t, <-ran)
	require.NoError(t, <-served)
	require.NoError(t, <-served)
	require.NoError(t, ln.Close())
}

// Only a new dial that fails counts against a process, and a successful dial resets the count.
func TestFailedDialsResetsAfterSuccessfulDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := ln.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, ln.Close())
	opened := make(chan *Peer, 1)
	l := Link{Target: target, Local: &Handlers{OnOpen: func(p *Peer) { opened <- p }}}
	ctx, cancel := context.WithCancel(t.Context())
	ran := make(chan error, 2)
	go func() { ran <- l.Run(ctx) }()
	require.Eventually(t, func() bool { return l.FailedDials() > 0 }, time.Minute, time.Millisecond)
	ln, err = net.Listen("tcp", target.String())
	require.NoError(t, err)
	go func() { ran <- Serve(ctx, ln, &Handlers{}) }()
	<-opened
	require.Zero(t, l.FailedDials())
	cancel()
	require.NoError(t, <-ran)
	require.NoError(t, <-ran)
}
