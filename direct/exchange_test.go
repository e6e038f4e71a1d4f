package direct

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// methodCalls returns, by function of this package, the names of Server's methods that it
// calls, in order.
func methodCalls(t *testing.T) map[string][]string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	require.NoError(t, err)
	calls := make(map[string][]string)
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(fn, func(n ast.Node) bool {
				if sel, ok := n.(*ast.SelectorExpr); ok {
					if x, ok := sel.X.(*ast.Ident); ok && x.Name == "s" {
						calls[fn.Name.Name] = append(calls[fn.Name.Name], sel.Sel.Name)
					}
				}
				return true
			})
		}
	}
	return calls
}

// Guards against calls to upstreams that do not check whether the upstream accepts new
// requests, or that ignore what the response states about the upstream.
func TestUpstreamCallsCheckEligibilityAndRecordTheResponse(t *testing.T) {
	releasing := []string{"releaseReservationNow", "freeHandle"} // these release what the upstream keeps for this entry
	var sending []string
	for name, all := range methodCalls(t) {
		if name != "exchange" {
			require.NotContains(t, all, "clientOf", name)
		}
		at := slices.Index(all, "exchange")
		if at < 0 {
			continue
		}
		sending = append(sending, name)
		if !slices.Contains(releasing, name) {
			checked := slices.Index(all, "acceptsNew")
			require.True(t, checked >= 0 && checked < at, name)
		}
	}
	slices.Sort(sending)
	require.Equal(t, []string{"callUpstream", "freeHandle", "releaseReservationNow", "sendAttempt"}, sending)
}
