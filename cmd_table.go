package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"jacinthworks/admin"
	"jacinthworks/domain"
	"jacinthworks/editor"
	"jacinthworks/table"
)

type tableArgs struct {
	adminArgs
	Get   *tableGetArgs   `arg:"subcommand:get" help:"print the table"`
	Set   *tableSetArgs   `arg:"subcommand:set" help:"change cells of one row"`
	Diff  *tableDiffArgs  `arg:"subcommand:diff" help:"print what apply would change; exit code 1 if there are changes"`
	Apply *tableApplyArgs `arg:"subcommand:apply" help:"make the table equal to a file, in one atomic edit"`
}

type tableGetArgs struct {
	CSV bool `arg:"--csv" help:"print CSV, and the table version to the error output"`
}

type tableSetArgs struct {
	Row   string   `arg:"positional,required" help:"SERVICE/ZONE/KIND; zone * matches all zones without a row of their own" placeholder:"ROW"`
	Cells []string `arg:"positional,required" help:"COLUMN=VALUE" placeholder:"CELL"`
}

type tableDiffArgs struct {
	File string `arg:"positional,required" help:"table as JSON or .csv" placeholder:"FILE"`
}

type tableApplyArgs struct {
	File    string  `arg:"positional,required" help:"table as JSON or .csv" placeholder:"FILE"`
	Version *uint64 `arg:"--version" help:"table version that the file is based on; default is the version in a JSON file, or 0" placeholder:"N"`
}

var cmdTable = command{name: "table", help: "get, set, diff or apply the operators' table", run: runTable}

func runTable(ctx context.Context, args []string, out, errs io.Writer) int {
	var a tableArgs
	c, code, done := connectAdmin("table", args, &a, &a.adminArgs, out, errs)
	if done {
		return code
	}
	switch {
	case a.Get != nil:
		return a.Get.run(ctx, c, out, errs)
	case a.Set != nil:
		return a.Set.run(ctx, c, out, errs)
	case a.Diff != nil:
		return a.Diff.run(ctx, c, out, errs)
	case a.Apply != nil:
		return a.Apply.run(ctx, c, out, errs)
	}
	fmt.Fprintln(errs, "jacinthworks: table needs get, set, diff or apply")
	return exitUsage
}

func (a *tableGetArgs) run(ctx context.Context, c *admin.Client, out, errs io.Writer) int {
	t, err := c.Table(ctx)
	if err != nil {
		return reportError(err, errs)
	}
	if !a.CSV {
		return reportError(writeIndented(out, t), errs)
	}
	text, err := t.EncodeCSV()
	if err != nil {
		return reportError(err, errs)
	}
	fmt.Fprintf(errs, "version %d\n", t.Version())
	_, err = out.Write(text)
	return reportError(err, errs)
}

func (a *tableSetArgs) run(ctx context.Context, c *admin.Client, out, errs io.Writer) int {
	change, err := a.change()
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitUsage
	}
	return submitEdit(ctx, c, admin.EditRequest{Edit: table.Edit{Changes: []table.Change{change}}}, out, errs)
}

func (a *tableSetArgs) change() (table.Change, error) {
	parts := strings.Split(a.Row, "/")
	if len(parts) != 3 {
		return table.Change{}, errors.Errorf("a row is SERVICE/ZONE/KIND: %q", a.Row)
	}
	key := table.Key{Service: domain.Service(parts[0]), Zone: domain.Zone(parts[1]), Kind: domain.Kind(parts[2])}
	var cells []table.Cell
	for _, text := range a.Cells {
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			return table.Change{}, errors.Errorf("a cell is COLUMN=VALUE: %q", text)
		}
		cells = append(cells, table.Cell{Column: table.Column(name), Value: table.Value(value)})
	}
	return table.Set(key, cells...), nil
}

func (a *tableDiffArgs) run(ctx context.Context, c *admin.Client, out, errs io.Writer) int {
	wanted, err := readTable(a.File)
	if err != nil {
		return reportError(err, errs)
	}
	now, err := c.Table(ctx)
	if err != nil {
		return reportError(err, errs)
	}
	changes := table.Diff(now, wanted)
	fmt.Fprint(out, changes)
	if len(changes) > 0 {
		return exitRefused
	}
	return exitOK
}

// run submits the difference between the operators' table and the file as one edit, and
// only if the table is still at the version on which the file is based.
//
// A file also contains the cells of other teams as they were at that version. Applied to
// a later version, it would undo edits that were accepted since.
func (a *tableApplyArgs) run(ctx context.Context, c *admin.Client, out, errs io.Writer) int {
	wanted, err := readTable(a.File)
	if err != nil {
		return reportError(err, errs)
	}
	from := wanted.Version()
	if a.Version != nil {
		from = table.Version(*a.Version)
	}
	now, err := c.Table(ctx)
	if err != nil {
		return reportError(err, errs)
	}
	if now.Version() != from {
		return reportError(errors.Errorf("%s was made from version %d and the table is at %d: get it again, or look at the diff and give --version",
			a.File, from, now.Version()), errs)
	}
	changes := table.Diff(now, wanted)
	if len(changes) == 0 {
		fmt.Fprintf(out, "nothing to change at version %d\n", from)
		return exitOK
	}
	fmt.Fprint(out, changes)
	return submitEdit(ctx, c, admin.EditRequest{Edit: table.Edit{Changes: changes}, IfMatch: &from}, out, errs)
}

func readTable(file string) (table.Table, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return table.Table{}, err
	}
	t, err := decodeTable(file, text)
	if err != nil {
		return t, errors.Errorf("%s is not a valid table\n%s", file, findingsText(err))
	}
	return t, nil
}

// submitEdit sends an edit of the operators' table, prints its outcome and returns the exit
// code of the command.
func submitEdit(ctx context.Context, c *admin.Client, e admin.EditRequest, out, errs io.Writer) int {
	e.Edit.ID = admin.NewEditID()
	o, err := c.Edit(ctx, e)
	if err != nil {
		return reportError(err, errs)
	}
	switch o.State {
	case editor.Accepted:
		fmt.Fprintf(out, "accepted at version %d\n", o.Version)
		return exitOK
	case editor.Refused:
		fmt.Fprintf(errs, "jacinthworks: edit refused (%s), nothing of it is in force\n", o.Reason)
		printLines(errs, o.Detail, o.Findings.Error())
		return exitRefused
	}
	fmt.Fprintf(errs, "jacinthworks: edit %s is unsettled: it may be in force or come into force; see `jacinthworks table get`\n", e.Edit.ID)
	printLines(errs, o.Detail)
	return exitUnreachable
}

func printLines(w io.Writer, lines ...string) {
	for _, l := range lines {
		if l != "" {
			fmt.Fprintln(w, l)
		}
	}
}
