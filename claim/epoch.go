package claim

import (
	"cmp"
	"fmt"
)

// Epoch numbers one ownership of a shard: the record's version, then the rank
// of the owner in it. A record lists one incarnation for each rank, so an
// epoch belongs to one life of one process and is never used again.
type Epoch struct {
	Version uint64 `json:"version"`
	Rank    uint32 `json:"rank"`
}

// Compare orders epochs by version, then by rank: negative if e is older.
func (e Epoch) Compare(o Epoch) int {
	if c := cmp.Compare(e.Version, o.Version); c != 0 {
		return c
	}
	return cmp.Compare(e.Rank, o.Rank)
}

// Less tells whether e is older than o.
func (e Epoch) Less(o Epoch) bool { return e.Compare(o) < 0 }

// Next gives the epoch of the next rank under the same record.
func (e Epoch) Next() Epoch { return Epoch{Version: e.Version, Rank: e.Rank + 1} }

// String gives version and rank, as in 7.1.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Version, e.Rank) }
