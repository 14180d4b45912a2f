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
	"cometpond/internal/membudget"
	"cometpond/internal/resp"
	"cometpond/policy"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// resultSink collects what the pool reports to the core.
type resultSink struct {
	results chan core.Result
	probes  chan policy.ProbeResult
}

func (sink *resultSink) QueueResults(results ...core.Result) {
	for _, result := range results {
		sink.results <- result
	}
}
func (sink *resultSink) HandleResults(results []core.Result)             { sink.QueueResults(results...) }
func (sink *resultSink) QueueProbeResult(probeResult policy.ProbeResult) { sink.probes <- probeResult }

// testServer passes each command that it receives to the test, which writes the reply. It replies to greetings itself.
type testServer struct {
	listener net.Listener
	commands chan command
	work     sync.WaitGroup
}

type command struct {
	conn  net.Conn
	words []string
}

func newTestServer(t *testing.T) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &testServer{listener: listener, commands: make(chan command, 1000)}
	srv.work.Add(1)
	go func() {
		defer srv.work.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			srv.work.Add(1)
			go srv.serve(conn)
		}
	}()
	t.Cleanup(func() { listener.Close(); srv.work.Wait() })
	return srv
}

func (srv *testServer) serve(conn net.Conn) {
	defer srv.work.Done()
	defer conn.Close()
	var buf []byte
	chunk := make([]byte, 4096)
	for {
		args, length, _, err := resp.ParseCommand(buf, nil, resp.DefaultLimits)
		if err != nil {
			n, err := conn.Read(chunk)
			if err != nil {
				return
			}
			buf = append(buf, chunk[:n]...)
			continue
		}
		buf = buf[length:]
		cmd := command{conn: conn}
		for _, arg := range args {
			cmd.words = append(cmd.words, string(arg))
		}
		switch cmd.words[0] {
		case "CLIENT", "HELLO":
			_, _ = conn.Write([]byte("+OK\r\n"))
		default:
			srv.commands <- cmd
		}
	}
}

func (srv *testServer) next(t *testing.T) command {
	t.Helper()
	select {
	case cmd := <-srv.commands:
		return cmd
	case <-time.After(20 * time.Second):
		t.Fatal("the server received no command")
		return command{}
	}
}

func setup(t *testing.T, change func(*Options), addrs ...string) (*Pool, *resultSink) {
	t.Helper()
	sink := &resultSink{make(chan core.Result, 1000), make(chan policy.ProbeResult, 100)}
	opt := Options{Dialect: RESP{Name: "t"}, Connections: 2, Pipeline: 2, ConnectTimeout: 5 * time.Second, Loops: 1,
		Log: zerolog.Nop()}
	if change != nil {
		change(&opt)
	}
	pool, err := New(sink, opt)
	if err != nil {
		t.Fatal(err)
	}
	var list []policy.Server
	for _, addr := range addrs {
		list = append(list, policy.Server{ID: addr})
	}
	pool.UpdateServers(list, true)
	t.Cleanup(pool.Stop)
	return pool, sink
}

func (sink *resultSink) expect(t *testing.T, n int, status policy.Status, payload string) core.Result {
	t.Helper()
	select {
	case result := <-sink.results:
		if result.Attempt.Index != n || result.Status != status || string(result.Payload) != payload {
			t.Fatalf("attempt %d ended as %d with %q, want attempt %d, %d, %q", result.Attempt.Index, result.Status, result.Payload,
				n, status, payload)
		}
		return result
	case <-time.After(20 * time.Second):
		t.Fatalf("attempt %d has not ended", n)
	}
	return core.Result{}
}

// within is the timing of an attempt that must be started, and answered, within so many seconds.
func within(seconds float64) policy.Timing {
	return policy.Timing{StartWithinS: seconds, AnswerWithinS: seconds}
}

func attempt(n int) core.AttemptID { return core.AttemptID{Index: n} }

// waitFor waits until done returns true.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 20 s")
		}
	}
}

// doCommand is the command of attempt n.
func doCommand(n int) []byte { return resp.AppendCommand(nil, "DO", fmt.Sprint(n)) }

func TestStatusOfReplies(t *testing.T) {
	srv := newTestServer(t)
	pool, sink := setup(t, nil, srv.listener.Addr().String())
	for i, test := range []struct {
		reply  string
		status policy.Status
	}{{"+OK\r\n", policy.OK}, {"*2\r\n:1\r\n$1\r\nx\r\n", policy.OK}, {"-ERR no such job\r\n", policy.OK},
		{"-BUSY full\r\n", policy.Rejected},
		{"-LOADING\r\n", policy.Rejected}, {"-TRYAGAIN later\r\n", policy.Error}, {"-INTERNAL oops\r\n", policy.Error}} {
		pool.Send(attempt(i), srv.listener.Addr().String(), doCommand(i), within(10))
		cmd := srv.next(t)
		_, _ = cmd.conn.Write([]byte(test.reply))
		want := ""
		if test.status == policy.OK {
			want = test.reply
		}
		sink.expect(t, i, test.status, want)
	}
}

// Attempts use idle connections first, then queue behind other attempts, up to the limits.
func TestPipelineAndLimits(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, nil, addr)
	for i := range 4 {
		pool.Send(attempt(i), addr, doCommand(i), within(10))
	}
	conns := map[net.Conn][]string{}
	for range 4 {
		cmd := srv.next(t)
		conns[cmd.conn] = append(conns[cmd.conn], cmd.words[1])
	}
	if len(conns) != 2 {
		t.Fatalf("%d connections, want 2: %v", len(conns), conns)
	}
	pool.Send(attempt(4), addr, doCommand(4), within(10))
	sink.expect(t, 4, policy.Rejected, "")
	for conn, numbers := range conns {
		for _, number := range numbers {
			_, _ = conn.Write([]byte("+" + number + "\r\n"))
		}
	}
	for range 4 {
		if result := <-sink.results; string(result.Payload) != fmt.Sprintf("+%d\r\n", result.Attempt.Index) {
			t.Fatalf("attempt %d got %q", result.Attempt.Index, result.Payload)
		}
	}
}

// When a connection ends, the attempts written to it may have run. An attempt without a connection did not run.
func TestResetAndRefused(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, nil, addr)
	pool.Send(attempt(0), addr, doCommand(0), within(10))
	srv.next(t).conn.Close()
	sink.expect(t, 0, policy.Reset, "")
	srv.listener.Close()
	pool.Send(attempt(1), addr, doCommand(1), within(10))
	sink.expect(t, 1, policy.ConnectFailed, "")
	pool.Send(attempt(2), "127.0.0.1:1", doCommand(2), within(10)) // not listed
	sink.expect(t, 2, policy.ConnectFailed, "")
}

// Incomplete replies are bounded by the memory budget: a connection whose reply does not fit is closed, and what the
// connections held is free again at their end.
func TestIncompleteRepliesStayWithinTheMemory(t *testing.T) {
	const length = 40_000
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	budget := membudget.New(3 * length) // a reply may take half of what is free
	pool, sink := setup(t, func(opt *Options) { opt.Memory, opt.Pipeline = budget, 1 }, addr)
	half := fmt.Sprintf("$%d\r\n%s", length, strings.Repeat("v", length/2))
	pool.Send(attempt(0), addr, doCommand(0), within(10))
	first := srv.next(t)
	_, _ = first.conn.Write([]byte(half))
	waitFor(t, func() bool { return budget.Used() > length })
	pool.Send(attempt(1), addr, doCommand(1), within(10))
	_, _ = srv.next(t).conn.Write([]byte(half))
	sink.expect(t, 1, policy.Reset, "")
	_, _ = first.conn.Write([]byte(strings.Repeat("v", length/2) + "\r\n"))
	sink.expect(t, 0, policy.OK, fmt.Sprintf("$%d\r\n%s\r\n", length, strings.Repeat("v", length)))
	if waitFor(t, func() bool { return budget.Used() == 0 }); pool.Counts().RepliesOutOfMemory != 1 {
		t.Errorf("%+v", pool.Counts())
	}
}

// The reply to a cancelled attempt is dropped, and the reply after it goes to the next attempt.
func TestLateReply(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, func(opt *Options) { opt.Connections = 1 }, addr)
	pool.Send(attempt(0), addr, doCommand(0), within(10))
	cmd := srv.next(t)
	pool.Send(attempt(1), addr, doCommand(1), within(10))
	srv.next(t)
	pool.Cancel(attempt(0), addr)
	pool.Send(attempt(2), addr, doCommand(2), within(10)) // the cancelled attempt blocks the only connection
	sink.expect(t, 2, policy.Rejected, "")
	_, _ = cmd.conn.Write([]byte("+zero\r\n+one\r\n"))
	sink.expect(t, 1, policy.OK, "+one\r\n")
	if pool.Counts().LateReplies != 1 {
		t.Errorf("%d late, want 1", pool.Counts().LateReplies)
	}
	pool.Send(attempt(3), addr, doCommand(3), within(10)) // the connection is free again
	cmd = srv.next(t)
	_, _ = cmd.conn.Write([]byte("+three\r\n"))
	sink.expect(t, 3, policy.OK, "+three\r\n")
}

// A connection that carries only cancelled attempts is closed, so that the server can stop the work.
func TestCancelClosesItsConnection(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, _ := setup(t, nil, addr)
	pool.Send(attempt(0), addr, doCommand(0), within(10))
	cmd := srv.next(t)
	pool.Cancel(attempt(0), addr)
	_ = cmd.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for end := time.Now().Add(20 * time.Second); pool.Counts().OpenConnections > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection stays open")
		}
	}
}

// A probe ends with a load report, by a timeout if the server accepts it without a reply, or with a failed connection.
func TestProbes(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, func(opt *Options) { opt.ConnectTimeout = 200 * time.Millisecond }, addr)
	pool.Probe(addr)
	cmd := srv.next(t)
	if strings.Join(cmd.words, " ") != "INFO" {
		t.Fatalf("got %v", cmd.words)
	}
	_, _ = cmd.conn.Write(resp.AppendBulk(nil, "# Load\r\nutil:0.25\r\nqueue:3\r\nname:x\r\n"))
	if result := <-sink.probes; result.Status != policy.OK || result.Load == nil || result.Load.Util != 0.25 ||
		result.Load.Queue != 3 || result.Load.InFlight != -1 {
		t.Fatalf("%+v", result)
	}
	pool.Probe(addr)
	srv.next(t)
	if result := <-sink.probes; result.Status != policy.Timeout || result.Server != addr {
		t.Fatalf("%+v", result)
	}
	srv.listener.Close()
	for end := time.Now().Add(20 * time.Second); pool.Counts().OpenConnections > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	pool.Probe(addr)
	if result := <-sink.probes; result.Status != policy.ConnectFailed {
		t.Fatalf("%+v", result)
	}
}

// The load that a reply carries as an attribute is taken off the reply.
func TestLoadInReplies(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, func(opt *Options) { opt.Dialect = RESP{Name: "t", LoadInReplies: true} }, addr)
	pool.Send(attempt(0), addr, doCommand(0), within(10))
	_, _ = srv.next(t).conn.Write([]byte("|1\r\n+util\r\n,0.5\r\n+OK\r\n"))
	if result := sink.expect(t, 0, policy.OK, "+OK\r\n"); result.Load == nil || result.Load.Util != 0.5 {
		t.Fatalf("%+v", result.Load)
	}
}

// A server that is removed from the list finishes its attempts in flight, and then its connections end.
func TestRemovedServer(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, nil, addr)
	pool.Send(attempt(0), addr, doCommand(0), within(10))
	cmd := srv.next(t)
	pool.UpdateServers(nil, true)
	_, _ = cmd.conn.Write([]byte("+OK\r\n"))
	sink.expect(t, 0, policy.OK, "+OK\r\n")
	for end := time.Now().Add(20 * time.Second); pool.Counts().OpenConnections > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection stays open")
		}
	}
}

// Lists whose servers change all the time do not grow memory: removed servers are forgotten.
func TestRemovedServersAreForgotten(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, nil, addr)
	pool.Send(attempt(0), addr, doCommand(0), within(10))
	cmd := srv.next(t)
	for i := range 1000 {
		var list []policy.Server
		for n := range 100 {
			list = append(list, policy.Server{ID: fmt.Sprintf("127.1.%d.%d:1", i, n)})
		}
		pool.UpdateServers(list, true)
	}
	pool.mu.Lock()
	kept := len(pool.servers)
	pool.mu.Unlock()
	if kept != 101 { // those listed, and the one with an attempt in flight
		t.Errorf("%d servers kept, want 101", kept)
	}
	_, _ = cmd.conn.Write([]byte("+OK\r\n"))
	sink.expect(t, 0, policy.OK, "+OK\r\n")
}

// delayedDialer opens connections once the test closes allow.
type delayedDialer struct{ allow chan struct{} }

func (dialer *delayedDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	select {
	case <-dialer.allow:
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A connection that opens after its attempt was cancelled, or was withdrawn because the request has its response, carries
// the next attempt. The attempt for which it was opened never reaches the server.
func TestConnectionOpensAfterCancel(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	dialer := &delayedDialer{make(chan struct{})}
	pool, sink := setup(t, func(opt *Options) { opt.DialContext = dialer.dial }, addr)
	pool.Send(attempt(0), addr, doCommand(0), within(10))
	pool.Withdraw(attempt(0), addr)
	sink.expect(t, 0, policy.NotSent, "")
	pool.Send(attempt(1), addr, doCommand(1), within(10))
	pool.Cancel(attempt(1), addr)
	close(dialer.allow)
	waitUntil(t, "the connections are open", func() bool { return pool.Counts().OpenConnections == 2 })
	pool.Send(attempt(2), addr, doCommand(2), within(10))
	cmd := srv.next(t)
	if cmd.words[1] != "2" {
		t.Fatalf("the server received %v, want only attempt 2", cmd.words)
	}
	pool.Withdraw(attempt(2), addr) // it was written, so it runs to its end
	_, _ = cmd.conn.Write([]byte("+OK\r\n"))
	sink.expect(t, 2, policy.OK, "+OK\r\n")
	if n := pool.Counts().Dials; n != 2 || len(srv.commands) != 0 {
		t.Errorf("%d dials and %d further commands, want the connections kept and used", n, len(srv.commands))
	}
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// unreadServer accepts connections and leaves reading from them to the test.
type unreadServer struct {
	listener net.Listener
	conns    chan net.Conn
}

func newUnreadServer(t *testing.T) *unreadServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &unreadServer{listener, make(chan net.Conn, 10)}
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			srv.conns <- conn
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		work.Wait()
		close(srv.conns)
		for conn := range srv.conns {
			conn.Close()
		}
	})
	return srv
}

// noGreeting is a dialect that sends payloads unchanged and has no greeting.
type noGreeting struct{ RESP }

func (noGreeting) Greeting() ([]byte, int) { return nil, 0 }

// capacity measures how many bytes the system accepts on a connection whose other end reads nothing.
func (srv *unreadServer) capacity(t *testing.T) (n int) {
	t.Helper()
	conn, err := net.Dial("tcp", srv.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	defer func() { (<-srv.conns).Close() }()
	for chunk := make([]byte, 64<<10); ; {
		_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		written, err := conn.Write(chunk)
		if n += written; err != nil {
			return n
		}
	}
}

// A command that the system accepted only in part, because the server reads nothing, never ran. If its connection breaks,
// it is sent whole over another one. If it is cancelled, its rest is not sent, even when the socket accepts more by then.
func TestPartlyWrittenToUnreadConnection(t *testing.T) {
	srv := newUnreadServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, func(opt *Options) { opt.Dialect, opt.Connections, opt.Pipeline = noGreeting{}, 1, 1 }, addr)
	large := make([]byte, srv.capacity(t)+1<<20)
	pool.Send(attempt(0), addr, large, within(20))
	first := <-srv.conns
	if _, err := first.Read(make([]byte, 1)); err != nil { // the command is being sent
		t.Fatal(err)
	}
	_ = first.(*net.TCPConn).SetLinger(0)
	first.Close()
	second := <-srv.conns // the command is sent again
	defer second.Close()
	if _, err := second.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if len(sink.results) != 0 {
		t.Fatalf("ended as %+v, want it sent again", <-sink.results)
	}
	poolServer := pool.server(addr)
	poolServer.mu.Lock()
	poolServer.conns.Cancel(attempt(0)) // the event loop closes the connection, and waits for the lock while it does so
	time.Sleep(50 * time.Millisecond)
	received := 1
	for buf := make([]byte, 64<<10); ; { // all that the system had accepted
		_ = second.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := second.Read(buf)
		if received += n; err != nil {
			break
		}
	}
	poolServer.mu.Unlock()
	_ = second.SetReadDeadline(time.Now().Add(20 * time.Second))
	rest, _ := io.Copy(io.Discard, second)
	if received += int(rest); received >= len(large) {
		t.Errorf("the server received all %d bytes of a cancelled attempt", received)
	}
	waitUntil(t, "the connection is closed", func() bool { return pool.Counts().OpenConnections == 0 })
}

// When the address of a server changes while a connection is being opened, and again while one is open, nothing is sent to
// the old address.
func TestAddressChange(t *testing.T) {
	first, second := newTestServer(t), newTestServer(t)
	dialer := &delayedDialer{make(chan struct{})}
	pool, sink := setup(t, func(opt *Options) { opt.DialContext = dialer.dial })
	pool.SetAddresses(map[string]string{"box": first.listener.Addr().String()})
	pool.UpdateServers([]policy.Server{{ID: "box"}}, true)
	pool.Send(attempt(0), "box", doCommand(0), within(20))
	pool.SetAddresses(map[string]string{"box": second.listener.Addr().String()})
	close(dialer.allow)
	cmd := second.next(t)
	_, _ = cmd.conn.Write([]byte("+OK\r\n"))
	sink.expect(t, 0, policy.OK, "+OK\r\n")
	pool.SetAddresses(map[string]string{"box": first.listener.Addr().String()})
	pool.Send(attempt(1), "box", doCommand(1), within(20))
	cmd = first.next(t)
	_, _ = cmd.conn.Write([]byte("+OK\r\n"))
	sink.expect(t, 1, policy.OK, "+OK\r\n")
	if len(first.commands)+len(second.commands) != 0 {
		t.Error("more than two commands were sent")
	}
}

// A connection that opens after the attempt's time to start does not carry it, although its reply would still be in time.
func TestConnectionOpensAfterTimeToStart(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	dialer := &delayedDialer{make(chan struct{})}
	pool, sink := setup(t, func(opt *Options) { opt.DialContext = dialer.dial }, addr)
	pool.Send(attempt(0), addr, doCommand(0), policy.Timing{StartWithinS: 0.05, AnswerWithinS: 20})
	time.Sleep(100 * time.Millisecond)
	close(dialer.allow)
	sink.expect(t, 0, policy.NotSent, "")
	if len(srv.commands) != 0 {
		t.Error("the server received an attempt after its time to start")
	}
}
