// Package test runs scenarios: processes of the router and of the fakes on loopback.
// A script in the testscript language injects faults, and a checker compares what
// callers received with what upstreams ran and with the entries' traces.
//
// # Usage
//
//	go test ./test                      # every scenario in scripts/
//	go test ./test -run Scenarios/kill  # scenarios with a matching name
//
// docs/scenarios.md lists the commands of the language.
package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/test/started"
)

// Binaries are the paths of the programs under test.
type Binaries struct{ Router, Fakes string }

// WaitTimeout bounds each wait of a scenario for an event.
const WaitTimeout = 20 * time.Second

// process is a running program.
type process struct {
	name    string
	args    []string
	command *exec.Cmd
	address netip.AddrPort
	admin   netip.AddrPort
	peers   netip.AddrPort
	done    chan struct{}
}

// world holds the processes and network proxies of one scenario.
type world struct {
	binaries   Binaries
	dir        string
	ctx        context.Context
	stop       context.CancelFunc
	background group.Group

	mu             sync.Mutex
	processes      map[string]*process
	proxies        map[string]*proxy // by target, or "source>platform" for connections to the platform
	calls          map[string]*call
	order          []string     // names of the calls, in the order in which they were made
	faults         atomic.Int32 // number of injected faults
	runsBefore     upstreamRuns
	edits          map[string]*edit
	tableWatcher   *watcher          // nil unless the command watch has run
	restartMu      sync.Mutex        // held while a process is restarted
	injectedFaults map[string]string // value of --drill by process, removed when the process restarts
	entries        []string
	engines        []string
	apps           []string

	// longestTimes holds the longest time that each promise took to hold in this scenario, and
	// violations how often each promise was broken.
	longestTimes map[Promise]time.Duration
	violations   map[Promise]int
	// withoutProxies reports whether processes connect to each other directly and log
	// at the level of a deployment.
	withoutProxies bool
	// stopWithin is the setting stop_within of sides and entries; empty for their default.
	stopWithin string
	// external holds the addresses of upstreams that the world did not start, by name.
	external map[string]netip.AddrPort
}

func newWorld(binaries Binaries, dir string) *world {
	ctx, stop := context.WithCancel(context.Background())
	return &world{
		binaries: binaries, dir: dir, ctx: ctx, stop: stop, processes: make(map[string]*process),
		proxies: make(map[string]*proxy), calls: make(map[string]*call),
		longestTimes: make(map[Promise]time.Duration), violations: make(map[Promise]int),
	}
}

// close kills the processes that the scenario started, by PID.
func (w *world) close() {
	for _, c := range w.calls {
		c.cancelAndWait()
	}
	for _, p := range w.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
	w.stop()
	w.background.Wait()
}

// launch starts a program and waits until it prints the addresses that it listens on.
func (w *world) launch(name string, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: name, args: append([]string{program}, args...), done: make(chan struct{})}
	p.command = exec.Command(program, args...)
	p.command.Stderr = log
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := started.Start(name, p.command); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	first := make(chan string, 1)
	go func() { // ends when the process exits; closes p.done
		if lines.Scan() {
			first <- lines.Text()
		}
		_, _ = io.Copy(io.Discard, out)
		_ = p.command.Wait()
		close(p.done)
	}()
	listening := false
	defer func() {
		if !listening { // close would not find it
			_ = p.command.Process.Kill()
			<-p.done
		}
	}()
	select {
	case line := <-first:
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return nil, errors.Errorf("start %s: read the addresses from %q", name, line)
		}
		p.address, err = netip.ParseAddrPort(fields[1])
		if len(fields) == 6 { // listening A admin B peers C
			p.admin, p.peers = netip.MustParseAddrPort(fields[3]), netip.MustParseAddrPort(fields[5])
		}
	case <-p.done:
		return nil, errors.Errorf("start %s: the process exited before it listened", name)
	case <-time.After(WaitTimeout):
		return nil, errors.Errorf("start %s: the process did not listen in time", name)
	}
	if err != nil {
		return nil, err
	}
	listening = true
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[name] = p
	return p, nil
}

// proxyFor returns the proxy with this name and starts it at first use. client is the
// only process that connects to it, or empty for any number of processes.
func (w *world) proxyFor(name, client string) (*proxy, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.proxies[name]; r != nil {
		return r, nil
	}
	r, err := newProxy(client)
	if err != nil {
		return nil, err
	}
	w.proxies[name] = r
	w.background.Go(w.ctx, name, r.run)
	return r, nil
}

// findProcess returns the process with a name.
func (w *world) findProcess(name string) (*process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[name]
	if p == nil {
		return nil, errors.Errorf("no process %q", name)
	}
	return p, nil
}

// writeSettings writes a settings file and returns its path.
func (w *world) writeSettings(name, text string) (string, error) {
	path := filepath.Join(w.dir, name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// startPlatform starts the fake platform and stores the given table.
func (w *world) startPlatform(table []byte) error {
	p, err := w.launch("platform", w.binaries.Fakes, "platform", "--write-rate", "0", "--read-rate", "0")
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+p.address.String()+"/objects/table", bytes.NewReader(table))
	if err != nil {
		return err
	}
	request.Header.Set("If-None-Match", "*")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= 300 {
		return errors.Errorf("store the table at the platform: status %s", answer.Status)
	}
	return nil
}

// platformFor returns the address at which a process reaches the platform.
func (w *world) platformFor(name string) (netip.AddrPort, error) {
	if w.withoutProxies {
		p, err := w.findProcess("platform")
		if err != nil {
			return netip.AddrPort{}, err
		}
		return p.address, nil
	}
	r, err := w.proxyFor(name+">platform", name)
	if err != nil {
		return netip.AddrPort{}, err
	}
	p, err := w.findProcess("platform")
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.setTarget(p.address)
	return r.address(), nil
}

// startSide starts a side for an upstream that is already running.
func (w *world) startSide(name, zone, role, service, upstream string) error {
	upstreamAddress, err := w.upstreamAddr(upstream)
	if err != nil {
		return err
	}
	platform, err := w.platformFor(name)
	if err != nil {
		return err
	}
	advertise, r, err := w.advertise("advertise", name)
	if err != nil {
		return err
	}
	path, err := w.writeSettings(name, fmt.Sprintf(
		"name = %q\nzone = %q\nrole = %q\nservice = %q\nlisten = \"127.0.0.1:0\"\n%supstream = %q\nplatform = %q\n%s",
		name, zone, role, service, advertise, upstreamAddress, platform, w.logSettings()))
	if err != nil {
		return err
	}
	p, err := w.launch(name, w.binaries.Router, append([]string{"side", "--settings", path}, w.faultArgs(name)...)...)
	if err != nil {
		return err
	}
	if r != nil {
		r.setTarget(p.address)
	}
	return nil
}

// faultArgs returns the arguments that inject the fault of a process.
func (w *world) faultArgs(name string) []string {
	if w.injectedFaults[name] == "" {
		return nil
	}
	return []string{"--drill", w.injectedFaults[name]}
}

// Tokens of the callers and operators in scenarios.
const (
	callerToken   = "caller-token-of-scenarios"
	otherToken    = "other-caller-of-scenarios"
	operatorToken = "operator-token-of-scenarios"
	rivalToken    = "rival-operator-of-scenarios"
)

// startEntry starts an entry. All other entries of the world are its peers.
func (w *world) startEntry(name, zone string) error {
	platform, err := w.platformFor(name)
	if err != nil {
		return err
	}
	advertise, own, err := w.advertise("peer_advertise", name)
	if err != nil {
		return err
	}
	var peers []string
	for _, other := range w.entries {
		if other != name && !w.withoutProxies { // without proxies, entries find their peers by the records in the store
			r, err := w.proxyFor(other, "")
			if err != nil {
				return err
			}
			peers = append(peers, fmt.Sprintf("%q", r.address()))
		}
	}
	path, err := w.writeSettings(name, fmt.Sprintf(
		"name = %q\nzone = %q\nlisten = \"127.0.0.1:0\"\nadmin_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n%speers = [%s]\nplatform = %q\n%s"+
			"\n[[caller]]\naccount = \"first\"\ntoken = %q\n\n[[caller]]\naccount = \"second\"\ntoken = %q\n"+
			"\n[[operator]]\nname = \"asha\"\ntoken = %q\nteams = [\"appraisal\", \"marketplace\"]\n"+
			"\n[[operator]]\nname = \"bola\"\ntoken = %q\nteams = [\"appraisal\", \"marketplace\"]\n",
		name, zone, advertise, strings.Join(peers, ", "), platform, w.logSettings(),
		callerToken, otherToken, operatorToken, rivalToken))
	if err != nil {
		return err
	}
	p, err := w.launch(name, w.binaries.Router, append([]string{"entry", "--settings", path}, w.faultArgs(name)...)...)
	if err != nil {
		return err
	}
	if own != nil {
		own.setTarget(p.peers)
	}
	return nil
}

// restart starts a process that has exited with the arguments of its first start. A fake
// listens on its previous address; a side or entry gets a new address behind its proxy.
func (w *world) restart(name string) error {
	w.restartMu.Lock() // two faults may kill the same process
	defer w.restartMu.Unlock()
	old, err := w.findProcess(name)
	if err != nil {
		return err
	}
	select {
	case <-old.done:
	default:
		return nil
	}
	args := old.args[1:]
	if old.args[0] == w.binaries.Fakes {
		args = append(args[:1:1], "--listen", old.address.String())
		args = append(args, old.args[2:]...)
	}
	if i := slices.Index(args, "--drill"); i >= 0 {
		args = args[:i] // the fault is injected into the first process only
	}
	p, err := w.launch(name, old.args[0], args...)
	if err != nil || old.args[0] == w.binaries.Fakes {
		return err
	}
	r, err := w.proxyFor(name, "")
	if err != nil {
		return err
	}
	if p.peers.IsValid() {
		r.setTarget(p.peers)
	} else {
		r.setTarget(p.address)
	}
	return nil
}

// getJSON sends a GET request and decodes the JSON response.
func getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(into)
}
