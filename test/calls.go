package test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

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
	until := time.After(WaitTimeout)
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
			return errors.Errorf("still running after %s: %+v", WaitTimeout, v)
		}
	}
}

// stepHangUp ends a call from its caller's side.
func stepHangUp(w *world, args []string) error {
	w.faults.Add(1)
	w.calls[args[0]].hangUp()
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
