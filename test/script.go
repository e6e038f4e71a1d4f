package test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"jacinthworks/fakes/apps"
)

// worldKey is the key of the world in a script's environment.
type worldKey struct{}

// Setup returns a function that creates a world for each script.
func Setup(binaries Binaries) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		w := newWorld(binaries, env.WorkDir)
		env.Values[worldKey{}] = w
		env.Defer(w.close)
		return nil
	}
}

// commandFunc runs one command of the scenario language.
type commandFunc func(w *world, args []string) error

// commands returns the commands of the scenario language by name.
func commands() map[string]commandFunc {
	return map[string]commandFunc{
		"world": cmdWorld, "call": cmdCall, "await": cmdAwait, "hangup": cmdHangUp,
		"sigkill": cmdKill, "sigterm": cmdTerm, "sigstop": cmdSuspend, "sigcont": cmdContinue, "restart": cmdRestart, "gone": cmdGone,
		"cut": cmdCut, "silence": cmdSilence, "heal": cmdHeal, "fault": cmdFault,
		"expect": cmdExpect, "runs": cmdRuns, "free": cmdFree, "ready": cmdReady,
		"judge": cmdJudge, "hosts": cmdHosts, "burst": cmdBurst, "logged": cmdLogged, "answered": cmdAnswered, "refused": cmdRefused, "limited": cmdLimited, "within": cmdWithin, "idle": cmdIdle,
		"edit": cmdEdit, "edited": cmdEdited, "inforce": cmdInForce, "watch": cmdWatch, "order": cmdOrder, "orders": cmdOrders, "story": cmdStory,
		"stall": cmdStall, "resume": cmdResume,
		"send": cmdSend, "router": cmdRouter, "portof": cmdPortOf,
	}
}

// Commands returns the commands of the scenario language for testscript.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){}
	for name, do := range commands() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := do(ts.Value(worldKey{}).(*world), args)
			if neg && err == nil {
				ts.Fatalf("%s %v: succeeded, but must fail", name, args)
			}
			if !neg && err != nil {
				ts.Fatalf("%s %v: %v", name, args, err)
			}
		}
	}
	return all
}

// parseOptions parses key=value arguments. An argument without "=" has an empty value.
func parseOptions(args []string) map[string]string {
	o := map[string]string{}
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		o[name] = value
	}
	return o
}

// intOrDefault parses an integer, and returns fallback if text is not an integer.
func intOrDefault(text string, fallback int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return fallback
	}
	return n
}

// eventually calls try until it succeeds or the time is up, and returns its last error.
func (w *world) eventually(within time.Duration, try func() error) error {
	began := time.Now()
	for {
		err := try()
		if err == nil || time.Since(began) > within {
			return err
		}
		sleep(w.ctx, 10*time.Millisecond)
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// cmdWorld starts a deployment and waits until it is ready: prefill=N decode=N app=N
// entry=N set the number of processes. Processes of one kind are placed in the zones
// salt-lake, new-town and howrah in turn. engine_args and app_args are passed to the fakes.
func cmdWorld(w *world, args []string) error {
	o := parseOptions(args)
	w.stopWithin = o["stop_within"]
	if err := w.startPlatform([]byte(scenarioTable)); err != nil {
		return err
	}
	zones := []string{"salt-lake", "new-town", "howrah"}
	zone := func(n int) string { return zones[(n-1)%len(zones)] }
	count := func(role string, fallback int) int { return intOrDefault(o[role], fallback) }
	for _, role := range []string{"prefill", "decode"} {
		for n := 1; n <= count(role, 1); n++ {
			name := fmt.Sprintf("%s-%d", role, n)
			args := append([]string{"engine", "--role", role, "--model", "appraiser-lm"}, splitCommas(o["engine_args"])...)
			if _, err := w.launch("engine-"+name, w.binaries.Fakes, args...); err != nil {
				return err
			}
			if err := w.startSide(name, zone(n), role, "appraiser-lm", "engine-"+name); err != nil {
				return err
			}
			w.engines = append(w.engines, "engine-"+name)
		}
	}
	for n := 1; n <= count("app", 3); n++ {
		name := fmt.Sprintf("app-%d", n)
		if _, err := w.launch("server-"+name, w.binaries.Fakes, append([]string{"app"}, splitCommas(o["app_args"])...)...); err != nil {
			return err
		}
		if err := w.startSide(name, zone(n), "app", "marketplace-app", "server-"+name); err != nil {
			return err
		}
		w.apps = append(w.apps, "server-"+name)
	}
	for n := 1; n <= count("entry", 2); n++ {
		w.entries = append(w.entries, fmt.Sprintf("entry-%d", n))
	}
	for n, name := range w.entries {
		if err := w.startEntry(name, zone(n+1)); err != nil {
			return err
		}
	}
	for _, name := range w.entries {
		if err := cmdReady(w, []string{name}); err != nil {
			return err
		}
	}
	return nil
}

// splitCommas returns the comma-separated words of text.
func splitCommas(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

// cmdReady waits until an entry is ready.
func cmdReady(w *world, args []string) error {
	p, err := w.findProcess(args[0])
	if err != nil {
		return err
	}
	return w.eventually(WaitTimeout, func() error {
		answer, err := http.Get("http://" + p.address.String() + "/ready")
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return errors.Errorf("%s is not ready: %s", args[0], answer.Status)
		}
		return nil
	})
}

// cmdLogged waits until a process has logged a line that contains all the words.
func cmdLogged(w *world, args []string) error {
	return w.eventually(WaitTimeout, func() error {
		text, err := os.ReadFile(filepath.Join(w.dir, args[0]+".log"))
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			if !slices.ContainsFunc(args[1:], func(word string) bool { return !strings.Contains(line, word) }) {
				return nil
			}
		}
		return errors.Errorf("%s has not logged a line with %q", args[0], args[1:])
	})
}

// cmdWithin waits for the time within which a promise need not hold yet, and records
// the requests that the upstreams have run so far.
func cmdWithin(w *world, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	sleep(w.ctx, d)
	w.runsBefore, err = w.upstreamRuns()
	return err
}

// cmdIdle checks that an application server has run no request since the last command within.
func cmdIdle(w *world, args []string) error {
	p, err := w.findProcess("server-" + args[0])
	if err != nil {
		return err
	}
	var r apps.Report
	if err := getJSON(w.ctx, "http://"+p.address.String()+"/runs", &r); err != nil {
		return err
	}
	for _, run := range r.Runs {
		if !slices.ContainsFunc(w.runsBefore.apps, func(o apps.Run) bool { return o.Request == run.Request }) {
			return errors.Errorf("%s ran request %s", args[0], run.Request)
		}
	}
	return nil
}
