package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// render fills in a template of settings as DEPLOY.md tells it: values, sections for a value that is
// there, and inverted sections.
func render(text string, fields map[string]any) (string, error) {
	out, rest, err := renderPart(text, []any{fields}, "", false, "")
	if err == nil && rest != "" {
		err = fmt.Errorf("template: text after its end")
	}
	return out, err
}

// renderPart renders up to the end of the section with the given name.
func renderPart(text string, scope []any, key string, last bool, section string) (out, rest string, err error) {
	var b strings.Builder
	for {
		before, after, found := strings.Cut(text, "{{")
		b.WriteString(before)
		if !found {
			return b.String(), "", nil
		}
		tag, after, found := strings.Cut(after, "}}")
		if !found {
			return "", "", fmt.Errorf("template: open placeholder %q", tag)
		}
		text = after
		switch {
		case tag == ",":
			if !last {
				b.WriteString(",")
			}
		case tag == "@":
			b.WriteString(key)
		case strings.HasPrefix(tag, "/"):
			if tag[1:] != section {
				return "", "", fmt.Errorf("template: end of %q in %q", tag[1:], section)
			}
			return b.String(), text, nil
		case strings.HasPrefix(tag, "#"), strings.HasPrefix(tag, "^"):
			name := tag[1:]
			inner := text
			if _, text, err = renderPart(inner, scope, key, last, name); err != nil {
				return "", "", err
			}
			entries := entriesOf(lookup(scope, name), tag[0] == '^')
			for n, e := range entries {
				part, _, err := renderPart(inner, append(slices.Clone(scope), e.value), e.key, n == len(entries)-1, name)
				if err != nil {
					return "", "", err
				}
				b.WriteString(part)
			}
		default:
			name, asJSON := strings.CutSuffix(tag, "|json")
			b.WriteString(valueText(lookup(scope, name), asJSON))
		}
	}
}

type entryOf struct {
	key   string
	value any
}

// entriesOf returns the entries for which a section is rendered.
func entriesOf(v any, inverted bool) (all []entryOf) {
	present := v != nil && v != false
	if inverted {
		if !present {
			all = append(all, entryOf{})
		}
		return all
	}
	switch x := v.(type) {
	case []any:
		for n, e := range x {
			all = append(all, entryOf{strconv.Itoa(n), e})
		}
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(x)) {
			all = append(all, entryOf{k, x[k]})
		}
	default:
		if present {
			all = append(all, entryOf{"", v})
		}
	}
	return all
}

// lookup resolves a name, in the current entry first.
func lookup(scope []any, name string) any {
	if name == "." {
		return scope[len(scope)-1]
	}
	for _, s := range slices.Backward(scope) {
		if v, found := resolve(s, strings.Split(name, ".")); found {
			return v
		}
	}
	return nil
}

func resolve(v any, path []string) (any, bool) {
	for _, p := range path {
		switch x := v.(type) {
		case map[string]any:
			next, found := x[p]
			if !found {
				return nil, false
			}
			v = next
		case []any:
			n, err := strconv.Atoi(p)
			if err != nil || n < 0 || n >= len(x) {
				return nil, false
			}
			v = x[n]
		default:
			return nil, false
		}
	}
	return v, true
}

func valueText(v any, asJSON bool) string {
	switch x := v.(type) {
	case nil:
		if asJSON {
			return "null"
		}
		return ""
	case string:
		if !asJSON {
			return x
		}
	case []any:
		if !asJSON {
			var all []string
			for _, e := range x {
				all = append(all, valueText(e, false))
			}
			return strings.Join(all, ",")
		}
	}
	text, _ := json.Marshal(v)
	return string(text)
}
