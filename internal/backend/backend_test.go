package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"cometpond/internal/core"
	"cometpond/internal/resp"
	"cometpond/policy"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// sink collects what the pool tells.
type sink struct {
	results chan core.Result
	probes  chan policy.ProbeResult
}

func (s *sink) QueueResults(r ...core.Result) {
	for _, x := range r {
		s.results <- x
	}
}
func (s *sink) HandleResults(list []core.Result)      { s.QueueResults(list...) }
func (s *sink) QueueProbeResult(p policy.ProbeResult) { s.probes <- p }

// box is a listener whose connections are served by the test: each command that comes is handed to it.
type peerBox struct {
	ln   net.Listener
	got  chan command
	work sync.WaitGroup
}

type command struct {
	c     net.Conn
	words []string
}

func newPeerBox(t *testing.T) *peerBox {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &peerBox{ln: ln, got: make(chan command, 1000)}
	b.work.Add(1)
	go func() {
		defer b.work.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.work.Add(1)
			go b.serve(c)
		}
	}()
	t.Cleanup(func() { ln.Close(); b.work.Wait() })
	return b
}

func (b *peerBox) serve(c net.Conn) {
	defer b.work.Done()
	defer c.Close()
	var buf []byte
	chunk := make([]byte, 4096)
	for {
		args, n, _, err := resp.ParseCommand(buf, nil, resp.DefaultLimits)
		if err != nil {
			m, err := c.Read(chunk)
			if err != nil {
				return
			}
			buf = append(buf, chunk[:m]...)
			continue
		}
		buf = buf[n:]
		k := command{c: c}
		for _, a := range args {
			k.words = append(k.words, string(a))
		}
		switch k.words[0] {
		case "CLIENT", "HELLO":
			_, _ = c.Write([]byte("+OK\r\n"))
		default:
			b.got <- k
		}
	}
}

func (b *peerBox) next(t *testing.T) command {
	t.Helper()
	select {
	case k := <-b.got:
		return k
	case <-time.After(20 * time.Second):
		t.Fatal("nothing reached the box")
		return command{}
	}
}

func setup(t *testing.T, change func(*Options), addrs ...string) (*Pool, *sink) {
	t.Helper()
	s := &sink{make(chan core.Result, 1000), make(chan policy.ProbeResult, 100)}
	o := Options{Dialect: RESP{Name: "t"}, Connections: 2, Pipeline: 2, ConnectTimeout: 5 * time.Second, Loops: 1, Log: zerolog.Nop()}
	if change != nil {
		change(&o)
	}
	p, err := New(s, o)
	if err != nil {
		t.Fatal(err)
	}
	var list []policy.Server
	for _, a := range addrs {
		list = append(list, policy.Server{ID: a})
	}
	p.UpdateServers(list, true)
	t.Cleanup(p.Stop)
	return p, s
}

func (s *sink) expect(t *testing.T, n int, status policy.Status, payload string) core.Result {
	t.Helper()
	select {
	case r := <-s.results:
		if r.Attempt.Index != n || r.Status != status || string(r.Payload) != payload {
			t.Fatalf("attempt %d ended as %d with %q, want attempt %d, %d, %q", r.Attempt.Index, r.Status, r.Payload, n, status, payload)
		}
		return r
	case <-time.After(20 * time.Second):
		t.Fatalf("attempt %d has no end", n)
	}
	return core.Result{}
}

// within is the timing of an attempt that may be begun, and answered, for so many seconds.
func within(s float64) policy.Timing { return policy.Timing{StartWithinS: s, AnswerWithinS: s} }

func attempt(n int) core.AttemptID { return core.AttemptID{Index: n} }

func do(n int) []byte { return resp.AppendCommand(nil, "DO", fmt.Sprint(n)) }

func TestAnswersAndErrors(t *testing.T) {
	b := newPeerBox(t)
	p, s := setup(t, nil, b.ln.Addr().String())
	for i, c := range []struct {
		reply  string
		status policy.Status
	}{{"+OK\r\n", policy.OK}, {"*2\r\n:1\r\n$1\r\nx\r\n", policy.OK}, {"-ERR no such job\r\n", policy.OK}, {"-BUSY full\r\n", policy.Rejected},
		{"-LOADING\r\n", policy.Rejected}, {"-TRYAGAIN later\r\n", policy.Error}, {"-INTERNAL oops\r\n", policy.Error}} {
		p.Send(attempt(i), b.ln.Addr().String(), do(i), within(10))
		k := b.next(t)
		_, _ = k.c.Write([]byte(c.reply))
		want := ""
		if c.status == policy.OK {
			want = c.reply
		}
		s.expect(t, i, c.status, want)
	}
}

// Work goes over idle connections first, then in line behind other work, and no further than the bounds.
func TestPipelineAndBounds(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, nil, addr)
	for i := range 4 {
		p.Send(attempt(i), addr, do(i), within(10))
	}
	conns := map[net.Conn][]string{}
	for range 4 {
		k := b.next(t)
		conns[k.c] = append(conns[k.c], k.words[1])
	}
	if len(conns) != 2 {
		t.Fatalf("%d connections, want 2: %v", len(conns), conns)
	}
	p.Send(attempt(4), addr, do(4), within(10))
	s.expect(t, 4, policy.Rejected, "")
	for c, list := range conns {
		for _, n := range list {
			_, _ = c.Write([]byte("+" + n + "\r\n"))
		}
	}
	for range 4 {
		if r := <-s.results; string(r.Payload) != fmt.Sprintf("+%d\r\n", r.Attempt.Index) {
			t.Fatalf("attempt %d got %q", r.Attempt.Index, r.Payload)
		}
	}
}

// What a connection's end proves: out on it, it may have run; never on it, it did not.
func TestResetAndRefused(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, nil, addr)
	p.Send(attempt(0), addr, do(0), within(10))
	b.next(t).c.Close()
	s.expect(t, 0, policy.Reset, "")
	b.ln.Close()
	p.Send(attempt(1), addr, do(1), within(10))
	s.expect(t, 1, policy.ConnectFailed, "")
	p.Send(attempt(2), "127.0.0.1:1", do(2), within(10)) // not on the list
	s.expect(t, 2, policy.ConnectFailed, "")
}

// A late answer is dropped, and the one behind it is not taken for it.
func TestLateAnswer(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, func(o *Options) { o.Connections = 1 }, addr)
	p.Send(attempt(0), addr, do(0), within(10))
	k := b.next(t)
	p.Send(attempt(1), addr, do(1), within(10))
	b.next(t)
	p.Cancel(attempt(0), addr)
	p.Send(attempt(2), addr, do(2), within(10)) // the only connection is held up by the one given up
	s.expect(t, 2, policy.Rejected, "")
	_, _ = k.c.Write([]byte("+zero\r\n+one\r\n"))
	s.expect(t, 1, policy.OK, "+one\r\n")
	if p.Counts().LateReplies != 1 {
		t.Errorf("%d late, want 1", p.Counts().LateReplies)
	}
	p.Send(attempt(3), addr, do(3), within(10)) // and is free again
	k = b.next(t)
	_, _ = k.c.Write([]byte("+three\r\n"))
	s.expect(t, 3, policy.OK, "+three\r\n")
}

// A connection on which nothing but given-up work is out is closed, so that the box can stop.
func TestCancelClosesItsConnection(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, _ := setup(t, nil, addr)
	p.Send(attempt(0), addr, do(0), within(10))
	k := b.next(t)
	p.Cancel(attempt(0), addr)
	_ = k.c.SetReadDeadline(time.Now().Add(20 * time.Second))
	for end := time.Now().Add(20 * time.Second); p.Counts().OpenConnections > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection stays open")
		}
	}
}

// A box that accepts and says nothing: the probe ends by time.
func TestProbes(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, func(o *Options) { o.ConnectTimeout = 200 * time.Millisecond }, addr)
	p.Probe(addr)
	k := b.next(t)
	if strings.Join(k.words, " ") != "INFO" {
		t.Fatalf("got %v", k.words)
	}
	_, _ = k.c.Write(resp.AppendBulk(nil, "# Load\r\nutil:0.25\r\nqueue:3\r\nname:x\r\n"))
	if r := <-s.probes; r.Status != policy.OK || r.Load == nil || r.Load.Util != 0.25 || r.Load.Queue != 3 || r.Load.InFlight != -1 {
		t.Fatalf("%+v", r)
	}
	p.Probe(addr)
	b.next(t)
	if r := <-s.probes; r.Status != policy.Timeout || r.Server != addr {
		t.Fatalf("%+v", r)
	}
	b.ln.Close()
	for end := time.Now().Add(20 * time.Second); p.Counts().OpenConnections > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	p.Probe(addr)
	if r := <-s.probes; r.Status != policy.ConnectFailed {
		t.Fatalf("%+v", r)
	}
}

// Load that rides on answers is taken off them.
func TestLoadWithAnswers(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, func(o *Options) { o.Dialect = RESP{Name: "t", LoadInReplies: true} }, addr)
	p.Send(attempt(0), addr, do(0), within(10))
	_, _ = b.next(t).c.Write([]byte("|1\r\n+util\r\n,0.5\r\n+OK\r\n"))
	if r := s.expect(t, 0, policy.OK, "+OK\r\n"); r.Load == nil || r.Load.Util != 0.5 {
		t.Fatalf("%+v", r.Load)
	}
}

// A box that is gone from the list keeps what is out, and its connections end with that.
func TestGone(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, nil, addr)
	p.Send(attempt(0), addr, do(0), within(10))
	k := b.next(t)
	p.UpdateServers(nil, true)
	_, _ = k.c.Write([]byte("+OK\r\n"))
	s.expect(t, 0, policy.OK, "+OK\r\n")
	for end := time.Now().Add(20 * time.Second); p.Counts().OpenConnections > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection stays open")
		}
	}
}

// A list whose addresses change for ever grows no memory.
func TestAddressesThatChangeForEver(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, nil, addr)
	p.Send(attempt(0), addr, do(0), within(10))
	k := b.next(t)
	for i := range 1000 {
		var list []policy.Server
		for n := range 100 {
			list = append(list, policy.Server{ID: fmt.Sprintf("127.1.%d.%d:1", i, n)})
		}
		p.UpdateServers(list, true)
	}
	p.mu.Lock()
	kept := len(p.boxes)
	p.mu.Unlock()
	if kept != 101 { // those listed, and the one with an attempt out
		t.Errorf("%d boxes kept, want 101", kept)
	}
	_, _ = k.c.Write([]byte("+OK\r\n"))
	s.expect(t, 0, policy.OK, "+OK\r\n")
}

// lateDial opens connections as the test lets it.
type lateDial struct{ let chan struct{} }

func (d *lateDial) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	select {
	case <-d.let:
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A connection that comes up after its attempt was given up, or taken back since its request has its answer, carries
// the next one: what it was opened for never reaches the box.
func TestDialComesUpLate(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	d := &lateDial{make(chan struct{})}
	p, s := setup(t, func(o *Options) { o.DialContext = d.dial }, addr)
	p.Send(attempt(0), addr, do(0), within(10))
	p.Withdraw(attempt(0), addr)
	s.expect(t, 0, policy.NotSent, "")
	p.Send(attempt(1), addr, do(1), within(10))
	p.Cancel(attempt(1), addr)
	close(d.let)
	until(t, "the connections stand", func() bool { return p.Counts().OpenConnections == 2 })
	p.Send(attempt(2), addr, do(2), within(10))
	k := b.next(t)
	if k.words[1] != "2" {
		t.Fatalf("the box got %v, want attempt 2 alone", k.words)
	}
	p.Withdraw(attempt(2), addr) // it was written: it runs to its end
	_, _ = k.c.Write([]byte("+OK\r\n"))
	s.expect(t, 2, policy.OK, "+OK\r\n")
	if n := p.Counts().Dials; n != 2 || len(b.got) != 0 {
		t.Errorf("%d dials and %d commands more, want the connections kept and used", n, len(b.got))
	}
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in 20 s: %s", what)
		}
	}
}

// deafBox takes connections and reads nothing until it is told to.
type deafBox struct {
	ln    net.Listener
	conns chan net.Conn
}

func newDeafBox(t *testing.T) *deafBox {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &deafBox{ln, make(chan net.Conn, 10)}
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.conns <- c
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		work.Wait()
		close(b.conns)
		for c := range b.conns {
			c.Close()
		}
	})
	return b
}

// bare is a dialect that sends payloads as they are and greets nobody.
type bare struct{ RESP }

func (bare) Greeting() ([]byte, int) { return nil, 0 }

// roomOf is how many bytes the system takes of a connection whose other end reads nothing.
func (b *deafBox) roomOf(t *testing.T) (n int) {
	t.Helper()
	c, err := net.Dial("tcp", b.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	defer func() { (<-b.conns).Close() }()
	for chunk := make([]byte, 64<<10); ; {
		_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		k, err := c.Write(chunk)
		if n += k; err != nil {
			return n
		}
	}
}

// A command of which the system took a part only, to a box that reads nothing: broken off, it never ran, and goes out whole
// over another connection; given up, its rest does not follow, though there is room for it by then.
func TestWrittenInPartToADeafBox(t *testing.T) {
	b := newDeafBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, func(o *Options) { o.Dialect, o.Connections, o.Pipeline = bare{}, 1, 1 }, addr)
	large := make([]byte, b.roomOf(t)+1<<20)
	p.Send(attempt(0), addr, large, within(20))
	first := <-b.conns
	if _, err := first.Read(make([]byte, 1)); err != nil { // it is on its way
		t.Fatal(err)
	}
	_ = first.(*net.TCPConn).SetLinger(0)
	first.Close()
	second := <-b.conns // and again
	defer second.Close()
	if _, err := second.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if len(s.results) != 0 {
		t.Fatalf("ended as %+v, want it sent anew", <-s.results)
	}
	x := p.box(addr)
	x.mu.Lock()
	x.conns.Cancel(attempt(0)) // the loop closes the connection, and waits for the lock while it does
	time.Sleep(50 * time.Millisecond)
	got := 1
	for in := make([]byte, 64<<10); ; { // all that the system had taken
		_ = second.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := second.Read(in)
		if got += n; err != nil {
			break
		}
	}
	x.mu.Unlock()
	_ = second.SetReadDeadline(time.Now().Add(20 * time.Second))
	rest, _ := io.Copy(io.Discard, second)
	if got += int(rest); got >= len(large) {
		t.Errorf("the box got all %d bytes of what was given up", got)
	}
	until(t, "its connection is closed", func() bool { return p.Counts().OpenConnections == 0 })
}

// A box that moves while a connection to it is being opened, and with one open: nothing goes where it was.
func TestMovedWhileDialing(t *testing.T) {
	old, now := newPeerBox(t), newPeerBox(t)
	d := &lateDial{make(chan struct{})}
	p, s := setup(t, func(o *Options) { o.DialContext = d.dial })
	p.SetAddresses(map[string]string{"box": old.ln.Addr().String()})
	p.UpdateServers([]policy.Server{{ID: "box"}}, true)
	p.Send(attempt(0), "box", do(0), within(20))
	p.SetAddresses(map[string]string{"box": now.ln.Addr().String()})
	close(d.let)
	k := now.next(t)
	_, _ = k.c.Write([]byte("+OK\r\n"))
	s.expect(t, 0, policy.OK, "+OK\r\n")
	p.SetAddresses(map[string]string{"box": old.ln.Addr().String()})
	p.Send(attempt(1), "box", do(1), within(20))
	k = old.next(t)
	_, _ = k.c.Write([]byte("+OK\r\n"))
	s.expect(t, 1, policy.OK, "+OK\r\n")
	if len(old.got)+len(now.got) != 0 {
		t.Error("more was sent than two commands")
	}
}

// The attempt's answer would still be awaited.
func TestConnectionComesUpAfterTheWindow(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	d := &lateDial{make(chan struct{})}
	p, s := setup(t, func(o *Options) { o.DialContext = d.dial }, addr)
	p.Send(attempt(0), addr, do(0), policy.Timing{StartWithinS: 0.05, AnswerWithinS: 20})
	time.Sleep(100 * time.Millisecond)
	close(d.let)
	s.expect(t, 0, policy.NotSent, "")
	if len(b.got) != 0 {
		t.Error("the box got what could not begin any more")
	}
}
