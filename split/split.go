// Package split divides a JSON array into its elements, and a JSON object into its members,
// without decoding them.
//
// It answers the load of a list that many writers fill and one of them fills badly: encoding/json
// refuses a whole text that is nested deeper than 10,000 or holds one byte that it can't decode, so
// that one element would hide all others. With this package the failure to decode an element
// remains that of the element. Without it, a process that reads such a list never gets it.
//
// It uses constant memory whatever the size and the depth of the text. The parts are slices of
// the text, and no copies.
//
// # Usage
//
//	err := split.Elements(text, func(element []byte) error {
//		var s server
//		if err := json.Unmarshal(element, &s); err != nil {
//			skipped++ // the other elements remain usable
//			return nil
//		}
//		all = append(all, s)
//		return nil
//	})
//
//	err = split.Members(text, func(name string, value []byte) error { ... })
//
//	deaths, omitted, err := split.Decode(text, maxDeaths, checkDeath)
//
// A value that encoding/json decodes has the same parts here. Of other texts only the outermost
// level is checked: strings end at the next quote that no backslash precedes, and brackets of
// either kind are counted together.
package split

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// ErrSyntax is the error of a text that can't be divided: it is no array or object, or it is cut
// off.
var ErrSyntax = errors.New("split: invalid JSON")

// Elements calls visit with the text of each element of an array, in their order. It returns the
// first error of visit, or ErrSyntax; visit may have been called by then. null has no elements.
func Elements(text []byte, visit func(element []byte) error) error {
	return each(text, '[', ']', func(s *scanner) error {
		value, err := s.value()
		if err != nil {
			return err
		}
		return visit(value)
	})
}

// Members calls visit with the name and the text of the value of each member of an object, in
// their order. A name that occurs twice is visited twice. It returns the first error of visit,
// or ErrSyntax; visit may have been called by then. null has no members.
func Members(text []byte, visit func(name string, value []byte) error) error {
	return each(text, '{', '}', func(s *scanner) error {
		if s.peek() != '"' {
			return s.fail("name expected")
		}
		quoted, err := s.value()
		if err != nil {
			return err
		}
		if s.peek() != ':' {
			return s.fail("colon expected")
		}
		s.at++
		value, err := s.value()
		if err != nil {
			return err
		}
		return visit(unquote(quoted), value)
	})
}

// each calls next for each part between two brackets, which are the whole text.
func each(text []byte, open, end byte, next func(*scanner) error) error {
	s := scanner{text: text}
	first := s.peek()
	switch {
	case first == 'n':
		if value, err := s.value(); err != nil || string(value) != "null" {
			return s.fail("array or object expected")
		}
		return s.requireEnd()
	case first != open:
		return s.fail("array or object expected")
	}
	s.at++
	if s.peek() == end {
		s.at++
		return s.requireEnd()
	}
	for {
		if err := next(&s); err != nil {
			return err
		}
		switch s.peek() {
		case ',':
			s.at++
		case end:
			s.at++
			return s.requireEnd()
		default:
			return s.fail("comma or closing bracket expected")
		}
	}
}

// scanner is a position in a text.
type scanner struct {
	text []byte
	at   int
}

func (s *scanner) fail(cause string) error {
	return errors.Wrapf(ErrSyntax, "%s at byte %d of %d", cause, s.at, len(s.text))
}

// peek skips white space and returns the next byte, 0 at the end.
func (s *scanner) peek() byte {
	for ; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

func (s *scanner) requireEnd() error {
	if s.peek(); s.at < len(s.text) {
		return s.fail("end expected")
	}
	return nil
}

// value returns the next value, and moves behind it.
func (s *scanner) value() ([]byte, error) {
	first := s.peek()
	start := s.at
	switch first {
	case '"':
		if !s.skipString() {
			return nil, s.fail("string without end")
		}
	case '[', '{':
		if !s.skipNested() {
			return nil, s.fail("array or object without end")
		}
	default:
		s.skipLiteral()
	}
	if s.at == start {
		return nil, s.fail("value expected")
	}
	return s.text[start:s.at:s.at], nil
}

// skipString moves behind the string that begins here, and reports whether it ends. It looks for the
// quotes first, since a long text has few of them.
func (s *scanner) skipString() bool {
	start := s.at + 1
	for from := start; ; {
		n := bytes.IndexByte(s.text[from:], '"')
		if n < 0 {
			s.at = len(s.text)
			return false
		}
		from += n + 1
		if trailingBackslashes(s.text[start:from-1])%2 == 0 {
			s.at = from
			return true
		}
	}
}

// trailingBackslashes returns the number of backslashes at the end of a text.
func trailingBackslashes(text []byte) int {
	return len(text) - len(bytes.TrimRight(text, `\`))
}

// skipNested moves behind the array or object that begins here, and reports whether it ends.
func (s *scanner) skipNested() bool {
	for depth := 0; s.at < len(s.text); {
		switch s.text[s.at] {
		case '"':
			if !s.skipString() {
				return false
			}
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		s.at++
		if depth == 0 {
			return true
		}
	}
	return false
}

// skipLiteral moves behind a number, true, false, null, or what stands in their place.
func (s *scanner) skipLiteral() {
	for ; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n', ',', ':', '[', ']', '{', '}', '"':
			return
		}
	}
}

// unquote returns the name that a quoted text stands for, or the text between the quotes if it
// is no valid string.
func unquote(quoted []byte) string {
	inner := quoted[1 : len(quoted)-1]
	for _, c := range inner {
		if c == '\\' || c < ' ' || c >= utf8.RuneSelf {
			var name string
			if json.Unmarshal(quoted, &name) == nil {
				return name
			}
			break
		}
	}
	return string(inner)
}
