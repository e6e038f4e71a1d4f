package events

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBoundaryTellsWholeStreamsFromBrokenOnes(t *testing.T) {
	for _, whole := range []string{
		"", "\n", "data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\n\r\n", "data: a\r\n\n", "data: a\n\n\n", "\n\ndata: a\n\n",
		": comment\n", "data: a\n\n: comment\r\n", "id: 1\ndata: a\ndata: b\n\nid: 2\ndata\n\n",
	} {
		var b Boundary
		b.Advance([]byte(whole))
		require.False(t, b.WithinEvent(), "%q", whole)
	}
	for _, broken := range []string{
		"d", "data: a", "data: a\n", "data: a\r\n", "data: a\r", "data: a\n: comment\n", "data: a\n\nid: 2\n", "data: a\n\n: comm",
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\n",
	} {
		var b Boundary
		b.Advance([]byte(broken))
		require.True(t, b.WithinEvent(), "%q", broken)
	}
}
