package main

import (
	"context"
	"encoding/json"
	"io"

	"jacinthworks/domain"
)

type storyArgs struct {
	adminArgs
	Request domain.RequestID `arg:"positional,required" help:"the Request-Id header of the response" placeholder:"REQUEST_ID"`
	JSON    bool             `arg:"--json" help:"print JSON"`
}

var cmdStory = command{name: "story", help: "show the trace of one request", run: runStory}

func runStory(ctx context.Context, args []string, out, errs io.Writer) int {
	var a storyArgs
	c, code, done := connectAdmin("story", args, &a, &a.adminArgs, out, errs)
	if done {
		return code
	}
	trace, err := c.Trace(ctx, a.Request)
	if err != nil {
		return reportError(err, errs)
	}
	if a.JSON {
		return reportError(writeIndented(out, trace), errs)
	}
	return reportError(trace.WriteText(out), errs)
}

func writeIndented(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
