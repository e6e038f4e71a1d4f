package resp

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readChunks returns the data of a chunked body, and of the same without trailers as the standard library reads it.
func readChunks(text string, wrap func(io.Reader) io.Reader) (own string, ownErr error, standard string, standardErr error) {
	data, ownErr := io.ReadAll((&Head{Framing: FramedByChunks}).Body(bufio.NewReader(wrap(strings.NewReader(text)))))
	all, standardErr := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
	return string(data), ownErr, string(all), standardErr
}

func whole(r io.Reader) io.Reader { return r }

// Guards against a chunked body with another end or other data than it states, however it arrives.
func TestChunkedBody(t *testing.T) {
	for text, want := range map[string]string{
		"0\r\n\r\n":             "",
		"3\r\nabc\r\n0\r\n\r\n": "abc",
		"3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\nd":          "abc0123456789",
		"3;a=b\r\nabc\r\n1 ; c\r\nd\r\n00;e\r\nF: g\r\n\r\n": "abcd",
	} {
		for _, wrap := range []func(io.Reader) io.Reader{whole, iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader} {
			got, err, _, _ := readChunks(text, wrap)
			require.NoError(t, err, "%q", text)
			require.Equal(t, want, got, "%q", text)
		}
	}
	for _, text := range []string{
		"3\nabc\r\n0\r\n\r\n", "3\r\nabc\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
		"3 4\r\nabc\r\n0\r\n\r\n", " 3\r\nabc\r\n0\r\n\r\n", "\r\n", ";a\r\nabc\r\n0\r\n\r\n", "3;\x00\r\nabc\r\n0\r\n\r\n", "1000000000000000\r\n", "3\r\r\nabc\r\n0\r\n\r\n",
	} {
		_, err, _, _ := readChunks(text, whole)
		require.Equal(t, Chunk, PartOf(err), "%q: %v", text, err)
	}
	const all = "3\r\nabc\r\n0\r\nA: b\r\n\r\n"
	for at := range len(all) {
		_, err, _, _ := readChunks(all[:at], whole)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", all[:at])
	}
}

// Guards against a body that another recipient reads in another way: what is accepted has the data that the standard library
// finds, whatever the sizes of its parts.
func FuzzChunkedBody(f *testing.F) {
	for _, text := range []string{"3\r\nabc\r\n0\r\n\r\n", "3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\n", "ff\r\nabc", "0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		own, err, standard, standardErr := readChunks(text, whole)
		slow, slowErr, _, _ := readChunks(text, iotest.OneByteReader)
		require.Equal(t, own, slow)
		require.Equal(t, err == nil, slowErr == nil)
		if err != nil {
			require.False(t, errors.Is(err, io.EOF))
			return
		}
		if strings.Contains(text, " ;") || strings.Contains(text, "\t;") {
			return // the standard library does not accept the space that RFC 9110 has recipients remove (section 5.6.3)
		}
		require.NoError(t, standardErr)
		require.Equal(t, standard, own)
	})
}
