package send

import (
	"github.com/pkg/errors"

	"jacinthworks/resp"
)

// Bounds on what one exchange reads beside the body of its response. A faulty upstream may send
// without end; what it sends must neither fill the memory of this process nor keep a request busy.
const (
	// MaxHeadBytes bounds the status line and the header of a response, in bytes, together with the
	// interim responses before it.
	MaxHeadBytes = 64 << 10
	// maxInterimResponses is how many interim responses may precede a response.
	maxInterimResponses = 100
	// MaxSkippedBytes bounds the body of a response to another request, in bytes.
	MaxSkippedBytes = 256 << 10
	// MaxEventBytes bounds, in bytes, an event of a stream that is passed on only in whole events.
	MaxEventBytes = 1 << 20
	// maxSkippedResponses is how many responses to other requests are skipped before the connection
	// is closed.
	maxSkippedResponses = 4
	// readerSize is the size of the read buffer of a connection, in bytes. A line before a chunk must fit
	// into it.
	readerSize = 8 << 10
)

// Bound names a bound on a response.
type Bound string

// The bounds on a response.
const (
	// HeadBound is MaxHeadBytes, or the bound on interim responses.
	HeadBound Bound = "head"
	// SkipBound is the bound on responses to other requests.
	SkipBound Bound = "skipped"
	// FramingBound is the bound on the lines before chunks and on trailers.
	FramingBound Bound = "framing"
	// BodyBound is the limit of Response.ReadAll.
	BodyBound Bound = "body"
	// EventBound is MaxEventBytes.
	EventBound Bound = "event"
)

// BoundError is the cause of the Failure of a response that exceeds a bound.
type BoundError struct {
	Bound Bound
	// Cause is the error that shows it; nil if there is none beside the bound.
	Cause error
}

// Error returns the bound and the cause.
func (e *BoundError) Error() string {
	if e.Cause != nil {
		return "send: response exceeds the bound on its " + string(e.Bound) + ": " + e.Cause.Error()
	}
	return "send: response exceeds the bound on its " + string(e.Bound)
}

// Unwrap returns the cause.
func (e *BoundError) Unwrap() error { return e.Cause }

// BoundOf returns the bound of the BoundError in the chain of err, or "" if there is none.
func BoundOf(err error) Bound {
	var e *BoundError
	if errors.As(err, &e) {
		return e.Bound
	}
	return ""
}

// IsInvalid reports whether err is that of a response that is malformed or exceeds a bound.
func IsInvalid(err error) bool { return BoundOf(err) != "" || resp.PartOf(err) != "" }

// limitReads bounds the bytes that are read from the connection from now on. Bytes that the buffer
// holds already were counted when they were read.
func (k *conn) limitReads(bytes int64, b Bound) { k.readLimit, k.bound = bytes, b }

// unlimitReads ends limitReads.
func (k *conn) unlimitReads() { k.bound = "" }

// Read reads from the connection and counts the bytes.
func (k *conn) Read(b []byte) (int, error) {
	if k.bound != "" {
		if k.readLimit <= 0 {
			k.readErr = &BoundError{Bound: k.bound}
			return 0, k.readErr
		}
		b = b[:min(int64(len(b)), k.readLimit)]
	}
	n, err := k.Conn.Read(b)
	k.bytesRead.Add(int64(n))
	k.readLimit -= int64(n)
	k.readErr = err
	return n, err
}
