package trace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
)

// SegmentPrefix is the prefix of the names of all trace segments at the platform.
const SegmentPrefix = "stories/"

// MaxRanges bounds the number of entry incarnations whose requests one segment contains,
// so that names stay below about 600 bytes. A side that serves more entries writes more
// segments.
const MaxRanges = 16

// Range is an inclusive range of request numbers of one incarnation of an entry.
// Requests end out of order, so a segment need not contain all numbers in its range.
type Range struct {
	Entry       domain.Host
	Incarnation domain.Incarnation
	First, Last uint64
}

// Contains reports whether the request is in the range.
func (g Range) Contains(d ID) bool {
	return g.Entry == d.Entry && g.Incarnation == d.Incarnation && g.First <= d.Number && d.Number <= g.Last
}

// SegmentName is a parsed segment name. Host, Incarnation and Seq make it unique, so that
// segments are only created and never updated: a write whose response is lost can be
// repeated safely.
type SegmentName struct {
	Host        domain.Host
	Incarnation domain.Incarnation
	// Seq numbers the segments of one incarnation of the host, from 1.
	Seq uint64
	// Written is when the segment was packed, with a resolution of one second.
	Written time.Time
	Ranges  []Range
}

// String formats the name:
// stories/<host>.<incarnation>/<seq>~<unix seconds>~<entry>.<incarnation>.<first>-<last>[~...]
func (n SegmentName) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s%s.%d/%d~%d", SegmentPrefix, n.Host, n.Incarnation, n.Seq, n.Written.Unix())
	for _, g := range n.Ranges {
		fmt.Fprintf(&b, "~%s.%d.%d-%d", g.Entry, g.Incarnation, g.First, g.Last)
	}
	return b.String()
}

// ParseSegmentName parses the output of SegmentName.String.
func ParseSegmentName(s string) (SegmentName, error) {
	rest, ok := strings.CutPrefix(s, SegmentPrefix)
	owner, file, found := strings.Cut(rest, "/")
	parts := strings.Split(file, "~")
	if !ok || !found || len(parts) < 3 || len(parts) > 2+MaxRanges {
		return SegmentName{}, errors.Errorf("trace: not a segment name: %.80q", s)
	}
	var n SegmentName
	var err error
	if n.Host, n.Incarnation, err = splitHost(owner); err != nil {
		return SegmentName{}, err
	}
	if n.Seq, err = parseNumber(parts[0]); err != nil {
		return SegmentName{}, err
	}
	written, err := parseNumber(parts[1])
	if err != nil || written > 1<<40 {
		return SegmentName{}, errors.Errorf("trace: not a time in Unix seconds: %.40q", parts[1])
	}
	n.Written = time.Unix(int64(written), 0).UTC()
	for _, p := range parts[2:] {
		g, err := parseRange(p)
		if err != nil {
			return SegmentName{}, err
		}
		n.Ranges = append(n.Ranges, g)
	}
	return n, nil
}

func parseRange(s string) (Range, error) {
	host, incarnation, numbers, err := splitLast(s)
	if err != nil {
		return Range{}, err
	}
	first, last, _ := strings.Cut(numbers, "-")
	g := Range{Entry: host, Incarnation: incarnation}
	if g.First, err = parseNumber(first); err != nil {
		return Range{}, err
	}
	if g.Last, err = parseNumber(last); err != nil {
		return Range{}, err
	}
	if g.First > g.Last {
		return Range{}, errors.Errorf("trace: range with first above last: %.80q", s)
	}
	return g, nil
}

// EntryPrefix returns the name prefix of the segments that the entry of the request has
// written. Segments of sides are found only by listing all names with SegmentPrefix.
func EntryPrefix(d ID) string {
	return fmt.Sprintf("%s%s.%d/", SegmentPrefix, d.Entry, d.Incarnation)
}

// FindSegments returns the listed names of segments that may contain the request: the
// entry's segments first, then narrow ranges before wide ones. It ignores names that are
// not segment names.
func FindSegments(listed []string, d ID) []string {
	type match struct {
		name     string
		fromSide bool
		width    uint64
	}
	var found []match
	for _, s := range listed {
		n, err := ParseSegmentName(s)
		if err != nil {
			continue
		}
		for _, g := range n.Ranges {
			if g.Contains(d) {
				found = append(found, match{s, n.Host != d.Entry, g.Last - g.First})
				break
			}
		}
	}
	slices.SortStableFunc(found, func(a, b match) int {
		if a.fromSide != b.fromSide {
			if b.fromSide {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.width, b.width)
	})
	names := make([]string, len(found))
	for i, m := range found {
		names[i] = m.name
	}
	return names
}

// ExpiredSegments returns the listed names of segments that were written longer ago than
// keep. Any host may delete them.
func ExpiredSegments(listed []string, now time.Time, keep time.Duration) []string {
	var expired []string
	for _, s := range listed {
		if n, err := ParseSegmentName(s); err == nil && now.Sub(n.Written) > keep {
			expired = append(expired, s)
		}
	}
	return expired
}
