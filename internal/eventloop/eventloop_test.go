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

// echo sends back what comes, and keeps what ended its connections.
type echo struct {
	mu     sync.Mutex
	opened int
	ends   []error
	onOpen func(c *Conn) Action
	onData func(c *Conn, data []byte) Action
}

func (e *echo) OnOpen(c *Conn) Action {
	e.mu.Lock()
	e.opened++
	e.mu.Unlock()
	if e.onOpen != nil {
		return e.onOpen(c)
	}
	return None
}

func (e *echo) OnData(c *Conn, data []byte) Action {
	if e.onData != nil {
		return e.onData(c, data)
	}
	c.Write(bytes.Clone(data))
	return None
}

func (e *echo) OnClose(_ *Conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends = append(e.ends, err)
}

func (e *echo) ended() []error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]error(nil), e.ends...)
}

func start(t *testing.T, e *echo, loops int) *Group {
	t.Helper()
	return startWith(t, e, Options{Loops: loops, Log: zerolog.Nop()})
}

func startWith(t *testing.T, e *echo, opt Options) *Group {
	t.Helper()
	g, err := New(e, opt)
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Listen(context.Background(), "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	return g
}

func dial(t *testing.T, g *Group) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in 20 s: %s", what)
		}
	}
}

// Many connections over one and several loops, more bytes at once than sockets take, and how each end is told.
func TestEchoesAndEnds(t *testing.T) {
	for _, loops := range []int{1, 3} {
		e := &echo{}
		g := start(t, e, loops)
		text := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		var work sync.WaitGroup
		for range 10 {
			c := dial(t, g)
			work.Add(1)
			go func() {
				defer work.Done()
				go func() { _, _ = c.Write(text) }()
				got := make([]byte, len(text))
				if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, text) {
					t.Errorf("%v, or not what was sent", err)
				}
				c.Close()
			}()
		}
		work.Wait()
		until(t, "all have ended", func() bool { return len(e.ended()) == 10 })
		broken := dial(t, g)
		until(t, "it is taken", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.opened == 11 })
		_ = broken.(*net.TCPConn).SetLinger(0)
		broken.Close()
		until(t, "it has ended", func() bool { return len(e.ended()) == 11 })
		dial(t, g)
		until(t, "it is taken", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.opened == 12 })
		g.Stop()
		ends := e.ended()
		for _, err := range ends[:10] {
			if !errors.Is(err, io.EOF) {
				t.Errorf("a client's close is told as %v", err)
			}
		}
		if err := ends[10]; err == nil || errors.Is(err, io.EOF) {
			t.Errorf("a reset is told as %v", err)
		}
		if !errors.Is(ends[11], ErrStopped) {
			t.Errorf("the end of the loops is told as %v", ends[11])
		}
		if g.Loops()[0].Execute(func() {}) == nil {
			t.Error("a loop that has ended takes something to run")
		}
	}
}

// A paused connection is not read, its end is found when it is read again; with EndsFirst it is told at once, with bytes
// unread before it.
func TestPauseReading(t *testing.T) {
	for _, ends := range []bool{false, true} {
		got := make(chan string, 10)
		conns := make(chan *Conn, 10)
		e := &echo{
			onOpen: func(c *Conn) Action { conns <- c; return None },
			onData: func(c *Conn, data []byte) Action {
				c.PauseReading()
				got <- string(data)
				return None
			},
		}
		g := startWith(t, e, Options{CloseOnPeerShutdown: ends, Log: zerolog.Nop()})
		client := dial(t, g)
		c := <-conns
		_, _ = client.Write([]byte("one"))
		if s := <-got; s != "one" {
			t.Fatal(s)
		}
		_, _ = client.Write([]byte("two"))
		_ = client.(*net.TCPConn).CloseWrite()
		if ends {
			until(t, "its end is told", func() bool { return len(e.ended()) == 1 })
			if len(got) > 0 {
				t.Error("read while it was paused")
			}
		} else {
			time.Sleep(50 * time.Millisecond)
			if len(got) > 0 || len(e.ended()) > 0 {
				t.Fatal("read while it was paused")
			}
			_ = c.Loop().Execute(c.ResumeReading)
			if s := <-got; s != "two" {
				t.Fatal(s)
			}
			_ = c.Loop().Execute(c.ResumeReading)
			until(t, "its end is read", func() bool { return len(e.ended()) == 1 })
		}
		if err := e.ended()[0]; !errors.Is(err, io.EOF) {
			t.Errorf("its end is told as %v", err)
		}
		g.Stop()
	}
}

// An address that cannot be had is an error, at the latest when the context is over.
func TestListenGivesUp(t *testing.T) {
	e := &echo{}
	g := start(t, e, 1)
	defer g.Stop()
	other, err := New(e, Options{Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := other.Listen(ctx, g.Addr().String()); err == nil {
		t.Error("two listen on one address")
	}
}
