package resp

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxTrailers bounds the trailers of a body, in bytes.
	maxTrailers = 8 << 10
	// maxChunkDigits bounds the digits of the length of a chunk, which fits into 63 bits.
	maxChunkDigits = 15
	// maxExcess bounds the bytes of a body that are no data, beyond chunkAllowance for each chunk and as much as twice the data: a
	// sender can put any number of bytes into extensions.
	maxExcess      = 16 << 10
	chunkAllowance = 16
)

// chunkedBody is a body in chunks (RFC 9112, section 7.1).
type chunkedBody struct {
	reader *bufio.Reader
	// left is how much of the current chunk is to be read, in bytes, and open that its end is to be read too.
	left   int64
	open   bool
	excess int64
	// ended means that the last chunk was read.
	ended bool
	err   error // of the last read
}

// Read reads the body. Its end is that of the trailers. Read returns what has come, and waits only if that is nothing.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for b.err == nil && n < len(p) && (n == 0 || b.left > 0 || b.hasLine()) {
		switch {
		case b.ended && n > 0:
			return n, nil
		case b.ended:
			b.err = b.readTrailers()
		case b.left > 0:
			var k int
			k, b.err = b.reader.Read(p[n:min(int64(len(p)), int64(n)+b.left)])
			b.err = unexpected(b.err)
			n += k
			b.left -= int64(k)
			if n > 0 && b.left > 0 {
				return n, b.err
			}
		case b.open:
			b.err = b.endChunk()
		default:
			b.err = b.beginChunk()
		}
	}
	return n, b.err
}

// hasLine reports whether the next line has come.
func (b *chunkedBody) hasLine() bool {
	come, _ := b.reader.Peek(b.reader.Buffered()) // what is buffered can be read
	return bytes.IndexByte(come, '\n') >= 0
}

// beginChunk reads the line before the data of a chunk.
func (b *chunkedBody) beginChunk() error {
	line, err := b.readLine()
	if err != nil {
		return err
	}
	digits := 0
	for digits < len(line) && isHex(line[digits]) {
		b.left = b.left<<4 | int64(hexValue(line[digits]))
		digits++
	}
	extension := trimSpace(line[digits:])
	if digits == 0 || digits > maxChunkDigits || len(extension) > 0 && (extension[0] != ';' || !isText(extension)) {
		return malformed(Chunk, string(line))
	}
	b.ended, b.open = b.left == 0, b.left > 0
	const lineEnds = 4 // in bytes, of the line and after the data
	b.excess = max(b.excess+int64(len(line))+lineEnds-chunkAllowance-2*b.left, 0)
	if b.excess > maxExcess {
		return ErrTooLong
	}
	return nil
}

// endChunk reads the end of the line that the data of a chunk is.
func (b *chunkedBody) endChunk() error {
	var end [2]byte
	if _, err := io.ReadFull(b.reader, end[:]); err != nil {
		return unexpected(err)
	}
	if string(end[:]) != "\r\n" {
		return malformed(Chunk, string(end[:]))
	}
	b.open = false
	return nil
}

// readLine reads a line before a chunk, which must fit into the buffer of the reader. Other than in a head, a line feed alone
// does not end it.
func (b *chunkedBody) readLine() ([]byte, error) {
	line, err := b.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, ErrTooLong
	case err != nil:
		return nil, unexpected(err)
	case !bytes.HasSuffix(line, []byte("\r\n")):
		return nil, malformed(Chunk, string(line))
	}
	return line[:len(line)-2], nil
}

// readTrailers reads the trailers up to the end of the body, for which it returns io.EOF.
func (b *chunkedBody) readTrailers() error {
	_, err := readFields(b.reader, maxTrailers)
	var e *Error
	switch {
	case errors.As(err, &e):
		return &Error{Part: Trailer, Text: e.Text}
	case err != nil:
		return err
	}
	return io.EOF
}

// unexpected returns the error of a read before the end of a body.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
