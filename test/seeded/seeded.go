// Package seeded makes the property tests of a package generate the same cases in each
// run, so that a failure in CI is caused by the change under test and not by new random
// cases.
//
// # Usage
//
//	func TestMain(m *testing.M) { seeded.Main(m) }
//
// The flag -rapid.seed=0 after -args generates new cases.
package seeded

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

const (
	seedFlag = "rapid.seed"
	seed     = "1"
	// noFileFlag keeps rapid from writing failing cases into the source tree; the
	// fixed seed reproduces them.
	noFileFlag = "rapid.nofailfile"
)

// Main parses the flags, sets rapid's seed unless the command line sets it, runs the tests and
// exits the process with their exit code.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == seedFlag })
	if !given {
		setFlag(seedFlag, seed)
	}
	setFlag(noFileFlag, "true")
	os.Exit(m.Run())
}

// setFlag sets a command-line flag; it panics if the flag does not exist.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
