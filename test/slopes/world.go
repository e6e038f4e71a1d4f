package main

import (
	"path/filepath"

	"jacinthworks/test"
	"jacinthworks/test/drive"
)

// The engines of the requests and streams: fast prefill, room for all, and a
// token gap of its own for each section.
var engineArgs = []string{
	"--model", drive.Model, "--prefill-rate", "1000000", "--slots", "2000", "--memory-tokens", "100000000",
	"--batch-cost", "0.0001", "--link-rate", "100000000", "--life", "10s",
}

// path is one of each process, from caller to upstream.
type path struct {
	world                       *test.Cluster
	entry, app, prefill, decode test.Process
	caller                      *drive.Caller
}

// newPath starts a path whose engines give a token every gap.
func newPath(b *bench, name, gap string) (*path, error) {
	w, err := test.NewCluster(b.bin, filepath.Join(b.dir, name), []byte(drive.Table))
	if err != nil {
		return nil, err
	}
	p := &path{world: w}
	if err := p.start(gap); err != nil {
		w.Close()
		return nil, err
	}
	p.caller = &drive.Caller{Base: "http://" + p.entry.Address.String(), Token: test.CallerToken}
	return p, nil
}

func (p *path) start(gap string) error {
	for _, role := range []string{"prefill", "decode"} {
		args := append([]string{"engine", "--role", role, "--token-gap", gap}, engineArgs...)
		if _, err := p.world.Fake("engine-"+role, args...); err != nil {
			return err
		}
	}
	if _, err := p.world.Fake("server", "app"); err != nil {
		return err
	}
	var err error
	if p.app, err = p.world.Side("app-1", "salt-lake", "app", drive.App, "server"); err != nil {
		return err
	}
	if p.prefill, err = p.world.Side("prefill-1", "salt-lake", "prefill", drive.Model, "engine-prefill"); err != nil {
		return err
	}
	if p.decode, err = p.world.Side("decode-1", "salt-lake", "decode", drive.Model, "engine-decode"); err != nil {
		return err
	}
	p.entry, err = p.world.Entry("entry-1", "salt-lake")
	return err
}
