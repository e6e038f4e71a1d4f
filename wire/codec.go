package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxRetainedBuffer bounds, in bytes, the read buffer that a connection keeps between
// messages. Calls and heartbeats fit into it; a larger buffer, grown for a long prompt, is
// released.
const maxRetainedBuffer = 64 << 10

// maxMessage bounds a message, in bytes. It holds a prompt of several megabytes with all characters escaped.
const maxMessage = 32 << 20

// codec writes each message behind its length, in the format of jsonrpc2.VarintObjectCodec. It
// calls a message's own JSON methods instead of encoding/json, which would scan their output
// once more to validate and compact it: all messages of a connection in one direction pass
// through one goroutine, so the cost per message bounds the connection's throughput. A codec
// belongs to one connection and must be read from one goroutine only.
type codec struct{ text bytes.Buffer }

// WriteObject writes one message, preceded by its length.
func (c *codec) WriteObject(to io.Writer, message any) error {
	text, err := encode(message)
	if err != nil {
		return err
	}
	var length [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(length[:], uint64(len(text)))
	if _, err := to.Write(length[:n]); err != nil {
		return err
	}
	_, err = to.Write(text)
	return err
}

// ReadObject reads the next message. The buffer grows with the bytes received, not by the
// length that the remote end announced.
func (c *codec) ReadObject(from *bufio.Reader, message any) error {
	n, err := binary.ReadUvarint(from)
	if err != nil {
		return err
	}
	c.text.Reset()
	if c.text.Cap() > maxRetainedBuffer {
		c.text = bytes.Buffer{}
	}
	if _, err := io.CopyN(&c.text, from, int64(min(n, maxMessage))); err != nil {
		return errors.Wrap(err, "wire: read message body")
	}
	if n > maxMessage {
		return errors.Errorf("wire: message of %d bytes is over the limit of %d", n, maxMessage)
	}
	return decode(c.text.Bytes(), message)
}

func encode(message any) ([]byte, error) {
	if m, ok := message.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(message)
}

func decode(text []byte, message any) error {
	if m, ok := message.(json.Unmarshaler); ok {
		return m.UnmarshalJSON(text)
	}
	return json.Unmarshal(text, message)
}
