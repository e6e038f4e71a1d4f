package conf

import "github.com/pelletier/go-toml/v2"

// CheckFile checks the settings of an entry or a side. A file with one of the
// keys that only a side has is taken for a side's. The error is
// check.Findings.
func CheckFile(file string, text []byte) error {
	if isSide(text) {
		_, err := ParseSide(file, text)
		return err
	}
	_, err := ParseEntry(file, text)
	return err
}

func isSide(text []byte) bool {
	values := make(map[string]any)
	if err := toml.Unmarshal(text, &values); err != nil {
		return false // either parser reports it
	}
	for _, key := range []string{"role", "service", "upstream"} {
		if _, ok := values[key]; ok {
			return true
		}
	}
	return false
}
