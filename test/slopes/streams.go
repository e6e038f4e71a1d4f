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

// streamSizes are the numbers of streams open at once, by bytes of prompt.
var streamSizes = map[int][]int{
	1000:   {0, 200, 400, 800},
	40_000: {0, 100, 200, 400},
}

const (
	slowGap     = "500ms"
	openTokens  = 600 // five minutes: longer than the run
	openWithin  = 20 * time.Second
	openAtOnce  = 50
	settleFor   = 3 * time.Second
	wordOfStory = "pedigree"
)

// promptOf gives a prompt of about the given size.
func promptOf(size int) string {
	return strings.Repeat(wordOfStory+" ", size/(len(wordOfStory)+1)+1)[:size]
}

// measureStreams gives the resident memory of an open stream.
func measureStreams(ctx context.Context, b *bench) error {
	for _, prompt := range []int{1000, 40_000} {
		if err := measureOpen(ctx, b, prompt, streamSizes[prompt]); err != nil {
			return err
		}
	}
	return nil
}

func measureOpen(ctx context.Context, b *bench, prompt int, sizes []int) error {
	p, err := newPath(b, fmt.Sprintf("streams-%d", prompt), slowGap)
	if err != nil {
		return err
	}
	defer p.world.Close()
	ctx, cancel := context.WithCancel(ctx)
	var streams group.Group
	defer streams.Wait()
	defer cancel()
	var open atomic.Int64
	text := promptOf(prompt)
	parts := map[string]test.Process{"entry": p.entry, "side_prefill": p.prefill, "side_decode": p.decode}
	resident := map[string][]point{}
	started := 0
	for _, size := range sizes {
		for ; started < size; started++ {
			streams.Go(ctx, "stream", func(ctx context.Context) error { return openStream(ctx, p, text, &open) })
			if started%openAtOnce == 0 {
				pause(ctx, 100*time.Millisecond)
			}
		}
		if err := untilOpen(ctx, &open, int64(size)); err != nil {
			return err
		}
		pause(ctx, settleFor)
		for role, at := range parts {
			u, err := look(at.PID)
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

// openStream keeps a stream open until the context ends.
func openStream(ctx context.Context, p *path, prompt string, open *atomic.Int64) error {
	first := true
	return p.caller.Stream(ctx, prompt, openTokens, func(string, int) error {
		if first {
			open.Add(1)
			first = false
		}
		return nil
	})
}

func untilOpen(ctx context.Context, open *atomic.Int64, want int64) error {
	until := time.Now().Add(openWithin)
	for open.Load() < want {
		if ctx.Err() != nil || time.Now().After(until) {
			return errors.Errorf("only %d of %d streams are open", open.Load(), want)
		}
		pause(ctx, 20*time.Millisecond)
	}
	return nil
}
