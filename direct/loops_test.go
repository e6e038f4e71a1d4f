package direct

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/group"
	"jacinthworks/meter"
)

// Guards against a process whose listener has failed: it runs, and serves nobody.
func TestFailedListenerIsOpenedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Log: hclog.NewNullLogger(), Meter: &meter.Registry{}}
	h := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	loops := group.Group{OnFailure: s.logLoopFailure}
	loops.Supervise(t.Context(), "callers", s.serveOn(h, l, "listen", nil))
	require.NoError(t, l.Close())
	require.Eventually(t, func() bool {
		answer, err := http.Get("http://" + l.Addr().String())
		if err == nil {
			_ = answer.Body.Close()
		}
		return err == nil
	}, 5*time.Second, 20*time.Millisecond)
	require.NoError(t, h.Close())
	require.Empty(t, loops.Wait())
}
