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

// replyForms are the forms of a reply, each with the size of its attribute, which is taken off.
var replyForms = []struct {
	text           string
	attributeBytes int
}{{"+OK\r\n", 0}, {"-ERR no such job\r\n", 0}, {":12\r\n", 0}, {"$-1\r\n", 0}, {"$13\r\n+a\r\n$1\r\nb\r\n\r\n\r\n", 0},
	{"*2\r\n:1\r\n*1\r\n$1\r\nx\r\n", 0},
	{"_\r\n", 0}, {",1.5\r\n", 0}, {"#t\r\n", 0}, {"%1\r\n+a\r\n~1\r\n:1\r\n", 0}, {"=7\r\ntxt:abc\r\n", 0}, {"(123\r\n", 0},
	{"|1\r\n+util\r\n,0.5\r\n$2\r\nhi\r\n", 17}}

// writeFragments writes a text in several fragments with a pause between them.
func writeFragments(conn net.Conn, pause time.Duration, fragments ...string) {
	for i, fragment := range fragments {
		if i > 0 {
			time.Sleep(pause)
		}
		_, _ = conn.Write([]byte(fragment))
	}
}

// Pipelined replies that arrive in two fragments, split at every position, or byte by byte, go to their own attempts.
func TestFragmentedReplies(t *testing.T) {
	for _, resp3 := range []bool{false, true} { // versions 2 and 3 of the protocol
		srv := newTestServer(t)
		addr := srv.listener.Addr().String()
		pool, sink := setup(t,
			func(o *Options) { o.Connections, o.Pipeline, o.Dialect = 1, 100, RESP{Name: "t", LoadInReplies: resp3} }, addr)
		replies := ""
		for _, form := range replyForms {
			replies += form.text
		}
		for split := 0; split <= len(replies); split++ {
			for i := range replyForms {
				pool.Send(attempt(i), addr, doCommand(i), within(10))
			}
			var cmd command
			for range replyForms {
				cmd = srv.next(t)
			}
			if split == 0 {
				writeFragments(cmd.conn, 100*time.Microsecond, strings.Split(replies, "")...)
			} else {
				writeFragments(cmd.conn, time.Millisecond, replies[:split], replies[split:])
			}
			for i, form := range replyForms {
				sink.expect(t, i, policy.OK, form.text[form.attributeBytes:])
			}
		}
	}
}

// Large commands, and replies up to the limit, are passed on whole even if they arrive in fragments.
func TestLargeReplies(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, func(opt *Options) { opt.Connections, opt.Pipeline = 1, 10 }, addr)
	for n, size := range []int{0, 4095, 65_536, 100_000, 400_000, maxReplyBytes} {
		arg := strings.Repeat("y", min(size, 512<<10))
		pool.Send(attempt(n), addr, resp.AppendCommand(nil, "DO", arg), within(10))
		pool.Send(attempt(100+n), addr, doCommand(n), within(10))
		cmd := srv.next(t)
		if len(cmd.words) != 2 || cmd.words[1] != arg {
			t.Fatalf("size %d: the server received another command", size)
		}
		srv.next(t)
		text := strings.Repeat("z", size)
		reply := fmt.Sprintf("$%d\r\n%s\r\n", size, text)
		split := len(reply) * 2 / 3
		writeFragments(cmd.conn, time.Millisecond, reply[:1], reply[1:split], reply[split:]+"+nex", "t\r\n")
		sink.expect(t, n, policy.OK, reply)
		sink.expect(t, 100+n, policy.OK, "+next\r\n")
	}
}

// The reply to a probe may arrive in fragments as well.
func TestFragmentedProbeReply(t *testing.T) {
	srv := newTestServer(t)
	addr := srv.listener.Addr().String()
	pool, sink := setup(t, nil, addr)
	reply := string(resp.AppendBulk(nil, "# Load\r\nutil:0.25\r\nqueue:3\r\n"))
	for split := 1; split < len(reply); split++ {
		pool.Probe(addr)
		writeFragments(srv.next(t).conn, time.Millisecond, reply[:split], reply[split:])
		if result := <-sink.probes; result.Status != policy.OK || result.Load == nil || result.Load.Util != 0.25 ||
			result.Load.Queue != 3 {
			t.Fatalf("split at %d: %+v", split, result)
		}
	}
}
