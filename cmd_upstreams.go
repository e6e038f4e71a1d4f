package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/admin"
	"jacinthworks/direct"
	"jacinthworks/domain"
	"jacinthworks/send"
)

// viewArgs are the arguments of the commands that show what an entry of `direct` knows.
type viewArgs struct {
	Entry netip.AddrPort `arg:"--entry,required" help:"metrics address of an entry that runs direct" placeholder:"IP:PORT"`
	JSON  bool           `arg:"--json" help:"print JSON"`
}

// viewTimeout bounds the reading of a view.
const viewTimeout = 5 * time.Second

// maxView bounds a view, in bytes; an upstream takes some hundred.
const maxView = 16 << 20

var (
	cmdUpstreams = command{name: "upstreams", help: "show what an entry of direct knows of each upstream", run: runUpstreams}
	cmdShares    = command{name: "shares", help: "show slots and shares as an entry of direct knows them", run: runShares}
)

func runUpstreams(ctx context.Context, args []string, out, errs io.Writer) int {
	return runView(ctx, "upstreams", args, direct.UpstreamsPath, writeUpstreams, out, errs)
}

func runShares(ctx context.Context, args []string, out, errs io.Writer) int {
	return runView(ctx, "shares", args, direct.ServicesPath, writeShares, out, errs)
}

// runView fetches a view and writes it as a table or as JSON.
func runView[V any](ctx context.Context, name string, args []string, path string, write func(io.Writer, []V) error, out, errs io.Writer) int {
	var a viewArgs
	if code, done := parseArgs(name, args, &a, out, errs); done {
		return code
	}
	view, err := fetchView[V](ctx, a.Entry, path)
	switch {
	case err != nil:
		return reportError(err, errs)
	case a.JSON:
		return reportError(writeIndented(out, view), errs)
	}
	return reportError(write(out, view), errs)
}

func fetchView[V any](ctx context.Context, entry netip.AddrPort, path string) (view []V, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	client := send.Client{Addr: entry}
	defer client.CloseIdleConnections()
	reply, err := client.Do(ctx, send.Request{Method: http.MethodGet, Target: path})
	if err != nil {
		return nil, errors.Wrap(admin.ErrUnreachable, err.Error())
	}
	body, err := reply.ReadAll(maxView)
	switch {
	case err != nil:
		return nil, errors.Wrap(admin.ErrUnreachable, err.Error())
	case reply.Status != http.StatusOK:
		return nil, errors.Errorf("the entry answered with status %d", reply.Status)
	}
	return view, errors.Wrap(json.Unmarshal(body, &view), "decoding the entry's answer")
}

func writeUpstreams(out io.Writer, all []direct.UpstreamView) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tUPSTREAM\tZONE\tROLE\tSOFTWARE\tSLOTS\tOWN\tOTHERS\tFAILS\tTIME\tOBSERVED\tHOST LOAD\tEXCLUDED")
	for _, v := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%.1f\t%.2f\t%.2f\t%d\t%.2f\t%s\n",
			v.Service, v.Upstream, v.Zone, orDash(string(v.Role)), orDash(string(v.Software)), v.Slots, v.Own, v.Others, v.Fails, v.Factor, v.Observations, v.HostLoad, orDash(v.Excluded))
	}
	return w.Flush()
}

func writeShares(out io.Writer, all []direct.ServiceView) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tSERVERS\tRUNNING\tLIMIT\tWAITING\tPER SECOND\tACCOUNTS OVER THEIR SHARES")
	for _, v := range all {
		servers, running, limit, waiting, rate := "-", "-", "-", "-", "-"
		if p := v.Slots; p != nil {
			servers, running, limit, waiting, rate = fmt.Sprint(p.Servers), fmt.Sprint(p.Running), fmt.Sprint(p.Limit), fmt.Sprint(p.Waiting), fmt.Sprint(p.PerSecond)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", v.Service, servers, running, limit, waiting, rate, orDash(strings.Join(accountNames(v.Over), " ")))
	}
	return w.Flush()
}

func accountNames(all []domain.Account) (names []string) {
	for _, a := range all {
		names = append(names, string(a))
	}
	return names
}
