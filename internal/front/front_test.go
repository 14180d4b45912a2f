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

// scripted is a core that answers by what the payload or the quantity says, on a goroutine of its own.
type scripted struct {
	mu    sync.Mutex
	calls []*core.Call
	gone  []*core.Call
	room  int // calls that fit, below 0: any
	held  chan *core.Call
	queue chan *core.Call
	ended sync.WaitGroup
}

func newScripted() *scripted {
	s := &scripted{room: -1, held: make(chan *core.Call, 100000), queue: make(chan *core.Call, 100000)}
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		for c := range s.queue {
			s.rule(c)
		}
	}()
	return s
}

func (s *scripted) Submit(calls []*core.Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(calls)
	if s.room >= 0 {
		n = min(n, s.room)
	}
	for _, c := range calls[:n] {
		s.calls = append(s.calls, c)
		s.queue <- c
	}
	return n
}

func (s *scripted) Disconnected(calls []*core.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = append(s.gone, calls...)
}

func (s *scripted) seen() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.calls) }

func (s *scripted) left() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.gone) }

func (s *scripted) rule(c *core.Call) {
	a := core.Answer{}
	text := string(c.Payload)
	switch {
	case strings.Contains(text, "hold"):
		s.held <- c
		return
	case strings.Contains(text, "refuse"):
		a.Kind, a.RetryAfterS, a.Detail = core.Refused, 0.25, "over quota"
	case strings.Contains(text, "fail"):
		a.Kind, a.Detail = core.Failed, "may have run"
	case strings.Contains(text, "map"):
		a.Payload = []byte("%1\r\n+a\r\n:1\r\n")
	case c.QuotaOnly && c.Units > 5:
		a.Kind, a.Quota = core.Refused, core.Quota{Burst: 20, Remaining: 5.5, RetryAfterS: 0.3, ResetS: 1.45}
	case c.QuotaOnly:
		a.Kind, a.Quota = core.Admitted, core.Quota{Burst: 20, Remaining: 19.5, ResetS: 0.05}
	default:
		a.Payload = []byte("+did " + c.Key + "\r\n")
	}
	give(c, a)
}

func give(c *core.Call, a core.Answer) {
	c.Answer = a
	c.Front.Answered([]*core.Call{c})
}

func book(t testing.TB) *access.Registry {
	t.Helper()
	raw, err := os.ReadFile("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse("one.sexp", string(raw))
	if err != nil {
		t.Fatal(err)
	}
	return access.New(c)
}

func start(t testing.TB, change func(*config.FrontLimits)) (*Server, *scripted, string) {
	t.Helper()
	return startWith(t, change, nil)
}

func startWith(t testing.TB, change func(*config.FrontLimits), more func(*Options)) (*Server, *scripted, string) {
	t.Helper()
	s := newScripted()
	b := config.FrontLimits{MaxConnections: 1000, MaxArgumentBytes: 4096, MaxPipelined: 500, MaxUnreadBytes: 1 << 20, PartialTimeout: time.Minute}
	if change != nil {
		change(&b)
	}
	o := Options{Listen: "127.0.0.1:0", Loops: 2, Limits: b, Registry: book(t), Info: func() string { return "x:1" }, Log: zerolog.Nop()}
	if more != nil {
		more(&o)
	}
	srv, err := Start(s, o)
	if err != nil {
		t.Fatal(err)
	}
	addr := srv.Addr()
	t.Cleanup(func() {
		srv.Stop(context.Background())
		close(s.queue)
		s.ended.Wait()
	})
	return srv, s, addr.String()
}

// raw is a client that sends what it is told to.
type raw struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

func dialRaw(addr string) (net.Conn, error) {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		err = c.SetDeadline(time.Now().Add(20 * time.Second))
	}
	return c, err
}

func connect(t *testing.T, addr string, login bool) *raw {
	t.Helper()
	c, err := dialRaw(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	k := &raw{c, bufio.NewReader(c), t}
	if login {
		k.expect("AUTH acme acme-secret\r\n", "+OK\r\n")
	}
	return k
}

func (k *raw) send(s string) {
	k.t.Helper()
	if s == "" {
		return // a write of nothing would wait for one that is under way
	}
	if _, err := io.WriteString(k, s); err != nil {
		k.t.Fatal(err)
	}
}

func (k *raw) expect(send, want string) {
	k.t.Helper()
	k.send(send)
	got := make([]byte, len(want))
	if n, err := io.ReadFull(k.r, got); err != nil || string(got) != want {
		more, _ := k.r.Peek(min(k.r.Buffered(), 300))
		k.t.Fatalf("%q: got %q (%v), want %q; then %q", send, got[:n], err, want, more)
	}
}

// ended expects the connection's end, after at most some bytes.
func (k *raw) ended(want string) {
	k.t.Helper()
	b, err := io.ReadAll(k.r)
	if err != nil && !strings.Contains(err.Error(), "reset") || !strings.Contains(string(b), want) {
		k.t.Fatalf("got %q, %v; want %q and the end", b, err, want)
	}
}

func TestCommands(t *testing.T) {
	_, _, addr := start(t, nil)
	k := connect(t, addr, false)
	k.expect("PING\r\n", "-NOAUTH Authentication required.\r\n")
	k.expect("JOB.STATUS 1\r\n", "-NOAUTH Authentication required.\r\n")
	k.expect("AUTH acme wrong\r\n", "-WRONGPASS invalid username-password pair or user is disabled.\r\n")
	k.expect("AUTH nobody acme-secret\r\n", "-WRONGPASS invalid username-password pair or user is disabled.\r\n")
	k.expect("AUTH acme-secret\r\n", "-WRONGPASS")
	k.r.ReadString('\n')
	k.expect("HELLO 3\r\n", "-NOAUTH HELLO must be called")
	k.r.ReadString('\n')
	k.expect("HELLO 4\r\n", "-NOPROTO unsupported protocol version\r\n")
	k.expect("HELLO 2 AUTH acme acme-secret SETNAME me\r\n", "*14\r\n$6\r\nserver\r\n$9\r\ncometpond\r\n$7\r\nversion\r\n$5\r\n1.0.0\r\n$5\r\nproto\r\n:2\r\n$2\r\nid\r\n:1\r\n$4\r\nmode\r\n$10\r\nstandalone\r\n$4\r\nrole\r\n$6\r\nmaster\r\n$7\r\nmodules\r\n*0\r\n")
	for _, c := range [][2]string{
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
		k.expect(c[0]+"\r\n", c[1]+"\r\n")
	}
	k.expect("", "$6\r\nserver\r\n$9\r\ncometpond\r\n$7\r\nversion\r\n$5\r\n1.0.0\r\n$5\r\nproto\r\n:3\r\n$2\r\nid\r\n:1\r\n$4\r\nmode\r\n$10\r\nstandalone\r\n$4\r\nrole\r\n$6\r\nmaster\r\n$7\r\nmodules\r\n*0\r\n")
	k.expect("JOB.STATUS map\r\n", "%1\r\n+a\r\n:1\r\n") // unchanged in version 3
	k.expect("QUIT\r\n", "+OK\r\n")
	k.ended("")
}

// Answers come in the order of the commands, whichever is ready first.
func TestOrder(t *testing.T) {
	_, s, addr := start(t, nil)
	k := connect(t, addr, true)
	k.send("JOB.STATUS hold1\r\nPING\r\nSIGN.SUBMIT k2 x\r\nNOPE\r\nJOB.STATUS hold2\r\nECHO end\r\n")
	first, second := <-s.held, <-s.held
	give(second, core.Answer{Payload: []byte("+second\r\n")})
	give(first, core.Answer{Payload: []byte("+first\r\n")})
	k.expect("", "+first\r\n+PONG\r\n+did k2\r\n-ERR unknown command 'NOPE', with args beginning with: \r\n+second\r\n$3\r\nend\r\n")
}

// A client that leaves is told to the core, and its late answer reaches nobody.
func TestClientGone(t *testing.T) {
	srv, s, addr := start(t, nil)
	k := connect(t, addr, true)
	k.send("JOB.STATUS hold1\r\nJOB.STATUS hold2\r\n")
	a, b := <-s.held, <-s.held
	k.Close()
	wait(t, func() bool { return s.left() == 2 && srv.Counts().Open == 0 })
	give(a, core.Answer{Payload: []byte("+late\r\n")})
	give(b, core.Answer{Payload: []byte("+late\r\n")})
	connect(t, addr, true).expect("PING\r\n", "+PONG\r\n")
}

func wait(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come about in 20 s")
		}
	}
}

func TestBrokenFraming(t *testing.T) {
	_, _, addr := start(t, nil)
	for in, want := range map[string]string{
		"*1\r\n$99999\r\n":             "-ERR Protocol error: invalid bulk length\r\n",
		"*99999\r\n":                   "-ERR Protocol error: invalid multibulk length\r\n",
		"*1\r\n+x\r\n":                 "-ERR Protocol error: expected '$', got '+'\r\n",
		"ECHO \"x\r\n":                 "-ERR Protocol error: unbalanced quotes in request\r\n",
		strings.Repeat("x", 20<<10):    "-ERR Protocol error: too big inline request\r\n",
		"PING\r\n*1\r\n$2\r\nhiXXPING": "+PONG\r\n-ERR Protocol error: bulk string not ended by CRLF\r\n",
	} {
		k := connect(t, addr, true)
		k.send(in)
		k.ended(want)
	}
}

func TestBounds(t *testing.T) {
	t.Run("slow command", func(t *testing.T) {
		srv, _, addr := start(t, func(b *config.FrontLimits) { b.PartialTimeout = 100 * time.Millisecond })
		silent, slow := connect(t, addr, false), connect(t, addr, true)
		slow.send("*1\r\n$4\r\nPI")
		idle := connect(t, addr, true)
		slow.ended("")
		silent.ended("") // never said who it is
		idle.expect("PING\r\n", "+PONG\r\n")
		if srv.Counts().Terminated != 2 {
			t.Errorf("%d cut, want 2", srv.Counts().Terminated)
		}
	})
	t.Run("client that never reads", func(t *testing.T) {
		srv, _, addr := start(t, func(b *config.FrontLimits) { b.MaxUnreadBytes, b.PartialTimeout = 64<<10, 300*time.Millisecond })
		k := connect(t, addr, true)
		big := "ECHO " + strings.Repeat("x", 4000) + "\r\n"
		for srv.Counts().Terminated == 0 {
			if _, err := io.WriteString(k, big); err != nil {
				break
			}
		}
		wait(t, func() bool { return srv.Counts().Open == 0 })
	})
	t.Run("pipeline", func(t *testing.T) {
		_, s, addr := start(t, func(b *config.FrontLimits) { b.MaxPipelined = 10 })
		k := connect(t, addr, true)
		k.send(strings.Repeat("JOB.STATUS hold\r\n", 25))
		for n := range 25 {
			c := <-s.held
			if seen := s.seen(); seen > n+10 {
				t.Fatalf("%d commands under way", seen-n)
			}
			give(c, core.Answer{Payload: []byte("+ok\r\n")})
		}
		k.expect("", strings.Repeat("+ok\r\n", 25))
	})
	t.Run("connections", func(t *testing.T) {
		srv, _, addr := start(t, func(b *config.FrontLimits) { b.MaxConnections = 2 })
		connect(t, addr, true)
		connect(t, addr, true)
		connect(t, addr, false).ended("-ERR max number of clients reached\r\n")
		wait(t, func() bool { return srv.Counts().Open == 2 })
	})
	t.Run("core full", func(t *testing.T) {
		_, s, addr := start(t, nil)
		s.mu.Lock()
		s.room = 1
		s.mu.Unlock()
		k := connect(t, addr, true)
		k.send("JOB.STATUS 1\r\nJOB.STATUS 2\r\n")
		k.expect("", "+did \r\n")
		line, _ := k.r.ReadString('\n')
		if !strings.HasPrefix(line, "-REFUSED") && line != "+did \r\n" { // in one read or in two
			t.Errorf("%q", line)
		}
	})
	t.Run("drain", func(t *testing.T) {
		srv, _, addr := start(t, nil)
		k := connect(t, addr, true)
		srv.RejectNewConnections()
		connect(t, addr, false).ended("-ERR this instance is shutting down\r\n")
		k.expect("PING\r\n", "+PONG\r\n")
	})
}

// go-redis works as it comes, and neither of our words makes it send a command again by itself.
func TestGoRedis(t *testing.T) {
	for _, version := range []int{2, 3} {
		t.Run(fmt.Sprint("RESP", version), func(t *testing.T) {
			_, s, addr := start(t, nil)
			c := redis.NewClient(&redis.Options{Addr: addr, Username: "acme", Password: "acme-secret", Protocol: version, ClientName: "ci"})
			defer c.Close()
			ctx := context.Background()
			if v, err := c.Do(ctx, "SIGN.SUBMIT", "k9", "img").Text(); err != nil || v != "did k9" {
				t.Fatal(v, err)
			}
			if v, err := c.Do(ctx, "CL.THROTTLE", "u", 15, 30, 60, 1).Int64Slice(); err != nil || !reflect.DeepEqual(v, []int64{0, 20, 19, -1, 1}) {
				t.Fatal(v, err)
			}
			before := s.seen()
			if err := c.Do(ctx, "JOB.STATUS", "refuse").Err(); err == nil || !strings.HasPrefix(err.Error(), "REFUSED") {
				t.Fatal(err)
			}
			if err := c.Do(ctx, "SIGN.SUBMIT", "k", "fail").Err(); err == nil || !strings.HasPrefix(err.Error(), "FAILED") {
				t.Fatal(err)
			}
			if n := s.seen() - before; n != 2 {
				t.Fatalf("%d commands came for two calls", n)
			}
			cmds, err := c.Pipelined(ctx, func(p redis.Pipeliner) error {
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
					t.Fatalf("answer %d is %q", i, v)
				}
			}
		})
	}
}

// When a connection breaks with a command out, go-redis sends it again by itself unless MaxRetries is -1.
// This is what docs/clients.md tells users; the test would notice if the library changed its ways.
func TestGoRedisOnBrokenConnection(t *testing.T) {
	for _, retries := range []int{0, -1} { // 0 is the library's default of three
		_, s, addr := start(t, nil)
		c := redis.NewClient(&redis.Options{Addr: addr, Username: "acme", Password: "acme-secret", MaxRetries: retries,
			ReadTimeout: time.Minute, MinRetryBackoff: time.Millisecond, MaxRetryBackoff: time.Millisecond})
		done := make(chan error, 1)
		go func() { done <- c.Do(context.Background(), "SIGN.SUBMIT", "k", "hold").Err() }()
		sent := 0
		for over := false; !over; {
			select {
			case call := <-s.held:
				sent++
				p := call.Tag.(*pending)
				p.conn.c.Close()
			case err := <-done:
				if over = true; err == nil || !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
					t.Errorf("retries %d: %v", retries, err)
				}
			}
		}
		if (retries == -1) != (sent == 1) {
			t.Errorf("MaxRetries %d: sent %d times", retries, sent)
		}
		c.Close()
	}
}

// rueidis repeats by itself only what it takes to be a read; ours are none of its reads.
func TestRueidis(t *testing.T) {
	_, s, addr := start(t, nil)
	c, err := rueidis.NewClient(rueidis.ClientOption{InitAddress: []string{addr}, Username: "acme", Password: "acme-secret",
		DisableCache: true, ForceSingleClient: true})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx := context.Background()
	ask := func(words ...string) rueidis.RedisResult {
		return c.Do(ctx, c.B().Arbitrary(words[0]).Args(words[1:]...).Build())
	}
	if v, err := ask("SIGN.SUBMIT", "k", "img").ToString(); err != nil || v != "did k" {
		t.Fatal(v, err)
	}
	before := s.seen()
	for _, words := range [][]string{{"JOB.STATUS", "refuse"}, {"SIGN.SUBMIT", "k", "fail"}} {
		if err := ask(words...).Error(); err == nil {
			t.Fatal(words)
		}
	}
	if n := s.seen() - before; n != 2 {
		t.Fatalf("%d commands came for two calls", n)
	}
	done := make(chan error, 1)
	go func() { done <- ask("SIGN.SUBMIT", "k", "hold").Error() }()
	(<-s.held).Tag.(*pending).conn.c.Close()
	if err := <-done; err == nil {
		t.Fatal("no error for a connection that broke")
	}
	if n := s.seen() - before; n != 3 {
		t.Fatalf("%d commands came, want 3: the broken one was sent again", n)
	}
}

// What comes and goes leaves no descriptor and no connection behind.
func TestNothingLeaks(t *testing.T) {
	srv, _, addr := start(t, nil)
	connect(t, addr, true).Close()
	wait(t, func() bool { return srv.Counts().Open == 0 })
	before := descriptors(t)
	for range 200 {
		k := connect(t, addr, true)
		k.send("JOB.STATUS hold\r\n")
		k.Close()
	}
	wait(t, func() bool { return srv.Counts().Open == 0 && descriptors(t) <= before })
}

func descriptors(t *testing.T) int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(list)
}
