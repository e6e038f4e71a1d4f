package test

import (
	"flag"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// longScenarios is set by `make long`; these scenarios take minutes.
var longScenarios = flag.Bool("long", false, "also run the scenarios in long/")

// TestLongScenarios runs the scenarios that take too long for every CI run.
func TestLongScenarios(t *testing.T) {
	if !*longScenarios {
		return
	}
	testscript.Run(t, testscript.Params{Dir: "long", Setup: Setup(built), Cmds: Commands()})
}
