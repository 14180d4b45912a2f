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

// transcript is commands of every kind that the front knows, with the answers of both versions.
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

// talk sends pieces with a pause between them and returns all answers until the connection's end.
func talk(addr string, pause time.Duration, pieces ...[]byte) (string, error) {
	c, err := dialRaw(addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := c.Write(p); err != nil {
			return "", err
		}
	}
	b, err := io.ReadAll(c)
	return string(b), err
}

// sameID gives every connection the same number.
func sameID(s string) string {
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

// A run of commands cut in two at every byte, and sent a byte at a time, has the answers of the whole.
func TestCommandsInPieces(t *testing.T) {
	_, _, addr := start(t, nil)
	for _, version := range []int{2, 3} {
		in, want := transcript(version)
		var work sync.WaitGroup
		slots := make(chan struct{}, 64)
		for cut := 0; cut <= len(in); cut++ {
			pieces := [][]byte{in[:cut], in[cut:]}
			if cut == 0 { // a byte at a time
				pieces = nil
				for i := range in {
					pieces = append(pieces, in[i:i+1])
				}
			}
			work.Add(1)
			slots <- struct{}{}
			go func() {
				defer work.Done()
				defer func() { <-slots }()
				pause := 5 * time.Millisecond
				if cut == 0 {
					pause = 200 * time.Microsecond
				}
				if got, err := talk(addr, pause, pieces...); err != nil || sameID(got) != want {
					t.Errorf("version %d, cut at %d: %v, got %q", version, cut, err, got)
				}
			}()
		}
		work.Wait()
	}
}

// Arguments up to the bound come through whole, however they are cut, with commands before and behind them.
func TestLargeArguments(t *testing.T) {
	const most = 512 << 10
	_, s, addr := start(t, func(b *config.FrontLimits) { b.MaxArgumentBytes = most; b.MaxUnreadBytes = 4 << 20 })
	for _, size := range []int{0, 1, 10_000, 65_536, 100_000, 400_000, most - 1, most} {
		k := connect(t, addr, true)
		arg := strings.Repeat("x", size/2) + strings.Repeat("\n", size-size/2)
		in := resp.AppendCommand(nil, "ECHO", arg)
		in = resp.AppendCommand(in, "SIGN.SUBMIT", fmt.Sprint("k", size), arg)
		in = resp.AppendCommand(in, "PING")
		go func() {
			for len(in) > 0 {
				n := min(len(in), 1+rand.IntN(100_000)) // any cut must do
				_, _ = k.Write(in[:n])
				in = in[n:]
			}
		}()
		k.expect("", fmt.Sprintf("$%d\r\n%s\r\n+did k%d\r\n+PONG\r\n", size, arg, size))
		s.mu.Lock()
		payload := s.calls[len(s.calls)-1].Payload
		s.mu.Unlock()
		if want := resp.AppendCommand(nil, "SIGN.SUBMIT", fmt.Sprint("k", size), arg); !bytes.Equal(payload, want) {
			t.Errorf("size %d: the core got %d bytes, want %d, the same", size, len(payload), len(want))
		}
	}
	k := connect(t, addr, true)
	k.send(fmt.Sprintf("PING\r\n*2\r\n$4\r\nECHO\r\n$%d\r\n", most+1))
	k.ended("+PONG\r\n-ERR Protocol error: invalid bulk length\r\n")
}

// Whatever the commands and wherever they are cut, the answers are those of the whole.
func TestAnyCutting(t *testing.T) {
	_, _, addr := start(t, func(b *config.FrontLimits) { b.MaxPipelined = 7 })
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.SampledFrom([]string{"PING", "ECHO", "JOB.STATUS", "SIGN.SUBMIT", "NOPE", "", "x y", "\r\n", "$1",
			strings.Repeat("long", 900)}), 1, 4)
		in := resp.AppendCommand(nil, "AUTH", "acme", "acme-secret")
		for _, c := range rapid.SliceOfN(words, 1, 20).Draw(t, "commands") {
			in = resp.AppendCommand(in, c...)
		}
		in = resp.AppendCommand(in, "QUIT")
		whole, err := talk(addr, 0, in)
		if err != nil {
			t.Fatal(err)
		}
		var pieces [][]byte
		for rest := in; len(rest) > 0; {
			n := min(len(rest), rapid.IntRange(1, 400).Draw(t, "piece"))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		if got, err := talk(addr, 100*time.Microsecond, pieces...); err != nil || got != whole {
			t.Fatalf("%q in %d pieces: %v\n got %q\nwant %q", in, len(pieces), err, got, whole)
		}
	})
}

// A command is as old as its first byte: one that lay half in the socket during a stall is old when its end comes,
// and the one behind it, which came later, is not.
func TestAgeOfCommandsAfterAStall(t *testing.T) {
	var mu sync.Mutex
	age, looks := 0.0, 0
	set := func(x float64) { mu.Lock(); age = x; mu.Unlock() }
	_, s, addr := startWith(t, nil, func(o *Options) {
		o.InputAge = func(float64, bool) (float64, float64) {
			mu.Lock()
			defer mu.Unlock()
			looks++
			return age, 1000
		}
	})
	k := connect(t, addr, true)
	in := string(resp.AppendCommand(nil, "JOB.STATUS", "1"))
	set(4)
	mu.Lock()
	before := looks // nothing else is read now
	mu.Unlock()
	k.send(in[:10])
	wait(t, func() bool { mu.Lock(); defer mu.Unlock(); return looks > before })
	set(0)
	k.expect(in[10:]+in[:10], "+did \r\n")
	k.expect(in[10:], "+did \r\n")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[0].AgeS != 4 || s.calls[1].AgeS != 0 {
		t.Errorf("ages %v and %v, want 4 and 0", s.calls[0].AgeS, s.calls[1].AgeS)
	}
}

// FuzzCutting: whatever bytes come, the answers do not depend on where they are cut.
func FuzzCutting(f *testing.F) {
	login := string(resp.AppendCommand(nil, "AUTH", "acme", "acme-secret"))
	for _, s := range []string{"PING\r\nECHO 'a b'\r\n", "*2\r\n$4\r\nECHO\r\n$5\r\nhello\r\nPING\r\n", "*1\r\n$4\r\nPI", "*2\r\n$4\r\nECHO\r\n$99999\r\n",
		"\r\n\r\n*0\r\nPING\n", "*1\r\n$4\r\nPINGxxPING\r\n", "JOB.STATUS map\r\nCL.THROTTLE u 1 1 1\r\nSIGN.SUBMIT k v\r\n"} {
		f.Add([]byte(login+s), []byte{1, 7, 30})
		f.Add([]byte(s), []byte{3})
	}
	_, _, addr := start(f, nil)
	f.Fuzz(func(t *testing.T, in, cuts []byte) {
		if len(in) > 10_000 || len(cuts) > 50 || bytes.Contains(bytes.ToUpper(in), []byte("ID")) || bytes.Contains(bytes.ToUpper(in), []byte("HELLO")) {
			return // connections are numbered, and each has its own
		}
		in = append(in[:len(in):len(in)], "\r\nQUIT\r\n*1\r\n$4\r\nQUIT\r\n"...) // ends whatever is left open
		send := func(pieces ...[]byte) string {
			c, err := dialRaw(addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			for _, p := range pieces {
				if _, err := c.Write(p); err != nil {
					break // the server has ended it, and its answer stands
				}
				time.Sleep(100 * time.Microsecond)
			}
			_ = c.(*net.TCPConn).CloseWrite()
			b, _ := io.ReadAll(c)
			return string(b)
		}
		var pieces [][]byte
		rest := in
		for _, n := range cuts {
			n := min(int(n), len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		whole, cut := send(in), send(append(pieces, rest)...)
		if !strings.HasPrefix(whole, cut) && !strings.HasPrefix(cut, whole) { // a broken end may come before the last answer
			t.Fatalf("%q in pieces of %v:\n got %q\nwant %q", in, cuts, cut, whole)
		}
	})
}
