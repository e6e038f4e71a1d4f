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
	"syscall"
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
		"edit": stepEdit, "edited": stepEdited, "inforce": stepInForce, "watch": stepWatch, "story": stepStory,
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
	return w.eventually(Within, func() error {
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

// stepCall sends a request: call NAME [entry=1] [kind=appraisal] [key=K]
// [prompt=P] [tokens=N] [whole] [path=/p] [method=POST] [body=B] [as=second]
// [&]. Without & it waits for the end.
func stepCall(w *world, args []string) error {
	if len(args) == 0 {
		return errors.New("call needs a name")
	}
	o := options(args[1:])
	c := &call{
		name: args[0], entry: "entry-" + or(o["entry"], "1"), account: or(o["as"], "first"), kind: or(o["kind"], "appraisal"), key: o["key"],
		prompt: or(o["prompt"], "pedigree of "+args[0]), maxTokens: number(o["tokens"], 10),
		path: o["path"], method: or(o["method"], http.MethodPost), body: o["body"],
	}
	if _, whole := o["whole"]; !whole {
		c.stream = true
	}
	token := callerToken
	if o["as"] == "second" {
		token = otherToken
	}
	p, err := w.find(c.entry)
	if err != nil {
		return err
	}
	if w.calls[c.name] != nil {
		return errors.Errorf("there is a call %q already", c.name)
	}
	w.calls[c.name] = c
	w.order = append(w.order, c.name)
	c.send(w.ctx, "http://"+p.address.String(), token)
	if _, background := o["&"]; background {
		return nil
	}
	return stepAwait(w, []string{c.name})
}

func or(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

// stepAwait waits for a call's end, or for its first N tokens.
func stepAwait(w *world, args []string) error {
	c := w.calls[args[0]]
	if c == nil {
		return errors.Errorf("no call %q", args[0])
	}
	until := time.After(Within)
	for {
		v := c.look()
		if len(args) > 1 && v.tokens >= number(args[1], 1) {
			return nil
		}
		select {
		case <-c.done:
			if len(args) > 1 && c.look().tokens < number(args[1], 1) {
				return errors.Errorf("ended after %d tokens: %+v", v.tokens, v.problem)
			}
			return nil
		case <-v.more:
		case <-until:
			return errors.Errorf("still running after %s: %+v", Within, v)
		}
	}
}

// stepHangUp ends a call from its caller's side.
func stepHangUp(w *world, args []string) error {
	w.faults.Add(1)
	w.calls[args[0]].hangUp()
	return nil
}

// errEnded says that a process has ended already.
var errEnded = errors.New("process has ended")

func (w *world) signal(args []string, s syscall.Signal, wait bool) error {
	if s != syscall.SIGCONT {
		w.faults.Add(int32(len(args)))
	}
	for _, name := range args {
		p, err := w.find(name)
		if err != nil {
			return err
		}
		if err := p.command.Process.Signal(s); err != nil {
			return errors.Wrap(errEnded, name)
		}
		if wait {
			<-p.done
		}
	}
	return nil
}

func stepKill(w *world, args []string) error   { return w.signal(args, syscall.SIGKILL, true) }
func stepTerm(w *world, args []string) error   { return w.signal(args, syscall.SIGTERM, false) }
func stepFreeze(w *world, args []string) error { return w.signal(args, syscall.SIGSTOP, false) }
func stepThaw(w *world, args []string) error   { return w.signal(args, syscall.SIGCONT, false) }

// stepRestart starts processes again that have ended.
func stepRestart(w *world, args []string) error {
	for _, name := range args {
		if err := w.restart(name); err != nil {
			return err
		}
	}
	return nil
}

// stepGone waits until processes have ended by themselves.
func stepGone(w *world, args []string) error {
	for _, name := range args {
		p, err := w.find(name)
		if err != nil {
			return err
		}
		select {
		case <-p.done:
		case <-time.After(Within):
			return errors.Errorf("%s still runs", name)
		}
	}
	return nil
}

// relayBetween finds the relay that A reaches B through.
func (w *world) relayBetween(from, to string) (*relay, string, error) {
	if to == "platform" {
		r, err := w.link(from+">platform", from)
		return r, "", err
	}
	r, err := w.link(to, "")
	if from == "*" {
		from = ""
	}
	return r, from, err
}

// stepCut cuts FROM off TO: open connections close and new ones fail.
func stepCut(w *world, args []string) error {
	w.faults.Add(1)
	r, from, err := w.relayBetween(args[0], args[1])
	if err == nil {
		r.sever(from)
	}
	return err
}

// stepSilence makes FROM's open connections to TO silent; new ones work.
func stepSilence(w *world, args []string) error {
	w.faults.Add(1)
	r, from, err := w.relayBetween(args[0], args[1])
	if err == nil {
		r.silence(from)
	}
	return err
}

// stepHeal ends every cut.
func stepHeal(w *world, _ []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.links {
		r.heal()
	}
	return nil
}

// stepFault tells a stand-in to misbehave: fault NAME JSON.
func stepFault(w *world, args []string) error {
	if args[1] != "{}" {
		w.faults.Add(1)
	}
	return w.post(args[0], "/fault", strings.Join(args[1:], " "))
}

// stepHosts sets a host's state in the host list: hosts NAME live|leaving.
func stepHosts(w *world, args []string) error {
	p, err := w.find("platform")
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"host":%q,"zone":"","state":%q}`, args[0], args[1])
	request, err := http.NewRequest(http.MethodPut, "http://"+p.address.String()+"/hosts/"+args[0], strings.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

func (w *world) post(name, path, body string) error {
	p, err := w.find(name)
	if err != nil {
		return err
	}
	answer, err := http.Post("http://"+p.address.String()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= 300 {
		return errors.Errorf("%s answered %s", name, answer.Status)
	}
	return nil
}

// stepExpect checks what a caller got: expect NAME [status=N] [ran=R]
// [reason=R] [whole] [tokens=N] [broken].
func stepExpect(w *world, args []string) error {
	c := w.calls[args[0]]
	if c == nil {
		return errors.Errorf("no call %q", args[0])
	}
	if err := stepAwait(w, args[:1]); err != nil {
		return err
	}
	v := c.look()
	got := map[string]string{
		"status": strconv.Itoa(v.status), "ran": string(v.problem.Ran), "reason": string(v.problem.Reason),
		"tokens": strconv.Itoa(v.tokens), "whole": "", "broken": "",
	}
	for name, want := range options(args[1:]) {
		switch {
		case name == "whole" && !v.whole, name == "broken" && (v.err == nil || v.whole):
			return errors.Errorf("not %s: %+v", name, v)
		case !slices.Contains(strings.Split(want, "|"), got[name]):
			return errors.Errorf("%s is %q, not %q: %+v", name, got[name], want, v)
		}
	}
	return nil
}

// stepBurst sends many calls at once and waits for all: burst NAME N options
// of call; ended=N of them at least must be answered.
func stepBurst(w *world, args []string) error {
	n := number(args[1], 10)
	for i := range n {
		each := append([]string{fmt.Sprintf("%s-%d", args[0], i+1)}, args[2:]...)
		for j, a := range each {
			each[j] = strings.ReplaceAll(a, "%", strconv.Itoa(i+1))
		}
		if err := stepCall(w, append(each, "&")); err != nil {
			return err
		}
	}
	if slices.Contains(args, "&") {
		return nil
	}
	for i := range n {
		if err := stepAwait(w, []string{fmt.Sprintf("%s-%d", args[0], i+1)}); err != nil {
			return err
		}
	}
	return nil
}

// stepAnswered checks that N calls of a burst were answered in full.
func stepAnswered(w *world, args []string) error {
	n := number(args[1], 1)
	for i := range n {
		if err := stepExpect(w, []string{fmt.Sprintf("%s-%d", args[0], i+1), "status=200", "whole"}); err != nil {
			return errors.Wrapf(err, "%s-%d", args[0], i+1)
		}
	}
	return nil
}

// stepRefused checks that N calls of a burst were refused as given.
func stepRefused(w *world, args []string) error {
	n := number(args[1], 1)
	for i := range n {
		if err := stepExpect(w, append([]string{fmt.Sprintf("%s-%d", args[0], i+1)}, args[2:]...)); err != nil {
			return errors.Wrapf(err, "%s-%d", args[0], i+1)
		}
	}
	return nil
}

// stepLogged waits until a process has logged a line that has all the words.
func stepLogged(w *world, args []string) error {
	return w.eventually(Within, func() error {
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

// stepStall stops a caller from reading; stepResume lets it read on.
func stepStall(w *world, args []string) error {
	w.faults.Add(1)
	c := w.calls[args[0]]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = make(chan struct{})
	return nil
}

func stepResume(w *world, args []string) error {
	c := w.calls[args[0]]
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.stalled)
	c.stalled = nil
	return nil
}
