package group

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a panic or an end of one loop that ends the process, or stops a part of its work unnoticed.
func TestSupervisedFunctionRunsAgainAfterPanicAndError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var failed []Exit
		var pauses []time.Duration
		g := Group{OnFailure: func(e Exit, pause time.Duration) { failed, pauses = append(failed, e), append(pauses, pause) }}
		runs := 0
		g.Supervise(ctx, "loop", func(ctx context.Context) error {
			switch runs++; {
			case runs == 1:
				panic("odd entry")
			case runs < 10:
				return errors.New("listener closed")
			}
			<-ctx.Done()
			return nil
		})
		time.Sleep(time.Minute)
		cancel()
		require.Empty(t, g.Wait())
		require.Equal(t, 10, runs)
		var p *PanicError
		require.ErrorAs(t, failed[0].Err, &p)
		require.Contains(t, p.Stack, "TestSupervisedFunctionRunsAgainAfterPanicAndError")
		require.Len(t, failed, 9)
		require.Equal(t, []time.Duration{minRestartPause, 2 * minRestartPause}, pauses[:2])
		require.Equal(t, maxRestartPause, pauses[8])
	})
}

// Guards against a panic of a call that ends the process, or is lost, in place of ending what waits for the call.
func TestPanicOfCallIsRaisedWhereItIsAwaited(t *testing.T) {
	var g Group
	g.Call(t.Context(), "call", func(context.Context) error { panic("odd answer") })
	err := Catch(t.Context(), func(context.Context) error { g.Wait(); return nil })
	require.EqualError(t, err, "panic: odd answer")
}
