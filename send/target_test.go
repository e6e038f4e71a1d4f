package send_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/send"
)

// FuzzTarget sends targets of any bytes to a server that sends each on as it received it. Each must
// arrive at the second server as it was sent to the first, or nowhere.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{
		"/", "//", "///", "//host/x?page=1", "//host:80/x", "/a//b", "/./a/../b/.", "/a%2Fb", "/a%2fb", "/100%", "/%zz", "/a:b", "/:80", "/a?", "/a??b=//c",
		"/a?%zz", "/a#b", "/\xff", "/a\\b", "/<a>\"{c}|d^e`f", "http://host/a", "host:80", "*", "?a", "/a\tb", "/a\x00b", "/a\x7fb",
	} {
		f.Add(target)
	}
	arrived := make(chan string, 1)
	last := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { arrived <- r.RequestURI }))
	f.Cleanup(last.Close)
	client := send.Client{Addr: netip.MustParseAddrPort(last.Listener.Addr().String())}
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply, err := client.Do(r.Context(), send.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host})
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		reply.Close()
		w.WriteHeader(reply.Status)
	}))
	f.Cleanup(first.Close)
	f.Fuzz(func(t *testing.T, target string) {
		if strings.ContainsAny(target, " \r\n") {
			return // ends the request line
		}
		c, err := net.Dial("tcp", first.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			require.Equal(t, target, <-arrived)
		} else {
			require.Empty(t, arrived)
		}
	})
}
