package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment is the small one of the site rcra-routelog: four entries in three zones, nine model
// servers and three application servers, with the bounds of its sheet.
var zones = []string{"nyarugenge-hall", "gasabo-hall", "kicukiro-hall"}

const (
	modelService = "logwriter"
	appService   = "wallapp"
	host         = "wall.example"
	// The routes. resumedPrefix may be resumed, streamPrefix not.
	streamPrefix  = "/grade/"
	resumedPrefix = "/safety/"
	cardPrefix    = "/card/"
	lookupPrefix  = "/ascent/"
	// otherPrefix begins all paths.
	otherPrefix = "/"
)

// deployment is a running system with its stand-ins.
type deployment struct {
	dir     string
	store   *store
	entries []*process
	servers map[string]*serverProcess
	network int // the second octet of the entries' addresses

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	// events are what the servers wrote.
	events []serverEvent
	number int // of servers started
}

const (
	killSignal = syscall.SIGKILL
	// stableWindow is stableWindowMs of the sheet.
	stableWindow = 3 * time.Second
)

// process is a program that the script started.
type process struct {
	name  string
	front string // address for clients
	ready string
	cmd   *exec.Cmd
	ended chan struct{}
	// inTouchFrom is when it is in touch, in Unix nanoseconds.
	inTouchFrom atomic.Int64
	// fields are those of the settings of an entry.
	fields map[string]any
}

type serverProcess struct {
	process
	id, service, stage, zone string
	commands                 io.WriteCloser
}

func newDeployment(folder string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, servers: make(map[string]*serverProcess), file: f, record: bufio.NewWriter(f), network: 64 + rand.IntN(128)}
	d.store, err = newStore()
	return d, err
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%s %s\n", time.Now().UTC().Format("15:04:05.000000"), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, p := range d.entries {
		p.kill()
	}
	for _, s := range d.servers {
		s.kill()
	}
	d.mu.Lock()
	_ = d.record.Flush()
	d.mu.Unlock()
	_ = d.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept:", d.dir)
	}
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// inTouch reports whether a machine was in touch at a moment, if only its starts and kills disturb it.
func (p *process) inTouch(now time.Time) bool { return now.UnixNano() > p.inTouchFrom.Load() }

// outOfTouch marks the machine as out of touch until its next start.
func (p *process) outOfTouch() { p.inTouchFrom.Store(math.MaxInt64) }

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) start() error {
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	p.inTouchFrom.Store(time.Now().Add(stableWindow).UnixNano())
	go func() {
		_ = p.cmd.Wait()
		close(ended)
	}()
	return nil
}

// startServer starts a server process.
func (d *deployment) startServer(service, stage, zone string, args ...string) (*serverProcess, error) {
	d.number++
	s := &serverProcess{id: fmt.Sprintf("i-%02d%s", d.number, newHex()), service: service, stage: stage, zone: zone}
	s.name = s.id
	slots := "64"
	if stage == "" {
		slots = "6"
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s.cmd = exec.Command(self, append([]string{"server", "-id", s.id, "-service", service, "-stage", stage, "-zone", zone, "-slots", slots, "-store", d.store.addr()}, args...)...)
	s.cmd.Stderr = os.Stderr
	lines, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if s.commands, err = s.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	go d.follow(lines)
	d.servers[s.id] = s
	return s, nil
}

// follow records what a server writes.
func (d *deployment) follow(lines io.Reader) {
	for in := json.NewDecoder(lines); ; {
		var e serverEvent
		if err := in.Decode(&e); err != nil {
			return
		}
		d.note("server %s %s %s %s %s", e.Server, e.What, e.ID, e.Target, e.Note)
		d.mu.Lock()
		d.events = append(d.events, e)
		d.mu.Unlock()
	}
}

// serverEvents returns what the servers wrote so far.
func (d *deployment) serverEvents() []serverEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]serverEvent(nil), d.events...)
}

// startServers starts the servers of the site: nine model servers, three of them for prefill, and three
// application servers.
func (d *deployment) startServers(models int, modelArgs, appArgs []string) error {
	for n := range models {
		stage := "decode"
		if n%3 == 0 {
			stage = "prefill"
		}
		if _, err := d.startServer(modelService, stage, zones[n/3%3], modelArgs...); err != nil {
			return err
		}
	}
	for n := range 3 {
		if _, err := d.startServer(appService, "", zones[n], appArgs...); err != nil {
			return err
		}
	}
	return nil
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startEntries starts entries for the first time.
func (d *deployment) startEntries(count int) error {
	type place struct{ ip, front, ready, control string }
	var places []place
	var seeds []any
	for n := range count {
		p := place{ip: fmt.Sprintf("127.%d.%d.%d", d.network, n%3+1, n+10)}
		for _, to := range []*string{&p.front, &p.ready, &p.control} {
			var err error
			if *to, err = freePort(p.ip); err != nil {
				return err
			}
		}
		places = append(places, p)
		if len(seeds) < 3 {
			seeds = append(seeds, p.control)
		}
	}
	for n, p := range places {
		e := &process{name: fmt.Sprintf("front-%s-%d", zones[n%3], n/3+1), front: p.front, ready: p.ready}
		e.fields = map[string]any{
			"node": e.name, "role": "entry", "machineClass": "front", "ip": p.ip, "zone": zones[n%3], "region": "kigali",
			"listen": map[string]any{"front": p.front, "ready": p.ready, "control": p.control}, "seeds": seeds, "bootstrap": true,
			"limits":   map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"platform": map[string]any{"address": d.store.addr(), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
				"configApplyMs": 2000, "downgradeSlackMs": 250, "maxSkewMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52,
				"recoveryS": 12, "transitMs": 120, "retryAfterS": 9.4, "requireFence": true, "leaseMs": 3000, "thawSlackMs": 300,
			},
		}
		if err := d.startEntry(e); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	return nil
}

// startEntry starts an entry by the command of the deploy file, with settings from its template.
func (d *deployment) startEntry(e *process) error {
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	settings, err := render(string(template), e.fields)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, e.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command("target/jacinthworks", "direct", "--settings", file)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C", "JACINTHWORKS_CONFIG=" + file}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	return e.start()
}

// waitReady waits until all entries are ready.
func (d *deployment) waitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, e := range d.entries {
		for !isReady(e) {
			if time.Now().After(end) {
				return fmt.Errorf("entry %s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(e *process) bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// configuration is the operator's configuration. With others, it has a route for all other paths.
func configuration(version int, others bool) map[string]any {
	route := func(name, prefix, kind, service string, attempts int, fields map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "priority": 2, "service": service, "maxAttempts": attempts, "timeoutMs": 1000, "targetLatencyMs": 150}
		for k, v := range fields {
			r[k] = v
		}
		return r
	}
	stream := func(resumable bool) map[string]any {
		return map[string]any{"timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1, "stickySessions": true, "resumable": resumable, "targetGapMs": 300}
	}
	routes := []any{
		route("r-grade", streamPrefix, "streaming", modelService, 1, stream(false)),
		route("r-safety", resumedPrefix, "streaming", modelService, 2, stream(true)),
		route("r-card", cardPrefix, "non_idempotent", appService, 1, nil),
		route("r-lookup", lookupPrefix, "idempotent", appService, 2, nil),
	}
	if others {
		routes = append(routes, route("r-other", otherPrefix, "idempotent", appService, 2, nil))
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": kvCapacity, "kvTokenBytes": 18432, "linkMbps": 740000.0, "stride": stride, "most": 12,
				"kvHoldS": 0.5, "switchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": appService, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// logLines returns the lines of an entry's log that hold a text.
func (d *deployment) logLines(text string) (found []string) {
	for _, e := range d.entries {
		log, _ := os.ReadFile(filepath.Join(d.dir, e.name+".log"))
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, text) {
				found = append(found, e.name+": "+strings.TrimSpace(line))
			}
		}
	}
	return found
}
