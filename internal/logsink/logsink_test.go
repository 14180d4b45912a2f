package logsink

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck blocks all writes until let is closed, and then returns err from each.
type stuck struct {
	let  chan struct{}
	mu   sync.Mutex
	text strings.Builder
	err  error
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.Write(b)
	return len(b), s.err
}

func TestWritesNeverWaitAndNeverFail(t *testing.T) {
	s := &stuck{let: make(chan struct{})}
	w := New(s)
	start := time.Now()
	for range queueLines + 100 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("writes to a blocked output took %v", took)
	}
	if n := w.Dropped(); n < 99 || n > 100 { // one may have been taken off the queue
		t.Errorf("%d lines dropped, want those that exceed the queue", n)
	}
	w.Close(time.Millisecond) // returns although the output is blocked
	close(s.let)
	<-w.done
	if n := strings.Count(s.text.String(), "line\n"); n != queueLines+100-int(w.Dropped()) {
		t.Errorf("%d lines written", n)
	}
	if !strings.Contains(s.text.String(), `"message":"lines of the log were dropped"`) {
		t.Error("the log does not say that lines are missing")
	}
}

func TestFailingWritesAreCounted(t *testing.T) {
	s := &stuck{let: make(chan struct{}), err: errors.New("no space")}
	close(s.let)
	w := New(s)
	for range 3 {
		_, _ = w.Write([]byte("x\n"))
	}
	w.Close(10 * time.Second)
	if w.Dropped() != 3 {
		t.Errorf("%d lines dropped, want 3", w.Dropped())
	}
}
