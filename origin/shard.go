package origin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/split"
)

// MaxShardRecords bounds the records of a shard in the store, 11 bytes each.
const MaxShardRecords = 8192

// Shard is a part of the records of streams as the store has it.
type Shard struct {
	Groups []Group `json:"groups"`
}

// Group is the streams of one origin.
type Group struct {
	Origin Origin `json:"origin"`
	Keys   Keys   `json:"keys"`
}

// Keys are keys of streams, encoded as one base64 text of eight bytes each.
type Keys []Key

// MarshalText encodes the keys.
func (k Keys) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, 8*len(k))
	for _, key := range k {
		raw = binary.BigEndian.AppendUint64(raw, uint64(key))
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes keys.
func (k *Keys) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return errors.Wrap(err, "origin: decode keys of streams")
	}
	if len(raw)%8 != 0 {
		return errors.Wrapf(errInvalidShard, "keys of %d bytes", len(raw))
	}
	*k = make(Keys, 0, len(raw)/8)
	for ; len(raw) > 0; raw = raw[8:] {
		*k = append(*k, Key(binary.BigEndian.Uint64(raw)))
	}
	return nil
}

var errInvalidShard = errors.New("origin: invalid records of streams")

// DecodeShard decodes a shard from the store, which may come from any writer.
func DecodeShard(value []byte, number int) (Shard, error) {
	var w struct {
		Groups json.RawMessage `json:"groups"`
	}
	if err := json.Unmarshal(value, &w); err != nil || len(w.Groups) == 0 {
		return Shard{}, errors.Wrap(err, "origin: decode records of streams")
	}
	var s Shard
	total := 0
	// Each group is checked before the next is decoded: an invalid shard takes no memory for its rest.
	err := split.Elements(w.Groups, func(element []byte) error {
		var g Group
		if err := json.Unmarshal(element, &g); err != nil {
			return err
		}
		total += len(g.Keys)
		if err := g.check(number, max(total, len(s.Groups)+1)); err != nil {
			return err
		}
		s.Groups = append(s.Groups, g)
		return nil
	})
	if err != nil {
		return Shard{}, errors.Wrap(err, "origin: decode records of streams")
	}
	return s, nil
}

// check returns an error for a group that can't be in the shard. total is the number of records or, if it is
// higher, of groups up to this one.
func (g Group) check(number, total int) error {
	if g.Origin.Service == "" || len(g.Origin.Software) > maxVersionLength || total > MaxShardRecords {
		return errors.Wrapf(errInvalidShard, "service %.40q, %d records", g.Origin.Service, total)
	}
	for _, k := range g.Keys {
		if k.Shard() != number {
			return errors.Wrapf(errInvalidShard, "record of shard %d in shard %d", k.Shard(), number)
		}
	}
	return nil
}

// Find returns the origins that the shard has for the stream that the request began: more than one if
// records differ.
func (s Shard) Find(id domain.RequestID) (found []Origin) {
	key := KeyOf(id)
	for _, g := range s.Groups {
		for _, k := range g.Keys {
			if k == key {
				found = append(found, g.Origin)
				break
			}
		}
	}
	return found
}
