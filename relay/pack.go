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

// wired is a change as relays pass it on.
type wired[T any] struct {
	Name     string
	Revision feed.Revision
	Value    T
	// Unread is the cause where the member can't be read.
	Unread string
	Gone   bool
}

func (t wired[T]) change() feed.Change[T] {
	c := feed.Change[T]{Item: feed.Item[T]{Name: t.Name, Revision: t.Revision, Value: t.Value}, Deleted: t.Gone}
	if t.Unread != "" {
		c.DecodeErr = errors.New(t.Unread)
	}
	return c
}

// The first byte of an answer says in which form the rest is.
const (
	formPlain   = 0
	formDeflate = 1
	// deflateFrom is the length in bytes from which an answer is compressed: a packet's.
	deflateFrom = 1400
	// maxDecoded bounds an answer once it is decompressed, in bytes.
	maxDecoded = 32 << 20
)

// Encode gives members of a collection in the form in which processes pass them on.
func Encode[T any](items []feed.Item[T]) ([]byte, error) {
	changes := make([]feed.Change[T], 0, len(items))
	for _, i := range items {
		changes = append(changes, feed.Change[T]{Item: i})
	}
	return encode(changes)
}

// Decode reads what Encode gave. Members that are named twice are an error: such an answer
// is none of a list.
func Decode[T any](body []byte) ([]feed.Item[T], error) {
	changes, err := decode[T](body)
	if err != nil {
		return nil, err
	}
	return itemsOf(changes)
}

// itemsOf gives the members of a list that was passed on as changes.
func itemsOf[T any](changes []feed.Change[T]) ([]feed.Item[T], error) {
	items := make([]feed.Item[T], 0, len(changes))
	seen := make(map[string]bool, len(changes))
	for _, c := range changes {
		if c.Deleted || seen[c.Name] {
			return nil, errors.Errorf("relay: a list names %q twice, or as gone", c.Name)
		}
		seen[c.Name] = true
		items = append(items, c.Item)
	}
	return items, nil
}

// encode gives changes in the form in which they are sent.
func encode[T any](changes []feed.Change[T]) ([]byte, error) {
	all := make([]wired[T], 0, len(changes))
	for _, c := range changes {
		t := wired[T]{Name: c.Name, Revision: c.Revision, Value: c.Value, Gone: c.Deleted}
		if c.DecodeErr != nil {
			t.Unread = c.DecodeErr.Error()
		}
		all = append(all, t)
	}
	plain := bytes.NewBuffer([]byte{formPlain})
	if err := gob.NewEncoder(plain).Encode(all); err != nil {
		return nil, errors.Wrap(err, "relay: answer")
	}
	if plain.Len() < deflateFrom {
		return plain.Bytes(), nil
	}
	small := bytes.NewBuffer([]byte{formDeflate})
	z, err := flate.NewWriter(small, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "relay: answer")
	}
	if _, err := z.Write(plain.Bytes()[1:]); err != nil {
		return nil, errors.Wrap(err, "relay: answer")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "relay: answer")
	}
	return small.Bytes(), nil
}

// decode reads what encode gave.
func decode[T any](body []byte) ([]feed.Change[T], error) {
	if len(body) == 0 {
		return nil, nil
	}
	var from io.Reader = bytes.NewReader(body[1:])
	switch body[0] {
	case formPlain:
	case formDeflate:
		z := flate.NewReader(from)
		defer func() { _ = z.Close() }() // it holds nothing
		from = io.LimitReader(z, maxDecoded)
	default:
		return nil, errors.Errorf("relay: answer of form %d", body[0])
	}
	var all []wired[T]
	if err := gob.NewDecoder(from).Decode(&all); err != nil {
		return nil, errors.Wrap(err, "relay: answer")
	}
	changes := make([]feed.Change[T], 0, len(all))
	for _, t := range all {
		changes = append(changes, t.change())
	}
	return changes, nil
}

// packed names an answer: what is told after a revision up to another, or a list, by a
// version of the hub.
type packed struct {
	version   uint64
	after, at feed.Revision
	list      bool
}

// packs keeps answers of the newest version in the form in which they are sent. The zero
// value is ready to use; it must not be copied.
//
// Load pattern: one change ends the polls of half of the fleet, and each of them is told
// the same. Encoded for each, a configuration takes a relay a millisecond of its
// processor as often as there are processes.
type packs struct {
	mu      sync.Mutex // a leaf
	version uint64
	of      map[packed][]byte
}

// pack gives an answer, encoded by the first who asks for it; the others wait.
func (p *packs) pack(key packed, encode func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if body, ok := p.of[key]; ok {
		return body, nil
	}
	body, err := encode()
	if err != nil {
		return nil, err
	}
	if key.version > p.version {
		p.version = key.version
		clear(p.of)
	}
	if p.of == nil {
		p.of = make(map[packed][]byte)
	}
	if key.version == p.version && len(p.of) < packsMost {
		p.of[key] = body
	}
	return body, nil
}

// packsMost bounds the answers that are kept.
const packsMost = 8
