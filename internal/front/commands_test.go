package front

import (
	"bufio"
	"errors"
	"io"
	"testing"
	"time"

	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/crowd"
	"cometpond/internal/resp"
)

// echo is a world of two commands: SAY answers at once, and any other is asked.
type echo struct{}

func (echo) Limits() resp.Limits {
	return resp.Limits{Bulk: 100, Args: 3, Inline: 32, Depth: 1, Command: 200, ArraysOnly: true}
}

func (echo) HandleCommand(c Conn, args [][]byte) {
	if string(args[0]) == "SAY" {
		c.Reply([]byte("+said\r\n"))
		return
	}
	c.Submit(core.Call{Key: string(args[0]), Payload: append([]byte(nil), args[0]...)})
}

func (echo) AppendReply(dst []byte, c *core.Call) []byte { return append(dst, c.Answer.Payload...) }

func openWorld(most int) (func(*config.FrontLimits), func(*Options)) {
	return func(f *config.FrontLimits) { f.MaxConnections, f.PartialTimeout = most, time.Minute },
		func(o *Options) { o.Handler, o.Loops, o.IdleLimits = echo{}, 1, crowd.DefaultLimits(most, 60) }
}

func visitor(t *testing.T, addr string) *raw {
	t.Helper()
	c, err := dialRaw(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &raw{Conn: c, r: bufio.NewReader(c), t: t}
}

func (k *raw) says(text, want string) {
	k.t.Helper()
	if _, err := k.Write([]byte(text)); err != nil {
		k.t.Fatal(err)
	}
	line, err := k.r.ReadString('\n')
	if err != nil || line != want {
		k.t.Fatalf("%q is answered %q, %v", text, line, err)
	}
}

const say = "*1\r\n$3\r\nSAY\r\n"

// Commands of another world need no login; what is no command in it is one error and the end of the connection.
func TestCommandsOfAnotherWorld(t *testing.T) {
	_, _, addr := startWith(t, nil, func(o *Options) { o.Handler = echo{} })
	k := visitor(t, addr)
	k.says(say, "+said\r\n")
	k.says("*1\r\n$2\r\nGO\r\n", "+did GO\r\n")
	for _, bad := range []string{"SAY\r\n", "\r\n", "*0\r\n", "*-1\r\n", "*4\r\n", "*1\r\n$-1\r\n", "*1\r\n$101\r\n", "*1\r\n$99999999999999999999\r\n",
		"*1\r\n$x\r\n", "*1\r\n+SAY\r\n", "*99999999999999999999\r\n", "*1\r\n$3\r\nSAYxx", "\x00\x01\x02"} {
		k := visitor(t, addr)
		if _, err := k.Write([]byte(bad)); err != nil {
			t.Fatal(err)
		}
		line, err := k.r.ReadString('\n')
		if err != nil || line[0] != '-' {
			t.Errorf("%q is answered %q, %v", bad, line, err)
		}
		if _, err := k.r.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%q: the connection stands: %v", bad, err)
		}
	}
}

// Guards a day on which a full house turned usual clients away, with hundreds of connections idle for seconds: the
// first in line was one that had only just come, and nobody else was looked at.
func TestFullHouseMakesRoom(t *testing.T) {
	bounds, world := openWorld(3)
	_, _, addr := startWith(t, bounds, world)
	once := visitor(t, addr)
	once.says(say, "+said\r\n")
	time.Sleep(300 * time.Millisecond) // it may give way after that
	fresh := visitor(t, addr)
	if _, err := fresh.Write([]byte(say[:5])); err != nil {
		t.Fatal(err)
	}
	busy := visitor(t, addr)
	busy.says(say, "+said\r\n")
	busy.says(say, "+said\r\n")
	visitor(t, addr).says(say, "+said\r\n")
	if _, err := once.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the one that asked once and stayed: %v", err)
	}
	busy.says(say, "+said\r\n")
	fresh.says(say[5:], "+said\r\n")
}

// A server that retires closes what is idle, and the rest once it is answered.
func TestRetire(t *testing.T) {
	srv, s, addr := startWith(t, func(f *config.FrontLimits) { f.PartialTimeout = 100 * time.Millisecond }, func(o *Options) { o.Handler = echo{} })
	idle, busy := visitor(t, addr), visitor(t, addr)
	idle.says(say, "+said\r\n")
	if _, err := busy.Write([]byte("*1\r\n$4\r\nhold\r\n")); err != nil {
		t.Fatal(err)
	}
	call := <-s.held
	srv.CloseWhenIdle()
	if _, err := idle.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle one: %v", err)
	}
	give(call, core.Answer{Payload: []byte("+held\r\n")})
	if line, err := busy.r.ReadString('\n'); line != "+held\r\n" {
		t.Errorf("the busy one is answered %q, %v", line, err)
	}
	if _, err := busy.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the busy one, answered: %v", err)
	}
	if c, err := dialRaw(addr); err == nil {
		defer c.Close()
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a new one is answered something")
		}
	}
}
