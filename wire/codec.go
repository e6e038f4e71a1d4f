package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// mostKept bounds the buffer that a connection keeps between messages: calls
// and heartbeats fit, a long prompt's buffer is let go.
const mostKept = 64 << 10

// codec puts messages on the wire as jsonrpc2.VarintObjectCodec does, each
// behind its length. It calls a message's own JSON methods in place of
// encoding/json, which would go over their text once more to check and
// compact it: a message passes through one goroutine per connection and
// direction, so that its cost bounds what a connection carries. One codec
// belongs to one connection, whose reads come from one goroutine.
type codec struct{ text bytes.Buffer }

// WriteObject writes one message.
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

// ReadObject reads the next message. The buffer grows with what arrives and
// not by the length that the other end announced.
func (c *codec) ReadObject(from *bufio.Reader, message any) error {
	n, err := binary.ReadUvarint(from)
	if err != nil {
		return err
	}
	c.text.Reset()
	if c.text.Cap() > mostKept {
		c.text = bytes.Buffer{}
	}
	if _, err := io.CopyN(&c.text, from, int64(n)); err != nil {
		return errors.Wrap(err, "wire: message cut short")
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
