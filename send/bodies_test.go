package send_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/send"
)

// Guards against responses without end to many calls at once, which together hold more than the host has, and against a sound
// response that is refused beside them.
func TestBodiesOfManyResponsesAreBounded(t *testing.T) {
	const limit = 8 << 20
	var bodies send.Bodies
	endless := endlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "a")
	long := strings.Repeat("b", limit)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(long[:len(r.URL.RawQuery)*limit/4])) // the client may have closed
	}))
	defer s.Close()
	sound := send.Client{Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), Bodies: &bodies}
	read := func(c *send.Client, target string) (int, error) {
		reply, err := c.Do(t.Context(), send.Request{Method: http.MethodGet, Target: target})
		if err != nil {
			return 0, err
		}
		body, err := reply.ReadAll(limit)
		return len(body), err
	}
	var calls sync.WaitGroup
	for range 40 {
		calls.Go(func() {
			client := send.Client{Addr: endless, Bodies: &bodies}
			if _, err := read(&client, "/"); send.BoundOf(err) != send.BodyBound {
				t.Errorf("%v", err)
			}
		})
	}
	calls.Wait()
	for _, c := range []struct {
		target string
		bytes  int
	}{{"/", 0}, {"/?a", limit / 4}, {"/?aaaa", limit}} {
		n, err := read(&sound, c.target)
		require.NoError(t, err, c.target)
		require.Equal(t, c.bytes, n)
	}
}
