package claim

import (
	"cmp"
	"fmt"
)

// Epoch numbers one ownership of a shard: the record's version, then a turn. The members
// take turns in the order of their ranks, round after round: the turn modulo the number of
// members is the owner's rank. A record lists one incarnation for each rank, and each
// incarnation starts a turn once, so that an epoch belongs to one incarnation of one
// process and is never used again.
type Epoch struct {
	Version uint64 `json:"version"`
	Turn    uint32 `json:"turn"`
}

// Compare orders epochs by version, then by turn. The result is negative if e is older than
// o.
func (e Epoch) Compare(o Epoch) int {
	if c := cmp.Compare(e.Version, o.Version); c != 0 {
		return c
	}
	return cmp.Compare(e.Turn, o.Turn)
}

// Less reports whether e is older than o.
func (e Epoch) Less(o Epoch) bool { return e.Compare(o) < 0 }

// String returns version and turn, as in 7.1.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Version, e.Turn) }
