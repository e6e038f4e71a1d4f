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

// tokenGap is that of an engine under load, at the letter's 48 ms target with
// room for the rest.
const tokenGap = 20 * time.Millisecond

// engines are a prefill and a decode stand-in in this process, so that the
// time at which a token leaves the engine is known on the clock by which its
// arrival is taken.
type engines struct {
	prefill, decode serve.Server
	at              [2]netip.AddrPort
	left            departures
}

func (e *engines) start(ctx context.Context) error {
	settings := model.Settings{
		Model: drive.Model, PrefillRate: 1_000_000, Slots: 256, MemoryTokens: 10_000_000,
		TokenGap: tokenGap, BatchCost: 0.0001, LinkRate: 100_000_000, KVLifetime: 10 * time.Second,
	}
	settings.Role = domain.RolePrefill
	e.prefill.Handler = &model.Engine{Settings: settings}
	settings.Role = domain.RoleDecode
	e.decode.Handler = e.left.around(&model.Engine{Settings: settings})
	var err error
	for i, s := range []*serve.Server{&e.prefill, &e.decode} {
		if e.at[i], err = s.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			return err
		}
	}
	return nil
}

func (e *engines) stop() {
	e.prefill.Stop()
	e.decode.Stop()
}

// measureTokens compares how long a token takes from the decode engine to a
// caller that asks the engine itself and to one that asks the entry.
func measureTokens(ctx context.Context, bin test.Binaries, dir string, a arguments) error {
	var e engines
	if err := e.start(ctx); err != nil {
		return err
	}
	defer e.stop()
	// Direct streams come first: a side cancels what its engine runs and it
	// did not order.
	direct, err := e.direct(ctx, a)
	if err != nil {
		return err
	}
	w, err := test.NewCluster(bin, filepath.Join(dir, "tokens"), []byte(drive.Table))
	if err != nil {
		return err
	}
	defer w.Close()
	for i, role := range []string{"prefill", "decode"} {
		w.Upstream("engine-"+role, e.at[i])
		if _, err := w.Side(role+"-1", "salt-lake", role, drive.Model, "engine-"+role); err != nil {
			return err
		}
	}
	entry, err := w.Entry("entry-1", "salt-lake")
	if err != nil {
		return err
	}
	caller := &drive.Caller{Base: "http://" + entry.Address.String(), Token: test.CallerToken}
	through, err := e.through(ctx, a, caller)
	if err != nil {
		return err
	}
	reportTimes("token", direct, through)
	return ctx.Err()
}

// direct asks the engines as a side does.
func (e *engines) direct(ctx context.Context, a arguments) (*hdrhistogram.Histogram, error) {
	prefill, decode := &engine.HTTPModel{Base: e.at[0]}, &engine.HTTPModel{Base: e.at[1]}
	took := newArrivals()
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
		return decode.Decode(ctx, o, func(t engine.Token) error { return took.add(e.left.since(id, t.Offset)) })
	})
	return took.times, errors.Wrap(r.First, "direct streams")
}

// through asks the entry.
func (e *engines) through(ctx context.Context, a arguments, c *drive.Caller) (*hdrhistogram.Histogram, error) {
	took := newArrivals()
	r := drive.ClosedLoop(ctx, a.Streams, a.Streams, func(ctx context.Context) error {
		next := 0
		return c.Stream(ctx, "pedigree", a.Tokens, func(request string, count int) error {
			for range count {
				if err := took.add(e.left.since(domain.RequestID(request), next)); err != nil {
					return err
				}
				next++
			}
			return nil
		})
	})
	return took.times, errors.Wrap(r.First, "streams")
}
