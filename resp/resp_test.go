package resp

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func read(method, text string) (*Head, string, error) {
	r := bufio.NewReaderSize(strings.NewReader(text), 16)
	h, err := ReadHead(r, method)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(h.Body(r))
	return h, string(body), err
}

// Guards against a malformed response of which a log line or a counter names the wrong part.
func TestErrorNamesPart(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, part := range map[string]Part{
		"\r\n":                                                       StatusLine,
		"HTTP/1.1 200OK\r\n\r\n":                                     StatusLine,
		"HTTP/1.1 2x0 OK\r\n\r\n":                                    StatusLine,
		"HTTP/1.1 000 \r\n\r\n":                                      StatusCode,
		"HTTP/1.1 600 \r\n\r\n":                                      StatusCode,
		"HTTP/1.1 101 \r\n\r\n":                                      Interim,
		"HTTP/1.1 103 \r\nContent-Length: 1\r\n\r\n":                 Interim,
		ok + "A : b\r\n\r\n":                                         FieldName,
		ok + "\ta: b\r\n\r\n":                                        FieldName,
		ok + "A: \x7f\r\n\r\n":                                       FieldValue,
		ok + "A: b\r\n \x00\r\n\r\n":                                 FieldValue,
		ok + "Content-Length: 0x1\r\n\r\n":                           Length,
		ok + "Content-Length: 1,\r\n\r\n":                            Length,
		ok + "Content-Length: 9223372036854775808\r\n\r\n":           Length,
		ok + "Transfer-Encoding: \r\n\r\n":                           Length,
		ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA b: c\r\n\r\n": Trailer,
	} {
		_, _, err := read(http.MethodGet, text)
		require.Equal(t, part, PartOf(err), "%q: %v", text, err)
	}
}

// Guards against a response without a body of which the next bytes are taken for its body, or the other way round.
func TestBodyEndsWhereItsFramingSays(t *testing.T) {
	for text, body := range map[string]string{
		"GET 200\r\nContent-Length: 3\r\n\r\nabcd":                            "abc",
		"GET 200\r\nContent-Length:\r\n 3\r\n\r\nabcd":                        "abc",
		"GET 200\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nd": "abc",
		"GET 200\r\n\r\nabcd":                                                 "abcd",
		"GET 204\r\nContent-Length: 3\r\n\r\nabcd":                            "",
		"GET 304\r\nContent-Length: 3\r\n\r\nabcd":                            "",
		"GET 304\r\nTransfer-Encoding: chunked\r\n\r\nabcd":                   "",
		"HEAD 200\r\nContent-Length: 3\r\n\r\nabcd":                           "",
		"HEAD 200\r\n\r\nabcd":                                                "",
	} {
		method, rest, _ := strings.Cut(text, " ")
		_, got, err := read(method, "HTTP/1.1 "+rest)
		require.NoError(t, err, "%q", text)
		require.Equal(t, body, got, "%q", text)
	}
}

// Guards against a head with more than one reading: what is accepted has one status, names that are tokens, values without
// control characters, and reads the same when it is written again.
func FuzzReadHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 404\n\n", "HTTP/1.1 103 x\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nB: c\r\n\r\n", "HTTP/1.1 000 \r\nA : b\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		h, body, err := read(http.MethodGet, text)
		if err != nil {
			return
		}
		require.True(t, h.Status >= 100 && h.Status <= 599 && h.Status != http.StatusSwitchingProtocols)
		var b bytes.Buffer
		b.WriteString("HTTP/1.1 " + strconv.Itoa(h.Status) + " \r\n")
		for name, values := range h.Header {
			require.Empty(t, bytes.TrimFunc([]byte(name), func(c rune) bool { return c < 128 && isToken(byte(c)) }))
			for _, value := range values {
				require.True(t, isText([]byte(value)))
				b.WriteString(name + ": " + value + "\r\n")
			}
		}
		b.WriteString("\r\n" + body)
		again, _, err := read(http.MethodGet, b.String())
		require.NoError(t, err)
		require.Equal(t, h.Header, again.Header)
	})
}
