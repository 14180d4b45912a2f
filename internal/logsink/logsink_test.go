package logsink

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks all writes until unblock is closed, and then returns err from each.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    strings.Builder
	err     error
}

func (blocked *blockingWriter) Write(b []byte) (int, error) {
	<-blocked.unblock
	blocked.mu.Lock()
	defer blocked.mu.Unlock()
	blocked.text.Write(b)
	return len(b), blocked.err
}

func TestWritesNeverBlockAndNeverFail(t *testing.T) {
	output := &blockingWriter{unblock: make(chan struct{})}
	writer := New(output)
	start := time.Now()
	for range queueLines + 100 {
		if n, err := writer.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("writes to a blocked output took %v", took)
	}
	if n := writer.Dropped(); n < 99 || n > 100 { // one may have been taken off the queue
		t.Errorf("%d lines dropped, want those that exceed the queue", n)
	}
	writer.Close(time.Millisecond) // returns although the output is blocked
	close(output.unblock)
	<-writer.done
	if n := strings.Count(output.text.String(), "line\n"); n != queueLines+100-int(writer.Dropped()) {
		t.Errorf("%d lines written", n)
	}
	if !strings.Contains(output.text.String(), `"message":"lines of the log were dropped"`) {
		t.Error("the log does not say that lines are missing")
	}
}

func TestFailingWritesAreCounted(t *testing.T) {
	output := &blockingWriter{unblock: make(chan struct{}), err: errors.New("no space")}
	close(output.unblock)
	writer := New(output)
	for range 3 {
		_, _ = writer.Write([]byte("x\n"))
	}
	writer.Close(10 * time.Second)
	if writer.Dropped() != 3 {
		t.Errorf("%d lines dropped, want 3", writer.Dropped())
	}
}
