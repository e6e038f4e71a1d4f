package meter

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer's field that nobody reads and no line names, and against a line
// for each of endless names.
func TestEachFieldOfAnswersIsNamedOnce(t *testing.T) {
	var n SeenNames
	require.ElementsMatch(t, []string{"Date", "Server-Load"}, n.AddHeader(http.Header{"Date": {"x"}, "Server-Load": {"1"}}))
	require.Empty(t, n.AddHeader(http.Header{"Date": {"y"}}))
	require.Equal(t, []string{"Server-Limit"}, n.AddHeader(http.Header{"Date": {"y"}, "Server-Limit": {"2"}}))
	for i := range 2 * namesMost {
		n.AddHeader(http.Header{fmt.Sprint("Name-", i): nil})
	}
	require.Len(t, n.seen, namesMost)
}
