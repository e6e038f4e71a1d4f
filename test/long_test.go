package test

import (
	"flag"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// longScenarios is for `make long`: scenarios that take minutes.
var longScenarios = flag.Bool("long", false, "run the scenarios in long/ too")

// TestLongScenarios runs what lasts too long for each run of CI.
func TestLongScenarios(t *testing.T) {
	if !*longScenarios {
		return
	}
	testscript.Run(t, testscript.Params{Dir: "long", Setup: Setup(built), Cmds: Commands()})
}
