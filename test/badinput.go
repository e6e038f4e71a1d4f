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
)

// given is the arguments of send and router: options, and the words that the
// answer must hold.
type given struct {
	options map[string]string
	says    []string
}

func readGiven(args []string) given {
	g := given{options: options(args)}
	for _, a := range args {
		if words, found := strings.CutPrefix(a, "says="); found {
			g.says = append(g.says, words)
		}
	}
	return g
}

// check says whether the text holds all words, and no token.
func (g given) check(text string) error {
	for _, words := range g.says {
		if !strings.Contains(text, words) {
			return errors.Errorf("does not say %q: %s", words, text)
		}
	}
	for _, token := range []string{callerToken, otherToken, operatorToken, rivalToken} {
		if strings.Contains(text, token) {
			return errors.Errorf("shows a token: %s", text)
		}
	}
	return nil
}

// stepSend sends one request as it is given, also a wrong one: send STATUS
// METHOD PATH [to=entry-1] [admin] [token=T] [kind=K] [match=ETAG] [body=B]
// [size=N] [says=WORDS]... The token is the caller's, or with admin the
// operator's, unless given; size makes a body of so many bytes.
func stepSend(w *world, args []string) error {
	g := readGiven(args[3:])
	o := g.options
	p, err := w.find(or(o["to"], "entry-1"))
	if err != nil {
		return err
	}
	address, token := p.address, callerToken
	if _, admin := o["admin"]; admin {
		address, token = p.admin, operatorToken
	}
	body := o["body"]
	if o["size"] != "" {
		body = strings.Repeat(" ", number(o["size"], 0))
	}
	request, err := http.NewRequestWithContext(w.ctx, args[1], fmt.Sprintf("http://%s%s", address, args[2]), strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+or(o["token"], token))
	request.Header.Set("Content-Type", "application/json")
	for header, value := range map[string]string{"Request-Kind": o["kind"], "If-Match": o["match"]} {
		if value != "" {
			request.Header.Set(header, value)
		}
	}
	answer, err := oneConnection.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if strconv.Itoa(answer.StatusCode) != args[0] {
		return errors.Errorf("answered %s: %s", answer.Status, text)
	}
	if kind := answer.Header.Get("Content-Type"); answer.StatusCode >= 400 && kind != "application/problem+json" {
		return errors.Errorf("refused as %s: %s", kind, text)
	}
	return g.check(string(text))
}

// stepRouter runs the router until it ends by itself: router CODE COMMAND
// ARGUMENTS [says=WORDS]... The words must stand in its error output.
func stepRouter(w *world, args []string) error {
	g := readGiven(args)
	var rest []string
	for _, a := range args[1:] {
		if !strings.HasPrefix(a, "says=") {
			rest = append(rest, a)
		}
	}
	ctx, cancel := context.WithTimeout(w.ctx, WaitTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, w.bin.Router, rest...)
	command.Dir = w.dir
	var out, errs bytes.Buffer
	command.Stdout, command.Stderr = &out, &errs
	err := command.Run()
	if ctx.Err() != nil {
		return errors.Errorf("still runs after %s: %s", WaitTimeout, &errs)
	}
	if code := command.ProcessState.ExitCode(); strconv.Itoa(code) != args[0] {
		return errors.Errorf("ended with %d (%v): %s", code, err, &errs)
	}
	if strings.Contains(out.String(), "listening") {
		return errors.Errorf("listened first: %s", &out)
	}
	return g.check(errs.String())
}

// stepPortOf copies a process's settings with one address changed to one that
// a running process listens on: portof FILE NAME KEY OTHER [admin|peers].
func stepPortOf(w *world, args []string) error {
	text, err := os.ReadFile(filepath.Join(w.dir, args[1]+".toml"))
	if err != nil {
		return err
	}
	p, err := w.find(args[3])
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
		return errors.Errorf("%s.toml has no free %s", args[1], args[2])
	}
	changed := strings.Replace(string(text), free, fmt.Sprintf("\n%s = %q\n", args[2], taken), 1)
	return os.WriteFile(filepath.Join(w.dir, args[0]), []byte(changed), 0o600)
}
