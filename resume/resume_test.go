package resume_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/resume"
)

func streamAt(now time.Time, id string) resume.Stream {
	return resume.Stream{ID: domain.RequestID(id), Software: "v1", Tokens: 3000, Until: now.Add(10 * time.Second)}
}

// Guards against room that stays idle: streams went on, their callers gave up, or they were refused and did not come back.
func TestRoomIsNotKeptWhenNoStreamIsLikelyToCome(t *testing.T) {
	now := time.Unix(1000, 0)
	var b resume.Book
	require.Empty(t, b.Keep(now, true))
	b.Wait(now, streamAt(now, "a"))
	require.Equal(t, map[domain.Software]int{"v1": 3000}, b.Keep(now, true))
	require.Equal(t, map[domain.Software]int{"v1": 3000}, b.Keep(now, false))
	b.Settle("a")
	require.Len(t, b.Keep(now, true), 1, "others broke at the same moment")
	require.Empty(t, b.Keep(now, false), "new requests have no other version")
	now = now.Add(time.Second)
	require.Empty(t, b.Keep(now, true))

	b.Wait(now, streamAt(now, "gives up"))
	require.Len(t, b.Keep(now.Add(9*time.Second), true), 1)
	now = now.Add(10 * time.Second)
	require.Empty(t, b.Keep(now, true))

	b.Wait(now, streamAt(now, "refused"))
	b.Return(streamAt(now, "refused"), now.Add(3*time.Second))
	require.Empty(t, b.Keep(now.Add(2*time.Second), true))
	require.Len(t, b.Keep(now.Add(3*time.Second), true), 1)
	require.Empty(t, b.Keep(now.Add(3*time.Second), false))
	require.Empty(t, b.Keep(now.Add(4*time.Second), true), "it came back at another entry, or not at all")
}

// Guards against a stream that waits and is placed again and again, which would count as many.
func TestStreamThatTriesAgainIsCountedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var b resume.Book
	for range 100 {
		b.Wait(now, streamAt(now, "a"))
	}
	b.Settle("a")
	require.Empty(t, b.Keep(now.Add(time.Second), true))
}

// Guards against a book that grows with the streams that callers say they resume.
func TestBookIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var b resume.Book
	for n := range 100_000 {
		b.Wait(now, streamAt(now, fmt.Sprint(n)))
	}
	for n := range 4096 {
		b.Settle(domain.RequestID(fmt.Sprint(n)))
	}
	require.Empty(t, b.Keep(now.Add(9500*time.Millisecond), true), "the others were not recorded")
}
