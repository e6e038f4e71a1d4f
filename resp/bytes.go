package resp

import (
	"bytes"
	"strconv"
)

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isHex(c byte) bool { return isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'f' }

// hexValue is the value of a hexadecimal digit.
func hexValue(c byte) byte {
	if isDigit(c) {
		return c - '0'
	}
	return c | 0x20 - 'a' + 10
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' }

// trimSpace removes spaces and tabs from both ends.
func trimSpace(b []byte) []byte { return bytes.Trim(b, " \t") }

// tokenBytes are the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		is[c] = true
	}
	return is
}()

func isToken(c byte) bool { return tokenBytes[c] }

// isText reports whether a field value or a reason has no control characters but tabs (RFC 9110, section 5.5).
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// quote returns a text as it can stand in a log line.
func quote(text string) string { return strconv.QuoteToASCII(text) }
