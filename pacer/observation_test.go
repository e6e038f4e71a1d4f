package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/pacer"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// at returns the time so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func observation(rate pacer.Rate, sent, received int) pacer.Observation {
	return pacer.Observation{Rate: rate, Sent: at(sent), Received: at(received)}
}

// Guards against a limit that seems to end by an answer from before its beginning.
func TestObserveIgnoresOvertakenAnswer(t *testing.T) {
	var b pacer.LimitState
	require.False(t, b.Observe(observation(pacer.Unlimited, 0, 10)))
	require.True(t, b.Observe(observation(2, 20, 40)))
	require.False(t, b.Observe(observation(pacer.Unlimited, 15, 50)), "sent before the limit was received")
	require.Equal(t, pacer.Rate(2), b.Rate())
	require.False(t, b.Observe(observation(5, 30, 55)), "may have been stated before")
	require.Equal(t, pacer.Rate(2), b.Rate())
	require.True(t, b.Observe(observation(1, 30, 60)), "a stricter limit holds at once")
	require.True(t, b.Observe(observation(5, 70, 80)))
	require.Equal(t, 20*time.Millisecond, b.Age(at(100)))
	require.True(t, b.Observe(observation(pacer.Unlimited, 90, 110)))
	require.False(t, b.Rate().Limited())
}

// Guards against an upstream that is sent no request any more after it stated a limit of zero, so
// that the end of the limit is never observed.
func TestNewRateOfZeroIsMinRate(t *testing.T) {
	require.Equal(t, pacer.MinRate, pacer.NewRate(0))
	require.True(t, pacer.NewRate(0).Limited())
	require.Equal(t, pacer.Rate(2.4), pacer.NewRate(2.4))
}

// Guards against a limit that never ends because another process sent an observation with times in
// the future.
func TestAtTakesFutureTimesAsNow(t *testing.T) {
	var b pacer.LimitState
	b.Observe(pacer.ObservationAge{Rate: 2, Sent: -time.Hour, Received: -time.Hour, Since: -time.Hour}.At(at(0)))
	require.Equal(t, pacer.Rate(2), b.Rate())
	require.True(t, b.Observe(observation(pacer.Unlimited, 10, 20)))
	aged := b.Current().Age(at(50))
	require.Equal(t, 30*time.Millisecond, aged.Received)
	require.Equal(t, 40*time.Millisecond, aged.Sent)
	require.Equal(t, 130*time.Millisecond, aged.Add(100*time.Millisecond).Received)
}
