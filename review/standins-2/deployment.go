package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment runs entries of the project as separate processes, with the command and the
// template of the deploy file.
type deployment struct {
	root, dir string
	template  string
	command   []string
	entries   []*entry
}

// entry is one process of the project and the addresses that its settings give it.
type entry struct {
	name, zone            string
	front, ready, control string
	file                  string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	exited                chan struct{}
	startedAt, exitedAt   time.Time
	exits                 []string
	firstStart            bool
	d                     *deployment
	fields                map[string]any
}

// newDeployment reads the deploy file of the project.
func newDeployment(root, dir string) (*deployment, error) {
	d := &deployment{root: root, dir: dir}
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(string(text))
	template := regexp.MustCompile(`(?m)^template = "(.*)"$`).FindStringSubmatch(string(text))
	if run == nil || template == nil {
		return nil, fmt.Errorf("deploy/system.toml has no run line or no template")
	}
	d.command = strings.Fields(run[1])
	body, err := os.ReadFile(filepath.Join(root, template[1]))
	d.template = string(body)
	return d, err
}

// freePort returns a loopback address that nothing listens on. Its port is below those that the system gives to
// outgoing connections, so that none takes it before the entry listens.
func freePort() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
}

// add prepares an entry. The fields are those that DEPLOY.md names, with figures of a site file.
func (d *deployment) add(name, zone, storeAddr string, bounds map[string]any) *entry {
	e := &entry{name: name, zone: zone, front: freePort(), ready: freePort(), control: freePort(), d: d, firstStart: true}
	e.file = filepath.Join(d.dir, name+".toml")
	e.fields = map[string]any{
		"node": name, "zone": zone, "ip": "127.0.0.1",
		"listen":   map[string]any{"front": e.front, "ready": e.ready, "control": e.control},
		"limits":   map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100},
		"platform": map[string]any{"address": storeAddr},
		"bounds":   bounds,
	}
	d.entries = append(d.entries, e)
	return e
}

// bounds are those of the small sites.
func bounds() map[string]any {
	return map[string]any{
		"graceS": 8, "budgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10,
	}
}

// startAll starts all entries, and waits until they are ready.
func (d *deployment) startAll(within time.Duration) error {
	seeds := []any{}
	for _, e := range d.entries[:min(3, len(d.entries))] {
		seeds = append(seeds, e.control)
	}
	for _, e := range d.entries {
		e.fields["seeds"] = seeds
		if err := e.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(within)
	for _, e := range d.entries {
		for !e.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (e *entry) isReady() bool {
	status, _ := get("http://" + e.ready + "/ready")
	return status == 200
}

// start starts the process, with its settings rendered from the template.
func (e *entry) start() error {
	e.fields["bootstrap"] = e.firstStart
	e.firstStart = false
	text := render(e.d.template, e.fields)
	// Every entry shares the loopback address, so that the port of the metrics has to differ.
	text = strings.Replace(text, "127.0.0.1:9464", freePort(), 1)
	if err := os.WriteFile(e.file, []byte(text), 0o600); err != nil {
		return err
	}
	args := append([]string(nil), e.d.command...)
	for i, a := range args {
		if strings.HasSuffix(a, "settings.yaml") {
			args[i] = e.file
		}
	}
	cmd := exec.Command(filepath.Join(e.d.root, args[0]), args[1:]...)
	cmd.Dir = e.d.root
	out, err := os.OpenFile(filepath.Join(e.d.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited, e.startedAt = cmd, exited, time.Now()
	e.mu.Unlock()
	go func() {
		err := cmd.Wait()
		out.Close()
		e.mu.Lock()
		e.exitedAt = time.Now()
		e.exits = append(e.exits, fmt.Sprint(err))
		e.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// wait waits for the end of the process.
func (e *entry) wait(within time.Duration) bool {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// stopAll ends all processes.
func (d *deployment) stopAll() {
	for _, e := range d.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
	}
	for _, e := range d.entries {
		if e.exited != nil {
			e.wait(2 * time.Second)
		}
	}
}
