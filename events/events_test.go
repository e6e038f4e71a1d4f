package events

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAddReturnsCompleteNewEvents(t *testing.T) {
	var c Splitter
	require.Empty(t, c.Add([]byte("id: 1\nda")))
	require.Equal(t, "id: 1\ndata: a\n\n", string(c.Add([]byte("ta: a\n\nid: 2\ndata"))))
	require.Equal(t, "1", c.LastEventID)
	c.DiscardPartial()
	require.Equal(t, "id: 2\ndata: b\n\n", string(c.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))), "events returned before are skipped")
	require.Equal(t, ": note\r\n\r\n", string(c.Add([]byte(": note\r\n\r\n"))))
}

// FuzzSplitterAtAnyCut adds a stream in two parts, cut at any place. The returned events must
// be the same as for the whole stream, and the partial event a suffix of the stream.
func FuzzSplitterAtAnyCut(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3", 7)
	f.Add("id:1\r\n\r\nid:2\r\n\r\n", 6)
	f.Add(": x\n\n\n\nid: 5\n\nid: 4\n\n", 3)
	f.Fuzz(func(t *testing.T, stream string, at int) {
		at = min(max(at, 0), len(stream))
		var whole, parts Splitter
		all := string(whole.Add([]byte(stream)))
		cut := string(parts.Add([]byte(stream[:at]))) + string(parts.Add([]byte(stream[at:])))
		require.Equal(t, all, cut)
		require.Equal(t, whole.LastEventID, parts.LastEventID)
		require.True(t, strings.HasSuffix(stream, string(whole.Partial())))
	})
}
