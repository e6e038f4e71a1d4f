package trace

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// ID is a request id in its parts. It is comparable.
type ID struct {
	Entry       domain.Host
	Incarnation domain.Incarnation
	Number      uint64
}

// ParseID takes a request id apart: <entry>.<incarnation>.<number>, the two
// numbers in decimal without leading zeros. The entry's name may hold dots,
// but no slash and no tilde, which separate the parts of a segment's name.
func ParseID(id domain.RequestID) (ID, error) {
	host, incarnation, rest, err := splitLast(string(id))
	if err != nil {
		return ID{}, err
	}
	number, err := parseNumber(rest)
	return ID{host, incarnation, number}, err
}

// RequestID puts the parts together.
func (d ID) RequestID() domain.RequestID {
	return domain.RequestID(fmt.Sprintf("%s.%d.%d", d.Entry, d.Incarnation, d.Number))
}

// splitLast takes <host>.<incarnation>.<rest> apart from its right end.
func splitLast(s string) (domain.Host, domain.Incarnation, string, error) {
	last := strings.LastIndexByte(s, '.')
	if last < 0 {
		return "", 0, "", errors.Errorf("trace: not <host>.<incarnation>.<number>: %.80q", s)
	}
	host, incarnation, err := splitHost(s[:last])
	return host, incarnation, s[last+1:], err
}

// splitHost takes <host>.<incarnation> apart.
func splitHost(s string) (domain.Host, domain.Incarnation, error) {
	dot := strings.LastIndexByte(s, '.')
	if dot < 0 || !validHost(s[:dot]) {
		return "", 0, errors.Errorf("trace: not <host>.<incarnation>: %.80q", s)
	}
	n, err := parseNumber(s[dot+1:])
	return domain.Host(s[:dot]), domain.Incarnation(n), err
}

func validHost(s string) bool { return s != "" && !strings.ContainsAny(s, "/~ \n") }

// parseNumber refuses what would not be written back the same, so that one
// request has one id.
func parseNumber(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != s {
		return 0, errors.Errorf("trace: not a plain number: %.40q", s)
	}
	return n, nil
}
