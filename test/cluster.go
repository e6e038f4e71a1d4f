package test

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// CallerToken is the bearer token of the callers in every world.
const CallerToken = callerToken

// Build builds the programs under test into dir.
func Build(dir string) (Binaries, error) {
	b := Binaries{Router: filepath.Join(dir, "jacinthworks"), Fakes: filepath.Join(dir, "fakes")}
	for out, from := range map[string]string{b.Router: "jacinthworks", b.Fakes: "jacinthworks/fakes"} {
		args := []string{"build", "-o", out, from}
		if os.Getenv(raceVariable) != "" {
			args = []string{"build", "-race", "-o", out, from}
		}
		if text, err := exec.Command("go", args...).CombinedOutput(); err != nil {
			return b, errors.Errorf("test: build %s: %s", from, text)
		}
	}
	return b, nil
}

// raceVariable is the environment variable that has the programs built with the race detector.
const raceVariable = "RACE"

// Cluster is a world for programs that measure. Its processes connect to each other without
// proxies and log at the level of a deployment.
type Cluster struct{ w *world }

// Process is a process of a Cluster.
type Process struct {
	PID     int
	Address netip.AddrPort
	// Admin and Peers are the addresses at which an entry serves operators and other entries.
	Admin, Peers netip.AddrPort
}

// NewCluster starts a platform with the given table. Logs and settings are written to dir.
// The caller must call Close.
func NewCluster(binaries Binaries, dir string, table []byte) (*Cluster, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	w := newWorld(binaries, dir)
	w.withoutProxies = true
	if err := w.startPlatform(table); err != nil {
		w.close()
		return nil, err
	}
	return &Cluster{w: w}, nil
}

// Close kills the processes that the cluster started, by PID.
func (d *Cluster) Close() { d.w.close() }

// Fake starts a fake.
func (d *Cluster) Fake(name string, args ...string) (Process, error) {
	p, err := d.w.launch(name, d.w.binaries.Fakes, args...)
	if err != nil {
		return Process{}, err
	}
	return exportProcess(p), nil
}

// Upstream registers the address of an upstream under a name, for Side.
func (d *Cluster) Upstream(name string, at netip.AddrPort) {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	if d.w.external == nil {
		d.w.external = make(map[string]netip.AddrPort)
	}
	d.w.external[name] = at
}

// Side starts a side for an upstream, which is the name of a fake or a name registered by
// Upstream.
func (d *Cluster) Side(name, zone, role, service, upstream string) (Process, error) {
	if err := d.w.startSide(name, zone, role, service, upstream); err != nil {
		return Process{}, err
	}
	return d.Process(name)
}

// Entry starts an entry and waits until it is ready.
func (d *Cluster) Entry(name, zone string) (Process, error) {
	if err := d.w.startEntry(name, zone); err != nil {
		return Process{}, err
	}
	if err := cmdReady(d.w, []string{name}); err != nil {
		return Process{}, err
	}
	return d.Process(name)
}

// Process returns a process by its name. The platform's name is "platform".
func (d *Cluster) Process(name string) (Process, error) {
	p, err := d.w.findProcess(name)
	if err != nil {
		return Process{}, err
	}
	return exportProcess(p), nil
}

func exportProcess(p *process) Process {
	return Process{PID: p.command.Process.Pid, Address: p.address, Admin: p.admin, Peers: p.peers}
}

// String returns the PID and address of the process.
func (r Process) String() string { return fmt.Sprintf("pid %d at %s", r.PID, r.Address) }

// upstreamAddr returns the address of an upstream.
func (w *world) upstreamAddr(name string) (netip.AddrPort, error) {
	w.mu.Lock()
	at, found := w.external[name]
	w.mu.Unlock()
	if found {
		return at, nil
	}
	p, err := w.findProcess(name)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return p.address, nil
}

// logSettings returns the [log] section of a settings file, and the [timings] section if the world has one.
func (w *world) logSettings() string {
	level := "debug"
	if w.withoutProxies {
		level = "info"
	}
	settings := fmt.Sprintf("\n[log]\nlevel = %q\nformat = \"text\"\n", level)
	if w.stopWithin != "" {
		settings += fmt.Sprintf("\n[timings]\nstop_within = %q\n", w.stopWithin)
	}
	return settings
}

// advertise returns the line of a settings file by which a process advertises the address of
// its proxy, and the proxy. Both are empty in a world without proxies.
func (w *world) advertise(key, name string) (string, *proxy, error) {
	if w.withoutProxies {
		return "", nil, nil
	}
	r, err := w.proxyFor(name, "")
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("%s = %q\n", key, r.address()), r, nil
}
