package front

import (
	"bufio"
	"errors"
	"io"
	"testing"
	"time"

	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/idleconn"
	"cometpond/internal/resp"
)

// echoHandler is a command handler that replies to SAY itself and submits all other commands.
type echoHandler struct{}

func (echoHandler) Limits() resp.Limits {
	return resp.Limits{Bulk: 100, Args: 3, Inline: 32, Depth: 1, Command: 200, ArraysOnly: true}
}

func (echoHandler) HandleCommand(conn Conn, args [][]byte) {
	if string(args[0]) == "SAY" {
		conn.Reply([]byte("+said\r\n"))
		return
	}
	conn.Submit(core.Call{Key: string(args[0]), Payload: append([]byte(nil), args[0]...)})
}

func (echoHandler) AppendReply(dst []byte, call *core.Call) []byte {
	return append(dst, call.Answer.Payload...)
}

// withoutLogin returns changes of the settings for clients without a login, one event loop and at most so many connections.
func withoutLogin(maxConnections int) (func(*config.FrontLimits), func(*Options)) {
	return func(limits *config.FrontLimits) {
			limits.MaxConnections, limits.PartialTimeout = maxConnections, time.Minute
		},
		func(options *Options) {
			options.Handler, options.Loops, options.IdleLimits = echoHandler{}, 1, idleconn.DefaultLimits(maxConnections, 60)
		}
}

// dialClient connects a client that does not log in.
func dialClient(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &testClient{Conn: conn, reader: bufio.NewReader(conn), t: t}
}

// expectLine sends text and expects want, a line, as the reply.
func (client *testClient) expectLine(text, want string) {
	client.t.Helper()
	if _, err := client.Write([]byte(text)); err != nil {
		client.t.Fatal(err)
	}
	line, err := client.reader.ReadString('\n')
	if err != nil || line != want {
		client.t.Fatalf("reply to %q is %q, %v", text, line, err)
	}
}

const sayCommand = "*1\r\n$3\r\nSAY\r\n"

// With a command handler no login is needed, and input that is not a command gets one error and the end of the connection.
func TestCommandHandler(t *testing.T) {
	_, _, addr := startServerWith(t, nil, func(options *Options) { options.Handler = echoHandler{} })
	client := dialClient(t, addr)
	client.expectLine(sayCommand, "+said\r\n")
	client.expectLine("*1\r\n$2\r\nGO\r\n", "+did GO\r\n")
	for _, bad := range []string{"SAY\r\n", "\r\n", "*0\r\n", "*-1\r\n", "*4\r\n", "*1\r\n$-1\r\n", "*1\r\n$101\r\n",
		"*1\r\n$99999999999999999999\r\n",
		"*1\r\n$x\r\n", "*1\r\n+SAY\r\n", "*99999999999999999999\r\n", "*1\r\n$3\r\nSAYxx", "\x00\x01\x02"} {
		client := dialClient(t, addr)
		if _, err := client.Write([]byte(bad)); err != nil {
			t.Fatal(err)
		}
		line, err := client.reader.ReadString('\n')
		if err != nil || line[0] != '-' {
			t.Errorf("reply to %q is %q, %v; want an error", bad, line, err)
		}
		if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%q: the connection was not closed: %v", bad, err)
		}
	}
}

// At the connection limit, usual clients were rejected although hundreds of connections had been idle for seconds: only the
// first candidate for eviction was considered, and that one had only just been opened.
func TestIdleConnectionEvictedAtLimit(t *testing.T) {
	limits, options := withoutLogin(3)
	_, _, addr := startServerWith(t, limits, options)
	once := dialClient(t, addr)
	once.expectLine(sayCommand, "+said\r\n")
	time.Sleep(300 * time.Millisecond) // long enough for it to be evictable
	fresh := dialClient(t, addr)
	if _, err := fresh.Write([]byte(sayCommand[:5])); err != nil {
		t.Fatal(err)
	}
	busy := dialClient(t, addr)
	busy.expectLine(sayCommand, "+said\r\n")
	busy.expectLine(sayCommand, "+said\r\n")
	dialClient(t, addr).expectLine(sayCommand, "+said\r\n")
	if _, err := once.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection idle after one request was not evicted: %v", err)
	}
	busy.expectLine(sayCommand, "+said\r\n")
	fresh.expectLine(sayCommand[5:], "+said\r\n")
}

// CloseWhenIdle closes idle connections at once, and the others after their replies.
func TestCloseWhenIdle(t *testing.T) {
	srv, fake, addr := startServerWith(t, func(limits *config.FrontLimits) { limits.PartialTimeout = 100 * time.Millisecond },
		func(options *Options) { options.Handler = echoHandler{} })
	idle, busy := dialClient(t, addr), dialClient(t, addr)
	idle.expectLine(sayCommand, "+said\r\n")
	if _, err := busy.Write([]byte("*1\r\n$4\r\nhold\r\n")); err != nil {
		t.Fatal(err)
	}
	call := <-fake.held
	srv.CloseWhenIdle()
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection was not closed: %v", err)
	}
	answerCall(call, core.Answer{Payload: []byte("+held\r\n")})
	if line, err := busy.reader.ReadString('\n'); line != "+held\r\n" {
		t.Errorf("reply on the busy connection is %q, %v", line, err)
	}
	if _, err := busy.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the busy connection was not closed after its reply: %v", err)
	}
	if conn, err := dial(addr); err == nil {
		defer conn.Close()
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("got data on a new connection, want it closed")
		}
	}
}
