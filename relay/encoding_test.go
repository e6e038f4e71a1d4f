package relay

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthworks/feed"
)

// Guards against encoding an answer again for each process that a change wakes.
func TestAnswerCacheEncodesEachAnswerOnce(t *testing.T) {
	var cache answerCache
	encoded := 0
	pack := func(key answerKey) {
		body, err := cache.get(key, func() ([]byte, error) { encoded++; return []byte{1}, nil })
		require.NoError(t, err)
		require.NotEmpty(t, body)
	}
	for range 300 {
		pack(answerKey{version: 4, after: 1, at: 2})
		pack(answerKey{version: 4, at: 2, list: true})
	}
	require.Equal(t, 2, encoded)
	pack(answerKey{version: 5, after: 1, at: 2})
	require.Equal(t, 3, encoded, "a new version of the replica at the same revision")
	for n := range 10 * maxCachedAnswers {
		pack(answerKey{version: 5, after: feed.Revision(n), at: 200})
	}
	require.LessOrEqual(t, len(cache.encoded), maxCachedAnswers)
}

func TestDecodeOfEncodedItemsReturnsSameItems(t *testing.T) {
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

// Guards against members whose names can't be read and that make the whole list an error at the process
// that gets it.
func TestMembersWithoutNamesHideNoOthers(t *testing.T) {
	odd := feed.Item[string]{DecodeErr: errors.New("no name")}
	sound := feed.Item[string]{Name: "upstream-1", Value: "10.0.0.1:8080"}
	body, err := Encode([]feed.Item[string]{odd, odd, sound})
	require.NoError(t, err)
	got, err := Decode[string](body)
	require.NoError(t, err)
	require.Len(t, got, 2)
	require.Contains(t, got, sound)
}
