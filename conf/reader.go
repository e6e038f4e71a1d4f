package conf

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"jacinthworks/check"
)

// reader returns the values of one TOML document by path, and adds a finding for each
// invalid value. Decoding into a struct would stop at the first value of a wrong type.
type reader struct {
	file     string         // name for findings
	lines    map[string]int // line of each key and table, by path
	values   map[string]any
	used     map[string]bool // paths that have been read
	findings check.Findings
}

func newReader(file string, text []byte) (*reader, error) {
	r := &reader{file: file, values: make(map[string]any), used: make(map[string]bool)}
	if err := toml.Unmarshal(text, &r.values); err != nil {
		place := file
		var d *toml.DecodeError
		if errors.As(err, &d) {
			line, _ := d.Position()
			place = fmt.Sprintf("%s:%d", file, line)
		}
		r.findings.Add(place, "not TOML: %s", strings.TrimPrefix(err.Error(), "toml: "))
		return nil, r.findings
	}
	r.lines = keyLines(text)
	return r, nil
}

// add adds a finding at the line of the path, or of the closest enclosing table that is
// in the file.
func (r *reader) add(path, problem string, args ...any) {
	place := r.file
	if line := r.line(path); line > 0 {
		place = fmt.Sprintf("%s:%d", r.file, line)
	}
	r.findings.Add(place+" "+path, problem, args...)
}

// line returns the line of the path or of its closest enclosing table, or zero if
// neither is in the file.
func (r *reader) line(path string) int {
	for p := path; p != ""; p = parent(p) {
		if line, ok := r.lines[p]; ok {
			return line
		}
	}
	return 0
}

// value returns the value at the path, or nil, and marks the path as a known key.
func (r *reader) value(path string) any {
	r.used[path] = true
	var v any = r.values
	for _, step := range strings.Split(path, ".") {
		name, index := splitIndex(step)
		m, _ := v.(map[string]any)
		v = m[name]
		if index >= 0 {
			list, _ := v.([]any)
			if index >= len(list) {
				return nil
			}
			v = list[index]
		}
	}
	return v
}

func (r *reader) table(path string) {
	if v := r.value(path); v != nil {
		if _, ok := v.(map[string]any); !ok {
			r.add(path, "must be a table")
		}
	}
}

// tables returns the paths of the elements of an array of tables.
func (r *reader) tables(path string) []string {
	v := r.value(path)
	list, ok := v.([]any)
	if v != nil && !ok {
		r.add(path, "must be an array of tables: write [[%s]]", path)
	}
	var paths []string
	for i, element := range list {
		if _, ok := element.(map[string]any); !ok {
			r.add(elementPath(path, i), "must be a table")
			continue
		}
		r.used[elementPath(path, i)] = true
		paths = append(paths, elementPath(path, i))
	}
	return paths
}

func (r *reader) text(path string) string {
	v := r.value(path)
	s, ok := v.(string)
	if v != nil && !ok {
		r.add(path, "must be a text in quotes, not %s", typeName(v))
	}
	return s
}

// required reads a string, and adds a finding if it is missing or empty.
func (r *reader) required(path string) string {
	s := r.text(path)
	switch {
	case r.value(path) == nil:
		r.add(path, "is missing")
	case s == "" && typeName(r.value(path)) == "text":
		r.add(path, "is empty")
	}
	return s
}

func (r *reader) name(path string) string {
	s := r.required(path)
	if s != "" && !hostName.MatchString(s) {
		r.add(path, "must be 1 to 63 of a-z, 0-9, - and _, with a letter or digit at both ends: %q", s)
	}
	return s
}

func (r *reader) secret(path string) Secret {
	s := r.required(path)
	if s != "" && len(s) < minTokenLength {
		r.add(path, "is shorter than %d characters", minTokenLength)
	}
	return Secret(s)
}

func (r *reader) texts(path string) []string {
	v := r.value(path)
	list, ok := v.([]any)
	if v != nil && !ok {
		r.add(path, "must be a list of texts, not %s", typeName(v))
	}
	var texts []string
	for i, element := range list {
		s, ok := element.(string)
		if !ok || s == "" {
			r.add(elementPath(path, i), "must be a text in quotes, and not empty")
			continue
		}
		texts = append(texts, s)
	}
	return texts
}

func (r *reader) oneOf(path string, choices ...string) string {
	s := r.text(path)
	if s == "" {
		if r.value(path) == "" {
			r.add(path, "is empty")
		}
		return ""
	}
	for _, c := range choices {
		if s == c {
			return s
		}
	}
	r.add(path, "must be one of %s, not %q", strings.Join(choices, ", "), s)
	return ""
}

func (r *reader) integer(path string) int64 {
	v := r.value(path)
	n, ok := v.(int64)
	switch {
	case v != nil && !ok:
		r.add(path, "must be a whole number, not %s", typeName(v))
	case n < 0:
		r.add(path, "must not be negative: %d", n)
	}
	return n
}

func (r *reader) boolean(path string) bool {
	v := r.value(path)
	b, ok := v.(bool)
	if v != nil && !ok {
		r.add(path, "must be true or false, not %s", typeName(v))
	}
	return b
}

func (r *reader) duration(path string) time.Duration {
	s := r.text(path)
	if s == "" {
		if r.value(path) == "" {
			r.add(path, "is empty")
		}
		return 0
	}
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		r.add(path, "not a duration such as \"250ms\" or \"1m30s\": %q", s)
		return 0
	case d < 0:
		r.add(path, "must not be negative: %s", d)
		return 0
	}
	return d
}

// listenAddr reads a listen address; port 0 selects any free port.
func (r *reader) listenAddr(path string, required bool) netip.AddrPort {
	if !required && r.value(path) == nil {
		return netip.AddrPort{}
	}
	return r.addrPort(path, r.required(path))
}

// dialAddr reads an address to connect to, whose port must not be 0.
func (r *reader) dialAddr(path string) netip.AddrPort {
	a := r.addrPort(path, r.required(path))
	if a.IsValid() && a.Port() == 0 {
		r.add(path, "needs a port: %s", a)
	}
	return a
}

// advertised reads an optional address to which other processes connect.
func (r *reader) advertised(path string) netip.AddrPort {
	if r.text(path) == "" {
		return netip.AddrPort{}
	}
	return r.dialAddr(path)
}

func (r *reader) addrPorts(path string) []netip.AddrPort {
	var addrs []netip.AddrPort
	for i, s := range r.texts(path) {
		a := r.addrPort(elementPath(path, i), s)
		if !a.IsValid() {
			continue
		}
		if a.Port() == 0 {
			r.add(elementPath(path, i), "needs a port: %s", a)
		}
		addrs = append(addrs, a)
	}
	return addrs
}

func (r *reader) addrPort(path, text string) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		r.add(path, "not an IP address and port: %q", text)
	}
	return a
}

// unknownKeys adds a finding for each key of the file that no setting was read from, in
// the order of the file.
func (r *reader) unknownKeys() {
	var unknown []string
	r.walk("", r.values, &unknown)
	sort.SliceStable(unknown, func(i, j int) bool { return r.line(unknown[i]) < r.line(unknown[j]) })
	for _, path := range unknown {
		r.add(path, "unknown key")
	}
}

func (r *reader) walk(path string, v any, unknown *[]string) {
	if path != "" && !r.used[path] {
		*unknown = append(*unknown, path)
		return
	}
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			r.walk(strings.TrimPrefix(path+"."+name, "."), v[name], unknown)
		}
	case []any:
		for i, element := range v {
			if m, ok := element.(map[string]any); ok {
				r.walk(elementPath(path, i), m, unknown)
			}
		}
	}
}
