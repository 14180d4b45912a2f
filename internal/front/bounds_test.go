package front

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/resp"
)

// A client that sends far more than it may have under way, and reads only then, is asked to wait: it loses nothing.
func TestLongPipelineWaits(t *testing.T) {
	srv, _, addr := start(t, func(b *config.FrontLimits) { b.MaxPipelined = 100; b.MaxArgumentBytes = 64 << 10 })
	k := connect(t, addr, true)
	const n = 40_000
	sent := make(chan error, 1)
	go func() {
		var in []byte
		for i := range n {
			in = resp.AppendCommand(in, "SIGN.SUBMIT", fmt.Sprint("k", i), strings.Repeat("x", 300)) // 13 MB in all
		}
		_, err := k.Write(in)
		sent <- err
	}()
	for i := range n {
		k.expect("", fmt.Sprintf("+did k%d\r\n", i))
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	if c := srv.Counts(); c.ReadsPaused == 0 || c.Terminated != 0 || c.Input.GrantedBytes != 0 {
		t.Errorf("%+v: want it parked, not cut", c)
	}
}

// A connection that is parked while answers are awaited gets them all, and goes on.
func TestParkedUntilAnswers(t *testing.T) {
	srv, s, addr := start(t, func(b *config.FrontLimits) { b.MaxPipelined = 10; b.MaxArgumentBytes = 64 << 10 })
	k := connect(t, addr, true)
	go func() {
		_, _ = io.WriteString(k, strings.Repeat("JOB.STATUS hold\r\n", 30)+strings.Repeat("ECHO "+strings.Repeat("y", 1000)+"\r\n", 200))
	}()
	wait(t, func() bool { return srv.Counts().ReadsPaused == 1 })
	for range 30 {
		give(<-s.held, core.Answer{Payload: []byte("+ok\r\n")})
	}
	k.expect("", strings.Repeat("+ok\r\n", 30)+strings.Repeat("$1000\r\n"+strings.Repeat("y", 1000)+"\r\n", 200))
	k.expect("PING\r\n", "+PONG\r\n")
}

// One that leaves while it is parked is found gone, and the server stops with one parked.
func TestParkedAndGone(t *testing.T) {
	srv, s, addr := start(t, func(b *config.FrontLimits) { b.MaxPipelined = 10; b.MaxArgumentBytes = 64 << 10 })
	for range 2 {
		k := connect(t, addr, true)
		k.send(strings.Repeat("JOB.STATUS hold\r\n", 10) + strings.Repeat("ECHO "+strings.Repeat("y", 1000)+"\r\n", 50))
	}
	wait(t, func() bool { return srv.Counts().ReadsPaused == 2 })
	k := connect(t, addr, true)
	k.send(strings.Repeat("JOB.STATUS hold\r\n", 10) + strings.Repeat("ECHO "+strings.Repeat("y", 1000)+"\r\n", 50))
	wait(t, func() bool { return srv.Counts().ReadsPaused == 3 })
	k.Close()
	for range 30 {
		c := <-s.held
		if c.Tag.(*pending).conn.id == 3 {
			give(c, core.Answer{Payload: []byte("+ok\r\n")})
		}
	}
	wait(t, func() bool { return srv.Counts().Open == 2 })
}

// A client that reads slowly gets answers many times the size of what may wait unread.
func TestSlowReader(t *testing.T) {
	srv, _, addr := start(t, func(b *config.FrontLimits) { b.MaxUnreadBytes = 64 << 10; b.MaxArgumentBytes = 512 << 10 })
	k := connect(t, addr, true)
	arg := strings.Repeat("z", 400<<10)
	const n = 40 // 16 MB of answers
	go func() {
		for range n {
			_, _ = k.Write(resp.AppendCommand(nil, "ECHO", arg))
		}
	}()
	want := fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
	for range n {
		time.Sleep(time.Millisecond)
		k.expect("", want)
	}
	if c := srv.Counts(); c.Terminated != 0 {
		t.Errorf("%d cut", c.Terminated)
	}
}

func TestBeforeLogin(t *testing.T) {
	srv, _, addr := start(t, func(b *config.FrontLimits) {
		b.MaxInputBytes = 1 << 20
		b.MaxArgumentBytes = 512 << 10
		b.MaxConnections = 1000
	})
	for in, want := range map[string]string{
		"*11\r\n":                        "-ERR Protocol error: invalid multibulk length\r\n",
		"*2\r\n$4\r\nECHO\r\n$16385\r\n": "-ERR Protocol error: invalid bulk length\r\n",
		"*2\r\n$9000\r\n" + strings.Repeat("x", 9000) + "\r\n$9000\r\n": "-ERR Protocol error: too big request\r\n",
		strings.Repeat("x", 17<<10):                                     "-ERR Protocol error: too big inline request\r\n",
	} {
		k := connect(t, addr, false)
		k.send(in)
		k.ended(want)
	}
	cut := srv.Counts().Terminated
	half := "*2\r\n$4\r\nECHO\r\n$16000\r\n" + strings.Repeat("x", 8000)
	for range 60 { // 480 kB, where strangers may hold 256 kB
		connect(t, addr, false).send(half)
	}
	wait(t, func() bool { return srv.Counts().Terminated > cut })
	if c := srv.Counts(); c.Input.UnauthenticatedBytes > 256<<10 {
		t.Errorf("%+v", c.Input)
	}
	k := connect(t, addr, true) // one command at a time still gets in
	arg := strings.Repeat("y", 400_000)
	k.expect(string(resp.AppendCommand(nil, "ECHO", arg)), "$400000\r\n"+arg+"\r\n")
}

// Many connections that send half of the largest command and stop hold no more than the bound, and others go on.
func TestStalledLargeCommands(t *testing.T) {
	const conns, bulk, input = 400, 512 << 10, 8 << 20
	srv, _, addr := start(t, func(b *config.FrontLimits) { b.MaxArgumentBytes, b.MaxInputBytes = bulk, input })
	half := fmt.Sprintf("*2\r\n$4\r\nECHO\r\n$%d\r\n%s", bulk, strings.Repeat("x", bulk/2))
	before := heap()
	for range conns {
		k := connect(t, addr, true)
		go func() { _, _ = io.WriteString(k, half) }()
	}
	wait(t, func() bool { c := srv.Counts().Input; return c.Waiting >= conns-input/bulk })
	c := srv.Counts()
	if c.Input.GrantedBytes > input || c.Terminated != 0 {
		t.Errorf("%+v", c)
	}
	if used, most := heap()-before, input+conns*(chunkMost+32<<10); used > most { // the test's own clients included
		t.Errorf("%d bytes, want %d at most", used, most)
	}
	k := connect(t, addr, true)
	arg := strings.Repeat("y", 10_000)
	k.expect(string(resp.AppendCommand(nil, "ECHO", arg)), "$10000\r\n"+arg+"\r\n")
}

// BenchmarkStalledLargeCommands tells the heap, both ends, and the system's memory that 5,000 connections take
// which each send half of the largest command and stop.
func BenchmarkStalledLargeCommands(b *testing.B) {
	const conns, bulk = 5000, 512 << 10
	half := fmt.Sprintf("*2\r\n$4\r\nECHO\r\n$%d\r\n%s", bulk, strings.Repeat("x", bulk/2))
	for range b.N {
		srv, _, addr := start(b, func(f *config.FrontLimits) {
			f.MaxArgumentBytes, f.MaxInputBytes, f.MaxConnections = bulk, 64<<20, 6000
		})
		before := heap()
		var work sync.WaitGroup
		for range conns {
			c, err := dialRaw(addr)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			work.Add(1)
			go func() {
				defer work.Done()
				_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // what the sockets do not take is not sent
				_, _ = io.WriteString(c, "AUTH acme acme-secret\r\n"+half)
			}()
		}
		work.Wait()
		c := srv.Counts()
		b.ReportMetric(float64(heap()-before)/1e6, "heap-MB")
		b.ReportMetric(float64(c.Input.GrantedBytes)/1e6, "granted-MB")
		b.ReportMetric(float64(c.Input.Waiting), "waiting")
		b.ReportMetric(float64(c.Terminated), "cut")
	}
}

// heap is the bytes in use after a collection.
func heap() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// When room is free again, those that wait go on, whole.
func TestWaitingCommandsGoOn(t *testing.T) {
	const bulk = 512 << 10
	srv, _, addr := start(t, func(b *config.FrontLimits) { b.MaxArgumentBytes, b.MaxInputBytes = bulk, 1<<20 })
	arg := strings.Repeat("q", bulk)
	whole := string(resp.AppendCommand(nil, "ECHO", arg))
	var list []*raw
	for range 12 {
		k := connect(t, addr, true)
		list = append(list, k)
		go func() { _, _ = io.WriteString(k, whole[:len(whole)-10]) }()
	}
	wait(t, func() bool { return srv.Counts().Input.Waiting == 10 })
	for _, k := range list {
		go func() { time.Sleep(10 * time.Millisecond); _, _ = io.WriteString(k, whole[len(whole)-10:]) }()
	}
	for _, k := range list {
		k.expect("", fmt.Sprintf("$%d\r\n%s\r\n", bulk, arg))
	}
	wait(t, func() bool { c := srv.Counts().Input; return c.GrantedBytes == 0 && c.Waiting == 0 }) // room is given back right after the answer
	if c := srv.Counts(); c.Terminated != 0 {
		t.Errorf("%+v", c)
	}
}
