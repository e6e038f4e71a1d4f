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

// worldKey finds the world in a script's environment.
type worldKey struct{}

// Setup gives each script a world of its own.
func Setup(bin Binaries) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		w := newWorld(bin, env.WorkDir)
		env.Values[worldKey{}] = w
		env.Defer(w.close)
		return nil
	}
}

// step is one command of the language.
type step func(w *world, args []string) error

// language lists the commands.
func language() map[string]step {
	return map[string]step{
		"world": stepWorld, "call": stepCall, "await": stepAwait, "hangup": stepHangUp,
		"sigkill": stepKill, "sigterm": stepTerm, "sigstop": stepFreeze, "sigcont": stepThaw, "restart": stepRestart, "gone": stepGone,
		"cut": stepCut, "silence": stepSilence, "heal": stepHeal, "fault": stepFault,
		"expect": stepExpect, "runs": stepRuns, "free": stepFree, "ready": stepReady,
		"judge": stepJudge, "hosts": stepHosts, "burst": stepBurst, "logged": stepLogged, "answered": stepAnswered, "refused": stepRefused, "within": stepWithin, "idle": stepIdle,
		"edit": stepEdit, "edited": stepEdited, "inforce": stepInForce, "watch": stepWatch, "order": stepOrder, "orders": stepOrders, "story": stepStory,
		"stall": stepStall, "resume": stepResume,
		"send": stepSend, "router": stepRouter, "portof": stepPortOf,
	}
}

// Commands is the language of the scripts.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*testscript.TestScript, bool, []string){}
	for name, do := range language() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := do(ts.Value(worldKey{}).(*world), args)
			if neg && err == nil {
				ts.Fatalf("%s %v: holds, and must not", name, args)
			}
			if !neg && err != nil {
				ts.Fatalf("%s %v: %v", name, args, err)
			}
		}
	}
	return all
}

// options reads key=value arguments; words without = count as set.
func options(args []string) map[string]string {
	o := map[string]string{}
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		o[name] = value
	}
	return o
}

func number(text string, otherwise int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return otherwise
	}
	return n
}

// eventually tries until it holds or the time is up.
func (w *world) eventually(within time.Duration, try func() error) error {
	began := time.Now()
	for {
		err := try()
		if err == nil || time.Since(began) > within {
			return err
		}
		pause(w.ctx, 10*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stepWorld starts a deployment: prefill=N decode=N app=N entry=N, each in the
// zones salt-lake, new-town and howrah in turn, and waits until it is ready.
// engine_args and app_args go to the stand-ins.
func stepWorld(w *world, args []string) error {
	o := options(args)
	if err := w.startPlatform([]byte(scenarioTable)); err != nil {
		return err
	}
	zones := []string{"salt-lake", "new-town", "howrah"}
	zone := func(n int) string { return zones[(n-1)%len(zones)] }
	number0 := func(role string, otherwise int) int { return number(o[role], otherwise) }
	for _, role := range []string{"prefill", "decode"} {
		for n := 1; n <= number0(role, 1); n++ {
			name := fmt.Sprintf("%s-%d", role, n)
			args := append([]string{"engine", "--role", role, "--model", "appraiser-lm"}, words(o["engine_args"])...)
			if _, err := w.launch("engine-"+name, w.bin.Fakes, args...); err != nil {
				return err
			}
			if err := w.startSide(name, zone(n), role, "appraiser-lm", "engine-"+name); err != nil {
				return err
			}
			w.engines = append(w.engines, "engine-"+name)
		}
	}
	for n := 1; n <= number0("app", 3); n++ {
		name := fmt.Sprintf("app-%d", n)
		if _, err := w.launch("server-"+name, w.bin.Fakes, append([]string{"app"}, words(o["app_args"])...)...); err != nil {
			return err
		}
		if err := w.startSide(name, zone(n), "app", "marketplace-app", "server-"+name); err != nil {
			return err
		}
		w.apps = append(w.apps, "server-"+name)
	}
	for n := 1; n <= number0("entry", 2); n++ {
		w.entries = append(w.entries, fmt.Sprintf("entry-%d", n))
	}
	for n, name := range w.entries {
		if err := w.startEntry(name, zone(n+1)); err != nil {
			return err
		}
	}
	for _, name := range w.entries {
		if err := stepReady(w, []string{name}); err != nil {
			return err
		}
	}
	return nil
}

func words(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

// stepReady waits until an entry takes work.
func stepReady(w *world, args []string) error {
	p, err := w.find(args[0])
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

// stepLogged waits until a process has logged a line that has all the words.
func stepLogged(w *world, args []string) error {
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
		return errors.Errorf("%s has not logged %q", args[0], args[1:])
	})
}

// stepWithin lets the time pass in which a promise need not hold yet, and
// remembers what ran so far.
func stepWithin(w *world, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	pause(w.ctx, d)
	w.before, err = w.upstreams()
	return err
}

// stepIdle checks that an application server ran nothing since within.
func stepIdle(w *world, args []string) error {
	p, err := w.find("server-" + args[0])
	if err != nil {
		return err
	}
	var r apps.Report
	if err := getJSON(w.ctx, "http://"+p.address.String()+"/runs", &r); err != nil {
		return err
	}
	for _, run := range r.Runs {
		if !slices.ContainsFunc(w.before.apps, func(o apps.Run) bool { return o.Request == run.Request }) {
			return errors.Errorf("%s ran %s", args[0], run.Request)
		}
	}
	return nil
}
