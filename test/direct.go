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
		if text, err := exec.Command("go", "build", "-o", out, from).CombinedOutput(); err != nil {
			return b, errors.Errorf("test: building %s: %s", from, text)
		}
	}
	return b, nil
}

// Cluster is a world for programs that measure: its processes reach each other
// without relays and log only what a deployment logs.
type Cluster struct{ w *world }

// Process is a process of a Direct world.
type Process struct {
	PID     int
	Address netip.AddrPort
	// Admin and Peers are where an entry answers operators and other entries.
	Admin, Peers netip.AddrPort
}

// NewCluster starts a platform with the given table. Logs and settings go to
// dir. The caller must Close it.
func NewCluster(bin Binaries, dir string, table []byte) (*Cluster, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	w := newWorld(bin, dir)
	w.direct = true
	if err := w.startPlatform(table); err != nil {
		w.close()
		return nil, err
	}
	return &Cluster{w: w}, nil
}

// Close ends what was started, by pid.
func (d *Cluster) Close() { d.w.close() }

// Fake starts a stand-in.
func (d *Cluster) Fake(name string, args ...string) (Process, error) {
	p, err := d.w.launch(name, d.w.bin.Fakes, args...)
	if err != nil {
		return Process{}, err
	}
	return running(p), nil
}

// Upstream makes an address known under a name, for Side.
func (d *Cluster) Upstream(name string, at netip.AddrPort) {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	if d.w.outside == nil {
		d.w.outside = make(map[string]netip.AddrPort)
	}
	d.w.outside[name] = at
}

// Side starts a side before an upstream, which is a stand-in's name or one
// made known by Upstream.
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
	if err := stepReady(d.w, []string{name}); err != nil {
		return Process{}, err
	}
	return d.Process(name)
}

// Process gives a process by its name; the platform's is "platform".
func (d *Cluster) Process(name string) (Process, error) {
	p, err := d.w.find(name)
	if err != nil {
		return Process{}, err
	}
	return running(p), nil
}

func running(p *process) Process {
	return Process{PID: p.command.Process.Pid, Address: p.address, Admin: p.admin, Peers: p.peers}
}

// String names the process for a message.
func (r Process) String() string { return fmt.Sprintf("pid %d at %s", r.PID, r.Address) }

// upstream gives the address of an upstream.
func (w *world) upstream(name string) (netip.AddrPort, error) {
	w.mu.Lock()
	at, found := w.outside[name]
	w.mu.Unlock()
	if found {
		return at, nil
	}
	p, err := w.find(name)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return p.address, nil
}

// logSettings is the log section of a settings file.
func (w *world) logSettings() string {
	level := "debug"
	if w.direct {
		level = "info"
	}
	return fmt.Sprintf("\n[log]\nlevel = %q\nformat = \"text\"\n", level)
}

// advertise gives the line of a settings file by which others find a process
// at its relay, and the relay. Both are empty where there are no relays.
func (w *world) advertise(key, name string) (string, *relay, error) {
	if w.direct {
		return "", nil, nil
	}
	r, err := w.link(name, "")
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("%s = %q\n", key, r.address()), r, nil
}
