package conf

import (
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// settingsPage is the page that documents every setting of `direct`.
const settingsPage = "../docs/settings.md"

// requiredSettings is a file with the settings that have no default.
const requiredSettings = "name = \"front-1\"\nzone = \"z\"\nlisten = \"10.1.0.38:8149\"\nready_listen = \"10.1.0.38:8141\"\nplatform = \"10.200.1.7:8142\"\n"

// readSettingsPage returns the keys that the page documents, and their defaults if any.
func readSettingsPage(t *testing.T) (keys []string, defaults map[string]string) {
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

// Guards against a setting that is missing from the page, and against a removed setting
// that is still on the page.
func TestSettingsPageDocumentsEverySetting(t *testing.T) {
	r, err := newReader("direct.toml", []byte(requiredSettings))
	require.NoError(t, err)
	readDirect(r)
	var known []string
	for key := range r.used {
		if key != "repeats" && key != "quotas" && key != "hard_load" && key != "log" && key != "limits" {
			known = append(known, key)
		}
	}
	keys, _ := readSettingsPage(t)
	sort.Strings(known)
	sort.Strings(keys)
	require.Equal(t, known, keys)
}

// Guards against a default on the page that differs from the default in the code.
func TestSettingsPageDefaultsMatchCode(t *testing.T) {
	withDefaults, err := ParseDirect("direct.toml", []byte(requiredSettings))
	require.NoError(t, err)
	_, defaults := readSettingsPage(t)
	require.Len(t, defaults, 25)
	var file strings.Builder
	file.WriteString(requiredSettings)
	for key, value := range defaults {
		file.WriteString(key + " = " + value + "\n")
	}
	explicit, err := ParseDirect("direct.toml", []byte(file.String()))
	require.NoError(t, err)
	require.Equal(t, withDefaults, explicit)
}
