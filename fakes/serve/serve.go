// Package serve holds what every stand-in shares: a server that can crash and
// come back at its address, a gate that freezes it, values that are reported
// late, and reading and writing of JSON.
//
// # Usage
//
//	s := serve.Server{Handler: &store.Platform{}}
//	addr, err := s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
//	s.Crash(500 * time.Millisecond) // closes all connections, refuses, comes back
//	s.Stop()
package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
)

// readTimeout limits the wait for a request's header.
const readTimeout = 10 * time.Second

// Server serves a handler at one address for more than one life. The zero
// value with a Handler is ready to use.
type Server struct {
	Handler http.Handler
	// OnListenError is told when the address could not be had again after a crash.
	// It may be nil.
	OnListenError func(error)

	mu      sync.Mutex
	ctx     context.Context
	addr    netip.AddrPort
	current *http.Server
	serving *group.Group
	down    *time.Timer
	stopped bool
}

// Start listens at the address, port zero for a free one, and serves until
// Stop. Handlers' contexts end with the one given. After a crash it may be
// called at the same address to come back at once.
func (s *Server) Start(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
	if err := s.listen(addr); err != nil {
		return netip.AddrPort{}, err
	}
	return s.addr, nil
}

// Addr is where the server listens.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

func (s *Server) listen(addr netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return errors.Wrap(err, "serve: listening")
	}
	s.addr = l.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: readTimeout,
		BaseContext:       func(net.Listener) context.Context { return s.ctx },
	}
	s.current, s.serving = server, &group.Group{}
	s.serving.Go(s.ctx, "serve", func(context.Context) error { return server.Serve(l) })
	return nil
}

// Crash closes the listener and all connections at once, and listens again
// after the time given. A crash while down does nothing.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || s.stopped {
		return
	}
	s.close()
	s.down = time.AfterFunc(down, s.comeBack)
}

func (s *Server) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.current != nil {
		return
	}
	if err := s.listen(s.addr); err != nil && s.OnListenError != nil {
		s.OnListenError(err)
	}
}

// Stop closes the listener and all connections for good.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.down != nil {
		s.down.Stop()
	}
	if s.current != nil {
		s.close()
	}
}

func (s *Server) close() {
	_ = s.current.Close() // an error of closing changes nothing for a stand-in
	s.serving.Wait()
	s.current = nil
}
