package admin

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/fakes/serve"
)

// Guards against a broken answer that the operator's commands take for the state of a host.
func TestClientTakesBrokenAnswerForNone(t *testing.T) {
	const status = `{"hosts":[]}`
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + status
	for name, c := range map[string]struct {
		answer  string
		isWhole bool
	}{
		"whole":                {inner, true},
		"status 000":           {"HTTP/1.1 000 Zero\r\n\r\n" + inner, false},
		"status 101":           {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + inner, false},
		"blank in a name":      {"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 12\r\n\r\n" + status, false},
		"length with a blank":  {"HTTP/1.1 200 OK\r\nContent-Length : 13\r\n\r\n" + status, false},
		"shorter than stated":  {"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + status, false},
		"coding with a length": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\nc\r\n" + status + "\r\n0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			go serve.Raw(l, c.answer)
			client := Client{Address: l.Addr().(*net.TCPAddr).AddrPort()}
			if _, err = client.Status(t.Context()); c.isWhole {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, ErrUnreachable)
				require.False(t, neverSent(err))
			}
		})
	}
}

// Guards against an answer over TLS that ends without the end of the TLS connection and looks complete: anybody on the way
// can close a connection.
func TestClientTakesAnswerCutUnderTLSForNone(t *testing.T) {
	s := httptest.NewUnstartedServer(nil)
	s.StartTLS()
	defer s.Close()
	pool := x509.NewCertPool()
	pool.AddCert(s.Certificate())
	for _, cut := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			secured := tls.Server(c, &tls.Config{Certificates: s.TLS.Certificates, MinVersion: tls.VersionTLS12})
			if _, err := http.ReadRequest(bufio.NewReader(secured)); err == nil {
				_, _ = io.WriteString(secured, "HTTP/1.1 200 OK\r\n\r\n{\"hosts\":[]}")
			}
			if !cut {
				_ = secured.CloseWrite()
			}
			_ = c.Close()
		}()
		client := Client{Address: netip.MustParseAddrPort(l.Addr().String()), TLS: &tls.Config{RootCAs: pool, ServerName: "example.com", MinVersion: tls.VersionTLS12}}
		if _, err = client.Status(t.Context()); cut {
			require.ErrorIs(t, err, ErrUnreachable)
		} else {
			require.NoError(t, err)
		}
		_ = l.Close()
	}
}
