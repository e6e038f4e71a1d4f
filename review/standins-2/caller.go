package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one request of a caller, and what the caller got.
type call struct {
	id, method, target string
	headers            http.Header
	body               string
	sent, ended        time.Time
	entry              string
	status             int
	stamp              string
	answerID           string
	got                string
	err                error
	whole              bool
}

// caller sends requests on connections of its own.
type caller struct {
	mu    sync.Mutex
	calls []*call
	n     int
}

const host = "site.example"

// newCall prepares a request with an id of its own.
func (c *caller) newCall(method, target, body string, deadlineMS int) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	q := &call{id: fmt.Sprintf("9c41d07b%08x", c.n), method: method, target: target, body: body, headers: http.Header{}}
	q.headers.Set("X-Request-Id", q.id)
	q.headers.Set("X-Deadline-Ms", fmt.Sprint(deadlineMS))
	c.calls = append(c.calls, q)
	return q
}

// stream prepares a streamed request.
func (c *caller) stream(prefix string, in, out int) *call {
	q := c.newCall("POST", prefix+"x", "prompt", 14000)
	q.headers.Set("X-Model", "m")
	q.headers.Set("X-Token-Usage", fmt.Sprintf("%d,%d", in, 3*out))
	q.headers.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%s:%d", q.id, in-200))
	return q
}

// send sends a call to an entry on a new connection and reads the whole answer.
func (q *call) send(e *entry) { q.sendTo(e.name, e.front) }

func (q *call) sendTo(name, addr string) {
	q.entry, q.sent = name, time.Now()
	defer func() { q.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		q.err = err
		return
	}
	defer c.Close()
	q.err = q.on(c)
}

// text is the request as it is sent.
func (q *call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.target, host)
	for k, vs := range q.headers {
		for _, v := range vs {
			fmt.Fprintf(&b, "%s: %s\r\n", k, v)
		}
	}
	if q.body != "" || q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// on sends the call on a connection.
func (q *call) on(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(16 * time.Second))
	if _, err := io.WriteString(c, q.text()); err != nil {
		return err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	q.status, q.stamp, q.answerID = r.StatusCode, r.Header.Get("X-Server-Stamp"), r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	q.got, q.whole = string(body), err == nil
	return err
}

// gone reports whether the connection ended without an answer.
func (q *call) gone() bool { return q.status == 0 && q.err != nil && !errors.Is(q.err, errNotSent) }

var errNotSent = errors.New("not sent")

// splitConfiguration is a later version of the operator's configuration, with routes that are new: a
// streaming one to the plain service, and one that is split between both services.
func splitConfiguration(version int) map[string]any {
	c := configuration(version, 14000)
	stream := func(name, prefix string, to map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1,
			"maxAttempts": 1, "stickySessions": true, "resumable": false, "targetGapMs": 300,
		}
		for k, v := range to {
			r[k] = v
		}
		return r
	}
	c["routes"] = append(c["routes"].([]any),
		stream("r-moved", "/moved/", map[string]any{"service": "app"}),
		stream("r-split", "/split/", map[string]any{"split": []any{map[string]any{"service": "lm", "weight": 90}, map[string]any{"service": "app", "weight": 10}}}),
	)
	return c
}

// configuration is the operator's, with a streaming route, a resumable one, an idempotent and a
// non-idempotent one.
func configuration(version int, timeoutMS int) map[string]any {
	stream := func(name, prefix string, resumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": timeoutMS, "targetLatencyMs": 900, "priority": 1,
			"service": "lm", "maxAttempts": attempts, "stickySessions": true, "resumable": resumable, "targetGapMs": 300,
		}
	}
	plain := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2,
			"service": "app", "maxAttempts": attempts,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			stream("r-once", "/once/", false, 1), stream("r-again", "/again/", true, 2),
			plain("r-enquiry", "/enquiry/", "non_idempotent", 1), plain("r-page", "/page/", "idempotent", 2),
		},
		"services": []any{
			map[string]any{
				"name": "lm", "healthPath": "/health", "maxConnections": 360,
				"engine": map[string]any{"stride": stride, "kvCapacityTokens": kvTotal, "switchS": switchTime.Seconds(), "holdMs": 2000, "kvHoldS": 0.5, "kvTokenBytes": 18432},
			},
			map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}
