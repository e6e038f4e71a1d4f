package test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"jacinthworks/test/started"
)

// outputArgs holds the arguments of send and router: the options, and the texts that the
// output must contain.
type outputArgs struct {
	options  map[string]string
	required []string
}

// parseOutputArgs parses the options and each says= argument.
func parseOutputArgs(args []string) outputArgs {
	g := outputArgs{options: parseOptions(args)}
	for _, a := range args {
		if words, found := strings.CutPrefix(a, "says="); found {
			g.required = append(g.required, words)
		}
	}
	return g
}

// check returns an error if the text lacks a required text or contains a token.
func (g outputArgs) check(text string) error {
	for _, words := range g.required {
		if !strings.Contains(text, words) {
			return errors.Errorf("%q is missing in the output: %s", words, text)
		}
	}
	for _, token := range []string{callerToken, otherToken, operatorToken, rivalToken} {
		if strings.Contains(text, token) {
			return errors.Errorf("a token is visible in the output: %s", text)
		}
	}
	return nil
}

// cmdSend sends one request, which may be invalid, and checks its status: send STATUS
// METHOD PATH [to=entry-1] [admin] [token=T] [kind=K] [match=ETAG] [body=B]
// [size=N] [says=WORDS]... The default token is the caller's, or with admin the
// operator's; size sets a body of N bytes.
func cmdSend(w *world, args []string) error {
	g := parseOutputArgs(args[3:])
	o := g.options
	p, err := w.findProcess(orDefault(o["to"], "entry-1"))
	if err != nil {
		return err
	}
	address, token := p.address, callerToken
	if _, admin := o["admin"]; admin {
		address, token = p.admin, operatorToken
	}
	body := o["body"]
	if o["size"] != "" {
		body = strings.Repeat(" ", intOrDefault(o["size"], 0))
	}
	request, err := http.NewRequestWithContext(w.ctx, args[1], fmt.Sprintf("http://%s%s", address, args[2]), strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+orDefault(o["token"], token))
	request.Header.Set("Content-Type", "application/json")
	for header, value := range map[string]string{"Request-Kind": o["kind"], "If-Match": o["match"]} {
		if value != "" {
			request.Header.Set(header, value)
		}
	}
	answer, err := unpooledClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if strconv.Itoa(answer.StatusCode) != args[0] {
		return errors.Errorf("unexpected status %s: %s", answer.Status, text)
	}
	if kind := answer.Header.Get("Content-Type"); answer.StatusCode >= 400 && kind != "application/problem+json" {
		return errors.Errorf("content type of the refusal is %s: %s", kind, text)
	}
	return g.check(string(text))
}

// cmdRouter runs the router until it exits by itself, and checks its exit code: router CODE
// COMMAND ARGUMENTS [says=WORDS]... Its standard error must contain WORDS.
func cmdRouter(w *world, args []string) error {
	g := parseOutputArgs(args)
	var rest []string
	for _, a := range args[1:] {
		if !strings.HasPrefix(a, "says=") {
			rest = append(rest, a)
		}
	}
	ctx, cancel := context.WithTimeout(w.ctx, WaitTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, w.binaries.Router, rest...)
	command.Dir = w.dir
	var out, stderr bytes.Buffer
	command.Stdout, command.Stderr = &out, &stderr
	err := started.Start("router "+rest[0], command)
	if err == nil {
		err = command.Wait()
	}
	if ctx.Err() != nil {
		return errors.Errorf("process still runs after %s: %s", WaitTimeout, &stderr)
	}
	if code := command.ProcessState.ExitCode(); strconv.Itoa(code) != args[0] {
		return errors.Errorf("exit code is %d (%v): %s", code, err, &stderr)
	}
	if strings.Contains(out.String(), "listening") {
		return errors.Errorf("process listened before it exited: %s", &out)
	}
	return g.check(stderr.String())
}

// cmdPortOf copies the settings of a process with one address replaced by an address that
// another process listens on: portof FILE NAME KEY OTHER [admin|peers].
func cmdPortOf(w *world, args []string) error {
	text, err := os.ReadFile(filepath.Join(w.dir, args[1]+".toml"))
	if err != nil {
		return err
	}
	p, err := w.findProcess(args[3])
	if err != nil {
		return err
	}
	taken := p.address
	switch {
	case len(args) > 4 && args[4] == "admin":
		taken = p.admin
	case len(args) > 4 && args[4] == "peers":
		taken = p.peers
	}
	free := fmt.Sprintf("\n%s = \"127.0.0.1:0\"\n", args[2])
	if !strings.Contains(string(text), free) {
		return errors.Errorf("%s.toml has no line %s with port 0", args[1], args[2])
	}
	changed := strings.Replace(string(text), free, fmt.Sprintf("\n%s = %q\n", args[2], taken), 1)
	return os.WriteFile(filepath.Join(w.dir, args[0]), []byte(changed), 0o600)
}
