// Package check collects findings: problems in something a person wrote, each
// with its place. A check goes on after the first finding, so that one run
// tells its reader everything there is to mend.
//
// # Usage
//
//	var f check.Findings
//	f.Add("entry.toml:4 listen", "not an address and port: %q", text)
//	f.Add("entry.toml:9 zone", "is empty")
//	return f.Err() // nil when nothing was found
//
// Findings is an error itself; errors.As finds it behind a wrapped error.
package check

import (
	"fmt"
	"strings"
)

// Finding is one problem and where it stands.
type Finding struct {
	// Location says where: file, line and key; row and column; JSON pointer.
	Location string `json:"place"`
	// Problem says what is wrong, in words a person can act on.
	Problem string `json:"problem"`
}

// String gives the place, a colon and the problem.
func (f Finding) String() string { return f.Location + ": " + f.Problem }

// Findings is a list of findings in the order they were made. The zero value
// is empty and ready to use.
type Findings []Finding

// Add appends a finding. The problem is formatted as by fmt.Sprintf.
func (f *Findings) Add(place, problem string, args ...any) {
	*f = append(*f, Finding{Location: place, Problem: fmt.Sprintf(problem, args...)})
}

// Err gives the findings as one error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error gives all findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, p := range f {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
