// Package logsink writes a log without ever blocking or terminating the program that logs. If the file system is full, or a
// pipe is not read or its reader has exited, log lines are lost and nothing else happens.
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

// queueLines is the maximum number of lines that wait to be written; further lines are dropped.
const queueLines = 4096

// Writer is an io.Writer whose writes neither block nor fail. It is safe for concurrent use, until Close is called.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// New returns a Writer that writes lines to out in the background. It makes the process ignore SIGPIPE, so that a broken pipe
// does not terminate it.
func New(out io.Writer) *Writer {
	signal.Ignore(syscall.SIGPIPE)
	w := &Writer{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// run writes lines from the queue until it is closed, and reports dropped lines in the log after the next line that is written.
func (w *Writer) run() {
	defer close(w.done)
	reported := uint64(0)
	for line := range w.queue {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
			continue
		}
		if n := w.dropped.Load(); n > reported {
			if _, err := fmt.Fprintf(w.out,
				"{\"level\":\"warn\",\"dropped\":%d,\"message\":\"lines of the log were dropped\"}\n", n); err == nil {
				reported = n
			}
		}
	}
}

// Write queues one line. The line is dropped if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost so far, because the queue was full or writing failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written, but no longer than timeout. Write must not be called after it.
func (w *Writer) Close(timeout time.Duration) {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
