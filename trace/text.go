package trace

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

// WriteText writes the trace as text for a person: a line with the outcome, a line with
// the caller and the kind, one line per event with the time since the first event, then
// what is missing and the findings.
func (t Trace) WriteText(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "request %s: %s, ran: %s", t.Request, t.State, t.Execution)
	if t.Reason != "" {
		fmt.Fprintf(&b, ", reason: %s", t.Reason)
	}
	b.WriteByte('\n')
	t.writeOwner(&b)
	for _, e := range t.Events {
		t.writeEvent(&b, e)
	}
	for _, m := range t.Missing {
		fmt.Fprintf(&b, "  missing: %s\n", m)
	}
	for _, f := range t.Findings {
		fmt.Fprintf(&b, "  finding: %s\n", f)
	}
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "trace: write text")
}

func (t Trace) writeOwner(b *bytes.Buffer) {
	for _, e := range t.Events {
		if e.Caller == "" {
			continue
		}
		fmt.Fprintf(b, "  caller %s, kind %s, service %s, idempotent %t, first seen %s\n",
			e.Caller, e.RequestKind, e.Service, e.Idempotent, formatTime(e))
		return
	}
}

func (t Trace) writeEvent(b *bytes.Buffer, e Event) {
	since := e.Time.Sub(t.Events[0].Time)
	attempt := "-"
	if e.Attempt != 0 {
		attempt = fmt.Sprint(e.Attempt)
	}
	ms := float64(since) / float64(time.Millisecond)
	fmt.Fprintf(b, "  %+10.1fms  %-16s #%s  %s\n", ms, e.Host, attempt, e)
}
