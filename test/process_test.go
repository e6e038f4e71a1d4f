package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/group"
	"jacinthworks/platform/fake"
	"jacinthworks/test/started"
)

// entryProcess is one process of `direct` beside a fake store with a plain server.
type entryProcess struct {
	t              *testing.T
	store          *fake.Store
	server         *fake.Server
	name           string
	platform       netip.AddrPort // of the store, or of a proxy in front of it
	listen, ready  netip.AddrPort
	peers, metrics netip.AddrPort
	settings, log  string // paths
	command        *exec.Cmd
	done           chan struct{}
}

// newEntryProcess starts the fakes and chooses addresses. It does not write the settings.
func newEntryProcess(t *testing.T) *entryProcess {
	store := fake.NewStore()
	t.Cleanup(store.Close)
	store.Put("config", "main", fake.Configuration(1, []string{"cards"}, fake.Route{Prefix: "/again/", Kind: "idempotent", Service: "cards", Attempts: 2}))
	server := fake.NewServer(store, fake.Entry{ID: "app-1", Service: "cards", Zone: "here", Slots: 4000})
	t.Cleanup(server.Close)
	return newEntryProcessAt(t, "entry-1", store, server)
}

// newEntryProcessAt is newEntryProcess for a process beside others.
func newEntryProcessAt(t *testing.T, name string, store *fake.Store, server *fake.Server) *entryProcess {
	p := &entryProcess{t: t, name: name, store: store, platform: store.Addr(), server: server, done: make(chan struct{})}
	dir := t.TempDir()
	p.settings, p.log = filepath.Join(dir, "settings.toml"), filepath.Join(dir, "log")
	// An address of its own, with ports that no outgoing connection takes, as on a host of its own.
	ip := netip.AddrFrom4([4]byte{127, byte(1 + rand.N(250)), byte(rand.N(250)), byte(1 + rand.N(250))})
	for n, a := range []*netip.AddrPort{&p.listen, &p.ready, &p.peers, &p.metrics} {
		*a = netip.AddrPortFrom(ip, uint16(8140+n))
	}
	return p
}

// text returns the settings, with lines of the first table.
func (p *entryProcess) text(lines ...string) string {
	return fmt.Sprintf("name = %q\nzone = \"here\"\nlisten = %q\nready_listen = %q\npeer_listen = %q\nmetrics_listen = %q\nplatform = %q\nstop_within = \"3s\"\n%s\n[log]\nlevel = \"info\"\nformat = \"json\"\n",
		p.name, p.listen, p.ready, p.peers, p.metrics, p.platform, strings.Join(lines, "\n"))
}

func (p *entryProcess) writeSettings(text string) {
	require.NoError(p.t, os.WriteFile(p.settings, []byte(text), 0o600))
}

// start starts the process with its output in the log, or in the given files.
func (p *entryProcess) start(output ...*os.File) {
	p.startCommand(exec.Command(built.Router, "direct", "--settings", p.settings), output...)
}

func (p *entryProcess) startCommand(command *exec.Cmd, output ...*os.File) {
	p.command = command
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	require.NoError(p.t, err)
	defer func() { _ = log.Close() }()
	command.Stdout, command.Stderr = log, log
	if len(output) > 0 {
		command.Stdout, command.Stderr = output[0], output[0]
	}
	require.NoError(p.t, started.Start("entry", command))
	go func() { _ = command.Wait(); close(p.done) }()
	p.t.Cleanup(func() { _ = command.Process.Kill(); <-p.done })
}

func (p *entryProcess) signal(s os.Signal) { require.NoError(p.t, p.command.Process.Signal(s)) }

// health returns the status of the health check, and its body or why it has none.
func (p *entryProcess) health() (status int, body string) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + p.ready.String() + "/ready")
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	text := make([]byte, 4096)
	n, _ := answer.Body.Read(text)
	return answer.StatusCode, string(text[:n])
}

// requireReady waits until the process is ready.
func (p *entryProcess) requireReady() {
	p.t.Helper()
	for until := time.Now().Add(WaitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if status, _ := p.health(); status == http.StatusOK {
			return
		}
		select {
		case <-p.done:
			p.t.Fatalf("the process exited: %s\n%s", p.command.ProcessState, p.logText())
		default:
		}
	}
	p.t.Fatalf("the process did not become ready\n%s", p.logText())
}

func (p *entryProcess) logText() string {
	text, err := os.ReadFile(p.log)
	require.NoError(p.t, err)
	return string(text)
}

// requireServes sends a request and requires an answer of the server.
func (p *entryProcess) requireServes(id string) {
	p.t.Helper()
	c := &fake.Caller{EntryAddr: p.listen}
	defer c.Close()
	g, _ := c.Do(p.t.Context(), fake.Request{ID: id, Method: "GET", Target: "/again/" + id, Timeout: 3 * time.Second})
	require.NoError(p.t, g.Err)
	require.Equal(p.t, http.StatusOK, g.Status, g.Body)
}

// requireExit waits until the process exits, and requires the state.
func (p *entryProcess) requireExit(state string) {
	p.t.Helper()
	select {
	case <-p.done:
		require.Equal(p.t, state, p.command.ProcessState.String(), p.logText())
	case <-time.After(WaitTimeout):
		p.t.Fatalf("the process did not exit\n%s", p.logText())
	}
}

// Guards against a process that a signal to read its settings ends while it starts or stops.
func TestReloadSignalEndsNoProcessThatStartsOrStops(t *testing.T) {
	t.Parallel()
	p := newEntryProcess(t)
	require.NoError(t, syscall.Mkfifo(p.settings, 0o600))
	p.start()
	to, err := os.OpenFile(p.settings, os.O_WRONLY, 0) // returns once the process reads
	require.NoError(t, err)
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	_, err = to.WriteString(p.text())
	require.NoError(t, err)
	require.NoError(t, os.Remove(p.settings))
	p.writeSettings(p.text())
	require.NoError(t, to.Close())
	p.requireReady()
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGTERM)
	for exited := false; !exited; {
		select {
		case <-p.done:
			exited = true
		case <-time.After(time.Millisecond):
			_ = p.command.Process.Signal(syscall.SIGHUP) // it may have exited
		}
	}
	require.Equal(t, cleanExit, p.command.ProcessState.String(), p.logText())
}

// Guards against a process that ends with the reader of its log.
func TestProcessOutlivesReaderOfItsLog(t *testing.T) {
	t.Parallel()
	p := newEntryProcess(t)
	p.writeSettings(p.text())
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	p.start(writer)
	require.NoError(t, writer.Close())
	require.NoError(t, reader.Close())
	p.requireReady()
	for n := range 5 {
		p.requireServes("r" + strconv.Itoa(n))
		time.Sleep(150 * time.Millisecond)
	}
	p.signal(syscall.SIGTERM)
	p.requireExit(cleanExit)
}

// Guards against a process that ends because a former one, or an outgoing connection, still has its port.
func TestStartWaitsForAddressInUse(t *testing.T) {
	t.Parallel()
	for name, address := range map[string]func(*entryProcess) netip.AddrPort{
		"callers": func(p *entryProcess) netip.AddrPort { return p.listen },
		"ready":   func(p *entryProcess) netip.AddrPort { return p.ready },
		"peers":   func(p *entryProcess) netip.AddrPort { return p.peers },
		"metrics": func(p *entryProcess) netip.AddrPort { return p.metrics },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newEntryProcess(t)
			p.writeSettings(p.text())
			l, err := net.Listen("tcp", address(p).String())
			require.NoError(t, err)
			p.start()
			time.Sleep(time.Second)
			require.NoError(t, l.Close())
			p.requireReady()
			p.requireServes("r")
			require.Eventually(t, func() bool {
				c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				answer, err := c.Get("http://" + p.metrics.String() + "/metrics")
				if err == nil {
					_ = answer.Body.Close()
				}
				return err == nil
			}, WaitTimeout, 20*time.Millisecond, "no metrics")
		})
	}
}

// Guards against a process that ends because its settings file is being written while it starts.
func TestStartWaitsForSettingsBeingWritten(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]func(whole string) string{
		"missing": func(string) string { return "" },
		"half":    func(whole string) string { return whole[:len(whole)/2] },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newEntryProcess(t)
			if part := text(p.text()); part != "" {
				p.writeSettings(part)
			}
			p.start()
			time.Sleep(500 * time.Millisecond)
			p.writeSettings(p.text())
			p.requireReady()
		})
	}
}

// Guards against a process that ends, or accepts no more connections, when its descriptors run out.
func TestProcessServesAgainAfterDescriptorsRanOut(t *testing.T) {
	t.Parallel()
	p := newEntryProcess(t)
	p.writeSettings(p.text())
	p.startCommand(exec.Command("/bin/sh", "-c", `ulimit -n 60; exec "$0" direct --settings "$1"`, built.Router, p.settings))
	p.requireReady()
	var open []net.Conn
	for range 100 {
		c, err := net.Dial("tcp", p.listen.String())
		require.NoError(t, err)
		open = append(open, c)
	}
	time.Sleep(2 * time.Second)
	for _, c := range open {
		require.NoError(t, c.Close())
	}
	time.Sleep(2 * time.Second)
	p.requireReady()
	p.requireServes("r")
}

// Guards against a process that is not ready, or exits, without a reason that on call can read.
func TestProcessSaysWhyItIsNotReadyAndWhyItExits(t *testing.T) {
	t.Parallel()
	p := newEntryProcess(t)
	p.store.SetDown(true)
	p.writeSettings(p.text())
	p.start()
	reads := func(text string) func() bool {
		return func() bool { _, body := p.health(); return strings.Contains(body, text) }
	}
	require.Eventually(t, reads("not ready: no configuration: "), WaitTimeout, 20*time.Millisecond)
	require.Eventually(t, reads("503"), WaitTimeout, 20*time.Millisecond, "the error of the store")
	p.store.SetDown(false)
	p.requireReady()
	p.signal(syscall.SIGTERM)
	require.Eventually(t, reads("not ready: draining"), WaitTimeout, 20*time.Millisecond)
	p.requireExit(cleanExit)
	for _, line := range []string{`"why":"no configuration"`, `"@message":"ready"`, `"why":"draining"`, `"@message":"exiting"`, `"by":"terminated signal received"`} {
		require.Contains(t, p.logText(), line)
	}

	p = newEntryProcess(t)
	p.writeSettings(strings.Replace(p.text(), p.listen.String(), "192.0.2.1:80", 1)) // no address of this host
	p.start()
	p.requireExit("exit status 3")
	require.Contains(t, p.logText(), `"@message":"address not opened yet"`)
	require.Contains(t, p.logText(), `"cause":"failed"`)
}

// Guards against an entry that ends, or never becomes ready, because the store does not answer while all
// entries start.
func TestAllEntriesStartWhileStoreDoesNotAnswer(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]struct{ begin, end func(*fake.Store, *proxy) }{
		"refuses": {begin: func(s *fake.Store, _ *proxy) { s.SetDown(true) }, end: func(s *fake.Store, _ *proxy) { s.SetDown(false) }},
		"slow":    {begin: func(s *fake.Store, _ *proxy) { s.SetLatency(2 * time.Second) }, end: func(s *fake.Store, _ *proxy) { s.SetLatency(0) }},
		"cut":     {begin: func(_ *fake.Store, r *proxy) { r.sever("") }, end: func(_ *fake.Store, r *proxy) { r.heal() }},
		"silent":  {begin: func(_ *fake.Store, r *proxy) { r.hold(towardsClient) }, end: func(_ *fake.Store, r *proxy) { r.heal() }},
		"mute":    {begin: func(_ *fake.Store, r *proxy) { r.silence("") }, end: func(_ *fake.Store, r *proxy) { r.heal() }},
		"loses":   {begin: func(s *fake.Store, _ *proxy) { s.DropResponses(8) }, end: func(*fake.Store, *proxy) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newEntryProcess(t)
			store := first.store
			r, err := newProxy("")
			require.NoError(t, err)
			var background group.Group
			ctx, cancel := context.WithCancel(t.Context())
			t.Cleanup(func() { cancel(); background.Wait() })
			background.Go(ctx, "proxy", r.run)
			r.setTarget(store.Addr())
			fault.begin(store, r)
			all := []*entryProcess{first}
			for n := range 3 {
				all = append(all, newEntryProcessAt(t, "entry-"+strconv.Itoa(n+2), store, first.server))
			}
			for _, p := range all {
				p.platform = r.address()
				p.writeSettings(p.text("first_start = true", fmt.Sprintf("seeds = [%q, %q]", all[0].peers, all[1].peers)))
				p.start()
			}
			time.Sleep(3 * time.Second)
			fault.end(store, r)
			healed := time.Now()
			for n, p := range all {
				p.requireReady()
				p.requireServes("r" + strconv.Itoa(n))
			}
			t.Logf("all ready and serving %v after the fault", time.Since(healed))
			require.Less(t, time.Since(healed), recoveryTimeout)
		})
	}
}

// Guards against a process that does not stop, or not in order, while it still starts.
func TestStopDuringStartExitsInOrder(t *testing.T) {
	t.Parallel()
	for name, begin := range map[string]func(*entryProcess){
		"address in use": func(p *entryProcess) {
			l, err := net.Listen("tcp", p.listen.String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
		},
		"store down": func(p *entryProcess) { p.store.SetDown(true) },
		"store slow": func(p *entryProcess) { p.store.SetLatency(5 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newEntryProcess(t)
			begin(p)
			p.writeSettings(p.text())
			p.start()
			time.Sleep(300 * time.Millisecond)
			began := time.Now()
			p.signal(syscall.SIGTERM)
			p.requireExit(cleanExit)
			require.Less(t, time.Since(began), fleetStopTimeout)
			require.Contains(t, p.logText(), `"cause":"stopped"`)
		})
	}
}
