// Package logsink writes a log without ever holding up or ending the program that logs: a file that is full, a pipe that
// nobody reads or whose reader is gone costs lines of the log and nothing else.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// queueLines bounds the lines that wait to be written; one more is dropped.
const queueLines = 4096

// Writer is an io.Writer whose writes neither block nor fail. It is safe for concurrent use until Close.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// New returns a Writer that passes lines on. From then on a broken pipe no longer ends the process.
func New(out io.Writer) *Writer {
	signal.Ignore(syscall.SIGPIPE)
	w := &Writer{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	told := uint64(0)
	for line := range w.queue {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
			continue
		}
		if n := w.dropped.Load(); n > told {
			if _, err := fmt.Fprintf(w.out, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"lines of the log were dropped\"}\n", n); err == nil {
				told = n
			}
		}
	}
}

// Write takes one line. It is dropped if too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were not written so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, for so long at most. Nothing may be written after it.
func (w *Writer) Close(most time.Duration) {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(most):
	}
}
