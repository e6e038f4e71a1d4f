package meter

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A response header field that no code reads must be reported, but only once for
// each name and only up to a bound, because the names come from upstreams and may
// be without end.
func TestAddHeaderReturnsEachNameOnceUpToLimit(t *testing.T) {
	var n SeenNames
	require.ElementsMatch(t, []string{"Date", "Server-Load"}, n.AddHeader(http.Header{"Date": {"x"}, "Server-Load": {"1"}}))
	require.Empty(t, n.AddHeader(http.Header{"Date": {"y"}}))
	require.Equal(t, []string{"Server-Limit"}, n.AddHeader(http.Header{"Date": {"y"}, "Server-Limit": {"2"}}))
	for i := range 2 * maxNames {
		n.AddHeader(http.Header{fmt.Sprint("Name-", i): nil})
	}
	require.Len(t, n.seen, maxNames)
}
