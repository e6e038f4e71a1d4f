package table

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzSheet looks for a text that makes a reader panic, or that it takes
// although the table it gives does not pass its own check or come back as it
// was.
func FuzzSheet(f *testing.F) {
	for _, c := range badSheets {
		f.Add(c.text)
	}
	csv, err := sampleTable().EncodeCSV()
	require.NoError(f, err)
	f.Add(string(csv))
	text, err := sampleTable().Encode()
	require.NoError(f, err)
	f.Add(string(text))
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = DecodeChangesCSV([]byte(text))
		for _, read := range []func([]byte) (Table, error){DecodeCSV, DecodeRows} {
			got, err := read([]byte(text))
			if err != nil {
				require.NotEmpty(t, lines(err))
				continue
			}
			require.Empty(t, got.Check())
			again, err := got.EncodeCSV()
			require.NoError(t, err)
			back, err := DecodeCSV(again)
			require.NoError(t, err)
			require.Equal(t, got.Rows(), back.Rows())
		}
	})
}
