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

// faultCase is one fault: processes exit or pause at one point of one kind of request.
type faultCase struct {
	point     inject.Point
	action    inject.Action
	kind      string
	processes []string
}

func (c faultCase) name() string { return fmt.Sprintf("%s/%s/%s", c.kind, c.point, c.action) }

// faultCases lists every point in package inject, for an application call and for a model
// request, with the processes that can reach it.
func faultCases() []faultCase {
	onlyModel := map[inject.Point]bool{inject.EntryReserved: true, inject.EntryPrefilled: true}
	var all []faultCase
	for _, do := range []inject.Action{inject.ExitProcess, inject.PauseProcess} {
		for _, s := range inject.EntryPoints() {
			if !onlyModel[s] {
				all = append(all, faultCase{s, do, "enquiry", []string{"entry-1"}})
			}
			all = append(all, faultCase{s, do, "appraisal", []string{"entry-1"}})
		}
		for _, s := range inject.SidePoints() {
			all = append(all,
				faultCase{s, do, "enquiry", []string{"app-1", "app-2", "app-3"}},
				faultCase{s, do, "appraisal", []string{"decode-1", "decode-2"}},
				faultCase{s, do, "blurb", []string{"prefill-1"}})
		}
	}
	return all
}

// A caller sends a request, and a process exits at one point between acceptance and answer, or
// pauses there for longer than its peers' timeout and then continues. The caller then sends the
// same key through another entry. At every point: a request refused as not run has not run, the
// key ran at most once and was answered at most once, no engine holds memory, and the second
// send gets a final outcome.
func TestEveryStep(t *testing.T) {
	for _, c := range faultCases() {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			w := newWorld(built, t.TempDir())
			defer w.close()
			w.faults.Store(1)
			defer func() { results.add(faultCasePromises, w, t.Failed()) }()
			w.injectedFaults = make(map[string]string)
			for _, v := range c.processes {
				w.injectedFaults[v] = string(c.action) + ":" + string(c.point)
			}
			runFaultCase(t, w, c)
		})
	}
}

// faultCasePromises are the promises that each fault case tests.
var faultCasePromises = []Promise{MemoryFree, AnsweredOnce, RefusedNeverRan, AtMostOnce}

func runFaultCase(t *testing.T, w *world, c faultCase) {
	require.NoError(t, cmdWorld(w, []string{"prefill=1", "decode=2", "app=3", "entry=2", "engine_args=--token-gap,10ms"}))
	send := func(name, entry string) *call {
		args := []string{name, "entry=" + entry, "kind=" + c.kind, "key=k", "tokens=20", "prompt=one", "&"}
		if c.kind == "enquiry" {
			args = append(args, "path=/enquiries", "body={}")
		}
		require.NoError(t, cmdCall(w, args))
		return w.calls[name]
	}
	first := send("first", "1")
	select {
	case <-first.done:
	case <-time.After(3 * time.Second): // longer than every timeout for a silent process
	}
	for _, v := range c.processes {
		p, err := w.findProcess(v)
		require.NoError(t, err)
		if c.action == inject.PauseProcess {
			require.NoError(t, p.command.Process.Signal(syscall.SIGCONT))
			continue
		}
		select {
		case <-p.done:
			require.NoError(t, w.restart(v))
		default: // the request did not reach this process
		}
	}
	require.NoError(t, cmdAwait(w, []string{"first"}))
	require.NoError(t, w.resendUntilSettled(send))
	require.NoError(t, cmdFree(w, []string{"within=3s"}))
	require.NoError(t, cmdJudge(w, nil))
}

// resendUntilSettled sends the key again until it is answered or finally refused.
func (w *world) resendUntilSettled(send func(name, entry string) *call) error {
	n := 0
	return w.eventually(15*time.Second, func() error {
		n++
		name := fmt.Sprintf("again-%d", n)
		send(name, "2")
		if err := cmdAwait(w, []string{name}); err != nil {
			return err
		}
		v := w.calls[name].snapshot()
		switch {
		case v.whole && v.status == 200,
			v.problem.Reason == domain.ReasonAlreadyRan, v.problem.Reason == domain.ReasonMayHaveRun:
			return nil
		}
		sleep(w.ctx, 200*time.Millisecond)
		return fmt.Errorf("%s got %+v (%v)", name, v.problem, v.err)
	})
}
