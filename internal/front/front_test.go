package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/redis/rueidis"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"cometpond/internal/access"
	"cometpond/internal/config"
	"cometpond/internal/core"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeCore is a core that answers each call, on a goroutine of its own, as its payload or its number of units asks for.
type fakeCore struct {
	mu       sync.Mutex
	calls    []*core.Call
	gone     []*core.Call
	capacity int // number of calls accepted at a time, below 0: any
	held     chan *core.Call
	queue    chan *core.Call
	stopped  sync.WaitGroup
}

// newFakeCore starts a core that ends when its queue is closed.
func newFakeCore() *fakeCore {
	fake := &fakeCore{capacity: -1, held: make(chan *core.Call, 100000), queue: make(chan *core.Call, 100000)}
	fake.stopped.Add(1)
	go func() {
		defer fake.stopped.Done()
		for call := range fake.queue {
			fake.answer(call)
		}
	}()
	return fake
}

func (fake *fakeCore) Submit(calls []*core.Call) int {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	accepted := len(calls)
	if fake.capacity >= 0 {
		accepted = min(accepted, fake.capacity)
	}
	for _, call := range calls[:accepted] {
		fake.calls = append(fake.calls, call)
		fake.queue <- call
	}
	return accepted
}

func (fake *fakeCore) Disconnected(calls []*core.Call) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.gone = append(fake.gone, calls...)
}

// callCount returns the number of calls submitted so far.
func (fake *fakeCore) callCount() int { fake.mu.Lock(); defer fake.mu.Unlock(); return len(fake.calls) }

// goneCount returns the number of calls whose client has disconnected.
func (fake *fakeCore) goneCount() int { fake.mu.Lock(); defer fake.mu.Unlock(); return len(fake.gone) }

// answer answers a call, or puts it into held for the test to answer.
func (fake *fakeCore) answer(call *core.Call) {
	answer := core.Answer{}
	payload := string(call.Payload)
	switch {
	case strings.Contains(payload, "hold"):
		fake.held <- call
		return
	case strings.Contains(payload, "refuse"):
		answer.Kind, answer.RetryAfterS, answer.Detail = core.Refused, 0.25, "over quota"
	case strings.Contains(payload, "fail"):
		answer.Kind, answer.Detail = core.Failed, "may have run"
	case strings.Contains(payload, "map"):
		answer.Payload = []byte("%1\r\n+a\r\n:1\r\n")
	case call.QuotaOnly && call.Units > 5:
		answer.Kind, answer.Quota = core.Refused, core.Quota{Burst: 20, Remaining: 5.5, RetryAfterS: 0.3, ResetS: 1.45}
	case call.QuotaOnly:
		answer.Kind, answer.Quota = core.Admitted, core.Quota{Burst: 20, Remaining: 19.5, ResetS: 0.05}
	default:
		answer.Payload = []byte("+did " + call.Key + "\r\n")
	}
	answerCall(call, answer)
}

func answerCall(call *core.Call, answer core.Answer) {
	call.Answer = answer
	call.Front.Answered([]*core.Call{call})
}

// newRegistry returns the clients and commands of an example configuration.
func newRegistry(t testing.TB) *access.Registry {
	t.Helper()
	settings, err := os.ReadFile("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse("one.sexp", string(settings))
	if err != nil {
		t.Fatal(err)
	}
	return access.New(cfg)
}

func startServer(t testing.TB, changeLimits func(*config.FrontLimits)) (*Server, *fakeCore, string) {
	t.Helper()
	return startServerWith(t, changeLimits, nil)
}

// startServerWith starts a server with a fake core until the end of the test. It returns both, and the server's address.
func startServerWith(t testing.TB, changeLimits func(*config.FrontLimits), changeOptions func(*Options)) (*Server, *fakeCore, string) {
	t.Helper()
	fake := newFakeCore()
	limits := config.FrontLimits{MaxConnections: 1000, MaxArgumentBytes: 4096, MaxPipelined: 500, MaxUnreadBytes: 1 << 20, PartialTimeout: time.Minute}
	if changeLimits != nil {
		changeLimits(&limits)
	}
	options := Options{Listen: "127.0.0.1:0", Loops: 2, Limits: limits, Registry: newRegistry(t),
		Info: func() string { return "x:1" }, Log: zerolog.Nop()}
	if changeOptions != nil {
		changeOptions(&options)
	}
	srv, err := Start(fake, options)
	if err != nil {
		t.Fatal(err)
	}
	addr := srv.Addr()
	t.Cleanup(func() {
		srv.Stop(context.Background())
		close(fake.queue)
		fake.stopped.Wait()
	})
	return srv, fake, addr.String()
}

// testClient is a client that sends arbitrary bytes.
type testClient struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

func dial(addr string) (net.Conn, error) {
	conn, err := net.Dial("tcp", addr)
	if err == nil {
		err = conn.SetDeadline(time.Now().Add(20 * time.Second))
	}
	return conn, err
}

// connect connects a client, which logs in if login is set.
func connect(t *testing.T, addr string, login bool) *testClient {
	t.Helper()
	conn, err := dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client := &testClient{conn, bufio.NewReader(conn), t}
	if login {
		client.expect("AUTH acme acme-secret\r\n", "+OK\r\n")
	}
	return client
}

func (client *testClient) send(s string) {
	client.t.Helper()
	if s == "" {
		return // an empty write would block on a write in progress
	}
	if _, err := io.WriteString(client, s); err != nil {
		client.t.Fatal(err)
	}
}

// expect sends a text and reads the reply, which must be want.
func (client *testClient) expect(send, want string) {
	client.t.Helper()
	client.send(send)
	got := make([]byte, len(want))
	if n, err := io.ReadFull(client.reader, got); err != nil || string(got) != want {
		rest, _ := client.reader.Peek(min(client.reader.Buffered(), 300))
		client.t.Fatalf("%q: got %q (%v), want %q; then %q", send, got[:n], err, want, rest)
	}
}

// expectClose reads up to the end of the connection and checks that want is in what came before it. A reset counts as an end.
func (client *testClient) expectClose(want string) {
	client.t.Helper()
	rest, err := io.ReadAll(client.reader)
	if err != nil && !strings.Contains(err.Error(), "reset") || !strings.Contains(string(rest), want) {
		client.t.Fatalf("got %q, %v; want %q and the end", rest, err, want)
	}
}

func TestCommands(t *testing.T) {
	_, _, addr := startServer(t, nil)
	client := connect(t, addr, false)
	client.expect("PING\r\n", "-NOAUTH Authentication required.\r\n")
	client.expect("JOB.STATUS 1\r\n", "-NOAUTH Authentication required.\r\n")
	client.expect("AUTH acme wrong\r\n", "-WRONGPASS invalid username-password pair or user is disabled.\r\n")
	client.expect("AUTH nobody acme-secret\r\n", "-WRONGPASS invalid username-password pair or user is disabled.\r\n")
	client.expect("AUTH acme-secret\r\n", "-WRONGPASS")
	client.reader.ReadString('\n')
	client.expect("HELLO 3\r\n", "-NOAUTH HELLO must be called")
	client.reader.ReadString('\n')
	client.expect("HELLO 4\r\n", "-NOPROTO unsupported protocol version\r\n")
	client.expect("HELLO 2 AUTH acme acme-secret SETNAME me\r\n", "*14\r\n$6\r\nserver\r\n$9\r\ncometpond\r\n$7\r\nversion\r\n$5\r\n1.0.0\r\n$5\r\nproto\r\n:2\r\n$2\r\nid\r\n:1\r\n$4\r\nmode\r\n$10\r\nstandalone\r\n$4\r\nrole\r\n$6\r\nmaster\r\n$7\r\nmodules\r\n*0\r\n")
	for _, exchange := range [][2]string{
		{"PING", "+PONG"}, {"ping hi", "$2\r\nhi"}, {"ECHO 'a b'", "$3\r\na b"}, {"ECHO", "-ERR wrong number of arguments for 'echo' command"},
		{"SELECT 0", "+OK"}, {"SELECT 1", "-ERR DB index is out of range"}, {"CLIENT GETNAME", "$2\r\nme"},
		{"CLIENT SETNAME you", "+OK"}, {"CLIENT GETNAME", "$3\r\nyou"}, {"CLIENT SETINFO LIB-NAME x", "+OK"}, {"CLIENT ID", ":1"},
		{"COMMAND COUNT", ":14"}, {"COMMAND DOCS", "*0"}, {"INFO", "$3\r\nx:1"}, {"\r\nPING", "+PONG"},
		{"NOPE a b", "-ERR unknown command 'NOPE', with args beginning with: 'a' 'b' "},
		{"JOB.STATUS", "-ERR wrong number of arguments for 'job.status' command"},
		{"job.status 1", "+did "}, {"SIGN.SUBMIT k img", "+did k"}, {"SIGN.SUBMIT '' img", "-ERR the submission key is empty, want a name that is new for each submission"},
		{"JOB.STATUS refuse", "-REFUSED retry in 0.250 s: over quota"}, {"JOB.STATUS fail", "-FAILED may have run"},
		{"JOB.STATUS map", "*2\r\n+a\r\n:1"},
		{"CL.THROTTLE u 15 30 60", "*5\r\n:0\r\n:20\r\n:19\r\n:-1\r\n:1"}, {"CL.THROTTLE u 15 30 60 6", "*5\r\n:1\r\n:20\r\n:5\r\n:1\r\n:2"},
		{"CL.THROTTLE u 15 30 60 0", "*5\r\n:0\r\n:20\r\n:19\r\n:-1\r\n:1"}, {"CL.THROTTLE u 15 30", "-ERR wrong number of arguments for 'cl.throttle' command"},
		{"CL.THROTTLE u x 30 60", "-ERR max_burst is no whole number of 0 or more"}, {"CL.THROTTLE u 1 0 60", "-ERR count_per_period is no whole number of 1 or more"},
		{"CL.THROTTLE u 1 1 1 -1", "-ERR quantity is no whole number of 0 or more"}, {"CL.THROTTLE u 1 1 1 61", "-ERR quantity is above 60, the most of one request"},
		{"RESET", "+RESET"}, {"PING", "-NOAUTH Authentication required."},
		{"HELLO 3 AUTH acme acme-secret", "%7"},
	} {
		client.expect(exchange[0]+"\r\n", exchange[1]+"\r\n")
	}
	client.expect("", "$6\r\nserver\r\n$9\r\ncometpond\r\n$7\r\nversion\r\n$5\r\n1.0.0\r\n$5\r\nproto\r\n:3\r\n$2\r\nid\r\n:1\r\n$4\r\nmode\r\n$10\r\nstandalone\r\n$4\r\nrole\r\n$6\r\nmaster\r\n$7\r\nmodules\r\n*0\r\n")
	client.expect("JOB.STATUS map\r\n", "%1\r\n+a\r\n:1\r\n") // passed on unchanged in version 3
	client.expect("QUIT\r\n", "+OK\r\n")
	client.expectClose("")
}

// Replies are written in the order of the commands, whichever is ready first.
func TestReplyOrder(t *testing.T) {
	_, fake, addr := startServer(t, nil)
	client := connect(t, addr, true)
	client.send("JOB.STATUS hold1\r\nPING\r\nSIGN.SUBMIT k2 x\r\nNOPE\r\nJOB.STATUS hold2\r\nECHO end\r\n")
	first, second := <-fake.held, <-fake.held
	answerCall(second, core.Answer{Payload: []byte("+second\r\n")})
	answerCall(first, core.Answer{Payload: []byte("+first\r\n")})
	client.expect("", "+first\r\n+PONG\r\n+did k2\r\n-ERR unknown command 'NOPE', with args beginning with: \r\n+second\r\n$3\r\nend\r\n")
}

// The core is told when a client disconnects, and a late answer to its request is dropped.
func TestClientDisconnect(t *testing.T) {
	srv, fake, addr := startServer(t, nil)
	client := connect(t, addr, true)
	client.send("JOB.STATUS hold1\r\nJOB.STATUS hold2\r\n")
	first, second := <-fake.held, <-fake.held
	client.Close()
	waitFor(t, func() bool { return fake.goneCount() == 2 && srv.Counts().Open == 0 })
	answerCall(first, core.Answer{Payload: []byte("+late\r\n")})
	answerCall(second, core.Answer{Payload: []byte("+late\r\n")})
	connect(t, addr, true).expect("PING\r\n", "+PONG\r\n")
}

// waitFor waits until condition is true.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 20 s")
		}
	}
}

func TestMalformedInput(t *testing.T) {
	_, _, addr := startServer(t, nil)
	for in, want := range map[string]string{
		"*1\r\n$99999\r\n":             "-ERR Protocol error: invalid bulk length\r\n",
		"*99999\r\n":                   "-ERR Protocol error: invalid multibulk length\r\n",
		"*1\r\n+x\r\n":                 "-ERR Protocol error: expected '$', got '+'\r\n",
		"ECHO \"x\r\n":                 "-ERR Protocol error: unbalanced quotes in request\r\n",
		strings.Repeat("x", 20<<10):    "-ERR Protocol error: too big inline request\r\n",
		"PING\r\n*1\r\n$2\r\nhiXXPING": "+PONG\r\n-ERR Protocol error: bulk string not ended by CRLF\r\n",
	} {
		client := connect(t, addr, true)
		client.send(in)
		client.expectClose(want)
	}
}

func TestLimits(t *testing.T) {
	t.Run("slow command", func(t *testing.T) {
		srv, _, addr := startServer(t, func(limits *config.FrontLimits) { limits.PartialTimeout = 100 * time.Millisecond })
		silent, slow := connect(t, addr, false), connect(t, addr, true)
		slow.send("*1\r\n$4\r\nPI")
		idle := connect(t, addr, true)
		slow.expectClose("")
		silent.expectClose("") // did not log in
		idle.expect("PING\r\n", "+PONG\r\n")
		if srv.Counts().Terminated != 2 {
			t.Errorf("%d connections terminated, want 2", srv.Counts().Terminated)
		}
	})
	t.Run("client that never reads", func(t *testing.T) {
		srv, _, addr := startServer(t, func(limits *config.FrontLimits) {
			limits.MaxUnreadBytes, limits.PartialTimeout = 64<<10, 300*time.Millisecond
		})
		client := connect(t, addr, true)
		big := "ECHO " + strings.Repeat("x", 4000) + "\r\n"
		for srv.Counts().Terminated == 0 {
			if _, err := io.WriteString(client, big); err != nil {
				break
			}
		}
		waitFor(t, func() bool { return srv.Counts().Open == 0 })
	})
	t.Run("pipeline", func(t *testing.T) {
		_, fake, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxPipelined = 10 })
		client := connect(t, addr, true)
		client.send(strings.Repeat("JOB.STATUS hold\r\n", 25))
		for n := range 25 {
			call := <-fake.held
			if seen := fake.callCount(); seen > n+10 {
				t.Fatalf("%d commands in flight", seen-n)
			}
			answerCall(call, core.Answer{Payload: []byte("+ok\r\n")})
		}
		client.expect("", strings.Repeat("+ok\r\n", 25))
	})
	t.Run("connections", func(t *testing.T) {
		srv, _, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxConnections = 2 })
		connect(t, addr, true)
		connect(t, addr, true)
		connect(t, addr, false).expectClose("-ERR max number of clients reached\r\n")
		waitFor(t, func() bool { return srv.Counts().Open == 2 })
	})
	t.Run("core full", func(t *testing.T) {
		_, fake, addr := startServer(t, nil)
		fake.mu.Lock()
		fake.capacity = 1
		fake.mu.Unlock()
		client := connect(t, addr, true)
		client.send("JOB.STATUS 1\r\nJOB.STATUS 2\r\n")
		client.expect("", "+did \r\n")
		line, _ := client.reader.ReadString('\n')
		if !strings.HasPrefix(line, "-REFUSED") && line != "+did \r\n" { // depends on whether both arrived in one read
			t.Errorf("%q", line)
		}
	})
	t.Run("drain", func(t *testing.T) {
		srv, _, addr := startServer(t, nil)
		client := connect(t, addr, true)
		srv.RejectNewConnections()
		connect(t, addr, false).expectClose("-ERR this instance is shutting down\r\n")
		client.expect("PING\r\n", "+PONG\r\n")
	})
}

// go-redis works with its default settings, and neither REFUSED nor FAILED makes it send a command again by itself.
func TestGoRedis(t *testing.T) {
	for _, version := range []int{2, 3} {
		t.Run(fmt.Sprint("RESP", version), func(t *testing.T) {
			_, fake, addr := startServer(t, nil)
			client := redis.NewClient(&redis.Options{Addr: addr, Username: "acme", Password: "acme-secret",
				Protocol: version, ClientName: "ci"})
			defer client.Close()
			ctx := context.Background()
			if v, err := client.Do(ctx, "SIGN.SUBMIT", "k9", "img").Text(); err != nil || v != "did k9" {
				t.Fatal(v, err)
			}
			if v, err := client.Do(ctx, "CL.THROTTLE", "u", 15, 30, 60, 1).Int64Slice(); err != nil ||
				!reflect.DeepEqual(v, []int64{0, 20, 19, -1, 1}) {
				t.Fatal(v, err)
			}
			before := fake.callCount()
			if err := client.Do(ctx, "JOB.STATUS", "refuse").Err(); err == nil || !strings.HasPrefix(err.Error(), "REFUSED") {
				t.Fatal(err)
			}
			if err := client.Do(ctx, "SIGN.SUBMIT", "k", "fail").Err(); err == nil || !strings.HasPrefix(err.Error(), "FAILED") {
				t.Fatal(err)
			}
			if n := fake.callCount() - before; n != 2 {
				t.Fatalf("core received %d commands for two calls", n)
			}
			cmds, err := client.Pipelined(ctx, func(p redis.Pipeliner) error {
				for i := range 300 {
					p.Do(ctx, "SIGN.SUBMIT", fmt.Sprint("k", i), "img")
				}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			for i, cmd := range cmds {
				if v, _ := cmd.(*redis.Cmd).Text(); v != fmt.Sprint("did k", i) {
					t.Fatalf("reply %d is %q", i, v)
				}
			}
		})
	}
}

// When a connection breaks with a command in flight, go-redis sends it again by itself unless MaxRetries is -1.
// docs/clients.md describes this to users; the test detects a change of the library's behaviour.
func TestGoRedisOnBrokenConnection(t *testing.T) {
	for _, retries := range []int{0, -1} { // 0 is the library's default of three
		_, fake, addr := startServer(t, nil)
		client := redis.NewClient(&redis.Options{Addr: addr, Username: "acme", Password: "acme-secret", MaxRetries: retries,
			ReadTimeout: time.Minute, MinRetryBackoff: time.Millisecond, MaxRetryBackoff: time.Millisecond})
		done := make(chan error, 1)
		go func() { done <- client.Do(context.Background(), "SIGN.SUBMIT", "k", "hold").Err() }()
		sent := 0
		for finished := false; !finished; {
			select {
			case call := <-fake.held:
				sent++
				command := call.Tag.(*pendingCommand)
				command.conn.socket.Close()
			case err := <-done:
				if finished = true; err == nil || !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
					t.Errorf("retries %d: %v", retries, err)
				}
			}
		}
		if (retries == -1) != (sent == 1) {
			t.Errorf("MaxRetries %d: sent %d times", retries, sent)
		}
		client.Close()
	}
}

// rueidis sends only read-only commands again by itself, and takes none of this gateway's commands for one.
func TestRueidis(t *testing.T) {
	_, fake, addr := startServer(t, nil)
	client, err := rueidis.NewClient(rueidis.ClientOption{InitAddress: []string{addr}, Username: "acme", Password: "acme-secret",
		DisableCache: true, ForceSingleClient: true})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx := context.Background()
	do := func(words ...string) rueidis.RedisResult {
		return client.Do(ctx, client.B().Arbitrary(words[0]).Args(words[1:]...).Build())
	}
	if v, err := do("SIGN.SUBMIT", "k", "img").ToString(); err != nil || v != "did k" {
		t.Fatal(v, err)
	}
	before := fake.callCount()
	for _, words := range [][]string{{"JOB.STATUS", "refuse"}, {"SIGN.SUBMIT", "k", "fail"}} {
		if err := do(words...).Error(); err == nil {
			t.Fatal(words)
		}
	}
	if n := fake.callCount() - before; n != 2 {
		t.Fatalf("core received %d commands for two calls", n)
	}
	done := make(chan error, 1)
	go func() { done <- do("SIGN.SUBMIT", "k", "hold").Error() }()
	(<-fake.held).Tag.(*pendingCommand).conn.socket.Close()
	if err := <-done; err == nil {
		t.Fatal("no error though the connection broke")
	}
	if n := fake.callCount() - before; n != 3 {
		t.Fatalf("core received %d commands, want 3: the command of the broken connection was sent again", n)
	}
}

// Clients that connect and disconnect leave no descriptor and no connection behind.
func TestNoLeaks(t *testing.T) {
	srv, _, addr := startServer(t, nil)
	connect(t, addr, true).Close()
	waitFor(t, func() bool { return srv.Counts().Open == 0 })
	before := openDescriptors(t)
	for range 200 {
		client := connect(t, addr, true)
		client.send("JOB.STATUS hold\r\n")
		client.Close()
	}
	waitFor(t, func() bool { return srv.Counts().Open == 0 && openDescriptors(t) <= before })
}

// openDescriptors returns the number of this process's open file descriptors.
func openDescriptors(t *testing.T) int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(list)
}
