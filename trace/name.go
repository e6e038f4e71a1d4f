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

// Prefix starts the name of each segment.
const Prefix = "stories/"

// MaxRanges bounds the entries whose requests one segment holds, so that names
// stay under about 600 bytes. A side with more entries writes more segments.
const MaxRanges = 16

// Range is a run of request numbers of one life of an entry, ends included.
// Requests close out of order, so that a segment need not hold all of them.
type Range struct {
	Entry       domain.Host
	Incarnation domain.Incarnation
	First, Last uint64
}

// Contains reports whether the request lies in the range.
func (g Range) Contains(d ID) bool {
	return g.Entry == d.Entry && g.Incarnation == d.Incarnation && g.First <= d.Number && d.Number <= g.Last
}

// SegmentName is a segment's name in its parts. Host, Incarnation and Seq make it
// unique, so that a segment is only ever created: when the answer to a write is
// lost, the same write again is harmless.
type SegmentName struct {
	Host        domain.Host
	Incarnation domain.Incarnation
	// Seq numbers the segments of one life of the host, from 1.
	Seq uint64
	// Written is when the segment was packed, to the second.
	Written time.Time
	Ranges  []Range
}

// String writes the name:
// stories/<host>.<incarnation>/<seq>~<unix seconds>~<entry>.<incarnation>.<first>-<last>[~...]
func (n SegmentName) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s%s.%d/%d~%d", Prefix, n.Host, n.Incarnation, n.Seq, n.Written.Unix())
	for _, g := range n.Ranges {
		fmt.Fprintf(&b, "~%s.%d.%d-%d", g.Entry, g.Incarnation, g.First, g.Last)
	}
	return b.String()
}

// ParseSegmentName reads what String writes.
func ParseSegmentName(s string) (SegmentName, error) {
	rest, ok := strings.CutPrefix(s, Prefix)
	owner, file, found := strings.Cut(rest, "/")
	parts := strings.Split(file, "~")
	if !ok || !found || len(parts) < 3 || len(parts) > 2+MaxRanges {
		return SegmentName{}, errors.Errorf("trace: not a segment's name: %.80q", s)
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
		return SegmentName{}, errors.Errorf("trace: not a time in seconds: %.40q", parts[1])
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
		return Range{}, errors.Errorf("trace: range runs backwards: %.80q", s)
	}
	return g, nil
}

// EntryPrefix is the prefix under which the entry's own segments of the
// request are listed. The sides' are found among all names under Prefix.
func EntryPrefix(d ID) string {
	return fmt.Sprintf("%s%s.%d/", Prefix, d.Entry, d.Incarnation)
}

// FindSegments gives those of the listed names whose segments may hold the request:
// the entry's first, narrow ranges before wide ones. Names that are no
// segment's are passed over.
func FindSegments(listed []string, d ID) []string {
	type match struct {
		name  string
		other bool
		width uint64
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
		if a.other != b.other {
			if b.other {
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

// ExpiredSegments gives those of the listed names whose segments were written longer
// than keep ago. Any host may delete them.
func ExpiredSegments(listed []string, now time.Time, keep time.Duration) []string {
	var old []string
	for _, s := range listed {
		if n, err := ParseSegmentName(s); err == nil && now.Sub(n.Written) > keep {
			old = append(old, s)
		}
	}
	return old
}
