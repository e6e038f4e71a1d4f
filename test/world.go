// Package test runs scenarios: real processes of ours and of the stand-ins on
// loopback, told in a small language (testscript) what to suffer, and judged by
// a checker that reads the callers' view, the upstreams' and the stories.
//
// # Usage
//
//	go test ./test                      # every scenario in scripts/
//	go test ./test -run Scenarios/kill  # those whose name matches
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
)

// Binaries are the programs under test.
type Binaries struct{ Router, Fakes string }

// WaitTimeout bounds every wait of a scenario for something that must come.
const WaitTimeout = 20 * time.Second

// process is one running program.
type process struct {
	name    string
	args    []string
	command *exec.Cmd
	address netip.AddrPort
	admin   netip.AddrPort
	peers   netip.AddrPort
	done    chan struct{}
}

// world is the processes and relays of one scenario.
type world struct {
	bin    Binaries
	dir    string
	ctx    context.Context
	stop   context.CancelFunc
	relays group.Group

	mu        sync.Mutex
	processes map[string]*process
	links     map[string]*relay // by "to", or "from>to" for the platform
	calls     map[string]*call
	order     []string     // names of calls as made
	faults    atomic.Int32 // brought about, also at once
	before    upstreams
	edits     map[string]*edit
	watch     *watcher
	restarts  sync.Mutex
	drills    map[string]string // of processes, until they are restarted
	entries   []string
	engines   []string
	apps      []string

	// worst and violations are what the scenario says of each promise.
	worst      map[Promise]time.Duration
	violations map[Promise]int
	// direct says that processes reach each other without relays, and log only
	// what a deployment logs.
	direct bool
	// outside are upstreams that the world did not start, by name.
	outside map[string]netip.AddrPort
}

func newWorld(bin Binaries, dir string) *world {
	ctx, stop := context.WithCancel(context.Background())
	return &world{
		bin: bin, dir: dir, ctx: ctx, stop: stop, processes: make(map[string]*process),
		links: make(map[string]*relay), calls: make(map[string]*call),
		worst: make(map[Promise]time.Duration), violations: make(map[Promise]int),
	}
}

// close ends what the scenario started, by pid.
func (w *world) close() {
	for _, c := range w.calls {
		c.hangUp()
	}
	for _, p := range w.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
	w.stop()
	w.relays.Wait()
}

// launch starts a program and waits for its listening line.
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
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	first := make(chan string, 1)
	go func() { // ends with the process; its end is p.done
		if lines.Scan() {
			first <- lines.Text()
		}
		_, _ = io.Copy(io.Discard, out)
		_ = p.command.Wait()
		close(p.done)
	}()
	select {
	case line := <-first:
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return nil, errors.Errorf("%s printed %q", name, line)
		}
		p.address, err = netip.ParseAddrPort(fields[1])
		if len(fields) == 6 { // listening A admin B peers C
			p.admin, p.peers = netip.MustParseAddrPort(fields[3]), netip.MustParseAddrPort(fields[5])
		}
	case <-p.done:
		return nil, errors.Errorf("%s ended before it listened", name)
	case <-time.After(WaitTimeout):
		return nil, errors.Errorf("%s did not listen", name)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[name] = p
	return p, err
}

// link gives the relay under a name, making it at first use.
func (w *world) link(name, user string) (*relay, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.links[name]; r != nil {
		return r, nil
	}
	r, err := newRelay(user)
	if err != nil {
		return nil, err
	}
	w.links[name] = r
	w.relays.Go(w.ctx, name, r.run)
	return r, nil
}

func (w *world) find(name string) (*process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[name]
	if p == nil {
		return nil, errors.Errorf("no process %q", name)
	}
	return p, nil
}

// settings writes a settings file and gives its path.
func (w *world) settings(name, text string) (string, error) {
	path := filepath.Join(w.dir, name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// startPlatform starts the stand-in for the platform with the given table.
func (w *world) startPlatform(table []byte) error {
	p, err := w.launch("platform", w.bin.Fakes, "platform", "--write-rate", "0", "--read-rate", "0")
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
		return errors.Errorf("the platform answered the table with %s", answer.Status)
	}
	return nil
}

// platformFor gives the address at which one process finds the platform.
func (w *world) platformFor(name string) (netip.AddrPort, error) {
	if w.direct {
		p, err := w.find("platform")
		if err != nil {
			return netip.AddrPort{}, err
		}
		return p.address, nil
	}
	r, err := w.link(name+">platform", name)
	if err != nil {
		return netip.AddrPort{}, err
	}
	p, err := w.find("platform")
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.aim(p.address)
	return r.address(), nil
}

// startSide starts a side before an upstream that runs.
func (w *world) startSide(name, zone, role, service, upstream string) error {
	at, err := w.upstream(upstream)
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
	path, err := w.settings(name, fmt.Sprintf(
		"name = %q\nzone = %q\nrole = %q\nservice = %q\nlisten = \"127.0.0.1:0\"\n%supstream = %q\nplatform = %q\n%s",
		name, zone, role, service, advertise, at, platform, w.logSettings()))
	if err != nil {
		return err
	}
	p, err := w.launch(name, w.bin.Router, append([]string{"side", "--settings", path}, w.drill(name)...)...)
	if err != nil {
		return err
	}
	if r != nil {
		r.aim(p.address)
	}
	return nil
}

// drill gives a process's drill as arguments.
func (w *world) drill(name string) []string {
	if w.drills[name] == "" {
		return nil
	}
	return []string{"--drill", w.drills[name]}
}

// Tokens of the scenarios' callers and operators.
const (
	callerToken   = "caller-token-of-scenarios"
	otherToken    = "other-caller-of-scenarios"
	operatorToken = "operator-token-of-scenarios"
	rivalToken    = "rival-operator-of-scenarios"
)

// startEntry starts an entry; the others in the world are its peers.
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
		if other != name && !w.direct { // else they meet by their record
			r, err := w.link(other, "")
			if err != nil {
				return err
			}
			peers = append(peers, fmt.Sprintf("%q", r.address()))
		}
	}
	path, err := w.settings(name, fmt.Sprintf(
		"name = %q\nzone = %q\nlisten = \"127.0.0.1:0\"\nadmin_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n%speers = [%s]\nplatform = %q\n%s"+
			"\n[[caller]]\naccount = \"first\"\ntoken = %q\n\n[[caller]]\naccount = \"second\"\ntoken = %q\n"+
			"\n[[operator]]\nname = \"asha\"\ntoken = %q\nteams = [\"appraisal\", \"marketplace\"]\n"+
			"\n[[operator]]\nname = \"bola\"\ntoken = %q\nteams = [\"appraisal\", \"marketplace\"]\n",
		name, zone, advertise, strings.Join(peers, ", "), platform, w.logSettings(),
		callerToken, otherToken, operatorToken, rivalToken))
	if err != nil {
		return err
	}
	p, err := w.launch(name, w.bin.Router, append([]string{"entry", "--settings", path}, w.drill(name)...)...)
	if err != nil {
		return err
	}
	if own != nil {
		own.aim(p.peers)
	}
	return nil
}

// restart starts a process again as it was started before. A stand-in comes
// back on its own address, one of ours behind its relay.
func (w *world) restart(name string) error {
	w.restarts.Lock() // two faults may end the same process
	defer w.restarts.Unlock()
	old, err := w.find(name)
	if err != nil {
		return err
	}
	select {
	case <-old.done:
	default:
		return nil
	}
	args := old.args[1:]
	if old.args[0] == w.bin.Fakes {
		args = append(args[:1:1], "--listen", old.address.String())
		args = append(args, old.args[2:]...)
	}
	if i := slices.Index(args, "--drill"); i >= 0 {
		args = args[:i] // a drill happens once
	}
	p, err := w.launch(name, old.args[0], args...)
	if err != nil || old.args[0] == w.bin.Fakes {
		return err
	}
	r, err := w.link(name, "")
	if err != nil {
		return err
	}
	if p.peers.IsValid() {
		r.aim(p.peers)
	} else {
		r.aim(p.address)
	}
	return nil
}

// getJSON reads an address into a value.
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
