package direct

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer's field that nobody reads and no line names, and against a line
// for each of endless names.
func TestEachFieldOfAnswersIsNamedOnce(t *testing.T) {
	var f fields
	require.ElementsMatch(t, []string{"Date", "Server-Load"}, f.fresh(http.Header{"Date": {"x"}, "Server-Load": {"1"}}))
	require.Empty(t, f.fresh(http.Header{"Date": {"y"}}))
	require.Equal(t, []string{"Server-Limit"}, f.fresh(http.Header{"Date": {"y"}, "Server-Limit": {"2"}}))
	for n := range 2 * fieldsMost {
		f.fresh(http.Header{fmt.Sprint("Name-", n): nil})
	}
	require.Len(t, f.seen, fieldsMost)
}
