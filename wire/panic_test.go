package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one message that ends the process with all that it serves.
func TestPanicOfHandlerEndsOnlyItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []string
		local := &Handlers{
			OnPanic: func(name string, _ error) { reported = append(reported, name) },
			Handle: func(_ context.Context, _ *Peer, method string, _ json.RawMessage) (any, error) {
				if method == "odd" {
					panic("odd")
				}
				return "sound", nil
			},
		}
		left, right := openPeers(t, &pipe{}, &Handlers{}, local)
		runs := runPeers(left, right)
		require.Error(t, left.Call(t.Context(), "odd", nil, nil))
		var result string
		require.NoError(t, left.Call(t.Context(), "sound", nil, &result))
		require.Equal(t, "sound", result)
		require.Equal(t, []string{"odd"}, reported)
		stopPeers(runs, left, right)
	})
}

// Guards against a message whose announced length fills the memory.
func TestMessageOverLimitIsNotRead(t *testing.T) {
	for _, length := range []uint64{maxMessage + 1, 1 << 63, 1<<64 - 1} {
		head := string(binary.AppendUvarint(nil, length))
		from := strings.NewReader(head + strings.Repeat("x", maxMessage+(1<<20)))
		require.ErrorContains(t, new(codec).ReadObject(bufio.NewReader(from), new(json.RawMessage)), "over the limit")
		require.Greater(t, from.Len(), 1<<19, "what follows the bound is not read")
	}
}

// failingListener fails the first calls of Accept as when descriptors have run out.
type failingListener struct {
	net.Listener
	failures int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errTooManyFiles{})}
	}
	return f.Listener.Accept()
}

type errTooManyFiles struct{}

func (errTooManyFiles) Error() string { return "too many open files" }

// Guards against a process that accepts no other process any more once its descriptors ran out for a moment.
func TestServeOutlivesConnectionsThatCanNotBeAccepted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, &failingListener{l, 3}, &Handlers{}) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err, "the hello")
	stop()
	require.NoError(t, <-served)
}
