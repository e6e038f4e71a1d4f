package test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errProcessEnded is the error of a signal to a process that has already exited.
var errProcessEnded = errors.New("signal a process that has already exited")

func (w *world) signal(args []string, s syscall.Signal, wait bool) error {
	if s != syscall.SIGCONT {
		w.faults.Add(int32(len(args)))
	}
	for _, name := range args {
		p, err := w.findProcess(name)
		if err != nil {
			return err
		}
		if err := p.command.Process.Signal(s); err != nil {
			return errors.Wrap(errProcessEnded, name)
		}
		if wait {
			<-p.done
		}
	}
	return nil
}

func cmdKill(w *world, args []string) error { return w.signal(args, syscall.SIGKILL, true) }

func cmdTerm(w *world, args []string) error { return w.signal(args, syscall.SIGTERM, false) }

func cmdSuspend(w *world, args []string) error { return w.signal(args, syscall.SIGSTOP, false) }

func cmdContinue(w *world, args []string) error { return w.signal(args, syscall.SIGCONT, false) }

// cmdRestart restarts processes that have exited.
func cmdRestart(w *world, args []string) error {
	for _, name := range args {
		if err := w.restart(name); err != nil {
			return err
		}
	}
	return nil
}

// cmdGone waits until processes have exited by themselves.
func cmdGone(w *world, args []string) error {
	for _, name := range args {
		p, err := w.findProcess(name)
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

// proxyBetween returns the proxy through which a process connects to another, and the
// name by which the proxy identifies the connecting process.
func (w *world) proxyBetween(from, to string) (*proxy, string, error) {
	if to == "platform" {
		r, err := w.proxyFor(from+">platform", from)
		return r, "", err
	}
	r, err := w.proxyFor(to, "")
	if from == "*" {
		from = ""
	}
	return r, from, err
}

// cmdCut blocks connections from FROM to TO: it closes open ones and refuses new ones.
func cmdCut(w *world, args []string) error {
	w.faults.Add(1)
	r, from, err := w.proxyBetween(args[0], args[1])
	if err == nil {
		r.sever(from)
	}
	return err
}

// cmdSilence makes open connections from FROM to TO silent. New connections work.
func cmdSilence(w *world, args []string) error {
	w.faults.Add(1)
	r, from, err := w.proxyBetween(args[0], args[1])
	if err == nil {
		r.silence(from)
	}
	return err
}

// cmdHeal removes the faults of all proxies, except from connections that are silent.
func cmdHeal(w *world, _ []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.proxies {
		r.heal()
	}
	return nil
}

// cmdFault configures the faults of a fake: fault NAME JSON.
func cmdFault(w *world, args []string) error {
	if args[1] != "{}" {
		w.faults.Add(1)
	}
	return w.post(args[0], "/fault", strings.Join(args[1:], " "))
}

// cmdHosts sets the state of a host in the platform's host list: hosts NAME live|leaving.
func cmdHosts(w *world, args []string) error {
	p, err := w.findProcess("platform")
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
	p, err := w.findProcess(name)
	if err != nil {
		return err
	}
	answer, err := http.Post("http://"+p.address.String()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= 300 {
		return errors.Errorf("%s answered with status %s", name, answer.Status)
	}
	return nil
}

// cmdStall makes a caller stop reading. cmdResume ends it.
func cmdStall(w *world, args []string) error {
	w.faults.Add(1)
	c := w.calls[args[0]]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = make(chan struct{})
	return nil
}

func cmdResume(w *world, args []string) error {
	c := w.calls[args[0]]
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.stalled)
	c.stalled = nil
	return nil
}
