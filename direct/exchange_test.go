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

// methodCalls gives, by function of this package, the names of Server's methods that it calls, in
// their order.
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

// Guards against a way of sending to upstreams that does not ask whether they may be sent
// something new, or does not hear what their answers state.
func TestAllThatIsSentAsksFirstAndHearsTheAnswer(t *testing.T) {
	ending := []string{"dropNow", "free"} // they end what the upstream still keeps for this entry
	var sending []string
	for name, all := range methodCalls(t) {
		if name != "exchange" {
			require.NotContains(t, all, "client", name)
		}
		at := slices.Index(all, "exchange")
		if at < 0 {
			continue
		}
		sending = append(sending, name)
		if !slices.Contains(ending, name) {
			asked := slices.Index(all, "admits")
			require.True(t, asked >= 0 && asked < at, name)
		}
	}
	slices.Sort(sending)
	require.Equal(t, []string{"ask", "dropNow", "free", "try"}, sending)
}
