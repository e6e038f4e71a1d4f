package model

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// AnswerSeed returns the seed from which the answer to a prompt is derived.
func AnswerSeed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// TokenAt returns the token at an offset of the answer. Tokens differ between prompts
// and between offsets, so that tests detect an answer to the wrong prompt.
func TokenAt(seed uint64, offset int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64(b[:])))
}

// Completion returns the complete answer to a prompt, with the given number of tokens.
func Completion(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenAt(AnswerSeed(prompt), i))
	}
	return b.String()
}
