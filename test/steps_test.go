package test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/inject"
)

// drillCase is one step at which one kind of process is lost or paused.
type drillCase struct {
	step    inject.Point
	do      inject.Action
	kind    string
	victims []string
}

func (c drillCase) name() string { return fmt.Sprintf("%s/%s/%s", c.kind, c.step, c.do) }

// drillCases lists every step from the list in the code, for a plain call and
// for a model request, with the processes that pass it.
func drillCases() []drillCase {
	onlyModel := map[inject.Point]bool{inject.EntryReserved: true, inject.EntryPrefilled: true}
	var all []drillCase
	for _, do := range []inject.Action{inject.Exit, inject.Pause} {
		for _, s := range inject.EntryPoints() {
			if !onlyModel[s] {
				all = append(all, drillCase{s, do, "enquiry", []string{"entry-1"}})
			}
			all = append(all, drillCase{s, do, "appraisal", []string{"entry-1"}})
		}
		for _, s := range inject.SidePoints() {
			all = append(all,
				drillCase{s, do, "enquiry", []string{"app-1", "app-2", "app-3"}},
				drillCase{s, do, "appraisal", []string{"decode-1", "decode-2"}},
				drillCase{s, do, "blurb", []string{"prefill-1"}})
		}
	}
	return all
}

// A caller sends a request, and a process is killed, or paused for longer than
// its peers wait and then continued, at one step between accept and answer. The
// caller then sends the same key through another entry. Whatever the step: what
// was refused as not run has not run, the key ran at most once and was answered
// at most once, no engine memory stays held, and the second send gets its end.
func TestEveryStep(t *testing.T) {
	for _, c := range drillCases() {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			w := newWorld(built, t.TempDir())
			defer w.close()
			w.faults.Store(1)
			defer func() { results.take(promisesOfSteps, w, t.Failed()) }()
			w.drills = make(map[string]string)
			for _, v := range c.victims {
				w.drills[v] = string(c.do) + ":" + string(c.step)
			}
			runDrill(t, w, c)
		})
	}
}

// promisesOfSteps are the promises that every step is driven for.
var promisesOfSteps = []Promise{MemoryFree, AnsweredOnce, NotRunIsTrue, AtMostOnce}

func runDrill(t *testing.T, w *world, c drillCase) {
	require.NoError(t, stepWorld(w, []string{"prefill=1", "decode=2", "app=3", "entry=2", "engine_args=--token-gap,10ms"}))
	send := func(name, entry string) *call {
		args := []string{name, "entry=" + entry, "kind=" + c.kind, "key=k", "tokens=20", "prompt=one", "&"}
		if c.kind == "enquiry" {
			args = append(args, "path=/enquiries", "body={}")
		}
		require.NoError(t, stepCall(w, args))
		return w.calls[name]
	}
	first := send("first", "1")
	select {
	case <-first.done:
	case <-time.After(3 * time.Second): // longer than any silence is borne
	}
	for _, v := range c.victims {
		p, err := w.find(v)
		require.NoError(t, err)
		if c.do == inject.Pause {
			require.NoError(t, p.command.Process.Signal(syscall.SIGCONT))
			continue
		}
		select {
		case <-p.done:
			require.NoError(t, w.restart(v))
		default: // the request did not pass by this one
		}
	}
	require.NoError(t, stepAwait(w, []string{"first"}))
	require.NoError(t, w.settleKey(send))
	require.NoError(t, stepFree(w, []string{"within=3s"}))
	require.NoError(t, stepJudge(w, nil))
}

// settleKey sends the key again until it is answered or refused for good.
func (w *world) settleKey(send func(name, entry string) *call) error {
	n := 0
	return w.eventually(15*time.Second, func() error {
		n++
		name := fmt.Sprintf("again-%d", n)
		send(name, "2")
		if err := stepAwait(w, []string{name}); err != nil {
			return err
		}
		v := w.calls[name].look()
		switch {
		case v.whole && v.status == 200,
			v.problem.Reason == domain.ReasonAlreadyRan, v.problem.Reason == domain.ReasonMayHaveRun:
			return nil
		}
		pause(w.ctx, 200*time.Millisecond)
		return fmt.Errorf("%s got %+v (%v)", name, v.problem, v.err)
	})
}
