// Package clock provides a clock that includes the time for which the host was suspended.
//
// Go's monotonic clock stops during a suspension. A process that measures by it how old a lease or
// an answer is takes it for fresh after it resumes, while others have moved on.
//
// # Usage
//
//	received := clock.Boottime()
//	age := clock.Boottime().Sub(received)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the host started, which includes suspensions and does not change when
// the wall clock is set. Only differences of its times have a meaning.
func Boottime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}
