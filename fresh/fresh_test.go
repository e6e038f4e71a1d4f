package fresh

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that gets a value from a read that had started before its call.
func TestReadStartsAfterTheCallAndIsShared(t *testing.T) {
	var r Reader[int64]
	var reads atomic.Int64
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	read := func() (int64, error) {
		n := reads.Add(1)
		if n == 1 {
			started <- struct{}{}
			<-proceed
		}
		return n, nil
	}
	first := make(chan int64, 1)
	go func() {
		v, _ := r.Read(t.Context(), read)
		first <- v
	}()
	<-started
	var late sync.WaitGroup
	waiting := make(chan struct{}, 8)
	for range 8 {
		late.Go(func() {
			waiting <- struct{}{}
			v, err := r.Read(t.Context(), read)
			if err != nil || v < 2 {
				t.Errorf("a later call got read %d, %v", v, err)
			}
		})
	}
	for range 8 {
		<-waiting
	}
	close(proceed)
	require.Equal(t, int64(1), <-first)
	late.Wait()
	require.LessOrEqual(t, reads.Load(), int64(9))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := r.Read(ended, read)
	if err != nil { // either may be ready first
		require.ErrorIs(t, err, context.Canceled)
	}
}

// Guards against a panic in a shared read that ends the process: it runs in a goroutine of no caller.
func TestPanicOfReadIsRaisedInTheCalls(t *testing.T) {
	var r Reader[int]
	require.Panics(t, func() { _, _ = r.Read(t.Context(), func() (int, error) { panic("odd") }) })
	v, err := r.Read(t.Context(), func() (int, error) { return 1, nil })
	require.NoError(t, err)
	require.Equal(t, 1, v, "the reader can be used again")
}
