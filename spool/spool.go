// Package spool buffers log lines, so that a slow output never blocks the goroutines
// that write them.
//
// # Usage
//
//	w := &spool.Writer{Output: os.Stdout}
//	go w.Run()
//	defer w.Close() // writes the buffered lines, waits at most closeTimeout
//	log := hclog.New(&hclog.LoggerOptions{Output: w})
//
// If the reader of standard output stalls, the pipe becomes full, and an unbuffered
// write blocks the goroutine that logs, with its request, and soon all goroutines. A
// Writer drops and counts the lines that exceed its buffer instead.
package spool

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the buffered lines in bytes: some seconds of log lines at the
	// peak rate.
	maxBuffered = 512 << 10
	// flushDelay is how long lines are collected before they are written together: a
	// write costs about as much processor time as the processing of ten lines.
	flushDelay = 100 * time.Millisecond
	// closeTimeout bounds the time for which Close waits for the last write to Output.
	closeTimeout = 200 * time.Millisecond
)

// Writer buffers lines and writes them to Output. Set Output before the first Write. A
// Writer must not be copied. It is safe for concurrent use.
type Writer struct {
	Output io.Writer

	mu       sync.Mutex // leaf lock: no other lock is acquired while it is held
	buffered []byte
	dropped  int
	once     sync.Once
	wakeup   chan struct{}
	stop     chan struct{}
	done     chan struct{}
}

func (w *Writer) init() {
	w.once.Do(func() {
		w.wakeup, w.stop, w.done = make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	})
}

// Write adds a line to the buffer, or drops it if the buffer is full. It never blocks
// on Output and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.init()
	w.mu.Lock()
	if len(w.buffered)+len(line) > maxBuffered {
		w.dropped++
	} else {
		w.buffered = append(w.buffered, line...)
	}
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full, or Output failed.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes buffered lines to Output until Close is called.
func (w *Writer) Run() {
	w.init()
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wakeup:
		}
		t := time.NewTimer(flushDelay)
		select {
		case <-w.stop:
		case <-t.C:
		}
		t.Stop()
		w.flush()
	}
}

// flush writes the buffered lines. An error of Output cannot be reported there, so the lines are
// counted as dropped.
func (w *Writer) flush() {
	w.mu.Lock()
	buffered := w.buffered
	w.buffered = nil
	w.mu.Unlock()
	if len(buffered) == 0 {
		return
	}
	if n, err := w.Output.Write(buffered); err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.dropped += bytes.Count(buffered[n:], []byte("\n"))
	}
}

// Close stops Run, which writes the buffered lines first, and waits for it at most
// closeTimeout in case the reader of Output stalls. It must be called once.
func (w *Writer) Close() {
	w.init()
	close(w.stop)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
