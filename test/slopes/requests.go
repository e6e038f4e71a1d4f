package main

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/infra"
	"jacinthworks/test"
	"jacinthworks/test/drive"
	"jacinthworks/trace"
)

// Sizes of the request path. Calls and streams are many at once, as under
// load; the idle cost of a process is taken off by time.
var (
	plainSizes = []int{1000, 2000, 4000, 8000}
	tokenSizes = []int{1, 33, 65, 129}
)

const (
	plainWorkers  = 16
	streamWorkers = 50
	streamsEach   = 100
	idleWindow    = 3 * time.Second
	// promptBytes is some 250 tokens, as for a short note.
	promptBytes = 1000
	tokenGap    = "10ms"
)

// part is one process of the path while it is measured.
type part struct {
	role string
	at   test.Process
	idle float64 // us a second
	// cpu and alloc hold the costs at each size.
	cpu, alloc, bytes, resident []point
}

func newParts(ctx context.Context, processes map[string]test.Process) ([]*part, error) {
	var parts []*part
	for _, role := range []string{"entry", "side_app", "side_prefill", "side_decode"} {
		if at, found := processes[role]; found {
			parts = append(parts, &part{role: role, at: at})
		}
	}
	before := make([]usage, len(parts))
	var err error
	for i, p := range parts {
		if before[i], err = look(p.at.PID); err != nil {
			return nil, err
		}
	}
	pause(ctx, idleWindow)
	for i, p := range parts {
		after, err := look(p.at.PID)
		if err != nil {
			return nil, err
		}
		p.idle = micros(after.cpu-before[i].cpu) / after.at.Sub(before[i].at).Seconds()
	}
	return parts, nil
}

// during runs the load and adds its cost to each part at the size x; per
// divides the cost.
func during(ctx context.Context, parts []*part, x, per float64, load func() error) error {
	before := make([]usage, len(parts))
	heap := make([]float64, len(parts))
	var err error
	for i, p := range parts {
		if before[i], err = look(p.at.PID); err != nil {
			return err
		}
		if p.role == "entry" {
			if heap[i], err = allocated(ctx, p.at); err != nil {
				return err
			}
		}
	}
	if err := load(); err != nil {
		return err
	}
	for i, p := range parts {
		after, err := look(p.at.PID)
		if err != nil {
			return err
		}
		spent := micros(after.cpu-before[i].cpu) - p.idle*after.at.Sub(before[i].at).Seconds()
		p.cpu = append(p.cpu, point{x, spent / per})
		p.bytes = append(p.bytes, point{x, (after.bytes - before[i].bytes) / per})
		p.resident = append(p.resident, point{x, after.resident})
		if p.role != "entry" {
			continue
		}
		now, err := allocated(ctx, p.at)
		if err != nil {
			return err
		}
		p.alloc = append(p.alloc, point{x, (now - heap[i]) / per})
	}
	return ctx.Err()
}

// measureRequests gives the cost of a plain call, of a model request and of a
// token streamed, and the size of their stories.
func measureRequests(ctx context.Context, b *bench) error {
	p, err := newPath(b, "requests", tokenGap)
	if err != nil {
		return err
	}
	defer p.world.Close()
	if err := measurePlain(ctx, p); err != nil {
		return err
	}
	seen := make(map[string]bool)
	if err := measureStories(ctx, p, "plain_call", seen); err != nil {
		return err
	}
	if err := measureTokens(ctx, p); err != nil {
		return err
	}
	return measureStories(ctx, p, "model_request", seen)
}

func measurePlain(ctx context.Context, p *path) error {
	if r := drive.ClosedLoop(ctx, plainWorkers, plainSizes[0], p.caller.Plain); r.Failed > 0 { // warm up
		return r.First
	}
	parts, err := newParts(ctx, map[string]test.Process{"entry": p.entry, "side_app": p.app})
	if err != nil {
		return err
	}
	for _, part := range parts {
		report("idle", part.role, "cpu", part.idle, "us/s", 1)
	}
	for _, size := range plainSizes {
		err := during(ctx, parts, float64(size), 1, func() error {
			r := drive.ClosedLoop(ctx, plainWorkers, size, p.caller.Plain)
			return errors.Wrap(r.First, "plain calls")
		})
		if err != nil {
			return err
		}
	}
	for _, part := range parts {
		reportLine("plain_call", part.role, "cpu", "us", "call", part.cpu)
		reportLine("plain_call", part.role, "bytes", "B", "call", part.bytes)
		if part.alloc != nil {
			reportLine("plain_call", part.role, "allocated", "B", "call", part.alloc)
		}
		report("plain_call", part.role, "resident_after", part.resident[len(part.resident)-1].Y, "B", 1)
	}
	return nil
}

func measureTokens(ctx context.Context, p *path) error {
	parts, err := newParts(ctx, map[string]test.Process{"entry": p.entry, "side_prefill": p.prefill, "side_decode": p.decode})
	if err != nil {
		return err
	}
	prompt := promptOf(promptBytes)
	for _, tokens := range tokenSizes {
		err := during(ctx, parts, float64(tokens), streamsEach, func() error {
			r := drive.ClosedLoop(ctx, streamWorkers, streamsEach, func(ctx context.Context) error {
				return p.caller.Stream(ctx, prompt, tokens, func(string, int) error { return nil })
			})
			return errors.Wrap(r.First, "streams")
		})
		if err != nil {
			return err
		}
	}
	for _, part := range parts {
		// The intercept is the request without its tokens.
		reportLine("token", part.role, "cpu", "us", "token", part.cpu)
		reportLine("token", part.role, "bytes", "B", "token", part.bytes)
		if part.alloc != nil {
			reportLine("token", part.role, "allocated", "B", "token", part.alloc)
		}
	}
	return nil
}

// measureStories waits until the stories are written, and gives their size in
// the platform and the cost of packing them. It skips the segments seen before
// and notes those it sees. Sides write too where no entry took an outcome:
// none should be theirs here.
func measureStories(ctx context.Context, p *path, kind string, seen map[string]bool) error {
	pause(ctx, trace.DefaultFlushInterval+time.Second)
	platform, err := p.world.Process("platform")
	if err != nil {
		return err
	}
	objects := infra.HTTPObjects{Base: platform.Address}
	names, err := objects.List(ctx, trace.SegmentPrefix)
	if err != nil {
		return err
	}
	var size, sides int
	var all []*trace.Span
	for _, name := range names {
		if seen[name] {
			continue
		}
		seen[name] = true
		o, err := objects.Get(ctx, name)
		if err != nil {
			return err
		}
		found, _ := trace.Unpack(o.Value)
		if !strings.HasPrefix(name, trace.SegmentPrefix+"entry-") {
			sides += len(found)
			continue
		}
		for i := range found {
			all = append(all, &found[i])
		}
		size += len(o.Value)
	}
	return reportStories(kind, all, size, sides)
}

func reportStories(kind string, all []*trace.Span, size, sides int) error {
	if len(all) == 0 {
		return errors.New("no stories were written")
	}
	report("story", "entry", "segment_"+kind, float64(size)/float64(len(all)), "B/story", len(all))
	report("story", "side", "written_"+kind, float64(sides), "stories", sides)
	batch := all[:min(len(all), trace.FlushSpans)]
	packer := trace.Packer{Host: "entry-1", Incarnation: 1}
	took, err := timed(func() error { _, err := packer.Pack(time.Now(), batch); return err })
	report("story", "entry", "pack_"+kind, micros(took)/float64(len(batch)), "us/story", len(batch))
	return err
}
