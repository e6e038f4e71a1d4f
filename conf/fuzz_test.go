package conf_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/check"
	"jacinthworks/conf"
)

// FuzzSettings looks for a text that makes a parser panic, or return an error that is
// not check.Findings.
func FuzzSettings(f *testing.F) {
	f.Add(goodEntry)
	f.Add(goodSide)
	for _, c := range invalidFiles {
		f.Add(c.text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := conf.ParseEntry("f.toml", []byte(text))
		_, sideErr := conf.ParseSide("f.toml", []byte(text))
		require.False(t, err == nil && sideErr == nil, "no file is valid both for an entry and for a side")
		for _, err := range []error{err, sideErr, conf.CheckFile("f.toml", []byte(text))} {
			var found check.Findings
			if err != nil {
				require.ErrorAs(t, err, &found)
			}
		}
	})
}
