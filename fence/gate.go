package fence

import "github.com/pkg/errors"

// Gate refuses orders with an old number, in the place of an engine that does
// not, or of a side towards a planner. The zero value lets any number pass
// first; after a restart Raise it to the number that the engine reports.
type Gate struct{ highest Token }

// Accept lets a number pass that is higher than all before, and refuses others
// with ErrStaleToken.
func (g *Gate) Accept(n Token) error {
	if n <= g.highest {
		return errors.Wrapf(ErrStaleToken, "%d after %d", n, g.highest)
	}
	g.highest = n
	return nil
}

// Raise makes the gate refuse the number and all below.
func (g *Gate) Raise(n Token) { g.highest = max(g.highest, n) }
