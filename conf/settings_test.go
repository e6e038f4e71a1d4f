package conf

import (
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// settingsPage is the page that names every setting of `direct`.
const settingsPage = "../docs/settings.md"

// needed is a file with what has no default.
const needed = "name = \"front-1\"\nzone = \"z\"\nlisten = \"10.1.0.38:8149\"\nready_listen = \"10.1.0.38:8141\"\nplatform = \"10.200.1.7:8142\"\n"

// page gives the keys of the page, and the defaults of those that have one.
func page(t *testing.T) (keys []string, defaults map[string]string) {
	t.Helper()
	text, err := os.ReadFile(settingsPage)
	require.NoError(t, err)
	defaults = make(map[string]string)
	row := regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [^|]* \\| (?:`([^`]*)`|required|none) \\|")
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		keys = append(keys, m[1])
		if m[2] != "" {
			defaults[m[1]] = m[2]
		}
	}
	return keys, defaults
}

// Guards against a setting that the page lacks, or names though it is gone.
func TestThePageNamesEverySetting(t *testing.T) {
	r, err := newReader("direct.toml", []byte(needed))
	require.NoError(t, err)
	readDirect(r)
	var known []string
	for key := range r.used {
		if key != "repeats" && key != "quotas" && key != "log" && key != "limits" {
			known = append(known, key)
		}
	}
	keys, _ := page(t)
	sort.Strings(known)
	sort.Strings(keys)
	require.Equal(t, known, keys)
}

// Guards against a default on the page that is not the code's.
func TestThePagesDefaultsAreInForce(t *testing.T) {
	plain, err := ParseDirect("direct.toml", []byte(needed))
	require.NoError(t, err)
	_, defaults := page(t)
	require.Len(t, defaults, 19)
	var file strings.Builder
	file.WriteString(needed)
	for key, value := range defaults {
		file.WriteString(key + " = " + value + "\n")
	}
	stated, err := ParseDirect("direct.toml", []byte(file.String()))
	require.NoError(t, err)
	require.Equal(t, plain, stated)
}
