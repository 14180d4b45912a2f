package eventloop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoHandler sends back what it receives, and records the errors with which its connections ended.
type echoHandler struct {
	mu      sync.Mutex
	opened  int
	endErrs []error
	onOpen  func(conn *Conn) Action
	onData  func(conn *Conn, data []byte) Action
}

func (handler *echoHandler) OnOpen(conn *Conn) Action {
	handler.mu.Lock()
	handler.opened++
	handler.mu.Unlock()
	if handler.onOpen != nil {
		return handler.onOpen(conn)
	}
	return None
}

func (handler *echoHandler) OnData(conn *Conn, data []byte) Action {
	if handler.onData != nil {
		return handler.onData(conn, data)
	}
	conn.Write(bytes.Clone(data))
	return None
}

func (handler *echoHandler) OnClose(_ *Conn, err error) {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	handler.endErrs = append(handler.endErrs, err)
}

func (handler *echoHandler) ended() []error {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	return append([]error(nil), handler.endErrs...)
}

func start(t *testing.T, handler *echoHandler, loops int) *Group {
	t.Helper()
	return startWith(t, handler, Options{Loops: loops, Log: zerolog.Nop()})
}

func startWith(t *testing.T, handler *echoHandler, opt Options) *Group {
	t.Helper()
	group, err := New(handler, opt)
	if err != nil {
		t.Fatal(err)
	}
	if err := group.Listen(context.Background(), "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	return group
}

func dial(t *testing.T, group *Group) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", group.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = client.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { client.Close() })
	return client
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// Many connections over one and several loops, with more data at once than a socket accepts. Each kind of end is reported
// with its own error.
func TestEchoAndEndErrors(t *testing.T) {
	for _, loops := range []int{1, 3} {
		handler := &echoHandler{}
		group := start(t, handler, loops)
		text := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		var clients sync.WaitGroup
		for range 10 {
			client := dial(t, group)
			clients.Add(1)
			go func() {
				defer clients.Done()
				go func() { _, _ = client.Write(text) }()
				got := make([]byte, len(text))
				if _, err := io.ReadFull(client, got); err != nil || !bytes.Equal(got, text) {
					t.Errorf("error %v, or the data differs from what was sent", err)
				}
				client.Close()
			}()
		}
		clients.Wait()
		waitUntil(t, "all connections have ended", func() bool { return len(handler.ended()) == 10 })
		broken := dial(t, group)
		waitUntil(t, "it is accepted", func() bool { handler.mu.Lock(); defer handler.mu.Unlock(); return handler.opened == 11 })
		_ = broken.(*net.TCPConn).SetLinger(0)
		broken.Close()
		waitUntil(t, "the connection has ended", func() bool { return len(handler.ended()) == 11 })
		dial(t, group)
		waitUntil(t, "it is accepted", func() bool { handler.mu.Lock(); defer handler.mu.Unlock(); return handler.opened == 12 })
		group.Stop()
		endErrs := handler.ended()
		for _, err := range endErrs[:10] {
			if !errors.Is(err, io.EOF) {
				t.Errorf("a close by the client is reported as %v", err)
			}
		}
		if err := endErrs[10]; err == nil || errors.Is(err, io.EOF) {
			t.Errorf("a reset is reported as %v", err)
		}
		if !errors.Is(endErrs[11], ErrStopped) {
			t.Errorf("the end of the loops is reported as %v", endErrs[11])
		}
		if group.Loops()[0].Execute(func() {}) == nil {
			t.Error("a loop that has ended accepts a task")
		}
	}
}

// A paused connection is not read. Its end is noticed when reading resumes or, with CloseOnPeerShutdown, at once, even with unread
// data before it.
func TestPauseReading(t *testing.T) {
	for _, closeOnPeerShutdown := range []bool{false, true} {
		received := make(chan string, 10)
		conns := make(chan *Conn, 10)
		handler := &echoHandler{
			onOpen: func(conn *Conn) Action { conns <- conn; return None },
			onData: func(conn *Conn, data []byte) Action {
				conn.PauseReading()
				received <- string(data)
				return None
			},
		}
		group := startWith(t, handler, Options{CloseOnPeerShutdown: closeOnPeerShutdown, Log: zerolog.Nop()})
		client := dial(t, group)
		conn := <-conns
		_, _ = client.Write([]byte("one"))
		if text := <-received; text != "one" {
			t.Fatal(text)
		}
		_, _ = client.Write([]byte("two"))
		_ = client.(*net.TCPConn).CloseWrite()
		if closeOnPeerShutdown {
			waitUntil(t, "the end is reported", func() bool { return len(handler.ended()) == 1 })
			if len(received) > 0 {
				t.Error("read while paused")
			}
		} else {
			time.Sleep(50 * time.Millisecond)
			if len(received) > 0 || len(handler.ended()) > 0 {
				t.Fatal("read while paused")
			}
			_ = conn.Loop().Execute(conn.ResumeReading)
			if text := <-received; text != "two" {
				t.Fatal(text)
			}
			_ = conn.Loop().Execute(conn.ResumeReading)
			waitUntil(t, "the end is read", func() bool { return len(handler.ended()) == 1 })
		}
		if err := handler.ended()[0]; !errors.Is(err, io.EOF) {
			t.Errorf("the end is reported as %v", err)
		}
		group.Stop()
	}
}

// Listening on an address in use fails, at the latest when the context is done.
func TestListenOnAddressInUse(t *testing.T) {
	handler := &echoHandler{}
	group := start(t, handler, 1)
	defer group.Stop()
	other, err := New(handler, Options{Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := other.Listen(ctx, group.Addr().String()); err == nil {
		t.Error("two groups listen on one address")
	}
}
