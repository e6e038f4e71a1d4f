// Package resp reads responses of HTTP/1.1 from a connection, and says what a response is: all clients of this module
// read through it. It keeps to the grammar of RFC 9112 and RFC 9110. The reader of
// net/http is more lenient: it accepts a status of 000, which a client takes for an interim response to read the answer inside
// its body, and it keeps a field whose name holds a space, which may be the one that says where the body ends, under a name
// that nobody asks for.
//
// # Usage
//
//	head, err := resp.ReadHead(reader, http.MethodGet)
//	if resp.PartOf(err) != "" {
//		// the bytes are no response; the request may have run
//	}
//	if head.IsInterim() {
//		// read the next head
//	}
//	body, err := io.ReadAll(head.Body(reader))
//
// # What is rejected
//
// Of the forms that a recipient may either repair or reject, those are rejected in which another recipient may see a
// different field, length or status:
//
//   - a status line with other separators than one space, another major version, control characters in the reason
//     (RFC 9112, section 4), or a status that is not three digits from 100 to 599 (RFC 9110, section 15);
//   - a field name that is no token, so also one with a space before the colon (RFC 9112, section 5.1; RFC 9110, section
//     5.1), a value with control characters (RFC 9110, section 5.5), a line without a colon, and a first field line that
//     begins with a space (RFC 9112, section 2.2);
//   - status 101, since no request asks for another protocol, and an interim response that states a body (RFC 9110,
//     sections 15.2 and 8.6): what follows it would be read as the answer;
//   - lengths that differ or are no number, a length beside a transfer coding, a coding other than chunked, and a coding
//     in HTTP/1.0 (RFC 9112, sections 6.1 to 6.3);
//   - malformed chunks and trailers (RFC 9112, section 7.1).
//
// # What is accepted
//
// Lines that end with a line feed alone (RFC 9112, section 2.2), a missing space before an empty reason, a continued field
// line, which becomes one value (section 5.2), one length that is stated several times (section 6.3), and chunk extensions
// and trailers, which are dropped (sections 7.1.1 and 7.1.2).
package resp

import (
	"bufio"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pkg/errors"
)

// Part is the part of a response that is malformed.
type Part string

// The parts of a response.
const (
	StatusLine Part = "status_line"
	// StatusCode: the status line is well-formed, and no response has its status.
	StatusCode Part = "status_code"
	// Interim: an interim response that states a body, or that changes the protocol.
	Interim    Part = "interim"
	FieldName  Part = "field_name"
	FieldValue Part = "field_value"
	// Length: the fields that say where the body ends contradict each other or the protocol.
	Length Part = "length"
	// Chunk: the lines around the data of a chunk.
	Chunk Part = "chunk"
	// Trailer: the fields after a chunked body.
	Trailer Part = "trailer"
)

// Error is the error of bytes that are no response.
type Error struct {
	Part Part
	// Text is what was read instead.
	Text string
}

// maxErrorText bounds the Text of an Error, in bytes.
const maxErrorText = 80

// malformed returns an Error.
func malformed(p Part, text string) error {
	return &Error{Part: p, Text: text[:min(len(text), maxErrorText)]}
}

// Error returns the part and its text.
func (e *Error) Error() string {
	return "resp: malformed " + strings.ReplaceAll(string(e.Part), "_", " ") + ": " + quote(e.Text)
}

// PartOf returns the part that the Error in the chain of err names, or "" if there is none.
func PartOf(err error) Part {
	var e *Error
	if errors.As(err, &e) {
		return e.Part
	}
	return ""
}

// Head is the status line and the header of a response.
type Head struct {
	Status int
	Header http.Header
	// Framing is how the end of the body is stated.
	Framing Framing
	// Close means that the connection carries no further response.
	Close bool

	length int64 // of the body, for FramedByLength
}

// IsInterim reports whether a further response follows to the same request.
func (h *Head) IsInterim() bool { return h.Status < http.StatusOK }

// ReadHead reads the head of the next response to a request with the given method. An end of the connection before the
// end of the head is io.ErrUnexpectedEOF.
func ReadHead(r *bufio.Reader, method string) (*Head, error) {
	line, err := readLine(r, noLimit)
	if err != nil {
		return nil, err
	}
	minor, status, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	h := &Head{Status: status}
	if h.Header, err = readFields(r, noLimit); err != nil {
		return nil, err
	}
	return h, h.frame(method, minor)
}

// parseStatusLine returns the minor version and the status of a status line (RFC 9112, section 4).
func parseStatusLine(line []byte) (minor byte, status int, err error) {
	const prefix = "HTTP/1.x "
	const codeEnd = len(prefix) + 3
	if len(line) < codeEnd || string(line[:7]) != prefix[:7] || !isDigit(line[7]) || line[8] != ' ' {
		return 0, 0, malformed(StatusLine, string(line))
	}
	for _, c := range line[len(prefix):codeEnd] {
		if !isDigit(c) {
			return 0, 0, malformed(StatusLine, string(line))
		}
		status = 10*status + int(c-'0')
	}
	if reason := line[codeEnd:]; len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return 0, 0, malformed(StatusLine, string(line))
	}
	if status < 100 || status > 599 {
		return 0, 0, malformed(StatusCode, string(line))
	}
	return line[7] - '0', status, nil
}

// readFields reads field lines up to and including the empty line after them, at most limit bytes.
func readFields(r *bufio.Reader, limit int) (http.Header, error) {
	h := make(http.Header)
	var values []string  // those of the field of the last line
	var continued []byte // the last of them, if its line is continued
	for {
		line, err := readLine(r, limit)
		if err != nil {
			return nil, err
		}
		limit -= len(line)
		if len(line) > 0 && isSpace(line[0]) {
			if values == nil {
				return nil, malformed(FieldName, string(line))
			}
			if continued == nil {
				continued = []byte(values[len(values)-1])
			}
			text := trimSpace(line)
			if !isText(text) {
				return nil, malformed(FieldValue, string(line))
			}
			continued = append(append(continued, ' '), text...)
			continue
		}
		if continued != nil {
			values[len(values)-1], continued = string(trimSpace(continued)), nil
		}
		if len(line) == 0 {
			return h, nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		values = append(h[name], value)
		h[name] = values
	}
}

// parseField returns the name, in its canonical form, and the value of a field line (RFC 9112, section 5).
func parseField(line []byte) (name, value string, err error) {
	end := 0
	for end < len(line) && isToken(line[end]) {
		end++
	}
	if end == 0 || end == len(line) || line[end] != ':' {
		return "", "", malformed(FieldName, string(line))
	}
	text := trimSpace(line[end+1:])
	if !isText(text) {
		return "", "", malformed(FieldValue, string(line))
	}
	return textproto.CanonicalMIMEHeaderKey(string(line[:end])), string(text), nil
}

// noLimit is the limit of lines that the connection bounds.
const noLimit = 1 << 30

// ErrTooLong is the error of a body whose lines before chunks, or whose trailers, are too long.
var ErrTooLong = errors.New("resp: too many bytes that are no data in a chunked body")

// readLine reads a line without its end. The result is valid until the next read.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) <= limit {
			line, err = r.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	switch {
	case len(line) > limit:
		return nil, ErrTooLong
	case err != nil:
		return nil, unexpected(err)
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}
