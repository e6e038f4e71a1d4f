package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
)

// fleet is entries without sides, each a process of its own, and around them the
// stand-ins of the platform's store and of servers, which run in this process
// behind relays.
type fleet struct {
	w     *world
	store *fake.Store

	mu      sync.Mutex
	servers map[string]*server
	past    []*fake.Server // all that ever ran
	entries []*entryHost
	spans   []span
	calls   []fleetCall
	leaves  []leave
	configs []configured
	limits  []limitSpan
}

// server is the server that runs under a name now. Each start of it has an id
// of its own.
type server struct {
	name, service, stage string
	starts               int
	now                  *fake.Server
	relay                *relay
}

// entryHost is a host on which one entry after the other runs.
type entryHost struct {
	name  string
	index int
	relay *relay // to the store
	// repeats is what the settings say of repeats; a reload changes it.
	repeats int
	// restarts is held while the entry is stopped and started.
	restarts sync.Mutex

	mu           sync.Mutex
	incarnations []*incarnation
	// ready says whether the balancer gives it new connections.
	ready bool
}

// incarnation is one process on an entry host.
type incarnation struct {
	number        int
	command       *exec.Cmd
	listen, ready netip.AddrPort
	started       chan struct{}
	done          chan struct{}

	mu       sync.Mutex
	accepted map[string]int
	ended    map[string]int
	killed   bool
	// asked is when it was asked to stop, left when it ended.
	asked, left time.Time
}

// leave is a server's word, taken by the store, that it takes no more work.
type leave struct {
	server *fake.Server
	at     time.Time
}

// configured is a version of the configuration that the store has taken.
type configured struct {
	generation int
	at         time.Time
}

// The fleet's size and pace.
const (
	fleetEntries  = 3
	fleetPace     = 40 * time.Millisecond // between events, and for a plain call
	fleetStop     = 4 * time.Second       // stop_within
	fleetRestart  = 200 * time.Millisecond
	fleetVersions = 4
)

// newFleet starts store, servers and entries, and waits until all are ready.
// The store counts its eras where that is asked for.
func newFleet(bin Binaries, dir string, eras bool) (*fleet, error) {
	f := &fleet{w: newWorld(bin, dir), store: fake.NewStore(), servers: make(map[string]*server)}
	f.store.SetStaleReadLag(time.Second)
	if eras {
		f.store.EnableEras()
	}
	f.configure(0)
	for n := range 3 {
		f.add(fmt.Sprintf("app-%d", n+1), "cards", "")
		f.add(fmt.Sprintf("decode-%d", n+1), "model", "decode")
	}
	f.add("prefill-1", "model", "prefill")
	f.add("prefill-2", "model", "prefill")
	for n := range fleetVersions {
		f.add(generation(n), generation(n), "")
	}
	for n := range fleetEntries {
		h := &entryHost{name: fmt.Sprintf("entry-%d", n+1), index: n, repeats: 40}
		f.entries = append(f.entries, h)
		r, err := f.w.link(h.name+">store", h.name)
		if err != nil {
			return f, err
		}
		r.aim(f.store.Addr())
		h.relay = r
		if err := f.start(h); err != nil {
			return f, err
		}
	}
	for _, h := range f.entries {
		if err := f.untilReady(h); err != nil {
			return f, err
		}
	}
	return f, nil
}

// generation names the service that a version of the configuration sends
// probes to, and the server of it.
func generation(n int) string { return fmt.Sprintf("generation-%d", n) }

// configure writes the configuration that sends probes to a generation. The
// versions increase in uneven steps.
func (f *fleet) configure(n int) {
	f.writeConfig(n)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configs = append(f.configs, configured{generation: n, at: time.Now()})
}

func (f *fleet) writeConfig(n int) {
	plain := []string{"cards"}
	for i := range fleetVersions {
		plain = append(plain, generation(i))
	}
	f.store.Put("config", "main", fake.Configuration(3+n*n*2+n, plain,
		fake.Route{Prefix: "/once/", Kind: "non_idempotent", Service: "cards", Attempts: 2},
		fake.Route{Prefix: "/again/", Kind: "idempotent", Service: "cards", Attempts: 2},
		fake.Route{Prefix: "/stream/", Kind: "streaming", Service: "model", Attempts: 2},
		fake.Route{Prefix: fake.LongPrefix, Kind: "streaming", Service: "model", Attempts: 1},
		fake.Route{Prefix: "/resumed/", Kind: "streaming", Service: "model", Attempts: 2, Resumable: true},
		fake.Route{Prefix: "/probe/", Kind: "idempotent", Service: generation(n), Attempts: 1},
	))
}

// add starts a server under a name, for the first time or again.
func (f *fleet) add(name, service, stage string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[name]
	if s == nil {
		s = &server{name: name, service: service, stage: stage}
		f.servers[name] = s
	}
	s.starts++
	id := fmt.Sprintf("%s.%d", name, s.starts)
	r, err := newRelay("")
	if err != nil {
		panic(err) // no port is left
	}
	f.w.relays.Go(f.w.ctx, id, r.run)
	s.relay = r
	s.now = fake.NewServer(f.store, fake.Entry{
		ID: id, Service: service, Stage: stage, Zone: "here", Slots: 16, Address: r.address().String(),
	})
	s.now.SetEventInterval(fleetPace)
	r.aim(s.now.Addr())
	f.past = append(f.past, s.now)
}

// settings writes the settings of an entry host.
func (f *fleet) settings(h *entryHost) (string, error) {
	return f.w.settings(h.name, fmt.Sprintf(
		"name = %q\nzone = \"here\"\nlisten = \"127.0.0.1:0\"\nready_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\nrelay_from = 2\nplatform = %q\nstop_within = %q\n"+
			"watch_wait = \"2s\"\n[repeats]\nratio = 0.2\nfixed = %d\nspan = \"5s\"\n[log]\nlevel = \"info\"\nformat = \"json\"\n",
		h.name, h.relay.address(), fleetStop, h.repeats))
}

// start starts an entry's process and waits until it listens.
func (f *fleet) start(h *entryHost) error {
	path, err := f.settings(h)
	if err != nil {
		return err
	}
	h.mu.Lock()
	l := &incarnation{
		number: len(h.incarnations), started: make(chan struct{}), done: make(chan struct{}),
		accepted: make(map[string]int), ended: make(map[string]int),
	}
	h.mu.Unlock()
	log, err := os.Create(filepath.Join(f.w.dir, fmt.Sprintf("%s.%d.log", h.name, l.number)))
	if err != nil {
		return err
	}
	l.command = exec.Command(f.w.bin.Router, "direct", "--settings", path)
	l.command.Stderr = log
	out, err := l.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := l.command.Start(); err != nil {
		return err
	}
	go func() { // ends with the process; its end is l.done
		defer close(l.done)
		defer log.Close()
		l.read(io.TeeReader(out, log))
		_ = l.command.Wait()
		l.mu.Lock()
		l.left = time.Now()
		l.mu.Unlock()
	}()
	select {
	case <-l.started:
	case <-l.done:
		return errors.Errorf("%s ended before it listened", h.name)
	case <-time.After(WaitTimeout):
		return errors.Errorf("%s did not listen", h.name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations = append(h.incarnations, l)
	return nil
}

// line is what the judge reads of a log line.
type line struct {
	Message string         `json:"@message"`
	Request string         `json:"request"`
	Listen  netip.AddrPort `json:"listen"`
	Ready   netip.AddrPort `json:"ready"`
}

// read takes in the process's log: its addresses, and how often each request
// was accepted and ended.
func (l *incarnation) read(from io.Reader) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var n line
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			continue // "listen" of other lines is no address
		}
		l.mu.Lock()
		switch n.Message {
		case "started":
			l.listen, l.ready = n.Listen, n.Ready
			close(l.started)
		case "accepted":
			l.accepted[n.Request]++
		case "answered", "refused", "caller_gone":
			l.ended[n.Request]++
		}
		l.mu.Unlock()
	}
}

// now gives the host's process.
func (h *entryHost) now() *incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnations[len(h.incarnations)-1]
}

// isReady asks as the balancer does.
func (l *incarnation) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + l.ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (f *fleet) untilReady(h *entryHost) error {
	for until := time.Now().Add(WaitTimeout); time.Now().Before(until); group.Sleep(f.w.ctx, 20*time.Millisecond) {
		if h.now().isReady() {
			return nil
		}
	}
	return errors.Errorf("%s does not get ready", h.name)
}

// balance keeps up whom the balancer gives new connections, until the fleet ends.
func (f *fleet) balance(h *entryHost) {
	misses := 0
	for f.w.ctx.Err() == nil {
		if h.now().isReady() {
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

// stop ends an entry's process by a signal, waits for its end, and starts the
// next one, as the platform does.
func (f *fleet) stop(h *entryHost, with syscall.Signal) error {
	h.restarts.Lock()
	defer h.restarts.Unlock()
	l := h.now()
	l.mu.Lock()
	if l.killed = l.killed || with == syscall.SIGKILL; !l.killed {
		l.asked = time.Now()
	}
	l.mu.Unlock()
	if err := l.command.Process.Signal(with); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-l.done:
	case <-time.After(WaitTimeout):
		return errors.Errorf("%s did not end", h.name)
	}
	group.Sleep(f.w.ctx, fleetRestart)
	return f.start(h)
}

// close ends what the fleet started, by pid.
func (f *fleet) close() {
	for _, h := range f.entries {
		h.mu.Lock()
		incarnations := h.incarnations
		h.mu.Unlock()
		for _, l := range incarnations {
			_ = l.command.Process.Signal(syscall.SIGCONT)
			_ = l.command.Process.Kill()
			<-l.done
		}
	}
	f.w.close()
	for _, s := range f.past {
		s.Close()
	}
	f.store.Close()
}
