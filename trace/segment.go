package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"jacinthworks/check"
	"jacinthworks/domain"
)

const (
	// MaxSegment is the largest segment in bytes, which is the largest value
	// that the platform holds.
	MaxSegment = 1 << 20
	// maxRaw is where a segment is cut before compression. JSON of stories
	// shrinks more than tenfold, so that a segment comes out at some 200 KB;
	// one that does not is cut in halves until it fits.
	maxRaw = 4 << 20
	// maxDecoded bounds what a damaged segment may make a reader allocate.
	maxDecoded = 2 * maxRaw
	format     = "jacinthworks-stories"
	version    = 1
)

// header is the first line of a segment. Stories lets a reader see that lines
// are missing.
type header struct {
	Format      string             `json:"format"`
	Version     int                `json:"version"`
	Host        domain.Host        `json:"host"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Stories     int                `json:"stories"`
}

// Segment is a batch of closed stories, ready to be written.
type Segment struct {
	Name string
	Data []byte
	// Spans counts the stories inside.
	Spans int
}

// Packer packs stories into segments. Set Host and Incarnation; it belongs to
// one goroutine.
type Packer struct {
	Host        domain.Host
	Incarnation domain.Incarnation
	seq         uint64
}

// Pack compresses the stories into as few segments as their bounds allow:
// MaxSegment bytes and MaxRanges entries each. Stories that cannot be packed
// are left out and named by the error, a check.Findings.
func (p *Packer) Pack(now time.Time, batch []*Span) ([]Segment, error) {
	var f check.Findings
	var segments []Segment
	var lines [][]byte
	var ranges []Range
	raw := 0
	flush := func() {
		segments = append(segments, p.seal(now, lines, ranges, &f)...)
		lines, ranges, raw = nil, nil, 0
	}
	for _, s := range batch {
		d, err := ParseID(s.Request)
		if err != nil {
			f.Add("story "+string(s.Request), "%v", err)
			continue
		}
		line, err := json.Marshal(s)
		if err != nil {
			f.Add("story "+string(s.Request), "%v", err)
			continue
		}
		wider, fits := widen(ranges, d)
		if !fits || raw+len(line) > maxRaw {
			flush()
			wider, _ = widen(nil, d)
		}
		lines, ranges, raw = append(lines, line), wider, raw+len(line)+1
	}
	flush()
	return segments, f.Err()
}

// seal compresses the lines into one segment, or into two of half the lines
// each when one would be too large. Both carry the same ranges.
func (p *Packer) seal(now time.Time, lines [][]byte, ranges []Range, f *check.Findings) []Segment {
	if len(lines) == 0 {
		return nil
	}
	first, err := json.Marshal(header{format, version, p.Host, p.Incarnation, len(lines)})
	if err != nil {
		f.Add("segment", "%v", err)
		return nil
	}
	var raw bytes.Buffer
	for _, l := range append([][]byte{first}, lines...) {
		raw.Write(l)
		raw.WriteByte('\n')
	}
	data := encoder().EncodeAll(raw.Bytes(), nil)
	if len(data) > MaxSegment && len(lines) > 1 {
		half := len(lines) / 2
		return append(p.seal(now, lines[:half], ranges, f), p.seal(now, lines[half:], ranges, f)...)
	}
	if len(data) > MaxSegment {
		f.Add("story", "%d bytes compressed, over %d", len(data), MaxSegment)
		return nil
	}
	p.seq++
	n := SegmentName{Host: p.Host, Incarnation: p.Incarnation, Seq: p.seq, Written: now, Ranges: ranges}
	return []Segment{{Name: n.String(), Data: data, Spans: len(lines)}}
}

// widen gives ranges that hold the request, too, or false when that would take
// more than MaxRanges.
func widen(ranges []Range, d ID) ([]Range, bool) {
	for i := range ranges {
		g := &ranges[i]
		if g.Entry == d.Entry && g.Incarnation == d.Incarnation {
			g.First, g.Last = min(g.First, d.Number), max(g.Last, d.Number)
			return ranges, true
		}
	}
	if len(ranges) >= MaxRanges {
		return ranges, false
	}
	return append(ranges, Range{d.Entry, d.Incarnation, d.Number, d.Number}), true
}

// Unpack gives the stories of a segment. Damage is refused with findings: all
// of a segment whose compression or checksum is broken, or whose header is not
// ours; single lines that are no stories, with the rest given.
func Unpack(data []byte) ([]Span, check.Findings) {
	var f check.Findings
	if len(data) > MaxSegment {
		f.Add("segment", "%d bytes, over %d", len(data), MaxSegment)
		return nil, f
	}
	raw, err := decoder().DecodeAll(data, nil)
	if err != nil {
		f.Add("segment", "%v", errors.Wrap(err, "trace: decompress"))
		return nil, f
	}
	lines := bytes.Split(raw, []byte("\n"))
	h, err := readHeader(lines[0])
	if err != nil {
		f.Add("line 1", "%v", err)
		return nil, f
	}
	if tail := lines[len(lines)-1]; len(tail) != 0 {
		f.Add(fmt.Sprintf("line %d", len(lines)), "is cut off")
	}
	var stories []Span
	for i, l := range lines[1 : len(lines)-1] {
		if s, ok := readStory(l, fmt.Sprintf("line %d", i+2), &f); ok {
			stories = append(stories, s)
		}
	}
	if len(stories) != h.Stories {
		f.Add("segment", "holds %d stories, not the %d its header names", len(stories), h.Stories)
	}
	return stories, f
}

func readHeader(line []byte) (header, error) {
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return h, errors.Wrap(err, "trace: header")
	}
	if h.Format != format || h.Version != version {
		return h, errors.Errorf("trace: header of another format: %.40q version %d", h.Format, h.Version)
	}
	return h, nil
}

// readStory rebuilds the story by Add, so that what was written by another
// program obeys the same rule as what was recorded here.
func readStory(line []byte, place string, f *check.Findings) (Span, bool) {
	var read Span
	if err := json.Unmarshal(line, &read); err != nil {
		f.Add(place, "%v", errors.Wrap(err, "story"))
		return Span{}, false
	}
	before := len(*f)
	if _, err := ParseID(read.Request); err != nil {
		f.Add(place+" request_id", "%v", err)
	}
	if read.Kind != EntrySpan && read.Kind != SideSpan {
		f.Add(place+" half", "is neither entry's nor side's: %.40q", string(read.Kind))
	}
	s := Span{Request: read.Request, Kind: read.Kind, Dropped: max(0, read.Dropped), Findings: read.Findings}
	for i, e := range read.Events {
		e.Check(f, fmt.Sprintf("%s event %d", place, i+1))
		s.Add(e)
	}
	return s, len(*f) == before
}

// encoder and decoder are shared: EncodeAll and DecodeAll are safe for
// concurrent use. The small window keeps their memory to a few megabytes.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20),
			zstd.WithLowerEncoderMem(true))
		if err != nil {
			panic(errors.Wrap(err, "trace: encoder options"))
		}
		return e
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoded),
			zstd.WithDecoderLowmem(true))
		if err != nil {
			panic(errors.Wrap(err, "trace: decoder options"))
		}
		return d
	})
)
