package main

import (
	"context"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"jacinthworks/test"
	"jacinthworks/test/drive"
)

// rounds alternates the two ways, so that both meet the same machine.
const rounds = 8

// measurePlain compares plain calls at the application server with the same
// calls through entry and side: one after the other for the time added, then
// many at once for the rate.
func measurePlain(ctx context.Context, bin test.Binaries, dir string, a arguments) error {
	w, err := test.NewCluster(bin, filepath.Join(dir, "plain"), []byte(drive.Table))
	if err != nil {
		return err
	}
	defer w.Close()
	server, err := w.Fake("server", "app")
	if err != nil {
		return err
	}
	if _, err := w.Side("app-1", "salt-lake", "app", drive.App, "server"); err != nil {
		return err
	}
	e, err := w.Entry("entry-1", "salt-lake")
	if err != nil {
		return err
	}
	ways := []*drive.Caller{
		{Base: "http://" + server.Address.String(), Path: "/card"},
		{Base: "http://" + e.Address.String(), Token: test.CallerToken},
	}
	times := []*hdrhistogram.Histogram{drive.NewHistogram(), drive.NewHistogram()}
	for round := range rounds + 1 {
		for i, c := range ways {
			r := drive.ClosedLoop(ctx, 1, a.Calls/rounds, c.Plain)
			if r.Failed > 0 {
				return errors.Wrap(r.First, "plain call")
			}
			if round > 0 { // the first warms up
				times[i].Merge(r.Latencies)
			}
		}
	}
	reportTimes("plain_call", times[0], times[1])
	var rates []float64
	for _, c := range ways {
		r := drive.ClosedLoop(ctx, a.Workers, a.Load, c.Plain)
		if r.Failed > 0 {
			return errors.Wrap(r.First, "plain calls at once")
		}
		rates = append(rates, r.Rate())
	}
	report("plain_call", "calls_per_s", rates[0], rates[1])
	return ctx.Err()
}

// reportTimes prints median and 99th percentile, and what is added to them.
func reportTimes(path string, direct, through *hdrhistogram.Histogram) {
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50_us", 50}, {"p99_us", 99}} {
		report(path, q.name, micros(direct, q.at), micros(through, q.at))
	}
}

func micros(h *hdrhistogram.Histogram, at float64) float64 {
	return float64(h.ValueAtQuantile(at)) / 1000
}
