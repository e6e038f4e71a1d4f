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
	// MaxSegment is the size limit of a compressed segment in bytes, which is that of
	// a value in the platform's object API.
	MaxSegment = 1 << 20
	// maxUncompressed is the size in bytes at which a new segment is started. The JSON
	// of spans compresses more than tenfold, so a segment has some 200 KB. A segment
	// that does not compress to MaxSegment is split into halves until it fits.
	maxUncompressed = 4 << 20
	// maxDecoded bounds the memory that a reader allocates for a damaged segment.
	maxDecoded = 2 * maxUncompressed
	// segmentFormat and version identify the encoding of a segment in its header.
	segmentFormat  = "jacinthworks-stories"
	segmentVersion = 1
)

// header is the first line of a segment. Spans, the number of spans, lets a reader detect
// missing lines.
type header struct {
	Format      string             `json:"format"`
	Version     int                `json:"version"`
	Host        domain.Host        `json:"host"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Spans       int                `json:"stories"`
}

// Segment is a compressed batch of closed spans, ready to be written.
type Segment struct {
	Name string
	Data []byte
	// Spans is the number of spans in the segment.
	Spans int
}

// Packer packs spans into segments. Set Host and Incarnation. It is not safe for
// concurrent use.
type Packer struct {
	Host        domain.Host
	Incarnation domain.Incarnation
	seq         uint64
}

// Pack compresses the spans into as few segments as their bounds allow: MaxSegment bytes
// and MaxRanges ranges each. It omits spans that cannot be packed; its error, a
// check.Findings, names them.
func (p *Packer) Pack(now time.Time, batch []*Span) ([]Segment, error) {
	var f check.Findings
	var segments []Segment
	var lines [][]byte
	var ranges []Range
	raw := 0
	flush := func() {
		segments = append(segments, p.compress(now, lines, ranges, &f)...)
		lines, ranges, raw = nil, nil, 0
	}
	for _, s := range batch {
		d, err := ParseID(s.Request)
		if err != nil {
			f.Add("span "+string(s.Request), "%v", err)
			continue
		}
		line, err := json.Marshal(s)
		if err != nil {
			f.Add("span "+string(s.Request), "%v", err)
			continue
		}
		extended, fits := extendRanges(ranges, d)
		if !fits || raw+len(line) > maxUncompressed {
			flush()
			extended, _ = extendRanges(nil, d)
		}
		lines, ranges, raw = append(lines, line), extended, raw+len(line)+1
	}
	flush()
	return segments, f.Err()
}

// compress compresses the lines, one span each, into one segment, or into two with half
// of the lines each if one segment would be too large. Both have the same ranges.
func (p *Packer) compress(now time.Time, lines [][]byte, ranges []Range, f *check.Findings) []Segment {
	if len(lines) == 0 {
		return nil
	}
	first, err := json.Marshal(header{segmentFormat, segmentVersion, p.Host, p.Incarnation, len(lines)})
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
		return append(p.compress(now, lines[:half], ranges, f), p.compress(now, lines[half:], ranges, f)...)
	}
	if len(data) > MaxSegment {
		f.Add("span", "%d bytes compressed, over %d", len(data), MaxSegment)
		return nil
	}
	p.seq++
	n := SegmentName{Host: p.Host, Incarnation: p.Incarnation, Seq: p.seq, Written: now, Ranges: ranges}
	return []Segment{{Name: n.String(), Data: data, Spans: len(lines)}}
}

// extendRanges extends the ranges to contain the request as well, or returns false if
// that would need more than MaxRanges.
func extendRanges(ranges []Range, d ID) ([]Range, bool) {
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

// Unpack returns the spans of a segment, and a finding for each damaged part. If the
// compression, the checksum or the header is invalid, it returns no spans; if single
// lines are not valid spans, it returns the spans of the other lines.
func Unpack(data []byte) ([]Span, check.Findings) {
	var f check.Findings
	if len(data) > MaxSegment {
		f.Add("segment", "%d bytes, over %d", len(data), MaxSegment)
		return nil, f
	}
	raw, err := decoder().DecodeAll(data, nil)
	if err != nil {
		f.Add("segment", "%v", errors.Wrap(err, "trace: decompress segment"))
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
	var spans []Span
	for i, l := range lines[1 : len(lines)-1] {
		if s, ok := readSpan(l, fmt.Sprintf("line %d", i+2), &f); ok {
			spans = append(spans, s)
		}
	}
	if len(spans) != h.Spans {
		f.Add("segment", "contains %d spans, but its header says %d", len(spans), h.Spans)
	}
	return spans, f
}

func readHeader(line []byte) (header, error) {
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return h, errors.Wrap(err, "trace: decode segment header")
	}
	if h.Format != segmentFormat || h.Version != segmentVersion {
		return h, errors.Errorf("trace: segment header of another format: %.40q version %d", h.Format, h.Version)
	}
	return h, nil
}

// readSpan decodes a span and rebuilds it with Span.Add, so that segments from other
// processes obey the same rules as spans recorded here.
func readSpan(line []byte, location string, f *check.Findings) (Span, bool) {
	var read Span
	if err := json.Unmarshal(line, &read); err != nil {
		f.Add(location, "%v", errors.Wrap(err, "trace: decode span"))
		return Span{}, false
	}
	before := len(*f)
	if _, err := ParseID(read.Request); err != nil {
		f.Add(location+" request_id", "%v", err)
	}
	if read.Kind != EntrySpan && read.Kind != SideSpan {
		f.Add(location+" half", "is neither entry's nor side's: %.40q", string(read.Kind))
	}
	s := Span{Request: read.Request, Kind: read.Kind, Dropped: max(0, read.Dropped), Findings: read.Findings}
	for i, e := range read.Events {
		e.Check(f, fmt.Sprintf("%s event %d", location, i+1))
		s.Add(e)
	}
	return s, len(*f) == before
}

// encoder and decoder are shared, since EncodeAll and DecodeAll are safe for concurrent
// use. The small window limits their memory to a few megabytes.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20),
			zstd.WithLowerEncoderMem(true))
		if err != nil {
			panic(errors.Wrap(err, "trace: create zstd encoder"))
		}
		return e
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoded),
			zstd.WithDecoderLowmem(true))
		if err != nil {
			panic(errors.Wrap(err, "trace: create zstd decoder"))
		}
		return d
	})
)
