package main

import (
	"go/build"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDecisionPackagesDoNotImportNetwork fails if a decision package, or a package of
// this module that it imports, imports net, net/http or os.
func TestDecisionPackagesDoNotImportNetwork(t *testing.T) {
	forbidden := []string{"net", "net/http", "os"}
	seen := map[string]bool{}
	var visit func(path string)
	visit = func(path string) {
		if seen[path] {
			return
		}
		seen[path] = true
		p, err := build.ImportDir("./"+path, 0)
		require.NoError(t, err, path)
		for _, i := range p.Imports {
			require.False(t, slices.Contains(forbidden, i), "%s imports %s", path, i)
			if imported, ok := strings.CutPrefix(i, "jacinthworks/"); ok {
				visit(imported)
			}
		}
	}
	for _, path := range []string{"admit", "queue", "route", "limit", "eject", "retry", "fanout", "origin", "resume", "fence", "roles", "claim", "table", "assign", "quota", "delay", "drain", "events", "pacer", "search", "shares", "slots", "speed"} {
		visit(path)
	}
	require.Contains(t, seen, "domain")
}
