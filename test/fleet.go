package test

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/conns"
	"jacinthworks/group"
	"jacinthworks/platform/fake"
	"jacinthworks/test/started"
)

// fleet is a set of entries without sides, each in a process of its own, with fakes of the
// platform's store and of the servers. The fakes run in the test process, behind proxies.
type fleet struct {
	w     *world
	store *fake.Store
	// run is in the ids of servers, so that those of fleets that run at once differ.
	run string

	mu         sync.Mutex
	servers    map[string]*serverSlot
	allServers []*fake.Server // every server that was started
	entries    []*entryHost
	periods    []disruptionPeriod
	calls      []fleetCall
	// resumptions says of each stream that a caller resumed until it went on or could not whether it did.
	resumptions []bool
	leaves      []leaveRecord
	configs     []configRecord
	limits      []limitPeriod

	fleetOptions
	// deadlyBegun is set once callers send deadly streams.
	deadlyBegun atomic.Bool
}

// fleetOptions is what a fleet has beyond entries and servers.
type fleetOptions struct {
	// eras means that the store states its era in its answers.
	eras bool
	// versions means that engines are of two software versions, and callers resume broken streams.
	versions bool
	// deadly means that engines crash on the deadly part.
	deadly bool
	// fleetKills means that all entries are killed while slow streams run, whose callers resume them, and
	// onlyFleetKills that nothing else happens.
	fleetKills, onlyFleetKills bool
	// entryCount is the number of entries, if not fleetEntries.
	entryCount int
}

// serverSlot is a server name and the server that runs under it now. Each start gets an id of
// its own.
type serverSlot struct {
	name, service, stage string
	startCount           int
	current              *fake.Server
	proxy                *proxy
}

// entryHost is a host on which entry processes run one after the other.
type entryHost struct {
	name  string
	index int
	proxy *proxy // to the store
	// repeats is the value of the setting repeats.fixed, which a reload changes.
	repeats int
	// restartMu is held while the entry is stopped and started.
	restartMu sync.Mutex

	mu           sync.Mutex
	incarnations []*incarnation
	// ready reports whether the load balancer routes new connections to the host.
	ready bool
}

// incarnation is one process on an entry host.
type incarnation struct {
	number        int
	command       *exec.Cmd
	listen, ready netip.AddrPort
	started       chan struct{}
	done          chan struct{}

	mu sync.Mutex
	// acceptCounts and endCounts are how often the log says that a request was accepted and
	// that it ended, by request ID.
	acceptCounts map[string]int
	endCounts    map[string]int
	killed       bool
	panics       int // panics in handlers, by the log
	// logPath is the file of the process's log and standard error, exitState how it exited.
	logPath, exitState string
	// stopRequestedAt is when the process received SIGTERM, exitedAt when it exited.
	stopRequestedAt, exitedAt time.Time
}

// leaveRecord is the time at which a server registered in the store as draining.
type leaveRecord struct {
	server *fake.Server
	at     time.Time
}

// configRecord is the time at which the store accepted a version of the configuration.
type configRecord struct {
	generation int
	at         time.Time
}

// Size and timing of the fleet.
const (
	fleetEntries        = 3
	fleetEventInterval  = 40 * time.Millisecond // between events of a stream, and duration of a plain request
	fleetStopTimeout    = 4 * time.Second       // setting stop_within
	fleetRestartDelay   = 200 * time.Millisecond
	fleetConfigVersions = 4
)

// newFleet starts the store, the servers and the entries, and waits until all entries are ready.
func newFleet(binaries Binaries, dir string, options fleetOptions) (*fleet, error) {
	f := &fleet{w: newWorld(binaries, dir), store: fake.NewStore(), servers: make(map[string]*serverSlot), run: strconv.FormatUint(rand.Uint64(), 36), fleetOptions: options}
	f.store.SetStaleReadLag(time.Second)
	if f.eras {
		f.store.EnableEras()
	}
	f.configure(0)
	for n := range 3 {
		f.startServer(fmt.Sprintf("app-%d", n+1), "cards", "")
		f.startServer(fmt.Sprintf("decode-%d", n+1), "model", "decode")
	}
	f.startServer("prefill-1", "model", "prefill")
	f.startServer("prefill-2", "model", "prefill")
	for n := range fleetConfigVersions {
		f.startServer(generationName(n), generationName(n), "")
	}
	for n := range cmp.Or(f.entryCount, fleetEntries) {
		h := &entryHost{name: fmt.Sprintf("entry-%d", n+1), index: n, repeats: 40}
		f.entries = append(f.entries, h)
		r, err := f.w.proxyFor(h.name+">store", h.name)
		if err != nil {
			return f, err
		}
		r.setTarget(f.store.Addr())
		h.proxy = r
		if err := f.start(h); err != nil {
			return f, err
		}
	}
	for _, h := range f.entries {
		if err := f.waitUntilReady(h); err != nil {
			return f, err
		}
	}
	return f, nil
}

// generationName returns the name of the service and server that answer probes under the n-th
// version of the configuration.
func generationName(n int) string { return fmt.Sprintf("generation-%d", n) }

// configure writes the configuration that routes probes to a generation, and records it. The
// version numbers increase in uneven steps.
func (f *fleet) configure(n int) {
	f.writeConfig(n)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configs = append(f.configs, configRecord{generation: n, at: time.Now()})
}

// writeConfig writes the configuration of a generation to the store.
func (f *fleet) writeConfig(n int) {
	plain := []string{"cards"}
	for i := range fleetConfigVersions {
		plain = append(plain, generationName(i))
	}
	f.store.Put("config", "main", fake.Configuration(3+n*n*2+n, plain,
		fake.Route{Prefix: "/once/", Kind: "non_idempotent", Service: "cards", Attempts: 2},
		fake.Route{Prefix: "/again/", Kind: "idempotent", Service: "cards", Attempts: 2},
		fake.Route{Prefix: "/" + deadlyKind + "/", Kind: "streaming", Service: "model", Attempts: 2},
		fake.Route{Prefix: "/stream/", Kind: "streaming", Service: "model", Attempts: 2},
		fake.Route{Prefix: fake.LongPrefix, Kind: "streaming", Service: "model", Attempts: 1},
		fake.Route{Prefix: "/resumed/", Kind: "streaming", Service: "model", Attempts: 2, Resumable: true},
		fake.Route{Prefix: "/" + singleKind + "/", Kind: "streaming", Service: "model", Attempts: 1, Resumable: true},
		fake.Route{Prefix: "/" + plainStreamKind + "/", Kind: "streaming", Service: "cards", Attempts: 2, Resumable: true},
		fake.Route{Prefix: "/probe/", Kind: "idempotent", Service: generationName(n), Attempts: 1},
	))
}

// startServer starts a server under a name, for the first time or as a replacement.
func (f *fleet) startServer(name, service, stage string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[name]
	if s == nil {
		s = &serverSlot{name: name, service: service, stage: stage}
		f.servers[name] = s
	}
	s.startCount++
	id := fmt.Sprintf("%s.%d-%s", name, s.startCount, f.run)
	r, err := newProxy("")
	if err != nil {
		panic(err) // no port is free
	}
	f.w.background.Go(f.w.ctx, id, r.run)
	s.proxy = r
	e := fake.Entry{ID: id, Service: service, Stage: stage, Zone: "here", Slots: 16, Address: r.address().String()}
	if f.versions && stage != "" {
		e.Version = softwareOf(name, s.startCount)
	}
	if f.deadly && stage == "decode" {
		e.Address = "" // a proxy would accept connections in place of a crashed engine
	}
	s.current = fake.NewServer(f.store, e)
	if f.deadly && stage == "decode" {
		s.current.CrashOnPart(deadlyPart, func() { f.restartCrashed(name) })
	}
	s.current.SetEventInterval(fleetEventInterval)
	if f.fleetKills && stage == "decode" {
		s.current.SetEventInterval(slowEventInterval)
	}
	r.setTarget(s.current.Addr())
	f.allServers = append(f.allServers, s.current)
}

// writeSettings writes the settings of an entry host and returns the path.
func (f *fleet) writeSettings(h *entryHost) (string, error) {
	firstStart := ""
	if f.fleetKills && len(h.incarnations) == 0 {
		firstStart = "first_start = true\n"
	}
	return f.w.writeSettings(h.name, firstStart+fmt.Sprintf(
		"name = %q\nfleet = %q\nzone = \"here\"\nlisten = \"127.0.0.1:0\"\nready_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\nrelay_from = 2\nplatform = %q\nstop_within = %q\n"+
			"[repeats]\nratio = 0.2\nfixed = %d\nspan = \"5s\"\n[log]\nlevel = \"info\"\nformat = \"json\"\n",
		h.name, f.run, h.proxy.address(), fleetStopTimeout, h.repeats))
}

// start starts an entry process on a host and waits until it listens.
func (f *fleet) start(h *entryHost) error {
	path, err := f.writeSettings(h)
	if err != nil {
		return err
	}
	h.mu.Lock()
	l := &incarnation{
		number: len(h.incarnations), started: make(chan struct{}), done: make(chan struct{}),
		acceptCounts: make(map[string]int), endCounts: make(map[string]int),
	}
	h.mu.Unlock()
	l.logPath = filepath.Join(f.w.dir, fmt.Sprintf("%s.%d.log", h.name, l.number))
	log, err := os.Create(l.logPath)
	if err != nil {
		return err
	}
	l.command = exec.Command(f.w.binaries.Router, "direct", "--settings", path)
	l.command.Stderr = log
	out, err := l.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := started.Start(h.name, l.command); err != nil {
		return err
	}
	go func() { // ends when the process exits; closes l.done
		defer close(l.done)
		defer log.Close()
		l.readLog(io.TeeReader(out, log))
		_ = l.command.Wait()
		l.mu.Lock()
		l.exitedAt, l.exitState = time.Now(), l.command.ProcessState.String()
		l.mu.Unlock()
	}()
	select {
	case <-l.started:
	case <-l.done:
		return errors.Errorf("start %s: the process exited before it listened", h.name)
	case <-time.After(WaitTimeout):
		_ = l.command.Process.Kill() // close would not find it
		<-l.done
		return errors.Errorf("start %s: the process did not listen in time", h.name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations = append(h.incarnations, l)
	return nil
}

// logLine holds the fields of a log line that the judge reads.
type logLine struct {
	Message string         `json:"@message"`
	Request string         `json:"request"`
	Listen  netip.AddrPort `json:"listen"`
	Ready   netip.AddrPort `json:"ready"`
}

// readLog parses the process's log: its addresses, and how often each request was accepted and
// ended.
func (l *incarnation) readLog(from io.Reader) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var n logLine
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			continue // not a JSON line, or "listen" is not an address in this message
		}
		l.mu.Lock()
		switch n.Message {
		case "started":
			l.listen, l.ready = n.Listen, n.Ready
			close(l.started)
		case "accepted":
			l.acceptCounts[n.Request]++
		case conns.PanicMessage:
			l.panics++
		case "answered", "refused", "caller_gone":
			l.endCounts[n.Request]++
		}
		l.mu.Unlock()
	}
}

// current returns the process that was started last on the host.
func (h *entryHost) current() *incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnations[len(h.incarnations)-1]
}

// isReady sends the health check of the load balancer and reports whether it succeeded.
func (l *incarnation) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + l.ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// waitUntilReady waits until the host's entry is ready.
func (f *fleet) waitUntilReady(h *entryHost) error {
	for until := time.Now().Add(WaitTimeout); time.Now().Before(until); group.Sleep(f.w.ctx, 20*time.Millisecond) {
		if h.current().isReady() {
			return nil
		}
	}
	return errors.Errorf("%s did not become ready in time", h.name)
}

// trackReadiness sends health checks to a host and updates h.ready until the fleet ends. The
// host gets no new connections after two failed checks in a row.
func (f *fleet) trackReadiness(h *entryHost) {
	misses := 0
	for f.w.ctx.Err() == nil {
		if h.current().isReady() {
			misses = 0
		} else {
			misses++
		}
		h.mu.Lock()
		h.ready = misses < 2
		h.mu.Unlock()
		group.Sleep(f.w.ctx, 200*time.Millisecond)
	}
}

// stopAndRestart signals an entry's process, waits until it exits, and starts the next one, as the
// platform does.
func (f *fleet) stopAndRestart(h *entryHost, stopSignal syscall.Signal) error {
	h.restartMu.Lock()
	defer h.restartMu.Unlock()
	l := h.current()
	l.mu.Lock()
	if l.killed = l.killed || stopSignal == syscall.SIGKILL; !l.killed {
		l.stopRequestedAt = time.Now()
	}
	l.mu.Unlock()
	if err := l.command.Process.Signal(stopSignal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-l.done:
	case <-time.After(WaitTimeout):
		return errors.Errorf("stop %s: the process did not exit in time", h.name)
	}
	group.Sleep(f.w.ctx, fleetRestartDelay)
	return f.start(h)
}

// close kills the processes that the fleet started, by PID.
func (f *fleet) close() {
	f.killEntries()
	f.w.close()
	f.killEntries() // one that was being restarted, which w.close waited for
	for _, s := range f.allServers {
		s.Close()
	}
	f.store.Close()
}

func (f *fleet) killEntries() {
	for _, h := range f.entries {
		h.mu.Lock()
		incarnations := h.incarnations
		h.mu.Unlock()
		for _, l := range incarnations {
			l.mu.Lock()
			l.killed = true
			l.mu.Unlock()
			_ = l.command.Process.Signal(syscall.SIGCONT)
			_ = l.command.Process.Kill()
			<-l.done
		}
	}
}
