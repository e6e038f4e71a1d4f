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

// upstreams is what the stand-ins say they ran.
type upstreams struct {
	engines []model.Run
	apps    []apps.Run
}

func (w *world) upstreams() (upstreams, error) {
	var all upstreams
	for _, name := range w.engines {
		p, err := w.find(name)
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
		p, err := w.find(name)
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

// stepRuns counts what applications ran: runs key=K count=N.
func stepRuns(w *world, args []string) error {
	o := options(args)
	u, err := w.upstreams()
	if err != nil {
		return err
	}
	n := 0
	for _, r := range u.apps {
		if r.Key == o["key"] {
			n++
		}
	}
	if n != number(o["count"], 1) {
		return errors.Errorf("ran %d times, not %s", n, o["count"])
	}
	return nil
}

// stepFree waits until no engine holds memory: free [within=2s]. The time is
// counted from the command.
func stepFree(w *world, args []string) error {
	within, err := time.ParseDuration(or(options(args)["within"], "2s"))
	if err != nil {
		return err
	}
	return w.timed(MemoryFree, within, func() error {
		for _, name := range w.engines {
			p, err := w.find(name)
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

// stepJudge checks the promises that every scenario must keep, whatever
// happened in it, and prints the scenario's line of the promises' table.
func stepJudge(w *world, _ []string) error {
	u, err := w.upstreams()
	if err != nil {
		return err
	}
	var found check.Findings
	w.judged(OwnWhole, &found, w.judgeAnswers)
	w.judged(NotRunIsTrue, &found, func(f *check.Findings) { w.judgeRefusals(u, f) })
	w.judged(AtMostOnce, &found, func(f *check.Findings) { w.judgeRuns(u, f) })
	w.judged(AnsweredOnce, &found, w.judgeSecondAnswers)
	w.judged(AnsweredOnce, &found, w.judgeCounts)
	w.judged(EditsPersist, &found, w.judgeTable)
	return found.Err()
}

// judgeTable: no entry that was watched went back to an older table.
func (w *world) judgeTable(found *check.Findings) {
	if w.watch == nil {
		return
	}
	w.watch.mu.Lock()
	defer w.watch.mu.Unlock()
	for _, name := range w.watch.reverted {
		found.Add(name, "went back to an older version of the table")
	}
}

// judgeAnswers: each answer is whole and belongs to its own request, and
// nothing that broke off looks complete.
func (w *world) judgeAnswers(found *check.Findings) {
	for _, name := range w.order {
		c, v := w.calls[name], w.calls[name].look()
		if c.path != "" {
			if v.whole && v.status == 200 && !strings.Contains(v.text, apps.Echo(c.method, c.path, []byte(c.body))) {
				found.Add(name, "answered with another request's answer: %s", v.text)
			}
			continue
		}
		want := model.Completion(c.prompt, c.maxTokens)
		switch {
		case v.whole && v.text != want:
			found.Add(name, "answer is not whole or not its own: got %q, want %q", v.text, want)
		case !strings.HasPrefix(want, v.text):
			found.Add(name, "part of an answer is not its own: got %q, want %q", v.text, want)
		}
	}
}

// judgeRefusals: what was refused as not_run has run nowhere.
func (w *world) judgeRefusals(u upstreams, found *check.Findings) {
	for _, name := range w.order {
		v := w.calls[name].look()
		if v.problem.Reason == "" || v.problem.Ran != domain.NotRun {
			continue
		}
		for _, r := range u.engines {
			if r.Request == v.id {
				found.Add(name, "refused as not_run (%s), yet an engine began its %s", v.problem.Reason, r.Work)
			}
		}
		for _, r := range u.apps {
			if r.Request == v.id {
				found.Add(name, "refused as not_run (%s), yet a server ran it", v.problem.Reason)
			}
		}
	}
}

// judgeRuns: a key of unrepeatable work ran at most once.
func (w *world) judgeRuns(u upstreams, found *check.Findings) {
	accounts := map[domain.RequestID]string{} // a key is its account's own
	for _, name := range w.order {
		accounts[w.calls[name].look().id] = w.calls[name].account
	}
	ran := map[string]int{}
	for _, r := range u.apps {
		if r.Key == "" || r.Method == "GET" {
			continue
		}
		account := accounts[r.Request]
		if account == "" {
			account = "first" // its caller never heard its id
		}
		ran[account+"/"+r.Key]++
	}
	for key, n := range ran {
		if n > 1 {
			found.Add("key "+key, "ran %d times", n)
		}
	}
}

// judgeSecondAnswers: nobody was answered twice under one key.
func (w *world) judgeSecondAnswers(found *check.Findings) {
	answered := map[string][]string{}
	for _, name := range w.order {
		c, v := w.calls[name], w.calls[name].look()
		if c.key != "" && v.whole && v.problem.Reason == "" && v.status == 200 {
			answered[c.account+"/"+c.key] = append(answered[c.account+"/"+c.key], name)
		}
	}
	for key, names := range answered {
		if len(names) > 1 {
			slices.Sort(names)
			found.Add("key "+key, "was answered %s times: %v", strconv.Itoa(len(names)), names)
		}
	}
}

// judgeCounts: at every entry that answers, accepted is answered and refused
// and open together, and no request ended twice.
func (w *world) judgeCounts(found *check.Findings) {
	for _, name := range w.entries {
		p, err := w.find(name)
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
			continue // killed, or frozen, in this scenario
		}
		if v.Accepted != v.Answered+v.Refused+v.Open {
			found.Add(name, "stories do not conserve: %+v", v)
		}
		if v.SecondEnds > 0 {
			found.Add(name, "ended %d requests twice", v.SecondEnds)
		}
	}
}
