package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"jacinthworks/admin"
)

type statusArgs struct {
	adminArgs
	JSON bool `arg:"--json" help:"print JSON"`
}

var cmdStatus = command{name: "status", help: "show the state and the table version of each host", run: runStatus}

func runStatus(ctx context.Context, args []string, out, errs io.Writer) int {
	var a statusArgs
	c, code, done := connectAdmin("status", args, &a, &a.adminArgs, out, errs)
	if done {
		return code
	}
	s, err := c.Status(ctx)
	if err != nil {
		return reportError(err, errs)
	}
	if a.JSON {
		return reportError(writeIndented(out, s), errs)
	}
	return reportError(writeStatus(out, s), errs)
}

func writeStatus(out io.Writer, s admin.Status) error {
	fmt.Fprintf(out, "table version %d, as %s knows it\n", s.Version, s.Host)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tROLE\tSERVICE\tSTATE\tTABLE\tIN FORCE SINCE\tIN FLIGHT\tHEARD")
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", h.Host, h.Zone, h.Role, orDash(string(h.Service)),
			h.State, versionText(h), timeText(h.Since), h.InFlight, timeText(h.LastSeen))
	}
	return w.Flush()
}

func versionText(h admin.HostStatus) string {
	if h.Version == 0 {
		return "-"
	}
	return fmt.Sprint(h.Version)
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
