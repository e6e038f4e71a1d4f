package main

import (
	"context"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"jacinthworks/test"
	"jacinthworks/test/drive"
)

// roundCount is the number of rounds with calls on both paths. The paths alternate, so
// that both run under the same load of the machine.
const roundCount = 8

// measurePlain compares direct plain calls to the application server with the same
// calls through entry and side: sequential calls for the added latency, then concurrent
// calls for the rate.
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
	if _, err := w.Side("app-1", "salt-lake", "app", drive.AppService, "server"); err != nil {
		return err
	}
	e, err := w.Entry("entry-1", "salt-lake")
	if err != nil {
		return err
	}
	callers := []*drive.Caller{
		{Base: "http://" + server.Address.String(), Path: "/card"},
		{Base: "http://" + e.Address.String(), Token: test.CallerToken},
	}
	latencies := []*hdrhistogram.Histogram{drive.NewHistogram(), drive.NewHistogram()}
	for round := range roundCount + 1 {
		for i, c := range callers {
			r := drive.ClosedLoop(ctx, 1, a.Calls/roundCount, c.Plain)
			if r.Failed > 0 {
				return errors.Wrap(r.SampleError, "make sequential plain calls")
			}
			if round > 0 { // the first round warms up
				latencies[i].Merge(r.Latencies)
			}
		}
	}
	reportTimes("plain_call", latencies[0], latencies[1])
	var rates []float64
	for _, c := range callers {
		r := drive.ClosedLoop(ctx, a.Workers, a.Load, c.Plain)
		if r.Failed > 0 {
			return errors.Wrap(r.SampleError, "make concurrent plain calls")
		}
		rates = append(rates, r.Rate())
	}
	report("plain_call", "calls_per_s", rates[0], rates[1])
	return ctx.Err()
}

// reportTimes prints the median and the 99th percentile of both histograms.
func reportTimes(path string, direct, through *hdrhistogram.Histogram) {
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50_us", 50}, {"p99_us", 99}} {
		report(path, q.name, quantileMicros(direct, q.at), quantileMicros(through, q.at))
	}
}

// quantileMicros returns a percentile of a histogram of nanoseconds, in microseconds.
func quantileMicros(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
