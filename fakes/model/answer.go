package model

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Seed gives what the answer to a prompt is derived from.
func Seed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// TokenAt gives the token at an offset of the answer. It differs from prompt to
// prompt and from offset to offset, so that crossed answers are seen.
func TokenAt(seed uint64, offset int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64(b[:])))
}

// Completion gives the whole answer to a prompt.
func Completion(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenAt(Seed(prompt), i))
	}
	return b.String()
}
