package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

// Guards against an answer that is encoded anew for each process that a change wakes.
func TestAnAnswerIsEncodedOnceForAll(t *testing.T) {
	var p packs
	encoded := 0
	pack := func(key packed) {
		body, err := p.pack(key, func() ([]byte, error) { encoded++; return []byte{1}, nil })
		require.NoError(t, err)
		require.NotEmpty(t, body)
	}
	for range 300 {
		pack(packed{version: 4, after: 1, at: 2})
		pack(packed{version: 4, at: 2, list: true})
	}
	require.Equal(t, 2, encoded)
	pack(packed{version: 5, after: 1, at: 2})
	require.Equal(t, 3, encoded, "a change with no revision of its own")
	for n := range 10 * packsMost {
		pack(packed{version: 5, after: feed.Revision(n), at: 200})
	}
	require.LessOrEqual(t, len(p.of), packsMost)
}

func TestAnswersArePassedOnAsTheyAre(t *testing.T) {
	for _, n := range []int{0, 1, 700} {
		var all []feed.Item[string]
		for i := range n {
			all = append(all, feed.Item[string]{Name: fmt.Sprint("upstream-", i), Revision: feed.Revision(i), Value: "10.0.0.1:8080"})
		}
		body, err := Encode(all)
		require.NoError(t, err)
		got, err := Decode[string](body)
		require.NoError(t, err)
		require.ElementsMatch(t, all, got)
	}
}
