// Package check collects findings: problems in user input, each with its location. A
// check continues after the first finding, so that one run reports all problems.
//
// # Usage
//
//	var f check.Findings
//	f.Add("entry.toml:4 listen", "not an address and port: %q", text)
//	f.Add("entry.toml:9 zone", "is empty")
//	return f.Err() // nil when nothing was found
//
// Findings implements error; errors.As finds it in a wrapped error.
package check

import (
	"fmt"
	"strings"
)

// Finding is one problem and its location.
type Finding struct {
	// Location is, for example, file, line and key; row and column; a JSON pointer.
	Location string `json:"place"`
	// Problem describes the problem so that a user can fix it.
	Problem string `json:"problem"`
}

// String returns the location, a colon and the problem.
func (f Finding) String() string { return f.Location + ": " + f.Problem }

// Findings is a list of findings in the order in which they were added. The zero value
// is empty and ready to use.
type Findings []Finding

// Add appends a finding. The problem is formatted as by fmt.Sprintf.
func (f *Findings) Add(location, problem string, args ...any) {
	*f = append(*f, Finding{Location: location, Problem: fmt.Sprintf(problem, args...)})
}

// Err returns the findings as one error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns all findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, p := range f {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
