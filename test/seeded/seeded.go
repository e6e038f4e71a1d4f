// Package seeded has the property tests of a package draw the same cases at each run, so
// that a failure in CI is that of the change and not of the draw.
//
// # Usage
//
//	func TestMain(m *testing.M) { seeded.Main(m) }
//
// Fresh cases are drawn with the flag -rapid.seed=0 after -args.
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
	// noFileFlag keeps a failure from being written into the tree: the seed brings it back.
	noFileFlag = "rapid.nofailfile"
)

// Main runs the tests and ends the process.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == seedFlag })
	if !given {
		set(seedFlag, seed)
	}
	set(noFileFlag, "true")
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
