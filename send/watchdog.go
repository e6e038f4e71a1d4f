package send

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// watchdog cancels an exchange if the upstream has sent no data within the timeout.
//
// If the host has no processor time left, the timer may fire before a response that arrived in time
// is read, and a response that was passed on in part would be truncated. When the timer fires, the
// watchdog therefore checks for data that arrived since the last reset, whether it was read or is
// still in the kernel's receive buffer, and extends the timeout if there is any.
type watchdog struct {
	cancel context.CancelCauseFunc
	// onStop, if set, is called by stop. It acquires the client's lock and is therefore called
	// without the watchdog's lock.
	onStop func()

	mu           sync.Mutex // leaf lock: no other lock is acquired while it is held
	timer        *time.Timer
	timeout      time.Duration
	conn         *conn
	bytesAtReset int64 // bytes read from conn at the last reset
	stopped      bool
}

// newWatchdog starts a watchdog. Until watch is called, the timeout covers dialing.
func newWatchdog(cancel context.CancelCauseFunc, timeout time.Duration) *watchdog {
	w := &watchdog{cancel: cancel, timeout: timeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.expire)
	return w
}

// watch sets the connection on which data is expected.
func (w *watchdog) watch(k *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn, w.bytesAtReset = k, k.bytesRead.Load()
}

// reset restarts the watchdog with the given timeout.
func (w *watchdog) reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timeout, w.bytesAtReset = timeout, w.conn.bytesRead.Load()
	w.timer.Reset(timeout)
}

// stop stops the watchdog; the exchange is not canceled after that.
func (w *watchdog) stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	if w.onStop != nil {
		w.onStop()
	}
}

func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.conn != nil {
		if bytesRead := w.conn.bytesRead.Load(); bytesRead != w.bytesAtReset || w.conn.hasUnreadData() {
			w.bytesAtReset = bytesRead
			w.timer.Reset(w.timeout)
			return
		}
	}
	w.stopped = true
	w.cancel(errReadTimeout)
}

// hasUnreadData reports whether the kernel has received data that was not read yet.
func (k *conn) hasUnreadData() bool {
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	hasData := false
	// Control, unlike Read, does not wait for the goroutine that reads the response.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasData = err == nil && n > 0
	})
	return err == nil && hasData
}
