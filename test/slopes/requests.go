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

// Numbers of plain calls, and of tokens per stream. Calls and streams are concurrent, as
// under load. The idle processor time of a process is subtracted from its cost.
var (
	plainSizes = []int{1000, 2000, 4000, 8000}
	tokenSizes = []int{1, 33, 65, 129}
)

const (
	plainWorkers   = 16
	streamWorkers  = 50
	streamsPerSize = 100
	idleWindow     = 3 * time.Second
	// promptBytes corresponds to about 250 tokens, a short prompt.
	promptBytes = 1000
	tokenGap    = "10ms"
)

// pathProcess is a measured process of the request path.
type pathProcess struct {
	role    string
	process test.Process
	idleCPU float64 // microseconds per second
	// The costs at each size. allocated is measured only for an entry.
	cpu, allocated, bytes, resident []point
}

// measureIdle returns the given processes in the order of the path, with their idle
// processor time over idleWindow.
func measureIdle(ctx context.Context, started map[string]test.Process) ([]*pathProcess, error) {
	var processes []*pathProcess
	for _, role := range []string{"entry", "side_app", "side_prefill", "side_decode"} {
		if at, found := started[role]; found {
			processes = append(processes, &pathProcess{role: role, process: at})
		}
	}
	before := make([]usage, len(processes))
	var err error
	for i, p := range processes {
		if before[i], err = readUsage(p.process.PID); err != nil {
			return nil, err
		}
	}
	sleep(ctx, idleWindow)
	for i, p := range processes {
		after, err := readUsage(p.process.PID)
		if err != nil {
			return nil, err
		}
		p.idleCPU = microseconds(after.cpu-before[i].cpu) / after.at.Sub(before[i].at).Seconds()
	}
	return processes, nil
}

// measureLoad runs load and appends its cost to each process as the point at the given
// size. The costs other than resident memory are divided by divisor.
func measureLoad(ctx context.Context, processes []*pathProcess, size, divisor float64, load func() error) error {
	before := make([]usage, len(processes))
	allocatedBefore := make([]float64, len(processes))
	var err error
	for i, p := range processes {
		if before[i], err = readUsage(p.process.PID); err != nil {
			return err
		}
		if p.role == "entry" {
			if allocatedBefore[i], err = readAllocated(ctx, p.process); err != nil {
				return err
			}
		}
	}
	if err := load(); err != nil {
		return err
	}
	for i, p := range processes {
		after, err := readUsage(p.process.PID)
		if err != nil {
			return err
		}
		cpuMicros := microseconds(after.cpu-before[i].cpu) - p.idleCPU*after.at.Sub(before[i].at).Seconds()
		p.cpu = append(p.cpu, point{size, cpuMicros / divisor})
		p.bytes = append(p.bytes, point{size, (after.bytes - before[i].bytes) / divisor})
		p.resident = append(p.resident, point{size, after.resident})
		if p.role != "entry" {
			continue
		}
		allocatedAfter, err := readAllocated(ctx, p.process)
		if err != nil {
			return err
		}
		p.allocated = append(p.allocated, point{size, (allocatedAfter - allocatedBefore[i]) / divisor})
	}
	return ctx.Err()
}

// measureRequests reports the cost of a plain call, of a model request and of a streamed
// token, and the size of their trace spans.
func measureRequests(ctx context.Context, b *environment) error {
	p, err := newRequestPath(b, "requests", tokenGap)
	if err != nil {
		return err
	}
	defer p.cluster.Close()
	if err := measurePlain(ctx, p); err != nil {
		return err
	}
	seenSegments := make(map[string]bool)
	if err := measureTraces(ctx, p, "plain_call", seenSegments); err != nil {
		return err
	}
	if err := measureTokens(ctx, p); err != nil {
		return err
	}
	return measureTraces(ctx, p, "model_request", seenSegments)
}

// measurePlain reports idle processor time and the cost per plain call.
func measurePlain(ctx context.Context, p *requestPath) error {
	if r := drive.ClosedLoop(ctx, plainWorkers, plainSizes[0], p.caller.Plain); r.Failed > 0 { // warm up
		return r.SampleError
	}
	processes, err := measureIdle(ctx, map[string]test.Process{"entry": p.entry, "side_app": p.app})
	if err != nil {
		return err
	}
	for _, process := range processes {
		report("idle", process.role, "cpu", process.idleCPU, "us/s", 1)
	}
	for _, size := range plainSizes {
		err := measureLoad(ctx, processes, float64(size), 1, func() error {
			r := drive.ClosedLoop(ctx, plainWorkers, size, p.caller.Plain)
			return errors.Wrap(r.SampleError, "make plain calls")
		})
		if err != nil {
			return err
		}
	}
	for _, process := range processes {
		reportLine("plain_call", process.role, "cpu", "us", "call", process.cpu)
		reportLine("plain_call", process.role, "bytes", "B", "call", process.bytes)
		if process.allocated != nil {
			reportLine("plain_call", process.role, "allocated", "B", "call", process.allocated)
		}
		report("plain_call", process.role, "resident_after", process.resident[len(process.resident)-1].Y, "B", 1)
	}
	return nil
}

// measureTokens reports the cost per streamed token.
func measureTokens(ctx context.Context, p *requestPath) error {
	processes, err := measureIdle(ctx, map[string]test.Process{"entry": p.entry, "side_prefill": p.prefill, "side_decode": p.decode})
	if err != nil {
		return err
	}
	prompt := promptOfSize(promptBytes)
	for _, tokens := range tokenSizes {
		err := measureLoad(ctx, processes, float64(tokens), streamsPerSize, func() error {
			r := drive.ClosedLoop(ctx, streamWorkers, streamsPerSize, func(ctx context.Context) error {
				return p.caller.Stream(ctx, prompt, tokens, func(string, int) error { return nil })
			})
			return errors.Wrap(r.SampleError, "read streams")
		})
		if err != nil {
			return err
		}
	}
	for _, process := range processes {
		// The intercept is the cost of the request without its tokens.
		reportLine("token", process.role, "cpu", "us", "token", process.cpu)
		reportLine("token", process.role, "bytes", "B", "token", process.bytes)
		if process.allocated != nil {
			reportLine("token", process.role, "allocated", "B", "token", process.allocated)
		}
	}
	return nil
}

// measureTraces waits until the trace spans are written, and reports their size in the
// platform and the cost of packing them. It skips the segments in seenSegments and adds
// the segments that it reads. A side writes spans only for an attempt whose outcome no
// entry received; none are expected here.
func measureTraces(ctx context.Context, p *requestPath, kind string, seenSegments map[string]bool) error {
	sleep(ctx, trace.DefaultFlushInterval+time.Second)
	platform, err := p.cluster.Process("platform")
	if err != nil {
		return err
	}
	objects := infra.HTTPObjects{Addr: platform.Address}
	names, err := objects.List(ctx, trace.SegmentPrefix)
	if err != nil {
		return err
	}
	var size, sides int
	var spans []*trace.Span
	for _, name := range names {
		if seenSegments[name] {
			continue
		}
		seenSegments[name] = true
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
			spans = append(spans, &found[i])
		}
		size += len(o.Value)
	}
	return reportTraces(kind, spans, size, sides)
}

// reportTraces reports size, in bytes of all segments, and packing time per span, and the
// number of spans that sides wrote.
func reportTraces(kind string, spans []*trace.Span, size, sides int) error {
	if len(spans) == 0 {
		return errors.New("no trace spans were written")
	}
	report("story", "entry", "segment_"+kind, float64(size)/float64(len(spans)), "B/story", len(spans))
	report("story", "side", "written_"+kind, float64(sides), "stories", sides)
	batch := spans[:min(len(spans), trace.FlushSpans)]
	packer := trace.Packer{Host: "entry-1", Incarnation: 1}
	duration, err := meanTime(func() error { _, err := packer.Pack(time.Now(), batch); return err })
	report("story", "entry", "pack_"+kind, microseconds(duration)/float64(len(batch)), "us/story", len(batch))
	return err
}
