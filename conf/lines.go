package conf

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines gives the line of each key and table of a document that parses.
// Members of an array of tables are numbered from 0: caller[0].token.
func keyLines(text []byte) map[string]int {
	lines := make(map[string]int)
	members := make(map[string]int)
	table := ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind == unstable.Comment {
			continue
		}
		names, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.Table:
			table = inMember(names, members)
			lines[table] = line
		case unstable.ArrayTable:
			path := strings.Join(names, ".")
			if _, ok := lines[path]; !ok {
				lines[path] = line
			}
			table = at(path, members[path])
			members[path]++
			lines[table] = line
		case unstable.KeyValue:
			path := strings.TrimPrefix(table+"."+strings.Join(names, "."), ".")
			lines[path] = line
		}
	}
	return lines
}

// keyOf gives the dotted key of an expression and the line it stands on.
func keyOf(p *unstable.Parser, e *unstable.Node) ([]string, int) {
	var names []string
	line := 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		names = append(names, string(n.Data))
	}
	return names, line
}

// inMember puts [caller.x] inside the latest [[caller]].
func inMember(names []string, members map[string]int) string {
	first := names[0]
	if n := members[first]; n > 0 {
		first = at(first, n-1)
	}
	return strings.Join(append([]string{first}, names[1:]...), ".")
}

func at(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// parent gives the path around a path, or nothing at the top.
func parent(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}

// splitIndex splits caller[2] into its name and index; -1 means none.
func splitIndex(step string) (string, int) {
	name, rest, ok := strings.Cut(step, "[")
	if !ok {
		return step, -1
	}
	i, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
	if err != nil {
		return step, -1
	}
	return name, i
}

// typeName names a TOML type for a person.
func typeName(v any) string {
	switch v.(type) {
	case string:
		return "text"
	case int64:
		return "a whole number"
	case float64:
		return "a decimal number"
	case bool:
		return "a boolean"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
