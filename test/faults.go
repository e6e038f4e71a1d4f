package test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

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

func stepKill(w *world, args []string) error { return w.signal(args, syscall.SIGKILL, true) }

func stepTerm(w *world, args []string) error { return w.signal(args, syscall.SIGTERM, false) }

func stepFreeze(w *world, args []string) error { return w.signal(args, syscall.SIGSTOP, false) }

func stepThaw(w *world, args []string) error { return w.signal(args, syscall.SIGCONT, false) }

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
		case <-time.After(WaitTimeout):
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
