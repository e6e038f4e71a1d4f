package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"jacinthworks/conf"
	"jacinthworks/table"
)

type checkArgs struct {
	File string `arg:"positional,required" help:"settings of an entry or a side (.toml), or a table (.json, .csv)" placeholder:"FILE"`
}

var cmdCheck = command{name: "check", help: "validate a settings file or a table file", run: runCheck}

func runCheck(_ context.Context, args []string, out, errs io.Writer) int {
	var a checkArgs
	if code, done := parseArgs("check", args, &a, out, errs); done {
		return code
	}
	text, err := os.ReadFile(a.File)
	if err != nil {
		fmt.Fprintln(errs, "jacinthworks:", err)
		return exitUsage
	}
	switch filepath.Ext(a.File) {
	case ".json", ".csv":
		_, err = decodeTable(a.File, text)
	default:
		err = conf.CheckFile(a.File, text)
	}
	if err != nil {
		fmt.Fprintf(errs, "jacinthworks: %s is invalid\n%s\n", a.File, findingsText(err))
		return exitRefused
	}
	fmt.Fprintf(out, "%s is valid\n", a.File)
	return exitOK
}

// decodeTable decodes the text of a table file as CSV if the file has the extension .csv,
// otherwise as JSON.
func decodeTable(file string, text []byte) (table.Table, error) {
	if filepath.Ext(file) == ".csv" {
		return table.DecodeCSV(text)
	}
	return table.DecodeRows(text)
}

// findingsText returns the findings of an error, one per line, or the error's text if it
// has none.
func findingsText(err error) string {
	var r *table.Rejection
	if errors.As(err, &r) {
		return r.Findings.Error()
	}
	return err.Error()
}
