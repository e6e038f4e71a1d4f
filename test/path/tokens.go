package main

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/model"
	"jacinthworks/fakes/serve"
	"jacinthworks/test"
	"jacinthworks/test/drive"
)

// tokenGap is the token gap of an engine under load. It is well below the target of
// 48 ms, which leaves room for the latency of entry and side.
const tokenGap = 20 * time.Millisecond

// engines are stand-ins for a prefill and a decode engine that run in this process, so
// that the send time and the receive time of a token are measured by the same clock.
type engines struct {
	prefill, decode serve.Server
	addresses       [2]netip.AddrPort
	sends           sendTimes
}

func (e *engines) start(ctx context.Context) error {
	settings := model.Settings{
		Model: drive.ModelService, PrefillRate: 1_000_000, Slots: 256, MemoryTokens: 10_000_000,
		TokenGap: tokenGap, BatchCost: 0.0001, LinkRate: 100_000_000, KVLifetime: 10 * time.Second,
	}
	settings.Role = domain.RolePrefill
	e.prefill.Handler = &model.Engine{Settings: settings}
	settings.Role = domain.RoleDecode
	e.decode.Handler = e.sends.wrap(&model.Engine{Settings: settings})
	var err error
	for i, s := range []*serve.Server{&e.prefill, &e.decode} {
		if e.addresses[i], err = s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			return err
		}
	}
	return nil
}

func (e *engines) stop() {
	e.prefill.Stop()
	e.decode.Stop()
}

// measureTokens compares the latency of tokens from the decode engine to a caller of the
// engine with their latency to a caller of an entry.
func measureTokens(ctx context.Context, bin test.Binaries, dir string, a arguments) error {
	var e engines
	if err := e.start(ctx); err != nil {
		return err
	}
	defer e.stop()
	// Direct streams run before the sides start, since a side cancels all runs of
	// its engine that it did not request.
	direct, err := e.measureDirect(ctx, a)
	if err != nil {
		return err
	}
	w, err := test.NewCluster(bin, filepath.Join(dir, "tokens"), []byte(drive.Table))
	if err != nil {
		return err
	}
	defer w.Close()
	for i, role := range []string{"prefill", "decode"} {
		w.Upstream("engine-"+role, e.addresses[i])
		if _, err := w.Side(role+"-1", "salt-lake", role, drive.ModelService, "engine-"+role); err != nil {
			return err
		}
	}
	entry, err := w.Entry("entry-1", "salt-lake")
	if err != nil {
		return err
	}
	caller := &drive.Caller{Base: "http://" + entry.Address.String(), Token: test.CallerToken}
	through, err := e.measureThrough(ctx, a, caller)
	if err != nil {
		return err
	}
	reportTimes("token", direct, through)
	return ctx.Err()
}

// measureDirect measures streams requested from the engines directly, as a side does.
func (e *engines) measureDirect(ctx context.Context, a arguments) (*hdrhistogram.Histogram, error) {
	prefill, decode := &engine.HTTPModel{Addr: e.addresses[0]}, &engine.HTTPModel{Addr: e.addresses[1]}
	results := newLatencies()
	numbers := make(chan int, a.Streams)
	for n := range a.Streams {
		numbers <- n
	}
	r := drive.ClosedLoop(ctx, a.Streams, a.Streams, func(ctx context.Context) error {
		id := domain.RequestID(fmt.Sprintf("direct.%d", <-numbers))
		kv, err := prefill.Prefill(ctx, engine.PrefillRequest{Request: id, Attempt: 1, Prompt: "pedigree", PromptTokens: 8})
		if err != nil {
			return err
		}
		o := engine.DecodeRequest{Request: id, Attempt: 1, KV: kv, MaxTokens: a.Tokens}
		return decode.Decode(ctx, o, func(t engine.Token) error { return results.add(e.sends.elapsed(id, t.Offset)) })
	})
	return results.histogram, errors.Wrap(r.SampleError, "read direct streams")
}

// measureThrough measures streams requested from the entry.
func (e *engines) measureThrough(ctx context.Context, a arguments, c *drive.Caller) (*hdrhistogram.Histogram, error) {
	results := newLatencies()
	r := drive.ClosedLoop(ctx, a.Streams, a.Streams, func(ctx context.Context) error {
		offset := 0
		return c.Stream(ctx, "pedigree", a.Tokens, func(request string, count int) error {
			for range count {
				if err := results.add(e.sends.elapsed(domain.RequestID(request), offset)); err != nil {
					return err
				}
				offset++
			}
			return nil
		})
	})
	return results.histogram, errors.Wrap(r.SampleError, "read streams through the entry")
}
