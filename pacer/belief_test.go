package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/pacer"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// at gives a moment so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func said(rate pacer.Rate, sent, heard int) pacer.Statement {
	return pacer.Statement{Rate: rate, Sent: at(sent), Heard: at(heard)}
}

// Guards against a limit that an answer from before its beginning seems to end.
func TestAnAnswerOvertakenByAnotherEndsNoLimit(t *testing.T) {
	var b pacer.Belief
	require.False(t, b.Learn(said(pacer.None, 0, 10)))
	require.True(t, b.Learn(said(2, 20, 40)))
	require.False(t, b.Learn(said(pacer.None, 15, 50)), "sent before the limit was heard of")
	require.Equal(t, pacer.Rate(2), b.Rate())
	require.False(t, b.Learn(said(5, 30, 55)), "may have been said before")
	require.Equal(t, pacer.Rate(2), b.Rate())
	require.True(t, b.Learn(said(1, 30, 60)), "the stricter of two holds at once")
	require.True(t, b.Learn(said(5, 70, 80)))
	require.Equal(t, 20*time.Millisecond, b.Age(at(100)))
	require.True(t, b.Learn(said(pacer.None, 90, 110)))
	require.False(t, b.Rate().Limited())
}

// Guards against an upstream that is never asked again since it once took nothing.
func TestALimitOfZeroIsLookedAtAgain(t *testing.T) {
	require.Equal(t, pacer.Least, pacer.Of(0))
	require.True(t, pacer.Of(0).Limited())
	require.Equal(t, pacer.Rate(2.4), pacer.Of(2.4))
}

// Guards against a limit that nothing ends, since another process said that it heard of it
// in the future.
func TestAStatementFromTheFutureIsOfNow(t *testing.T) {
	var b pacer.Belief
	b.Learn(pacer.Aged{Rate: 2, Sent: -time.Hour, Heard: -time.Hour, Since: -time.Hour}.At(at(0)))
	require.Equal(t, pacer.Rate(2), b.Rate())
	require.True(t, b.Learn(said(pacer.None, 10, 20)))
	aged := b.Statement().Aged(at(50))
	require.Equal(t, 30*time.Millisecond, aged.Heard)
	require.Equal(t, 40*time.Millisecond, aged.Sent)
	require.Equal(t, 130*time.Millisecond, aged.Later(100*time.Millisecond).Heard)
}
