package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// call is a request of a client.
type call struct {
	id, method, target, body string
	deadline                 time.Duration
	in, out                  int // tokens; zero for a plain request
	parts                    string
	resumes, lastEvent       string
}

// outcome is what the client got.
type outcome struct {
	status int
	stamp  string
	id     string
	body   string
	whole  bool // the answer is complete by its framing
	// framed means that the answer has a length or chunks.
	framed  bool
	err     error
	closing bool
	// retryAfter is the time after which to come again; zero if the answer does not say.
	retryAfter time.Duration
}

// client is a client with one connection to one entry.
type client struct {
	entry  string
	conn   net.Conn
	reader *bufio.Reader
}

var lastCall atomic.Int64

// newID returns an id that is unique in this run.
func newID() string { return fmt.Sprintf("%s%04x", newHex(), lastCall.Add(1)&0xffff) }

// text returns the call as bytes. The target is written as it is.
func (c call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.target, host, c.id, c.deadline.Milliseconds())
	if c.in > 0 {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: %s\r\n", c.in, c.out, c.parts)
	}
	if c.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", c.lastEvent, c.resumes)
	}
	if c.body != "" || c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	return b.String() + "\r\n" + c.body
}

// do sends a call and reads its answer, within the call's deadline.
func (k *client) do(ctx context.Context, c call) (o outcome) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	if k.conn == nil {
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.DialContext(ctx, "tcp", k.entry)
		if err != nil {
			return outcome{err: err}
		}
		k.conn, k.reader = conn, bufio.NewReader(conn)
	}
	conn := k.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	o = k.exchange(c)
	if !stop() || o.err != nil || o.closing {
		k.close()
	}
	return o
}

func (k *client) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

func (k *client) exchange(c call) (o outcome) {
	if _, err := io.WriteString(k.conn, c.text()); err != nil {
		return outcome{err: err}
	}
	a, err := http.ReadResponse(k.reader, &http.Request{Method: c.method})
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(a.Body)
	seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	return outcome{
		retryAfter: time.Duration(seconds * float64(time.Second)),
		status:     a.StatusCode, stamp: a.Header.Get("X-Server-Stamp"), id: a.Header.Get("X-Request-Id"), body: string(body),
		whole: err == nil, framed: a.ContentLength >= 0 || len(a.TransferEncoding) > 0, err: err, closing: a.Close,
	}
}

// String describes an outcome for the record.
func (o outcome) String() string {
	if o.status == 0 {
		return fmt.Sprintf("no answer (%v)", o.err)
	}
	return fmt.Sprintf("%d stamp=%q id=%q whole=%t bytes=%d body=%.120q", o.status, o.stamp, o.id, o.whole, len(o.body), o.body)
}
