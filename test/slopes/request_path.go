package main

import (
	"path/filepath"

	"jacinthworks/test"
	"jacinthworks/test/drive"
)

// engineArgs configure the engines for requests and streams: fast prefill and capacity
// for all streams. The token gap differs between the sections.
var engineArgs = []string{
	"--model", drive.ModelService, "--prefill-rate", "1000000", "--slots", "2000", "--memory-tokens", "100000000",
	"--batch-cost", "0.0001", "--link-rate", "100000000", "--life", "10s",
}

// requestPath is a cluster with one process of each role between caller and upstream.
type requestPath struct {
	cluster                     *test.Cluster
	entry, app, prefill, decode test.Process
	caller                      *drive.Caller
}

// newRequestPath starts a request path whose engines have the given token gap.
func newRequestPath(b *environment, name, gap string) (*requestPath, error) {
	w, err := test.NewCluster(b.bin, filepath.Join(b.dir, name), []byte(drive.Table))
	if err != nil {
		return nil, err
	}
	p := &requestPath{cluster: w}
	if err := p.start(gap); err != nil {
		w.Close()
		return nil, err
	}
	p.caller = &drive.Caller{Base: "http://" + p.entry.Address.String(), Token: test.CallerToken}
	return p, nil
}

// start starts the stand-ins, the sides and the entry.
func (p *requestPath) start(gap string) error {
	for _, role := range []string{"prefill", "decode"} {
		args := append([]string{"engine", "--role", role, "--token-gap", gap}, engineArgs...)
		if _, err := p.cluster.Fake("engine-"+role, args...); err != nil {
			return err
		}
	}
	if _, err := p.cluster.Fake("server", "app"); err != nil {
		return err
	}
	var err error
	if p.app, err = p.cluster.Side("app-1", "salt-lake", "app", drive.AppService, "server"); err != nil {
		return err
	}
	if p.prefill, err = p.cluster.Side("prefill-1", "salt-lake", "prefill", drive.ModelService, "engine-prefill"); err != nil {
		return err
	}
	if p.decode, err = p.cluster.Side("decode-1", "salt-lake", "decode", drive.ModelService, "engine-decode"); err != nil {
		return err
	}
	p.entry, err = p.cluster.Entry("entry-1", "salt-lake")
	return err
}
