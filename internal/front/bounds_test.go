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

// A client sends far more commands than it may have in flight before it reads: reading from it is paused, and it loses nothing.
func TestLongPipelineWaits(t *testing.T) {
	srv, _, addr := start(t, func(b *config.Front) { b.Pipeline = 100; b.Bulk = 64 << 10 })
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
	if c := srv.Counts(); c.ReadsPaused == 0 || c.Terminated != 0 || c.Input.Held != 0 {
		t.Errorf("%+v: want reading paused and no connection cut", c)
	}
}

// A connection whose reading is paused while it waits for answers gets all replies, and reading resumes.
func TestParkedUntilAnswers(t *testing.T) {
	srv, s, addr := start(t, func(b *config.Front) { b.Pipeline = 10; b.Bulk = 64 << 10 })
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

// A disconnect is detected while reading is paused, and the server can stop with such connections open.
func TestParkedAndGone(t *testing.T) {
	srv, s, addr := start(t, func(b *config.Front) { b.Pipeline = 10; b.Bulk = 64 << 10 })
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

// A client that reads slowly gets replies of many times the size that may be unsent.
func TestSlowReader(t *testing.T) {
	srv, _, addr := start(t, func(b *config.Front) { b.Output = 64 << 10; b.Bulk = 512 << 10 })
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

// Clients that have not logged in are held to lower limits, each one and all together, and can't lock others out.
func TestBeforeLogin(t *testing.T) {
	srv, _, addr := start(t, func(b *config.Front) { b.Input = 1 << 20; b.Bulk = 512 << 10; b.Connections = 1000 })
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
	for range 60 { // 480 kB, where clients before login may hold 256 kB in all
		connect(t, addr, false).send(half)
	}
	wait(t, func() bool { return srv.Counts().Terminated > cut })
	if c := srv.Counts(); c.Input.Strangers > 256<<10 {
		t.Errorf("%+v", c.Input)
	}
	k := connect(t, addr, true) // a client that has logged in can still send a large command
	arg := strings.Repeat("y", 400_000)
	k.expect(string(resp.AppendCommand(nil, "ECHO", arg)), "$400000\r\n"+arg+"\r\n")
}

// Many connections that send half of the largest command and stop use no more memory than allowed, and others are served.
func TestStalledLargeCommands(t *testing.T) {
	const conns, bulk, input = 400, 512 << 10, 8 << 20
	srv, _, addr := start(t, func(b *config.Front) { b.Bulk, b.Input = bulk, input })
	half := fmt.Sprintf("*2\r\n$4\r\nECHO\r\n$%d\r\n%s", bulk, strings.Repeat("x", bulk/2))
	before := heap()
	for range conns {
		k := connect(t, addr, true)
		go func() { _, _ = io.WriteString(k, half) }()
	}
	wait(t, func() bool { c := srv.Counts().Input; return c.Waiting >= conns-input/bulk })
	c := srv.Counts()
	if c.Input.Held > input || c.Terminated != 0 {
		t.Errorf("%+v", c)
	}
	if used, most := heap()-before, input+conns*(chunkMost+32<<10); used > most { // includes the test's own clients
		t.Errorf("heap grew by %d bytes, want %d at most", used, most)
	}
	k := connect(t, addr, true)
	arg := strings.Repeat("y", 10_000)
	k.expect(string(resp.AppendCommand(nil, "ECHO", arg)), "$10000\r\n"+arg+"\r\n")
}

// BenchmarkStalledLargeCommands measures the heap, of both ends, and the input memory granted to 5,000 connections that each
// send half of the largest command and stop.
func BenchmarkStalledLargeCommands(b *testing.B) {
	const conns, bulk = 5000, 512 << 10
	half := fmt.Sprintf("*2\r\n$4\r\nECHO\r\n$%d\r\n%s", bulk, strings.Repeat("x", bulk/2))
	for range b.N {
		srv, _, addr := start(b, func(f *config.Front) { f.Bulk, f.Input, f.Connections = bulk, 64<<20, 6000 })
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
				_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // what the sockets do not accept is not sent
				_, _ = io.WriteString(c, "AUTH acme acme-secret\r\n"+half)
			}()
		}
		work.Wait()
		c := srv.Counts()
		b.ReportMetric(float64(heap()-before)/1e6, "heap-MB")
		b.ReportMetric(float64(c.Input.Held)/1e6, "granted-MB")
		b.ReportMetric(float64(c.Input.Waiting), "waiting")
		b.ReportMetric(float64(c.Terminated), "cut")
	}
}

// heap returns the bytes in use on the heap after a garbage collection.
func heap() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// When input memory is free again, the connections that wait for it resume, and their commands are complete.
func TestWaitingCommandsGoOn(t *testing.T) {
	const bulk = 512 << 10
	srv, _, addr := start(t, func(b *config.Front) { b.Bulk, b.Input = bulk, 1<<20 })
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
	wait(t, func() bool { c := srv.Counts().Input; return c.Held == 0 && c.Waiting == 0 }) // memory is released right after the reply
	if c := srv.Counts(); c.Terminated != 0 {
		t.Errorf("%+v", c)
	}
}
