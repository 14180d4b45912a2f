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
func TestLongPipelinePausesReading(t *testing.T) {
	srv, _, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxPipelined = 100; limits.MaxArgumentBytes = 64 << 10 })
	client := connect(t, addr, true)
	const n = 40_000
	sent := make(chan error, 1)
	go func() {
		var in []byte
		for i := range n {
			in = resp.AppendCommand(in, "SIGN.SUBMIT", fmt.Sprint("k", i), strings.Repeat("x", 300)) // 13 MB in all
		}
		_, err := client.Write(in)
		sent <- err
	}()
	for i := range n {
		client.expect("", fmt.Sprintf("+did k%d\r\n", i))
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	if counts := srv.Counts(); counts.ReadsPaused == 0 || counts.Terminated != 0 || counts.Input.GrantedBytes != 0 {
		t.Errorf("%+v: want reading paused and no connection terminated", counts)
	}
}

// A connection whose reading is paused while it waits for answers gets all replies, and reading resumes.
func TestReadingPausedUntilAnswered(t *testing.T) {
	srv, fake, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxPipelined = 10; limits.MaxArgumentBytes = 64 << 10 })
	client := connect(t, addr, true)
	go func() {
		_, _ = io.WriteString(client, strings.Repeat("JOB.STATUS hold\r\n", 30)+
			strings.Repeat("ECHO "+strings.Repeat("y", 1000)+"\r\n", 200))
	}()
	waitFor(t, func() bool { return srv.Counts().ReadsPaused == 1 })
	for range 30 {
		answerCall(<-fake.held, core.Answer{Payload: []byte("+ok\r\n")})
	}
	client.expect("", strings.Repeat("+ok\r\n", 30)+strings.Repeat("$1000\r\n"+strings.Repeat("y", 1000)+"\r\n", 200))
	client.expect("PING\r\n", "+PONG\r\n")
}

// A disconnect is detected while reading is paused, and the server can stop with such connections open.
func TestDisconnectWhileReadingPaused(t *testing.T) {
	srv, fake, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxPipelined = 10; limits.MaxArgumentBytes = 64 << 10 })
	for range 2 {
		client := connect(t, addr, true)
		client.send(strings.Repeat("JOB.STATUS hold\r\n", 10) + strings.Repeat("ECHO "+strings.Repeat("y", 1000)+"\r\n", 50))
	}
	waitFor(t, func() bool { return srv.Counts().ReadsPaused == 2 })
	client := connect(t, addr, true)
	client.send(strings.Repeat("JOB.STATUS hold\r\n", 10) + strings.Repeat("ECHO "+strings.Repeat("y", 1000)+"\r\n", 50))
	waitFor(t, func() bool { return srv.Counts().ReadsPaused == 3 })
	client.Close()
	for range 30 {
		call := <-fake.held
		if call.Tag.(*pendingCommand).conn.id == 3 {
			answerCall(call, core.Answer{Payload: []byte("+ok\r\n")})
		}
	}
	waitFor(t, func() bool { return srv.Counts().Open == 2 })
}

// A client that reads slowly gets replies of many times the size that may be unsent.
func TestSlowReader(t *testing.T) {
	srv, _, addr := startServer(t, func(limits *config.FrontLimits) {
		limits.MaxUnreadBytes = 64 << 10
		limits.MaxArgumentBytes = 512 << 10
	})
	client := connect(t, addr, true)
	arg := strings.Repeat("z", 400<<10)
	const n = 40 // 16 MB of replies
	go func() {
		for range n {
			_, _ = client.Write(resp.AppendCommand(nil, "ECHO", arg))
		}
	}()
	want := fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
	for range n {
		time.Sleep(time.Millisecond)
		client.expect("", want)
	}
	if counts := srv.Counts(); counts.Terminated != 0 {
		t.Errorf("%d connections terminated, want none", counts.Terminated)
	}
}

// Clients that have not logged in are held to lower limits, each one and all together, and can't lock others out.
func TestLimitsBeforeLogin(t *testing.T) {
	srv, _, addr := startServer(t, func(limits *config.FrontLimits) {
		limits.MaxInputBytes = 1 << 20
		limits.MaxArgumentBytes = 512 << 10
		limits.MaxConnections = 1000
	})
	for in, want := range map[string]string{
		"*11\r\n":                        "-ERR Protocol error: invalid multibulk length\r\n",
		"*2\r\n$4\r\nECHO\r\n$16385\r\n": "-ERR Protocol error: invalid bulk length\r\n",
		"*2\r\n$9000\r\n" + strings.Repeat("x", 9000) + "\r\n$9000\r\n": "-ERR Protocol error: too big request\r\n",
		strings.Repeat("x", 17<<10):                                     "-ERR Protocol error: too big inline request\r\n",
	} {
		client := connect(t, addr, false)
		client.send(in)
		client.expectClose(want)
	}
	terminated := srv.Counts().Terminated
	half := "*2\r\n$4\r\nECHO\r\n$16000\r\n" + strings.Repeat("x", 8000)
	for range 60 { // 480 kB, where clients before login may hold 256 kB in all
		connect(t, addr, false).send(half)
	}
	waitFor(t, func() bool { return srv.Counts().Terminated > terminated })
	if counts := srv.Counts(); counts.Input.UnauthenticatedBytes > 256<<10 {
		t.Errorf("%+v", counts.Input)
	}
	client := connect(t, addr, true) // a client that has logged in can still send a large command
	arg := strings.Repeat("y", 400_000)
	client.expect(string(resp.AppendCommand(nil, "ECHO", arg)), "$400000\r\n"+arg+"\r\n")
}

// Many connections that send half of the largest command and stop use no more memory than allowed, and others are served.
func TestIncompleteLargeCommands(t *testing.T) {
	const conns, bulk, input = 400, 512 << 10, 8 << 20
	srv, _, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxArgumentBytes, limits.MaxInputBytes = bulk, input })
	half := fmt.Sprintf("*2\r\n$4\r\nECHO\r\n$%d\r\n%s", bulk, strings.Repeat("x", bulk/2))
	before := heapBytes()
	for range conns {
		client := connect(t, addr, true)
		go func() { _, _ = io.WriteString(client, half) }()
	}
	waitFor(t, func() bool { counts := srv.Counts().Input; return counts.Waiting >= conns-input/bulk })
	counts := srv.Counts()
	if counts.Input.GrantedBytes > input || counts.Terminated != 0 {
		t.Errorf("%+v", counts)
	}
	if used, allowed := heapBytes()-before, input+conns*(readBufferBytes+32<<10); used > allowed { // includes the test's own clients
		t.Errorf("heap grew by %d bytes, want %d at most", used, allowed)
	}
	client := connect(t, addr, true)
	arg := strings.Repeat("y", 10_000)
	client.expect(string(resp.AppendCommand(nil, "ECHO", arg)), "$10000\r\n"+arg+"\r\n")
}

// BenchmarkIncompleteLargeCommands measures the heap, of both ends, and the input memory granted to 5,000 connections that each
// send half of the largest command and stop.
func BenchmarkIncompleteLargeCommands(b *testing.B) {
	const conns, bulk = 5000, 512 << 10
	half := fmt.Sprintf("*2\r\n$4\r\nECHO\r\n$%d\r\n%s", bulk, strings.Repeat("x", bulk/2))
	for range b.N {
		srv, _, addr := startServer(b, func(limits *config.FrontLimits) {
			limits.MaxArgumentBytes, limits.MaxInputBytes, limits.MaxConnections = bulk, 64<<20, 6000
		})
		before := heapBytes()
		var writers sync.WaitGroup
		for range conns {
			conn, err := dial(addr)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			writers.Add(1)
			go func() {
				defer writers.Done()
				_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second)) // what the sockets do not accept is not sent
				_, _ = io.WriteString(conn, "AUTH acme acme-secret\r\n"+half)
			}()
		}
		writers.Wait()
		counts := srv.Counts()
		b.ReportMetric(float64(heapBytes()-before)/1e6, "heap-MB")
		b.ReportMetric(float64(counts.Input.GrantedBytes)/1e6, "granted-MB")
		b.ReportMetric(float64(counts.Input.Waiting), "waiting")
		b.ReportMetric(float64(counts.Terminated), "cut")
	}
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// When input memory is free again, the connections that wait for it resume, and their commands are complete.
func TestWaitingCommandsResume(t *testing.T) {
	const bulk = 512 << 10
	srv, _, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxArgumentBytes, limits.MaxInputBytes = bulk, 1<<20 })
	arg := strings.Repeat("q", bulk)
	whole := string(resp.AppendCommand(nil, "ECHO", arg))
	var clients []*testClient
	for range 12 {
		client := connect(t, addr, true)
		clients = append(clients, client)
		go func() { _, _ = io.WriteString(client, whole[:len(whole)-10]) }()
	}
	waitFor(t, func() bool { return srv.Counts().Input.Waiting == 10 })
	for _, client := range clients {
		go func() { time.Sleep(10 * time.Millisecond); _, _ = io.WriteString(client, whole[len(whole)-10:]) }()
	}
	for _, client := range clients {
		client.expect("", fmt.Sprintf("$%d\r\n%s\r\n", bulk, arg))
	}
	// The memory is released right after the reply.
	waitFor(t, func() bool { counts := srv.Counts().Input; return counts.GrantedBytes == 0 && counts.Waiting == 0 })
	if counts := srv.Counts(); counts.Terminated != 0 {
		t.Errorf("%+v", counts)
	}
}
