// Package epoch orders the revisions of a store that may come back from an older copy
// of itself: its revisions go back then, and are given out again. The store counts how
// often that was, as its era.
//
// # Usage
//
//	p := epoch.New(era, revision)
//	if p > known { ... }          // later: of a later era, or of the same one and higher
//	revision = p.Revision()       // as the store knows it
//
// A store that counts no eras is of era zero, and its positions are its revisions.
package epoch

import "strconv"

const (
	// revisionBits hold a revision: at a thousand changes a second, 34 years of them.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
	// termEra is what an era adds to a term: more changes than a copy lacks.
	termEra = 1 << 20
)

// Position is a revision in an era. Positions are compared as numbers.
type Position uint64

// New gives the position of a revision in an era. What is beyond the highest of either
// counts as that.
func New(era, revision uint64) Position {
	return Position(min(era, maxEra)<<revisionBits | min(revision, maxRevision))
}

// Era gives the era.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision gives the revision as the store knows it.
func (p Position) Revision() uint64 { return uint64(p) & maxRevision }

// String gives the position for the log: ERA.REVISION, or the revision alone where no
// eras are counted.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision(), 10)
	if p.Era() == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era(), 10) + "." + revision
}

// MayBeRestored says whether the store may ever have come back from an older copy: it counts
// eras, from zero or from one.
func (p Position) MayBeRestored() bool { return p.Era() > 0 }

// Term gives a number for fencing tokens that is higher for a later position, also of
// a later era whose revisions began anew up to a million lower. It is about as short as
// the revision, since others read it as a number of limited precision.
func (p Position) Term() uint64 { return p.Era()*termEra + p.Revision() }
