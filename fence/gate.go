package fence

import "github.com/pkg/errors"

// Gate refuses orders with a stale token, in front of an engine that does not check tokens,
// or at a side that receives orders from a planner. The zero value accepts any first token;
// after a restart call Raise with the token that the engine reports.
type Gate struct{ highest Token }

// Accept accepts a token that is higher than all tokens before, and otherwise returns
// ErrStaleToken.
func (g *Gate) Accept(token Token) error {
	if token <= g.highest {
		return errors.Wrapf(ErrStaleToken, "%d after %d", token, g.highest)
	}
	g.highest = token
	return nil
}

// Raise makes the gate refuse this token and all lower tokens.
func (g *Gate) Raise(token Token) { g.highest = max(g.highest, token) }
