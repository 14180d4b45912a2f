package front

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cometpond/internal/config"
	"cometpond/internal/resp"
)

// transcript returns commands of every kind that the front knows, and the replies expected with a version of RESP.
func transcript(version int) (in []byte, want string) {
	add := func(answer string, words ...string) {
		in = resp.AppendCommand(in, words...)
		want += answer
	}
	hello := "*14\r\n"
	if version == 3 {
		hello = "%7\r\n"
	}
	hello += "$6\r\nserver\r\n$9\r\ncometpond\r\n$7\r\nversion\r\n$5\r\n1.0.0\r\n$5\r\nproto\r\n:" + fmt.Sprint(version) +
		"\r\n$2\r\nid\r\n:ID\r\n$4\r\nmode\r\n$10\r\nstandalone\r\n$4\r\nrole\r\n$6\r\nmaster\r\n$7\r\nmodules\r\n*0\r\n"
	add("-NOAUTH Authentication required.\r\n", "PING")
	add(hello, "HELLO", fmt.Sprint(version), "AUTH", "acme", "acme-secret", "SETNAME", "me")
	add("+OK\r\n", "AUTH", "acme", "acme-secret")
	add("$5\r\nhello\r\n", "ECHO", "hello")
	add("+did k1\r\n", "SIGN.SUBMIT", "k1", "a\r\n*1\r\n$4\r\nPING\r\n") // an argument that looks like a command
	add("+did \r\n", "job.status", "1")
	in = append(in, "\r\nECHO 'in line'\r\n"...)
	want += "$7\r\nin line\r\n"
	add("*5\r\n:0\r\n:20\r\n:19\r\n:-1\r\n:1\r\n", "CL.THROTTLE", "u", "15", "30", "60")
	add("-REFUSED retry in 0.250 s: over quota\r\n", "JOB.STATUS", "refuse")
	if version == 3 {
		add("%1\r\n+a\r\n:1\r\n", "JOB.STATUS", "map")
	} else {
		add("*2\r\n+a\r\n:1\r\n", "JOB.STATUS", "map")
	}
	add("-ERR unknown command 'NOPE', with args beginning with: 'x' \r\n", "NOPE", "x")
	add("$2\r\nme\r\n", "CLIENT", "GETNAME")
	add("+OK\r\n", "QUIT")
	return in, want
}

// exchange sends pieces with a pause between them and returns all replies up to the end of the connection.
func exchange(addr string, pause time.Duration, pieces ...[]byte) (string, error) {
	conn, err := dial(addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := conn.Write(piece); err != nil {
			return "", err
		}
	}
	replies, err := io.ReadAll(conn)
	return string(replies), err
}

// maskID replaces the connection's id in a reply to HELLO, which differs between connections.
func maskID(s string) string {
	i := strings.Index(s, "\r\nid\r\n:")
	if i < 0 {
		return s
	}
	i += len("\r\nid\r\n:")
	n := strings.IndexByte(s[i:], '\r')
	if n < 0 {
		return s
	}
	return s[:i] + "ID" + s[i+n:]
}

// A sequence of commands split in two at any byte, or sent a byte at a time, gets the same replies as when sent at once.
func TestCommandsInPieces(t *testing.T) {
	_, _, addr := startServer(t, nil)
	for _, version := range []int{2, 3} {
		in, want := transcript(version)
		var clients sync.WaitGroup
		slots := make(chan struct{}, 64)
		for split := 0; split <= len(in); split++ {
			pieces := [][]byte{in[:split], in[split:]}
			if split == 0 { // a byte at a time
				pieces = nil
				for i := range in {
					pieces = append(pieces, in[i:i+1])
				}
			}
			clients.Add(1)
			slots <- struct{}{}
			go func() {
				defer clients.Done()
				defer func() { <-slots }()
				pause := 5 * time.Millisecond
				if split == 0 {
					pause = 200 * time.Microsecond
				}
				if got, err := exchange(addr, pause, pieces...); err != nil || maskID(got) != want {
					t.Errorf("version %d, split at %d: %v, got %q", version, split, err, got)
				}
			}()
		}
		clients.Wait()
	}
}

// Arguments up to the size limit arrive complete however they are split, with commands before and after them.
func TestLargeArguments(t *testing.T) {
	const maxBytes = 512 << 10
	_, fake, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxArgumentBytes = maxBytes; limits.MaxUnreadBytes = 4 << 20 })
	for _, size := range []int{0, 1, 10_000, 65_536, 100_000, 400_000, maxBytes - 1, maxBytes} {
		client := connect(t, addr, true)
		arg := strings.Repeat("x", size/2) + strings.Repeat("\n", size-size/2)
		in := resp.AppendCommand(nil, "ECHO", arg)
		in = resp.AppendCommand(in, "SIGN.SUBMIT", fmt.Sprint("k", size), arg)
		in = resp.AppendCommand(in, "PING")
		go func() {
			for len(in) > 0 {
				n := min(len(in), 1+rand.IntN(100_000)) // any split must do
				_, _ = client.Write(in[:n])
				in = in[n:]
			}
		}()
		client.expect("", fmt.Sprintf("$%d\r\n%s\r\n+did k%d\r\n+PONG\r\n", size, arg, size))
		fake.mu.Lock()
		payload := fake.calls[len(fake.calls)-1].Payload
		fake.mu.Unlock()
		if want := resp.AppendCommand(nil, "SIGN.SUBMIT", fmt.Sprint("k", size), arg); !bytes.Equal(payload, want) {
			t.Errorf("size %d: the core received %d bytes, want the %d bytes sent", size, len(payload), len(want))
		}
	}
	client := connect(t, addr, true)
	client.send(fmt.Sprintf("PING\r\n*2\r\n$4\r\nECHO\r\n$%d\r\n", maxBytes+1))
	client.expectClose("+PONG\r\n-ERR Protocol error: invalid bulk length\r\n")
}

// Whatever the commands and wherever they are split, the replies are the same as when they are sent at once.
func TestArbitrarySplits(t *testing.T) {
	_, _, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxPipelined = 7 })
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.SampledFrom([]string{"PING", "ECHO", "JOB.STATUS", "SIGN.SUBMIT", "NOPE", "", "x y", "\r\n", "$1",
			strings.Repeat("long", 900)}), 1, 4)
		in := resp.AppendCommand(nil, "AUTH", "acme", "acme-secret")
		for _, command := range rapid.SliceOfN(words, 1, 20).Draw(t, "commands") {
			in = resp.AppendCommand(in, command...)
		}
		in = resp.AppendCommand(in, "QUIT")
		whole, err := exchange(addr, 0, in)
		if err != nil {
			t.Fatal(err)
		}
		var pieces [][]byte
		for rest := in; len(rest) > 0; {
			n := min(len(rest), rapid.IntRange(1, 400).Draw(t, "piece"))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		if got, err := exchange(addr, 100*time.Microsecond, pieces...); err != nil || got != whole {
			t.Fatalf("%q in %d pieces: %v\n got %q\nwant %q", in, len(pieces), err, got, whole)
		}
	})
}

// A command is as old as its first byte: one that lay half in the socket during a pause of the process is old when its end
// arrives, and the one after it, which arrived later, is not.
func TestCommandAgeAfterPause(t *testing.T) {
	var mu sync.Mutex
	age, reads := 0.0, 0
	setAge := func(x float64) { mu.Lock(); age = x; mu.Unlock() }
	_, fake, addr := startServerWith(t, nil, func(options *Options) {
		options.InputAge = func(float64, bool) (float64, float64) {
			mu.Lock()
			defer mu.Unlock()
			reads++
			return age, 1000
		}
	})
	client := connect(t, addr, true)
	in := string(resp.AppendCommand(nil, "JOB.STATUS", "1"))
	setAge(4)
	mu.Lock()
	before := reads // no other read is in progress
	mu.Unlock()
	client.send(in[:10])
	waitFor(t, func() bool { mu.Lock(); defer mu.Unlock(); return reads > before })
	setAge(0)
	client.expect(in[10:]+in[:10], "+did \r\n")
	client.expect(in[10:], "+did \r\n")
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.calls[0].AgeS != 4 || fake.calls[1].AgeS != 0 {
		t.Errorf("ages %v and %v, want 4 and 0", fake.calls[0].AgeS, fake.calls[1].AgeS)
	}
}

// FuzzSplits checks for arbitrary input that the replies do not depend on where it is split.
func FuzzSplits(f *testing.F) {
	login := string(resp.AppendCommand(nil, "AUTH", "acme", "acme-secret"))
	for _, s := range []string{"PING\r\nECHO 'a b'\r\n", "*2\r\n$4\r\nECHO\r\n$5\r\nhello\r\nPING\r\n", "*1\r\n$4\r\nPI", "*2\r\n$4\r\nECHO\r\n$99999\r\n",
		"\r\n\r\n*0\r\nPING\n", "*1\r\n$4\r\nPINGxxPING\r\n", "JOB.STATUS map\r\nCL.THROTTLE u 1 1 1\r\nSIGN.SUBMIT k v\r\n"} {
		f.Add([]byte(login+s), []byte{1, 7, 30})
		f.Add([]byte(s), []byte{3})
	}
	_, _, addr := startServer(f, nil)
	f.Fuzz(func(t *testing.T, in, splits []byte) {
		if len(in) > 10_000 || len(splits) > 50 || bytes.Contains(bytes.ToUpper(in), []byte("ID")) ||
			bytes.Contains(bytes.ToUpper(in), []byte("HELLO")) {
			return // the replies contain the connection's id, which differs
		}
		// Complete whatever command is incomplete, and end the connection.
		in = append(in[:len(in):len(in)], "\r\nQUIT\r\n*1\r\n$4\r\nQUIT\r\n"...)
		send := func(pieces ...[]byte) string {
			conn, err := dial(addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for _, piece := range pieces {
				if _, err := conn.Write(piece); err != nil {
					break // the server has closed the connection after its replies
				}
				time.Sleep(100 * time.Microsecond)
			}
			_ = conn.(*net.TCPConn).CloseWrite()
			replies, _ := io.ReadAll(conn)
			return string(replies)
		}
		var pieces [][]byte
		rest := in
		for _, n := range splits {
			n := min(int(n), len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		whole, split := send(in), send(append(pieces, rest)...)
		if !strings.HasPrefix(whole, split) && !strings.HasPrefix(split, whole) { // a reset may arrive before the last reply
			t.Fatalf("%q in pieces of %v:\n got %q\nwant %q", in, splits, split, whole)
		}
	})
}
