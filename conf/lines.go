package conf

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of each key and table of a valid document, by path.
// Elements of an array of tables are numbered from 0: caller[0].token.
func keyLines(text []byte) map[string]int {
	lines := make(map[string]int)
	elements := make(map[string]int)
	table := ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind == unstable.Comment {
			continue
		}
		names, line := dottedKey(&p, e)
		switch e.Kind {
		case unstable.Table:
			table = inLatestElement(names, elements)
			lines[table] = line
		case unstable.ArrayTable:
			path := strings.Join(names, ".")
			if _, ok := lines[path]; !ok {
				lines[path] = line
			}
			table = elementPath(path, elements[path])
			elements[path]++
			lines[table] = line
		case unstable.KeyValue:
			path := strings.TrimPrefix(table+"."+strings.Join(names, "."), ".")
			lines[path] = line
		}
	}
	return lines
}

// dottedKey returns the parts of the dotted key of an expression, and its line.
func dottedKey(p *unstable.Parser, e *unstable.Node) ([]string, int) {
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

// inLatestElement returns the path of a table such as [caller.x], which belongs to the
// latest element of [[caller]].
func inLatestElement(names []string, elements map[string]int) string {
	first := names[0]
	if n := elements[first]; n > 0 {
		first = elementPath(first, n-1)
	}
	return strings.Join(append([]string{first}, names[1:]...), ".")
}

// elementPath returns the path of the element with index i of the array at the path.
func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// parent returns the path of the table or array that contains the path; "" for a key at
// the top of the file.
func parent(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}

// splitIndex splits a step of a path, such as caller[2], into name and index; the index
// is -1 if there is none.
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

// typeName returns the name of a value's TOML type for findings.
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
