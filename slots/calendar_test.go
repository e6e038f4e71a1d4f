package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/retry"
)

// Guards against more bookings than the servers can serve beside new calls, against a caller that
// gains by returning early, and against capacity that stays booked for a caller that never does.
func TestCalendarBooksWhatNewCallsLeave(t *testing.T) {
	var c calendar
	now := time.Unix(1000, 0)
	c.recordRate(now, 100)
	for range 60 {
		c.newCall(now) // 60 a second leave 40 a second, two for each step
	}
	book := func(id retry.Identity) (time.Duration, bool) { return c.book(now, id, 100, 0, 450*time.Millisecond, 0) }
	times := make(map[time.Duration]int)
	for n := range 40 {
		if wait, ok := book(retry.Identity(rune('a' + n))); ok {
			times[wait]++
			require.LessOrEqual(t, wait, 400*time.Millisecond, "the step ends within the limit")
		}
	}
	require.Len(t, times, 8)
	for wait, n := range times {
		require.LessOrEqual(t, n, 2, wait)
	}
	require.False(t, c.use(now, "z"), "not booked")
	last := retry.Identity(rune('a' + 15))
	require.False(t, c.use(now.Add(200*time.Millisecond), last), "too early")
	require.True(t, c.use(now.Add(410*time.Millisecond), last))
	require.False(t, c.use(now.Add(410*time.Millisecond), last), "a booking is for one call")
	require.Equal(t, 15, c.expire(now.Add(time.Second)))
	require.Empty(t, c.bookings)

	_, ok := c.book(now, "late", 50, 0, 450*time.Millisecond, 0)
	require.True(t, ok, "the servers are slow at present, and the mean of the last seconds leaves capacity later")
	c.recordRate(now.Add(time.Minute), 50)
	_, ok = c.book(now, "late", 50, 0, 450*time.Millisecond, 0)
	require.False(t, ok, "new calls leave nothing")
}
