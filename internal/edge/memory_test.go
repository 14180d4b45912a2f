package edge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cometpond/internal/resp"
	"cometpond/internal/standin"
)

// Limits of the machine in the tests of this file: descriptors for few and for many connections.
const (
	testMemoryMB    = 32
	testSockets     = 256
	testManySockets = 1024
)

// startLimited starts an ingress with these limits in a process of its own and returns its process id and address.
func startLimited(t *testing.T, platform *platform, memoryMB, sockets int) (pid int, addr string) {
	t.Helper()
	addr = freeAddr(t)
	path, err := standin.PlatformConfig(t.TempDir(), addr, platform.discovery.Addr(), platform.discovery.List(), standin.PlatformSettings(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.Replace(text, []byte(`"memory_mb":64,"sockets":1024`), fmt.Appendf(nil, `"memory_mb":%d,"sockets":%d`, memoryMB, sockets), 1)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(os.Args[0], "-test.run", "TestMain")
	process.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_CHILD=1")
	log := &logBuffer{}
	process.Stderr = log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
		if t.Failed() {
			t.Logf("end of the log:\n%s", tail(log.String(), 3000))
		}
	})
	waitFor(t, "it answers", (&faultyIngress{addr: addr}).answers)
	return process.Process.Pid, addr
}

// anonymousKB returns the anonymous memory of a process in kB: without files and socket buffers.
func anonymousKB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb
}

// longRequest returns a client's command with a body of that many bytes.
func longRequest(class string, body int) []byte {
	verb := "SVC.QUERY"
	if class == "pay" {
		verb = "SVC.SUBMIT"
	}
	return resp.AppendCommand(nil, verb, "00000000b4d65521", newID(), "c="+class+",t=basic,d=2400,units=1,spread=1,first=0", strings.Repeat("b", body))
}

// bodyRequest returns a client's command of a class that is safe to repeat, with a body of that many bytes.
func bodyRequest(id, class string, withinMS, body int) []byte {
	return resp.AppendCommand(nil, "SVC.QUERY", "00000000b4d65521", id, fmt.Sprintf("c=%s,t=basic,d=%d,units=1,spread=1,first=0", class, withinMS),
		strings.Repeat("b", body))
}

// flood opens connections that each send the commands at full speed, and then read what they are sent, unless unread is set.
// All are closed at the end of the test.
func flood(t *testing.T, addr string, connections int, unread bool, commands func() []byte) {
	t.Helper()
	var senders sync.WaitGroup
	t.Cleanup(senders.Wait)
	for range connections {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if unread {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // so that answers wait in the ingress
		}
		senders.Add(1)
		go func() {
			defer senders.Done()
			_, _ = conn.Write(commands()) // ends when the connection is closed, at the latest
		}()
		if !unread {
			senders.Add(1)
			go func() {
				defer senders.Done()
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}
}

// Work of clients and servers that is long or comes at once never takes an ingress over the memory of its machine, whichever
// part of it is long, and a request of another client is answered meanwhile.
func TestWorkNeverExceedsTheMemory(t *testing.T) {
	const long = 60 << 10
	slowly := func(conn net.Conn, s standin.ReceivedCommand) {
		time.Sleep(200 * time.Millisecond)
		answerNow(conn, s)
	}
	// For the class pay there is a long answer; with a body beginning in "b" it never comes.
	longAnswers := func(conn net.Conn, s standin.ReceivedCommand) {
		switch {
		case !strings.HasPrefix(s.Words[3], "c=pay"):
			answerNow(conn, s)
		case len(s.Words) == 4:
			_, _ = conn.Write(append(resp.AppendBulk(resp.AppendArrayHeader(nil, 3), strings.Repeat("v", long)), "$-1\r\n$-1\r\n"...))
		}
	}
	halfAnswers := func(conn net.Conn, s standin.ReceivedCommand) {
		if strings.HasPrefix(s.Words[3], "c=pay") {
			_, _ = conn.Write(append(resp.AppendBulk(resp.AppendArrayHeader(nil, 3), strings.Repeat("v", long)), fmt.Sprintf("$%d\r\n%s", long, strings.Repeat("v", long-1))...))
			return
		}
		answerNow(conn, s)
	}
	repeat := func(n int, command func() []byte) func() []byte {
		return func() (all []byte) {
			for range n {
				all = append(all, command()...)
			}
			return all
		}
	}
	echo := func(conn net.Conn, s standin.ReceivedCommand) {
		time.Sleep(30 * time.Millisecond)
		_, _ = conn.Write(append(resp.AppendBulk(resp.AppendArrayHeader(nil, 3), strings.Repeat("v", long)), "$-1\r\n$-1\r\n"...))
	}
	for _, test := range []struct {
		name        string
		answer      func(net.Conn, standin.ReceivedCommand)
		sockets     int
		connections int
		unread      bool
		commands    func() []byte
	}{
		{"long commands over few connections", slowly, testSockets, 4, false, repeat(300, func() []byte { return longRequest("status", long) })},
		{"commands over many connections", slowly, testSockets, 100, false, repeat(40, func() []byte { return longRequest("status", 12<<10) })},
		{"one long command a connection", slowly, testSockets, 115, false, func() []byte { return longRequest("pay", long) }},
		{"long answers behind a missing one", longAnswers, testSockets, 8, false, func() []byte {
			return append(longRequest("pay", 1), repeat(250, func() []byte { return request(newID(), "pay", "basic", 2400) })()...)
		}},
		{"long answers that are not read", longAnswers, testSockets, 100, true, repeat(40, func() []byte { return request(newID(), "pay", "basic", 2400) })},
		{"long answers that never end", halfAnswers, testSockets, 100, false, repeat(40, func() []byte { return request(newID(), "pay", "basic", 2400) })},
		{"hundreds of short commands over many connections", slowly, testSockets, 115, false, repeat(600, func() []byte { return request(newID(), "status", "basic", 2400) })},
		{"long commands over all of many connections", slowly, testManySockets, 390, false, repeat(60, func() []byte { return longRequest("status", long) })},
		{"long commands and answers over all of many connections", echo, testManySockets, 390, false, repeat(50, func() []byte { return longRequest("status", long) })},
		{"half-sent commands over all of many connections", slowly, testManySockets, 390, false, func() []byte { return longRequest("status", 16<<10)[:15<<10] }},
	} {
		t.Run(test.name, func(t *testing.T) {
			pid, addr := startLimited(t, newPlatform(t, 6, test.answer), testMemoryMB, test.sockets)
			usual := dial(t, addr)
			flood(t, addr, test.connections, test.unread, test.commands)
			most, answered, start := 0, 0, time.Now()
			for time.Since(start) < 2*time.Second {
				sentAt := time.Now()
				usual.send(request(newID(), "status", "basic", 1000))
				done := make(chan error, 1)
				go func() {
					_, err := readAnswer(usual.reader)
					done <- err
				}()
				for waiting := true; waiting; {
					select {
					case err := <-done:
						if err != nil {
							t.Fatalf("the usual client's connection: %v", err)
						}
						if took := time.Since(sentAt); took > 1500*time.Millisecond {
							t.Errorf("the usual client waits 1 s and had its answer after %v", took)
						}
						waiting = false
					case <-time.After(5 * time.Millisecond):
					}
					most = max(most, anonymousKB(t, pid))
				}
				answered++
				time.Sleep(5 * time.Millisecond)
			}
			t.Logf("%d kB at most, %d usual requests answered", most, answered)
			if most > testMemoryMB<<10 {
				t.Errorf("%d kB in use, %d allowed", most, testMemoryMB<<10)
			}
		})
	}
}
