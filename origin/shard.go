package origin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"

	"jacinthworks/domain"
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
	var s Shard
	if err := json.Unmarshal(value, &s); err != nil {
		return Shard{}, errors.Wrap(err, "origin: decode records of streams")
	}
	total := 0
	for _, g := range s.Groups {
		total += len(g.Keys)
		if g.Origin.Service == "" || len(g.Origin.Software) > maxVersionLength || total > MaxShardRecords {
			return Shard{}, errors.Wrapf(errInvalidShard, "service %.40q, %d records", g.Origin.Service, total)
		}
		for _, k := range g.Keys {
			if k.Shard() != number {
				return Shard{}, errors.Wrapf(errInvalidShard, "record of shard %d in shard %d", k.Shard(), number)
			}
		}
	}
	return s, nil
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
