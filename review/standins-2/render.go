package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// render fills in a template of settings as DEPLOY.md says: values, sections and their inverse.
func render(text string, scopes ...map[string]any) string {
	out, _ := renderUntil(text, "", scopes, nil, "", "")
	return out
}

// renderUntil renders up to the end of the named section and returns what is left.
func renderUntil(text, end string, scopes []map[string]any, current any, key, comma string) (out, rest string) {
	var b strings.Builder
	for {
		i := strings.Index(text, "{{")
		if i < 0 {
			return b.String() + text, ""
		}
		b.WriteString(text[:i])
		text = text[i+2:]
		j := strings.Index(text, "}}")
		word := text[:j]
		text = text[j+2:]
		switch {
		case word == "/"+end && end != "":
			return b.String(), text
		case word == ".":
			b.WriteString(plain(current))
		case word == "@":
			b.WriteString(key)
		case word == ",":
			b.WriteString(comma)
		case word[0] == '#' || word[0] == '^':
			name := word[1:]
			value := lookup(scopes, name)
			var after string
			if word[0] == '^' {
				var inner string
				inner, after = renderUntil(text, name, scopes, current, key, comma)
				if !present(value) {
					b.WriteString(inner)
				}
			} else {
				_, after = renderUntil(text, name, scopes, current, key, comma)
				if list, ok := value.([]any); ok {
					for n, item := range list {
						sep := ","
						if n == len(list)-1 {
							sep = ""
						}
						inner, _ := renderUntil(text, name, scopes, item, fmt.Sprint(n), sep)
						b.WriteString(inner)
					}
				} else if present(value) {
					inner, _ := renderUntil(text, name, scopes, value, key, comma)
					b.WriteString(inner)
				}
			}
			text = after
		default:
			name, filter, _ := strings.Cut(word, "|")
			value := lookup(scopes, name)
			if filter == "json" {
				body, _ := json.Marshal(value)
				b.Write(body)
			} else {
				b.WriteString(plain(value))
			}
		}
	}
}

func present(v any) bool { return v != nil && v != false }

func plain(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

func lookup(scopes []map[string]any, path string) any {
	var v any = scopes[len(scopes)-1]
	for _, name := range strings.Split(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		v = m[name]
	}
	return v
}
