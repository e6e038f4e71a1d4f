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

func TestClosedMakesJustTheTotal(t *testing.T) {
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
	require.EqualError(t, r.First, "tenth")
}

func TestTablesAreGood(t *testing.T) {
	for _, text := range []string{Table, PlainTable} {
		got, err := table.Decode([]byte(text))
		require.NoError(t, err)
		require.Empty(t, got.Check())
	}
}

// A stream that breaks off must not pass for a whole one, or its tokens would
// be measured as if all was well.
func TestEventsEndOnlyByDone(t *testing.T) {
	token := `data: {"choices":[{"text":"a b "}]}` + "\n\n"
	for name, c := range map[string]struct {
		text string
		ends string
	}{
		"whole":   {token + token + "data: [DONE]\n\n", ""},
		"cut":     {token, "drive: the stream ended early"},
		"refused": {token + "event: error\ndata: {\"reason\":\"x\"}\n\n", `drive: the stream broke off: {"reason":"x"}`},
	} {
		t.Run(name, func(t *testing.T) {
			got := 0
			err := readEvents(strings.NewReader(c.text), "r", func(_ string, n int) error { got += n; return nil })
			if c.ends == "" {
				require.NoError(t, err)
				require.Equal(t, 4, got)
				return
			}
			require.EqualError(t, err, c.ends)
		})
	}
}
