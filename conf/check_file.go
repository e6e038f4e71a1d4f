package conf

import "github.com/pelletier/go-toml/v2"

// CheckFile checks the settings of an entry, a side or a direct entry. It detects the
// kind of the file by keys that only a side or only a direct entry has. The error is
// check.Findings.
func CheckFile(file string, text []byte) error {
	var err error
	switch {
	case hasKey(text, "role", "service", "upstream"):
		_, err = ParseSide(file, text)
	case hasKey(text, "ready_listen", "repeats"):
		_, err = ParseDirect(file, text)
	default:
		_, err = ParseEntry(file, text)
	}
	return err
}

func hasKey(text []byte, keys ...string) bool {
	values := make(map[string]any)
	if err := toml.Unmarshal(text, &values); err != nil {
		return false // the parser that CheckFile selects reports the error
	}
	for _, key := range keys {
		if _, ok := values[key]; ok {
			return true
		}
	}
	return false
}
