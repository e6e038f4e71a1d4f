// Package serve contains the parts that all stand-ins share: a server that can crash
// and restart at its address, a gate that freezes it, values that are reported with a
// delay, and reading and writing of JSON.
//
// # Usage
//
//	s := serve.Server{Handler: &store.Platform{}}
//	addr, err := s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
//	s.Crash(500 * time.Millisecond) // closes all connections and restarts after 500 ms
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

// headerTimeout limits the time to read a request's header.
const headerTimeout = 10 * time.Second

// Server serves a handler and can crash and restart at the same address. The zero
// value with a Handler is ready to use.
type Server struct {
	Handler http.Handler
	// OnListenError is called if the server cannot listen on its address again
	// after a crash. It may be nil.
	OnListenError func(error)

	mu           sync.Mutex
	ctx          context.Context
	addr         netip.AddrPort
	httpServer   *http.Server
	handlers     *group.Group
	restartTimer *time.Timer
	stopped      bool
}

// Start listens at the address, with port zero at a free port, and serves until Stop.
// It returns the address with the actual port. The contexts of handlers end with ctx.
// After a crash, Start with the same address restarts the server immediately.
func (s *Server) Start(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
	if err := s.listen(addr); err != nil {
		return netip.AddrPort{}, err
	}
	return s.addr, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

func (s *Server) listen(addr netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return errors.Wrap(err, "serve: listen for connections")
	}
	s.addr = l.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return s.ctx },
	}
	s.httpServer, s.handlers = server, &group.Group{}
	s.handlers.Go(s.ctx, "serve", func(context.Context) error { return server.Serve(l) })
	return nil
}

// Crash closes the listener and all connections immediately, and listens again after
// down. It has no effect while the server is already down.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer == nil || s.stopped {
		return
	}
	s.close()
	s.restartTimer = time.AfterFunc(down, s.restart)
}

// restart listens again after a crash, unless Start or Stop was called meanwhile.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.httpServer != nil {
		return
	}
	if err := s.listen(s.addr); err != nil && s.OnListenError != nil {
		s.OnListenError(err)
	}
}

// Stop closes the listener and all connections and prevents a restart.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	if s.httpServer != nil {
		s.close()
	}
}

func (s *Server) close() {
	_ = s.httpServer.Close() // the listener and connections are closed in any case
	s.handlers.Wait()
	s.httpServer = nil
}
