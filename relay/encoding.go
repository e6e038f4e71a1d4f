package relay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/pkg/errors"

	"jacinthworks/feed"
)

// wired is a change in the encoding in which relays pass it on. The names of the type and of its
// fields are part of the gob encoding.
type wired[T any] struct {
	Name     string
	Revision feed.Revision
	Value    T
	// Unread is the decoding error of a member that can't be decoded, else empty.
	Unread string
	Gone   bool
}

// change returns the decoded form of the change.
func (t wired[T]) change() feed.Change[T] {
	c := feed.Change[T]{Item: feed.Item[T]{Name: t.Name, Revision: t.Revision, Value: t.Value}, Deleted: t.Gone}
	if t.Unread != "" {
		c.DecodeErr = errors.New(t.Unread)
	}
	return c
}

// The first byte of an answer is the encoding of the rest.
const (
	encodingPlain   = 0
	encodingDeflate = 1
	// minDeflateBytes is the length in bytes from which an answer is compressed. A shorter
	// answer fits into one packet.
	minDeflateBytes = 1400
	// maxDecoded bounds an answer once it is decompressed, in bytes.
	maxDecoded = 32 << 20
)

// Encode returns the encoding in which relays pass on members of a collection: gob, compressed if
// it is long. Of members with the same name, or without one, the first is passed on: Decode refuses a
// list that has a member twice.
func Encode[T any](items []feed.Item[T]) ([]byte, error) {
	changes := make([]feed.Change[T], 0, len(items))
	seen := make(map[string]bool, len(items))
	for _, i := range items {
		if !seen[i.Name] {
			seen[i.Name] = true
			changes = append(changes, feed.Change[T]{Item: i})
		}
	}
	return encode(changes)
}

// Decode decodes the result of Encode. It returns an error if a member occurs twice or as deleted,
// because the body is then not that of a list.
func Decode[T any](body []byte) ([]feed.Item[T], error) {
	changes, err := decode[T](body)
	if err != nil {
		return nil, err
	}
	return itemsOf(changes)
}

// itemsOf returns the members of a list that was passed on as changes.
func itemsOf[T any](changes []feed.Change[T]) ([]feed.Item[T], error) {
	items := make([]feed.Item[T], 0, len(changes))
	seen := make(map[string]bool, len(changes))
	for _, c := range changes {
		if c.Deleted || seen[c.Name] {
			return nil, errors.Errorf("relay: list contains %q twice or as deleted", c.Name)
		}
		seen[c.Name] = true
		items = append(items, c.Item)
	}
	return items, nil
}

// encode returns the encoding of changes, compressed if it is long.
func encode[T any](changes []feed.Change[T]) ([]byte, error) {
	all := make([]wired[T], 0, len(changes))
	for _, c := range changes {
		t := wired[T]{Name: c.Name, Revision: c.Revision, Value: c.Value, Gone: c.Deleted}
		if c.DecodeErr != nil {
			t.Unread = c.DecodeErr.Error()
		}
		all = append(all, t)
	}
	plain := bytes.NewBuffer([]byte{encodingPlain})
	if err := gob.NewEncoder(plain).Encode(all); err != nil {
		return nil, errors.Wrap(err, "relay: encode an answer")
	}
	if plain.Len() < minDeflateBytes {
		return plain.Bytes(), nil
	}
	compressed := bytes.NewBuffer([]byte{encodingDeflate})
	writer, err := flate.NewWriter(compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "relay: compress an answer")
	}
	if _, err := writer.Write(plain.Bytes()[1:]); err != nil {
		return nil, errors.Wrap(err, "relay: compress an answer")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "relay: compress an answer")
	}
	return compressed.Bytes(), nil
}

// decode decodes the result of encode.
func decode[T any](body []byte) ([]feed.Change[T], error) {
	if len(body) == 0 {
		return nil, nil
	}
	var source io.Reader = bytes.NewReader(body[1:])
	switch body[0] {
	case encodingPlain:
	case encodingDeflate:
		reader := flate.NewReader(source)
		defer func() { _ = reader.Close() }() // the reader holds no resources
		source = io.LimitReader(reader, maxDecoded)
	default:
		return nil, errors.Errorf("relay: decode an answer: unknown encoding %d", body[0])
	}
	var all []wired[T]
	if err := gob.NewDecoder(source).Decode(&all); err != nil {
		return nil, errors.Wrap(err, "relay: decode an answer")
	}
	changes := make([]feed.Change[T], 0, len(all))
	for _, t := range all {
		changes = append(changes, t.change())
	}
	return changes, nil
}

// answerKey identifies an answer of a version of the replica: the changes after one revision up to
// another, or a list.
type answerKey struct {
	version   uint64
	after, at feed.Revision
	list      bool
}

// answerCache holds encoded answers of the replica's newest version. The zero value is ready to
// use; it must not be copied. One change ends the polls of half of the fleet, and each poll gets
// the same answer. Without the cache, a relay would spend a millisecond of processor time per
// process to encode a configuration.
type answerCache struct {
	mu      sync.Mutex // leaf lock; encode runs while it is held
	version uint64
	encoded map[answerKey][]byte
}

// get returns an encoded answer. The first caller for a key encodes it while other callers wait.
func (p *answerCache) get(key answerKey, encode func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if body, ok := p.encoded[key]; ok {
		return body, nil
	}
	body, err := encode()
	if err != nil {
		return nil, err
	}
	if key.version > p.version {
		p.version = key.version
		clear(p.encoded)
	}
	if p.encoded == nil {
		p.encoded = make(map[answerKey][]byte)
	}
	if key.version == p.version && len(p.encoded) < maxCachedAnswers {
		p.encoded[key] = body
	}
	return body, nil
}

// maxCachedAnswers bounds the number of cached answers.
const maxCachedAnswers = 8
