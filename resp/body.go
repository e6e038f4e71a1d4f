package resp

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Framing is how a response states where its body ends (RFC 9112, section 6.3).
type Framing string

// The framings of a body.
const (
	// FramedByLength: the header states the length, or the response has no body.
	FramedByLength Framing = "length"
	// FramedByChunks: the body is sent in chunks, the last of which is empty.
	FramedByChunks Framing = "chunks"
	// FramedByClose: the body ends with the connection, which alone does not say that it is complete.
	FramedByClose Framing = "close"
)

const (
	fieldLength = "Content-Length"
	fieldCoding = "Transfer-Encoding"
)

// frame determines where the body of the response to a request with the given method ends (RFC 9112, section 6.3). Fields
// of the framing stay in the header if they tell its recipient something about the body.
func (h *Head) frame(method string, minor byte) error {
	h.Close = closes(h.Header, minor)
	length, err := h.statedLength()
	if err != nil {
		return err
	}
	_, coded := h.Header[fieldCoding]
	h.Framing = FramedByLength
	switch {
	case h.IsInterim():
		if h.Status == http.StatusSwitchingProtocols || coded || length > 0 {
			return malformed(Interim, strconv.Itoa(h.Status)+" "+h.Header.Get(fieldLength)+h.Header.Get(fieldCoding))
		}
		return nil
	case h.Status == http.StatusNoContent:
		// The body that such a response states, if it comes, must not be taken for the next response.
		h.Close = h.Close || coded || length > 0
		h.dropFraming()
		return nil
	}
	if coded {
		if err := h.checkCoding(minor); err != nil {
			return err
		}
	}
	switch {
	case method == http.MethodHead, h.Status == http.StatusNotModified:
		h.Header.Del(fieldCoding)
	case coded:
		h.Framing = FramedByChunks
		h.dropFraming()
	case length >= 0:
		h.length = length
	default:
		h.Framing, h.Close = FramedByClose, true
	}
	return nil
}

func (h *Head) dropFraming() {
	h.Header.Del(fieldLength)
	h.Header.Del(fieldCoding)
}

// statedLength returns the length in the header; -1 if there is none. A length that is stated several times is kept once.
func (h *Head) statedLength() (int64, error) {
	values, stated := h.Header[fieldLength]
	if !stated {
		return -1, nil
	}
	all := strings.Join(values, ",")
	first, _, _ := strings.Cut(all, ",")
	first = strings.Trim(first, " \t")
	for text := range strings.SplitSeq(all, ",") {
		if strings.Trim(text, " \t") != first {
			return 0, malformed(Length, all)
		}
	}
	n, err := strconv.ParseUint(first, 10, 63)
	if err != nil || !isDigit(first[0]) {
		return 0, malformed(Length, all)
	}
	h.Header.Set(fieldLength, first)
	return int64(n), nil
}

// checkCoding returns an error unless the body is chunked and nothing else says where it ends.
func (h *Head) checkCoding(minor byte) error {
	codings := h.Header[fieldCoding]
	if _, stated := h.Header[fieldLength]; stated || minor == 0 || len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") {
		return malformed(Length, strings.Join(append(codings, h.Header[fieldLength]...), ", "))
	}
	return nil
}

// closes reports whether a connection ends after a response, by its header and its minor version (RFC 9112, section 9.3).
func closes(h http.Header, minor byte) bool {
	keeps := false
	for _, list := range h["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			switch option = strings.Trim(option, " \t"); {
			case strings.EqualFold(option, "close"):
				return true
			case strings.EqualFold(option, "keep-alive"):
				keeps = true
			}
		}
	}
	return minor == 0 && !keeps
}

// Body returns the body, which is read from the reader of the head. Read returns io.EOF at the end that the framing
// states, and io.ErrUnexpectedEOF if the connection ends before it. The end of a body that is FramedByClose is that of the
// connection.
func (h *Head) Body(r *bufio.Reader) io.Reader {
	switch h.Framing {
	case FramedByChunks:
		return &chunkedBody{reader: r}
	case FramedByClose:
		return r
	}
	return &sizedBody{reader: r, left: h.length}
}

// sizedBody is a body of known length.
type sizedBody struct {
	reader io.Reader
	left   int64 // bytes
}

// Read reads the body. The end comes with the last bytes.
func (b *sizedBody) Read(p []byte) (n int, err error) {
	if b.left > 0 {
		n, err = b.reader.Read(p[:min(int64(len(p)), b.left)])
		b.left -= int64(n)
	}
	switch {
	case b.left == 0:
		return n, io.EOF
	default:
		return n, unexpected(err)
	}
}
