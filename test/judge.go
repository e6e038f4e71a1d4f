package test

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/check"
	"jacinthworks/domain"
	"jacinthworks/engine"
	"jacinthworks/fakes/apps"
	"jacinthworks/fakes/model"
)

// upstreamRuns lists what the fake upstreams report to have run.
type upstreamRuns struct {
	engines []model.Run
	apps    []apps.Run
}

func (w *world) upstreamRuns() (upstreamRuns, error) {
	var all upstreamRuns
	for _, name := range w.engines {
		p, err := w.findProcess(name)
		if err != nil {
			return all, err
		}
		var r []model.Run
		if err := getJSON(w.ctx, "http://"+p.address.String()+"/runs", &r); err != nil {
			return all, err
		}
		all.engines = append(all.engines, r...)
	}
	for _, name := range w.apps {
		p, err := w.findProcess(name)
		if err != nil {
			return all, err
		}
		var r apps.Report
		if err := getJSON(w.ctx, "http://"+p.address.String()+"/runs", &r); err != nil {
			return all, err
		}
		all.apps = append(all.apps, r.Runs...)
	}
	return all, nil
}

// cmdRuns checks how often application servers ran a key: runs key=K count=N.
func cmdRuns(w *world, args []string) error {
	o := parseOptions(args)
	u, err := w.upstreamRuns()
	if err != nil {
		return err
	}
	n := 0
	for _, r := range u.apps {
		if r.Key == o["key"] {
			n++
		}
	}
	if n != intOrDefault(o["count"], 1) {
		return errors.Errorf("key ran %d times, not %s", n, o["count"])
	}
	return nil
}

// cmdFree waits until no engine holds memory: free [within=2s]. The time is measured from
// the start of the command.
func cmdFree(w *world, args []string) error {
	within, err := time.ParseDuration(orDefault(parseOptions(args)["within"], "2s"))
	if err != nil {
		return err
	}
	return w.eventuallyTimed(MemoryFree, within, func() error {
		for _, name := range w.engines {
			p, err := w.findProcess(name)
			if err != nil {
				return err
			}
			var s engine.State
			if err := getJSON(w.ctx, "http://"+p.address.String()+"/now", &s); err != nil {
				return err
			}
			if len(s.Running) > 0 {
				return errors.Errorf("%s holds memory for %v", name, s.Running)
			}
		}
		return nil
	})
}

// cmdJudge checks the promises that must hold in every scenario.
func cmdJudge(w *world, _ []string) error {
	u, err := w.upstreamRuns()
	if err != nil {
		return err
	}
	var found check.Findings
	w.countViolations(OwnAnswerComplete, &found, w.judgeAnswers)
	w.countViolations(RefusedNeverRan, &found, func(f *check.Findings) { w.judgeRefusals(u, f) })
	w.countViolations(AtMostOnce, &found, func(f *check.Findings) { w.judgeRuns(u, f) })
	w.countViolations(AnsweredOnce, &found, w.judgeSecondAnswers)
	w.countViolations(AnsweredOnce, &found, w.judgeCounts)
	w.countViolations(EditsPersist, &found, w.judgeTable)
	return found.Err()
}

// judgeTable checks that no watched entry reverted to an older table.
func (w *world) judgeTable(found *check.Findings) {
	if w.tableWatcher == nil {
		return
	}
	w.tableWatcher.mu.Lock()
	defer w.tableWatcher.mu.Unlock()
	for _, name := range w.tableWatcher.reverted {
		found.Add(name, "reverted to an older version of the table")
	}
}

// judgeAnswers checks that each complete answer is the whole answer to its own request, and
// that each partial answer is a part of it.
func (w *world) judgeAnswers(found *check.Findings) {
	for _, name := range w.order {
		c, v := w.calls[name], w.calls[name].snapshot()
		if c.path != "" {
			if v.whole && v.status == 200 && !strings.Contains(v.text, apps.Echo(c.method, c.path, []byte(c.body))) {
				found.Add(name, "received the answer to another request: %s", v.text)
			}
			continue
		}
		want := model.Completion(c.prompt, c.maxTokens)
		switch {
		case v.whole && v.text != want:
			found.Add(name, "answer is incomplete or belongs to another request: got %q, want %q", v.text, want)
		case !strings.HasPrefix(want, v.text):
			found.Add(name, "partial answer belongs to another request: got %q, want %q", v.text, want)
		}
	}
}

// judgeRefusals checks that no upstream ran a request that was refused as not_run.
func (w *world) judgeRefusals(u upstreamRuns, found *check.Findings) {
	for _, name := range w.order {
		v := w.calls[name].snapshot()
		if v.problem.Reason == "" || v.problem.Ran != domain.NotRun {
			continue
		}
		for _, r := range u.engines {
			if r.Request == v.id {
				found.Add(name, "refused as not_run (%s), but an engine started its %s", v.problem.Reason, r.Role)
			}
		}
		for _, r := range u.apps {
			if r.Request == v.id {
				found.Add(name, "refused as not_run (%s), but a server ran it", v.problem.Reason)
			}
		}
	}
}

// judgeRuns checks that each key of a request that must not be repeated ran at most once.
func (w *world) judgeRuns(u upstreamRuns, found *check.Findings) {
	accounts := map[domain.RequestID]string{} // keys of different accounts are independent
	for _, name := range w.order {
		accounts[w.calls[name].snapshot().id] = w.calls[name].account
	}
	ran := map[string]int{}
	for _, r := range u.apps {
		if r.Key == "" || r.Method == "GET" {
			continue
		}
		account := accounts[r.Request]
		if account == "" {
			account = "first" // the caller did not receive the request id; callers use this account by default
		}
		ran[account+"/"+r.Key]++
	}
	for key, n := range ran {
		if n > 1 {
			found.Add("key "+key, "ran %d times", n)
		}
	}
}

// judgeSecondAnswers checks that no key was answered twice.
func (w *world) judgeSecondAnswers(found *check.Findings) {
	answered := map[string][]string{}
	for _, name := range w.order {
		c, v := w.calls[name], w.calls[name].snapshot()
		if c.key != "" && v.whole && v.problem.Reason == "" && v.status == 200 {
			answered[c.account+"/"+c.key] = append(answered[c.account+"/"+c.key], name)
		}
	}
	for key, names := range answered {
		if len(names) > 1 {
			slices.Sort(names)
			found.Add("key "+key, "received %s answers: %v", strconv.Itoa(len(names)), names)
		}
	}
}

// judgeCounts checks that at each reachable entry the number of accepted requests is the sum
// of answered, refused and open requests, and that no request ended twice.
func (w *world) judgeCounts(found *check.Findings) {
	for _, name := range w.entries {
		p, err := w.findProcess(name)
		if err != nil {
			continue
		}
		var v struct {
			Accepted   int `json:"requests_accepted"`
			Answered   int `json:"requests_answered"`
			Refused    int `json:"requests_refused"`
			Open       int `json:"requests_open"`
			SecondEnds int `json:"stories_second_ends"`
		}
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		err = getJSON(ctx, "http://"+p.admin.String()+"/debug/vars", &v)
		cancel()
		if err != nil {
			continue // the scenario killed or suspended the entry
		}
		if v.Accepted != v.Answered+v.Refused+v.Open {
			found.Add(name, "accepted requests are not the sum of answered, refused and open requests: %+v", v)
		}
		if v.SecondEnds > 0 {
			found.Add(name, "ended %d requests twice", v.SecondEnds)
		}
	}
}
