package table

import (
	"fmt"
	"strings"
)

// Changes is a list of table changes; its String has one line per changed cell.
type Changes []Change

// Diff returns the changes that turn the rows of a into the rows of b: removals
// first, then additions and changed cells, each in the order of the row keys.
func Diff(a, b Table) Changes {
	var changes Changes
	for _, r := range a.rows {
		if _, ok := b.index[r.Key()]; !ok {
			changes = append(changes, Remove(r.Key()))
		}
	}
	for _, r := range b.rows {
		i, ok := a.index[r.Key()]
		if !ok {
			changes = append(changes, Add(r))
			continue
		}
		if cells := differingCells(a.rows[i], r); len(cells) > 0 {
			changes = append(changes, Set(r.Key(), cells...))
		}
	}
	return changes
}

func differingCells(a, b Row) []Cell {
	var cells []Cell
	for _, c := range columns {
		before, after := c.get(a), c.get(b)
		if before != after {
			cells = append(cells, Cell{Column: c.name, Value: Value(after), Previous: Value(before)})
		}
	}
	return cells
}

// String returns a line for each row added or removed and for each cell set:
//
//	= appraiser-lm/salt-lake/appraisal weight: 1 -> 2
//	+ appraiser-lm/howrah/appraisal team=appraisal weight=1 ...
//	- appraiser-lm/new-town/appraisal
func (c Changes) String() string {
	var b strings.Builder
	for _, change := range c {
		switch change.Op {
		case OpRemove:
			fmt.Fprintf(&b, "- %s\n", change.Key)
		case OpAdd:
			fmt.Fprintf(&b, "+ %s", change.Key)
			for _, cell := range change.Cells {
				fmt.Fprintf(&b, " %s=%s", cell.Column, cell.Value)
			}
			b.WriteString("\n")
		default:
			for _, cell := range change.Cells {
				fmt.Fprintf(&b, "= %s %s: %s -> %s\n", change.Key, cell.Column, cell.Previous, cell.Value)
			}
		}
	}
	return b.String()
}
