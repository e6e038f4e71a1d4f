// Package epoch orders the revisions of a store that may be restored from an older
// snapshot. A restore sets the store's revision back, so that revisions are reused. The
// store counts its restores as its era.
//
// # Usage
//
//	p := epoch.New(era, revision)
//	if p > known { ... }          // p is of a later era, or of the same era with a higher revision
//	revision = p.Revision()       // as the store numbers it
//
// The positions of a store without eras have era zero and equal its revisions.
package epoch

import "strconv"

const (
	// revisionBits is the width of a revision: enough for a thousand changes a second over
	// 34 years.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
	// termsPerEra is how much an era adds to a term: more changes than a snapshot may lack.
	termsPerEra = 1 << 20
)

// Position is a revision of a store in one of the store's eras. Positions are compared as
// numbers: a later era is higher.
type Position uint64

// New returns the position of a revision in an era. It limits era and revision to the
// highest value that a Position can hold.
func New(era, revision uint64) Position {
	return Position(min(era, maxEra)<<revisionBits | min(revision, maxRevision))
}

// Era returns the store's era, which grows by one with each restore.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision as the store numbers it.
func (p Position) Revision() uint64 { return uint64(p) & maxRevision }

// String returns the position for the log: ERA.REVISION, or only the revision if the store
// has no eras.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision(), 10)
	if p.Era() == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era(), 10) + "." + revision
}

// MayBeRestored reports whether the store may ever have been restored from an older
// snapshot. A store counts eras from zero or from one, so that this is true for each era
// above zero.
func (p Position) MayBeRestored() bool { return p.Era() > 0 }

// Term returns a number for fencing tokens that is higher for a later position, also if the
// revisions of the later era start up to a million lower. It is nearly as small as the
// revision, because other systems read it as a number of limited precision.
func (p Position) Term() uint64 { return p.Era()*termsPerEra + p.Revision() }
