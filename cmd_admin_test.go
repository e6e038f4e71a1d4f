package main

import (
	"bytes"
	"context"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/admin"
	"jacinthworks/conf"
	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/infra"
	"jacinthworks/table"
	"jacinthworks/trace"
)

const operatorToken = "operator-token-asha"

// tableObject is a fake object API that stores only the table.
type tableObject struct {
	infra.Objects // nil: the commands don't make the other calls
	version       infra.Version
	value         []byte
}

func (o *tableObject) Get(context.Context, string) (infra.Object, error) {
	return infra.Object{Version: o.version, Value: o.value}, nil
}

func (o *tableObject) Put(_ context.Context, _ string, value []byte, at infra.Version) (infra.Version, error) {
	if at != o.version {
		return 0, infra.ErrConflict
	}
	o.version, o.value = at+1, value
	return o.version, nil
}

// fakeEntry is a fake of the parts of an entry that serve status, traces and drains.
type fakeEntry struct{}

func (fakeEntry) Status(context.Context) (admin.Status, error) {
	return admin.Status{Host: "entry-1", Version: 1, Hosts: []admin.HostStatus{
		{Host: "entry-1", Zone: "howrah", Role: "entry", State: admin.HostServing, Version: 1, Since: time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)},
		{Host: "side-1", Zone: "howrah", Role: domain.RoleApp, Service: "marketplace-app", State: admin.HostDraining, InFlight: 2}}}, nil
}

func (fakeEntry) Trace(_ context.Context, id domain.RequestID) (trace.Trace, error) {
	if id != "entry-1.1.7" {
		return trace.Trace{}, admin.ErrNoTrace
	}
	return trace.Trace{Request: id, State: trace.StateRefused, Execution: domain.NotRun, Reason: domain.ReasonNoRoom}, nil
}

func (fakeEntry) Drain(_ context.Context, host domain.Host, _ string) error {
	if host != "side-1" {
		return admin.ErrUnknownHost
	}
	return nil
}

// startAdmin starts an administration server, and sets its address and the token in the
// environment.
func startAdmin(t *testing.T) {
	server := httptest.NewServer(adminHandler(t))
	t.Cleanup(server.Close)
	t.Setenv("JACINTHWORKS_ADMIN", strings.TrimPrefix(server.URL, "http://"))
	t.Setenv("JACINTHWORKS_TOKEN", operatorToken)
}

func adminHandler(t *testing.T) http.Handler {
	first := table.New(1, []table.Row{{Service: "appraiser-lm", Zone: "*", Kind: "appraisal", Team: "appraisal",
		Weight: 1, InFlight: 8, Deadline: table.Duration(time.Minute)}})
	text, err := first.Encode()
	require.NoError(t, err)
	var h table.Holder
	h.Update(first, time.Now())
	s := admin.Server{
		Operators:   []conf.Operator{{Name: "asha", Token: operatorToken, Teams: []string{"appraisal"}}},
		TableSource: &h, Editor: &editor.Editor{Objects: &tableObject{version: 1, value: text}, Holder: &h},
		StatusSource: fakeEntry{}, Traces: fakeEntry{}, Drainer: fakeEntry{},
	}
	return s.Handler()
}

// run runs a command and returns its exit code, standard output and error output.
func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = dispatch(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

// writeFile writes the text to a temporary file and returns its path.
func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const tableHeader = "service,zone,kind,team,weight,in_flight,queue_limit,caller_rate,deadline,first_token,token_gap,idempotent,priority,may_wait,wasted_prefill_weight\n"

// commandCases are commands with their expected exit code and parts of their outputs. The
// commands run sequentially on one table.
var commandCases = []struct {
	args []string
	code int
	out  string
	errs string
}{
	{[]string{"table", "get", "--csv"}, exitOK, "appraiser-lm,*,appraisal,appraisal,1,8,0,0,1m0s", "version 1"},
	{[]string{"table", "set", "appraiser-lm/*/appraisal", "weight=4", "priority=3"}, exitOK, "accepted at version 2\n", ""},
	{[]string{"table", "get"}, exitOK, `"weight": 4,`, ""},
	{[]string{"table", "set", "appraiser-lm/*/appraisal", "weight=x", "priority=10"}, exitRefused, "",
		"jacinthworks: edit refused (findings), nothing of it is in force\nchange 1 appraiser-lm/*/appraisal weight: not a whole number: \"x\"\n" +
			"row 1 appraiser-lm/*/appraisal priority: must be 0 to 9, not 10\n"},
	{[]string{"table", "set", "appraiser-lm/appraisal", "weight=1"}, exitUsage, "", "a row is SERVICE/ZONE/KIND"},
	{[]string{"table", "set", "appraiser-lm/*/appraisal", "weight"}, exitUsage, "", "a cell is COLUMN=VALUE"},
	{[]string{"table"}, exitUsage, "", "table needs get, set, diff or apply"},
	{[]string{"table", "get", "--colour"}, exitUsage, "", "unknown argument --colour"},
	{[]string{"table", "diff", "new.csv"}, exitRefused, "= appraiser-lm/*/appraisal weight: 4 -> 7\n", ""},
	{[]string{"table", "diff", "bad.csv"}, exitRefused, "", "line 2 appraiser-lm/*/appraisal weight: not a whole number"},
	{[]string{"table", "apply", "new.csv"}, exitRefused, "", "was made from version 0 and the table is at 2"},
	{[]string{"table", "apply", "new.csv", "--version", "2"}, exitOK, "weight: 4 -> 7\naccepted at version 3\n", ""},
	{[]string{"table", "apply", "new.csv", "--version", "3"}, exitOK, "nothing to change at version 3\n", ""},
	{[]string{"table", "diff", "new.csv"}, exitOK, "", ""},
	{[]string{"table", "diff", "absent.csv"}, exitRefused, "", "no such file"},
	{[]string{"story", "entry-1.1.7"}, exitOK, "request entry-1.1.7: refused, ran: not_run, reason: no_room", ""},
	{[]string{"story", "--json", "entry-1.1.7"}, exitOK, `"ran": "not_run"`, ""},
	{[]string{"story", "entry-1.1.8"}, exitRefused, "", "no story of this request"},
	{[]string{"story"}, exitUsage, "", "REQUEST_ID is required"},
	{[]string{"status"}, exitOK, "side-1   howrah  app    marketplace-app  draining  -      -                         2", ""},
	{[]string{"status", "--json"}, exitOK, `"table_version": 1`, ""},
	{[]string{"drain", "side-1"}, exitOK, "side-1 is draining\n", ""},
	{[]string{"drain", "side-2"}, exitRefused, "", "no host side-2 is known"},
	{[]string{"drain", "side-1", "--token-file", "absent"}, exitUsage, "", "no such file"},
	{[]string{"drain", "side-1", "--admin", "localhost:1"}, exitUsage, "", "error processing"},
	{[]string{"drain", "side-1", "--ca-file", "new.csv"}, exitUsage, "", "holds no certificate"},
	{[]string{"drain", "side-1", "--admin", "127.0.0.1:1"}, exitUnreachable, "", "no answer from the administration address"},
	{[]string{"table", "set", "--admin", "127.0.0.1:1", "a/b/c", "d=e"}, exitUnreachable, "", "no answer from the administration address"},
}

func TestOperatorCommands(t *testing.T) {
	startAdmin(t)
	files := map[string]string{
		"new.csv":    writeFile(t, "new.csv", tableHeader+"appraiser-lm,*,appraisal,appraisal,7,8,0,0,1m,0s,0s,false,3,false,0\n"),
		"bad.csv":    writeFile(t, "bad.csv", tableHeader+"appraiser-lm,*,appraisal,appraisal,x,8,0,0,1m,0s,0s,false,3,false,0\n"),
		"absent.csv": filepath.Join(t.TempDir(), "absent.csv"),
	}
	for _, c := range commandCases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			args := append([]string(nil), c.args...)
			for i, a := range args {
				if f, ok := files[a]; ok {
					args[i] = f
				}
			}
			code, out, errs := run(args...)
			require.Equal(t, c.code, code, errs)
			require.Contains(t, out, c.out)
			require.Contains(t, errs, c.errs)
			if code != exitOK && errs != "" {
				require.True(t, strings.HasPrefix(errs, "jacinthworks: "), errs)
			}
			require.NotContains(t, out+errs, operatorToken)
		})
	}
}

func TestCommandWithoutTokenReturnsUsageError(t *testing.T) {
	startAdmin(t)
	t.Setenv("JACINTHWORKS_TOKEN", "")
	code, _, errs := run("status")
	require.Equal(t, exitUsage, code)
	require.Equal(t, "jacinthworks: no token: give --token-file or set JACINTHWORKS_TOKEN\n", errs)
	code, _, errs = run("status", "--token-file", writeFile(t, "token", "a-callers-own-token\n"))
	require.Equal(t, exitRefused, code)
	require.Contains(t, errs, "needs an operator's bearer token")
	code, _, _ = run("status", "--token-file", writeFile(t, "token", operatorToken+"\n"))
	require.Equal(t, exitOK, code)
}

func TestTLSWithCAFileTrustsServerCertificate(t *testing.T) {
	server := httptest.NewUnstartedServer(adminHandler(t))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	t.Setenv("JACINTHWORKS_ADMIN", strings.TrimPrefix(server.URL, "https://"))
	t.Setenv("JACINTHWORKS_TOKEN", operatorToken)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	code, out, errs := run("status", "--ca-file", writeFile(t, "ca.pem", string(certificate)))
	require.Equal(t, exitOK, code, errs)
	require.Contains(t, out, "side-1")
	code, _, _ = run("status")
	require.Equal(t, exitRefused, code, "the server rejects a connection without TLS")
}

func TestCheckPrintsEveryFinding(t *testing.T) {
	code, _, errs := run("check", writeFile(t, "side.toml", "role = \"baker\"\nname = \"a.b\"\n"))
	require.Equal(t, exitRefused, code)
	require.Contains(t, errs, "side.toml:1 role: must be one of prefill, decode, app, not \"baker\"")
	require.Contains(t, errs, "side.toml:2 name: must be")
	require.Contains(t, errs, "side.toml upstream: is missing")
	code, _, errs = run("check", writeFile(t, "entry.toml", "listen = 5\n"))
	require.Equal(t, exitRefused, code)
	require.Contains(t, errs, "entry.toml:1 listen: must be a text in quotes, not a whole number")
	code, out, _ := run("check", filepath.Join("samples", "entry-1.toml"))
	require.Equal(t, exitOK, code)
	require.Equal(t, "samples/entry-1.toml is valid\n", out)
	code, _, errs = run("check", writeFile(t, "table.json", `{"rows":[{"weight":-1}]}`))
	require.Equal(t, exitRefused, code)
	require.Contains(t, errs, "row 1 // weight: must be 0 to 1000, not -1")
	code, _, _ = run("check", filepath.Join(t.TempDir(), "absent.toml"))
	require.Equal(t, exitUsage, code)
}
