package engine_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/engine"
	"jacinthworks/fakes/serve"
	"jacinthworks/infra"
	"jacinthworks/resp"
)

// serveRaw answers each request with the same bytes and closes its connection.
func serveRaw(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go serve.Raw(l, answer)
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a malformed answer of an upstream or of the platform that a side or an entry takes for one: the work may have
// run, and nothing is known of it.
func TestMalformedAnswerIsNone(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nContent-Length: 2\r\n\r\n[]"
	for part, answer := range map[resp.Part]string{
		resp.StatusCode: "HTTP/1.1 000 Zero\r\n\r\n" + inner,
		resp.Interim:    "HTTP/1.1 101 Switching Protocols\r\n\r\n" + inner,
		resp.FieldName:  "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nA b: c\r\nContent-Length: 2\r\n\r\n[]",
		resp.Length:     "HTTP/1.0 200 OK\r\nETag: \"3\"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n\r\n",
	} {
		t.Run(string(part), func(t *testing.T) {
			addr := serveRaw(t, answer)
			var parts []resp.Part
			count := func(err error) { parts = append(parts, resp.PartOf(err)) }
			_, err := (&engine.HTTPAppServer{Addr: addr, OnInvalid: count}).Do(t.Context(), engine.Call{Method: "POST", Path: "/"})
			require.ErrorIs(t, err, engine.ErrCrashed)
			model := &engine.HTTPModel{Addr: addr, OnInvalid: count}
			_, err = model.CacheEvents(t.Context(), 0)
			require.ErrorIs(t, err, engine.ErrCrashed)
			require.ErrorIs(t, model.Decode(t.Context(), engine.DecodeRequest{}, nil), engine.ErrCrashed)
			_, err = (&infra.HTTPObjects{Addr: addr, OnInvalid: count}).Get(t.Context(), "a")
			require.ErrorIs(t, err, infra.ErrNoReply)
			_, err = (&infra.HTTPHosts{Addr: addr, OnInvalid: count}).Hosts(t.Context())
			require.ErrorIs(t, err, infra.ErrNoReply)
			require.Equal(t, []resp.Part{part, part, part, part, part}, parts)
		})
	}
}

// Guards against a prefill whose answer names no cache, which a decode would ask for.
func TestPrefillWithoutACacheIsNoAnswer(t *testing.T) {
	for _, body := range []string{"{}", "null"} {
		model := engine.HTTPModel{Addr: serveRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+body)}
		_, err := model.Prefill(t.Context(), engine.PrefillRequest{})
		require.ErrorIs(t, err, engine.ErrUnexpectedResponse)
	}
}
