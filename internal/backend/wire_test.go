package backend

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"cometpond/internal/resp"
	"cometpond/policy"
)

// replies are the forms that an answer may take, with the size of their attribute, which is taken off.
var replies = []struct {
	text string
	attr int
}{{"+OK\r\n", 0}, {"-ERR no such job\r\n", 0}, {":12\r\n", 0}, {"$-1\r\n", 0}, {"$13\r\n+a\r\n$1\r\nb\r\n\r\n\r\n", 0}, {"*2\r\n:1\r\n*1\r\n$1\r\nx\r\n", 0},
	{"_\r\n", 0}, {",1.5\r\n", 0}, {"#t\r\n", 0}, {"%1\r\n+a\r\n~1\r\n:1\r\n", 0}, {"=7\r\ntxt:abc\r\n", 0}, {"(123\r\n", 0},
	{"|1\r\n+util\r\n,0.5\r\n$2\r\nhi\r\n", 17}}

// pieces writes a text in parts with a pause between them.
func pieces(c net.Conn, pause time.Duration, parts ...string) {
	for i, p := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		_, _ = c.Write([]byte(p))
	}
}

// A run of answers cut in two at every byte, and sent a byte at a time, ends each attempt with its own answer.
func TestRepliesInPieces(t *testing.T) {
	for _, byAnswer := range []bool{false, true} { // RESP 2 and 3
		b := newPeerBox(t)
		addr := b.ln.Addr().String()
		p, s := setup(t, func(o *Options) {
			o.Connections, o.Pipeline, o.Dialect = 1, 100, RESP{Name: "t", LoadInReplies: byAnswer}
		}, addr)
		run := ""
		for _, r := range replies {
			run += r.text
		}
		for cut := 0; cut <= len(run); cut++ {
			for i := range replies {
				p.Send(attempt(i), addr, do(i), within(10))
			}
			var k command
			for range replies {
				k = b.next(t)
			}
			if cut == 0 {
				pieces(k.c, 100*time.Microsecond, strings.Split(run, "")...)
			} else {
				pieces(k.c, time.Millisecond, run[:cut], run[cut:])
			}
			for i, r := range replies {
				s.expect(t, i, policy.OK, r.text[r.attr:])
			}
		}
	}
}

// Answers and commands up to the bounds, cut anywhere, pass whole in both directions.
func TestLargeReplies(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, func(o *Options) { o.Connections, o.Pipeline = 1, 10 }, addr)
	for n, size := range []int{0, 4095, 65_536, 100_000, 400_000, mostReply} {
		arg := strings.Repeat("y", min(size, 512<<10))
		p.Send(attempt(n), addr, resp.AppendCommand(nil, "DO", arg), within(10))
		p.Send(attempt(100+n), addr, do(n), within(10))
		k := b.next(t)
		if len(k.words) != 2 || k.words[1] != arg {
			t.Fatalf("size %d: the box got another command", size)
		}
		b.next(t)
		text := strings.Repeat("z", size)
		reply := fmt.Sprintf("$%d\r\n%s\r\n", size, text)
		cut := len(reply) * 2 / 3
		pieces(k.c, time.Millisecond, reply[:1], reply[1:cut], reply[cut:]+"+nex", "t\r\n")
		s.expect(t, n, policy.OK, reply)
		s.expect(t, 100+n, policy.OK, "+next\r\n")
	}
}

// The load that a probe brings may come in pieces as well.
func TestProbeInPieces(t *testing.T) {
	b := newPeerBox(t)
	addr := b.ln.Addr().String()
	p, s := setup(t, nil, addr)
	reply := string(resp.AppendBulk(nil, "# Load\r\nutil:0.25\r\nqueue:3\r\n"))
	for cut := 1; cut < len(reply); cut++ {
		p.Probe(addr)
		pieces(b.next(t).c, time.Millisecond, reply[:cut], reply[cut:])
		if r := <-s.probes; r.Status != policy.OK || r.Load == nil || r.Load.Util != 0.25 || r.Load.Queue != 3 {
			t.Fatalf("cut at %d: %+v", cut, r)
		}
	}
}
