// Package spool passes log lines on without ever holding up who writes them.
//
// # Usage
//
//	w := &spool.Writer{To: os.Stdout}
//	go w.Run()
//	defer w.Close() // passes on what is held, within closeWithin
//	log := hclog.New(&hclog.LoggerOptions{Output: w})
//
// Failure: the reader of standard output stalls. Without the spool the first
// line that finds the pipe full stops the goroutine that wrote it, with its
// request, and soon every one. Here lines beyond the bound are dropped and
// counted.
package spool

import (
	"io"
	"sync"
	"time"
)

const (
	// maxHeld bounds the bytes held: some seconds of lines at the peak.
	maxHeld = 512 << 10
	// gather is how long lines are gathered before they are written together:
	// a write costs about as much processor time as ten lines.
	gather = 100 * time.Millisecond
	// closeWithin bounds the wait for the reader at the end.
	closeWithin = 200 * time.Millisecond
)

// Writer holds lines until they can be written. Set To before the first
// Write; it must not be copied. It is safe for concurrent use.
type Writer struct {
	Output io.Writer

	mu      sync.Mutex // a leaf
	held    []byte
	dropped int
	once    sync.Once
	wake    chan struct{}
	stop    chan struct{}
	ended   chan struct{}
}

func (w *Writer) init() {
	w.once.Do(func() {
		w.wake, w.stop, w.ended = make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	})
}

// Write holds a line. It never blocks, and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.init()
	w.mu.Lock()
	if len(w.held)+len(line) > maxHeld {
		w.dropped++
	} else {
		w.held = append(w.held, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped counts the lines that found no room.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run passes lines on until Close.
func (w *Writer) Run() {
	w.init()
	defer close(w.ended)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
		}
		t := time.NewTimer(gather)
		select {
		case <-w.stop:
		case <-t.C:
		}
		t.Stop()
		w.flush()
	}
}

// flush writes what is held. An error of the reader's side has nobody to be
// told to: the lines are lost with it.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.held
	w.held = nil
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.Output.Write(lines)
	}
}

// Close passes on what is held, and gives up where the reader stalls.
func (w *Writer) Close() {
	w.init()
	close(w.stop)
	t := time.NewTimer(closeWithin)
	defer t.Stop()
	select {
	case <-w.ended:
	case <-t.C:
	}
}
