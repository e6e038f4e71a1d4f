package drive

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"strings"

	"jacinthworks/table"
)

func TestClosedLoopMakesExactlyTotalCalls(t *testing.T) {
	var n atomic.Int64
	r := ClosedLoop(t.Context(), 7, 100, func(context.Context) error {
		if n.Add(1)%10 == 0 {
			return errors.New("tenth")
		}
		return nil
	})
	require.EqualValues(t, 100, n.Load())
	require.Equal(t, 90, r.Done)
	require.Equal(t, 10, r.Failed)
	require.EqualError(t, r.SampleError, "tenth")
}

func TestTablesPassCheck(t *testing.T) {
	for _, text := range []string{Table, PlainTable} {
		got, err := table.Decode([]byte(text))
		require.NoError(t, err)
		require.Empty(t, got.Check())
	}
}

// A stream that ends before [DONE] must be an error. Otherwise the measurements would
// count its tokens like those of a complete stream.
func TestReadEventsFailsWithoutDone(t *testing.T) {
	token := `data: {"choices":[{"text":"a b "}]}` + "\n\n"
	for name, c := range map[string]struct {
		text string
		want string
	}{
		"complete": {token + token + "data: [DONE]\n\n", ""},
		"cut":      {token, "drive: stream ended before [DONE]"},
		"refused":  {token + "event: error\ndata: {\"reason\":\"x\"}\n\n", `drive: stream ended with an error event: {"reason":"x"}`},
	} {
		t.Run(name, func(t *testing.T) {
			got := 0
			err := readEvents(strings.NewReader(c.text), "r", func(_ string, n int) error { got += n; return nil })
			if c.want == "" {
				require.NoError(t, err)
				require.Equal(t, 4, got)
				return
			}
			require.EqualError(t, err, c.want)
		})
	}
}
