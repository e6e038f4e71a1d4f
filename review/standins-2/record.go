package main

import "strings"

// recordCalls writes a line for each call: what was sent when and where, what came back, and which servers began
// to run it.
func recordCalls(p *play, f *fleet, calls []*call) {
	f.mu.Lock()
	ran := make(map[string][]string)
	for _, r := range f.runs {
		if !r.prefill {
			ran[r.id] = append(ran[r.id], r.server)
		}
	}
	f.mu.Unlock()
	for _, q := range calls {
		end := "whole"
		if !q.whole {
			end = "not whole"
		}
		if q.err != nil {
			end += ", " + q.err.Error()
		}
		p.logf("call %s %s %s sent to %s at %.3f s: status %d, %d bytes, %s, %.3f s; run by [%s]",
			q.id, q.method, q.target, q.entry, p.since(q.sent), q.status, len(q.got), end, q.ended.Sub(q.sent).Seconds(), strings.Join(ran[q.id], " "))
	}
}
