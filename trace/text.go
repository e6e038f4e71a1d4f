package trace

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

// WriteText writes the account for a person: a line that says how it ended,
// whose it was, one line an event with its time since the first, what is
// missing and what contradicts itself.
func (a Trace) WriteText(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "request %s: %s, ran: %s", a.Request, a.State, a.Ran)
	if a.Reason != "" {
		fmt.Fprintf(&b, ", reason: %s", a.Reason)
	}
	b.WriteByte('\n')
	a.writeOwner(&b)
	for _, e := range a.Events {
		a.writeEvent(&b, e)
	}
	for _, m := range a.Missing {
		fmt.Fprintf(&b, "  missing: %s\n", m)
	}
	for _, f := range a.Findings {
		fmt.Fprintf(&b, "  finding: %s\n", f)
	}
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "trace: write text")
}

func (a Trace) writeOwner(b *bytes.Buffer) {
	for _, e := range a.Events {
		if e.Caller == "" {
			continue
		}
		fmt.Fprintf(b, "  caller %s, kind %s, service %s, idempotent %t, first seen %s\n",
			e.Caller, e.RequestKind, e.Service, e.Idempotent, stamp(e))
		return
	}
}

func (a Trace) writeEvent(b *bytes.Buffer, e Event) {
	since := e.Time.Sub(a.Events[0].Time)
	attempt := "-"
	if e.Attempt != 0 {
		attempt = fmt.Sprint(e.Attempt)
	}
	ms := float64(since) / float64(time.Millisecond)
	fmt.Fprintf(b, "  %+10.1fms  %-16s #%s  %s\n", ms, e.Host, attempt, e)
}
