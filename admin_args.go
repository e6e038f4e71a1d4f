package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"

	"jacinthworks/admin"
	"jacinthworks/conf"
)

// adminArgs are the arguments of the commands that send requests to an entry's
// administration address.
type adminArgs struct {
	Admin     netip.AddrPort `arg:"--admin,required,env:JACINTHWORKS_ADMIN" help:"administration address of any entry" placeholder:"IP:PORT"`
	TokenFile string         `arg:"--token-file" help:"file with the operator's token; without it JACINTHWORKS_TOKEN is read" placeholder:"FILE"`
	CAFile    string         `arg:"--ca-file" help:"connect by TLS and trust this certificate" placeholder:"FILE"`
}

// client returns a client for the administration address, the token and the certificate in
// the arguments. The token cannot be an argument, because
// other users of the host can see the arguments of a process.
func (a adminArgs) client() (*admin.Client, error) {
	c := &admin.Client{Address: a.Admin, Token: conf.Secret(os.Getenv("JACINTHWORKS_TOKEN"))}
	if a.TokenFile != "" {
		text, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return nil, err
		}
		c.Token = conf.Secret(strings.TrimSpace(string(text)))
	}
	if c.Token == "" {
		return nil, errors.New("no token: give --token-file or set JACINTHWORKS_TOKEN")
	}
	if a.CAFile == "" {
		return c, nil
	}
	text, err := os.ReadFile(a.CAFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate in PEM form", a.CAFile)
	}
	c.TLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return c, nil
}

// connectAdmin parses the arguments of a command into dest and returns a client for them.
// If done is true, the command must exit with the given code.
func connectAdmin(name string, args []string, dest any, target *adminArgs, out, errs io.Writer) (c *admin.Client, code int, done bool) {
	if code, done := parseArgs(name, args, dest, out, errs); done {
		return nil, code, true
	}
	c, err := target.client()
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return nil, exitUsage, true
	}
	return c, exitOK, false
}

// reportError prints the error of a command, if there is one, and returns the exit code of
// the command.
func reportError(err error, errs io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errs, "jacinthworks:", err)
	if errors.Is(err, admin.ErrUnreachable) {
		return exitUnreachable
	}
	return exitRefused
}
