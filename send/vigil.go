package send

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// vigil gives an exchange up when the other end has sent nothing for a time.
//
// Failure: this process is held up, as its host's processor is used up, while an
// answer arrives. When it goes on, the timer fires before the answer is read. It
// shows as an answer that is cut after its beginning was passed on, though the
// other end was in time. Looking for what has come since, read or unread, holds
// because that is what silence is.
type vigil struct {
	cancel context.CancelCauseFunc

	mu      sync.Mutex // a leaf
	timer   *time.Timer
	silence time.Duration
	conn    *conn
	heard   int64 // bytes read of conn when the time began
	over    bool
}

// keepVigil begins one. Until it has a connection, the time is that of dialling.
func keepVigil(cancel context.CancelCauseFunc, silence time.Duration) *vigil {
	v := &vigil{cancel: cancel, silence: silence}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.timer = time.AfterFunc(silence, v.fire)
	return v
}

// of has it watch a connection.
func (v *vigil) of(k *conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conn, v.heard = k, k.got.Load()
}

// reset begins the time anew.
func (v *vigil) reset(silence time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.over {
		return
	}
	v.silence, v.heard = silence, v.conn.got.Load()
	v.timer.Reset(silence)
}

// stop ends it.
func (v *vigil) stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.over = true
	v.timer.Stop()
}

func (v *vigil) fire() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.over {
		return
	}
	if v.conn != nil {
		if got := v.conn.got.Load(); got != v.heard || v.conn.unread() {
			v.heard = got
			v.timer.Reset(v.silence)
			return
		}
	}
	v.over = true
	v.cancel(errSilent)
}

// unread says whether bytes have come that were not read yet.
func (k *conn) unread() bool {
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	// Control and not Read, which would wait for the reader of the answer.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = err == nil && n > 0
	})
	return err == nil && found
}
