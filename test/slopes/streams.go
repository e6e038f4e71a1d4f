package main

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/test"
)

// streamSizes holds the numbers of concurrent streams for each prompt size in bytes.
var streamSizes = map[int][]int{
	1000:   {0, 200, 400, 800},
	40_000: {0, 100, 200, 400},
}

const (
	slowGap     = "500ms" // token gap of the engines
	openTokens  = 600     // tokens per stream: five minutes at slowGap, which is longer than the run
	openTimeout = 20 * time.Second
	openBurst   = 50 // streams that are opened without a pause
	settleTime  = 3 * time.Second
	promptWord  = "pedigree"
)

// promptOfSize returns a prompt of size bytes.
func promptOfSize(size int) string {
	return strings.Repeat(promptWord+" ", size/(len(promptWord)+1)+1)[:size]
}

// measureStreams reports the resident memory per open stream.
func measureStreams(ctx context.Context, b *environment) error {
	for _, prompt := range []int{1000, 40_000} {
		if err := measureOpenStreams(ctx, b, prompt, streamSizes[prompt]); err != nil {
			return err
		}
	}
	return nil
}

// measureOpenStreams reports the resident memory per open stream for one prompt size.
func measureOpenStreams(ctx context.Context, b *environment, prompt int, sizes []int) error {
	p, err := newRequestPath(b, fmt.Sprintf("streams-%d", prompt), slowGap)
	if err != nil {
		return err
	}
	defer p.cluster.Close()
	ctx, cancel := context.WithCancel(ctx)
	var streams group.Group
	defer streams.Wait()
	defer cancel()
	var open atomic.Int64
	text := promptOfSize(prompt)
	processes := map[string]test.Process{"entry": p.entry, "side_prefill": p.prefill, "side_decode": p.decode}
	resident := map[string][]point{}
	started := 0
	for _, size := range sizes {
		for ; started < size; started++ {
			streams.Go(ctx, "stream", func(ctx context.Context) error { return openStream(ctx, p, text, &open) })
			if started%openBurst == 0 {
				sleep(ctx, 100*time.Millisecond)
			}
		}
		if err := waitUntilOpen(ctx, &open, int64(size)); err != nil {
			return err
		}
		sleep(ctx, settleTime)
		for role, process := range processes {
			u, err := readUsage(process.PID)
			if err != nil {
				return err
			}
			resident[role] = append(resident[role], point{float64(size), u.resident})
		}
	}
	for _, role := range []string{"entry", "side_prefill", "side_decode"} {
		reportLine("open_stream", role, fmt.Sprintf("resident_prompt_%d", prompt), "B", "stream", resident[role])
	}
	return nil
}

// openStream requests a stream, increments open at its first token and reads the stream
// until the context ends.
func openStream(ctx context.Context, p *requestPath, prompt string, open *atomic.Int64) error {
	first := true
	return p.caller.Stream(ctx, prompt, openTokens, func(string, int) error {
		if first {
			open.Add(1)
			first = false
		}
		return nil
	})
}

// waitUntilOpen waits until want streams are open. It fails after openTimeout.
func waitUntilOpen(ctx context.Context, open *atomic.Int64, want int64) error {
	deadline := time.Now().Add(openTimeout)
	for open.Load() < want {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return errors.Errorf("only %d of %d streams are open", open.Load(), want)
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return nil
}
