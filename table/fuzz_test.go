package table

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeTable looks for a text that makes a decoder panic, and for a text that
// a decoder accepts although the decoded table fails Check or does not survive a
// CSV round trip.
func FuzzDecodeTable(f *testing.F) {
	for _, c := range invalidTables {
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
			encoded, err := got.EncodeCSV()
			require.NoError(t, err)
			decoded, err := DecodeCSV(encoded)
			require.NoError(t, err)
			require.Equal(t, got.Rows(), decoded.Rows())
		}
	})
}
