package front

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/membudget"
	"cometpond/internal/resp"
)

// keyHandler submits each command with its first argument as the key, and answers with the key or with "-BUSY".
type keyHandler struct{ echoHandler }

func (keyHandler) Limits() resp.Limits {
	return resp.Limits{Bulk: 64 << 10, Args: 3, Inline: 32, Depth: 1, Command: 70 << 10, ArraysOnly: true}
}

func (keyHandler) HandleCommand(conn Conn, args [][]byte) {
	conn.Submit(core.Call{Key: string(args[0]), Payload: bytes.Join(args, nil)})
}

func (keyHandler) AppendReply(dst []byte, call *core.Call) []byte {
	if call.Answer.Kind == core.Refused {
		return append(dst, "-BUSY\r\n"...)
	}
	return append(dst, "+"+call.Key+"\r\n"...)
}

// startReadingAhead starts a server that notices at once when clients disconnect, with a memory budget.
func startReadingAhead(t *testing.T, maxPipelined int, budget *membudget.Budget) (*Server, *fakeCore, string) {
	t.Helper()
	return startServerWith(t, func(limits *config.FrontLimits) {
		limits.MaxPipelined, limits.MaxInputBytes = maxPipelined, 1<<20
	}, func(options *Options) {
		options.Handler, options.Loops, options.CloseOnClientEOF, options.Memory = keyHandler{}, 1, true, budget
	})
}

// holdCommands returns so many commands, each with an argument of that many bytes, whose answers are held back.
func holdCommands(commands, bytes int) (text []byte) {
	argument := "hold" + strings.Repeat("x", bytes)
	for i := range commands {
		text = resp.AppendCommand(text, fmt.Sprint("k", i), argument)
	}
	return text
}

// Guards against open requests of a client that has sent more than may be in progress and left: all of them are cancelled
// whatever it has sent before the end of its connection, and nothing more is submitted.
func TestEndBehindMuchInputIsNoticed(t *testing.T) {
	for _, test := range []struct{ commands, bytes, maxPipelined, budgetBytes int }{
		{2000, 10, 10, 8 << 20}, {100_000, 10, 10, 8 << 20}, {3000, 4000, 256, 1 << 20}, {300, 60_000, 256, 1 << 20}, {20_000, 500, 256, 100_000},
	} {
		for _, disconnect := range []func(conn *net.TCPConn) error{(*net.TCPConn).Close, (*net.TCPConn).CloseWrite} {
			budget := membudget.New(test.budgetBytes)
			srv, fake, addr := startReadingAhead(t, test.maxPipelined, budget)
			client := dialClient(t, addr)
			client.write(string(holdCommands(test.commands, test.bytes)))
			if err := disconnect(client.Conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			waitFor(t, func() bool { return srv.Counts().Opened == 1 && srv.OpenConnections() == 0 })
			if submitted := fake.callCount(); fake.goneCount() != submitted || submitted > test.maxPipelined {
				t.Errorf("%+v: %d requests submitted, %d cancelled, %d may be in progress", test, submitted, fake.goneCount(), test.maxPipelined)
			}
			if counts := srv.Counts(); counts.ReadsPaused > 0 || budget.Used() != 0 {
				t.Errorf("%+v: reading was paused %d times, %d bytes still held", test, counts.ReadsPaused, budget.Used())
			}
		}
	}
}

// Guards against a client that stops in the middle of a command which is dropped: it is disconnected like any other that does
// not finish its command, after its answers.
func TestIncompleteCommandReadAheadTimesOut(t *testing.T) {
	budget := membudget.New(100_000)
	_, fake, addr := startServerWith(t, func(limits *config.FrontLimits) {
		limits.MaxPipelined, limits.MaxInputBytes, limits.PartialTimeout = 1, 1<<20, 100*time.Millisecond
	}, func(options *Options) {
		options.Handler, options.Loops, options.CloseOnClientEOF, options.Memory = keyHandler{}, 1, true, budget
	})
	for _, kept := range []bool{true, false} {
		client := dialClient(t, addr)
		text := holdCommands(2, 0)
		if !kept {
			text = append(holdCommands(1, 0), holdCommands(40, 4000)...) // more than the budget holds
		}
		client.write(string(text[:len(text)-5]))
		time.Sleep(20 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case call := <-fake.held:
					answerCall(call, core.Answer{})
				case <-time.After(500 * time.Millisecond):
					return
				}
			}
		}()
		answers, err := io.ReadAll(client.reader)
		if want := map[bool]string{true: "+k0\r\n", false: "-BUSY\r\n"}[kept]; err != nil || !strings.HasSuffix(string(answers), want) {
			t.Errorf("kept %v: answers %q and %v, want %q and the end of the connection", kept, answers, err, want)
		}
		<-stopped
	}
}

// waitUntilRead waits until the socket of the only connection stays empty.
func waitUntilRead(t *testing.T, srv *Server) {
	t.Helper()
	empty := 0
	waitFor(t, func() bool {
		empty++
		runInLoop(t, srv, func(_ *connLoop, conn *clientConn) {
			if conn.socket.HasUnread() {
				empty = 0
			}
		})
		return empty == 20
	})
}

// A client that sends more than may be in progress, and stays, gets an answer or a refusal for each command, in their order.
func TestCommandsReadAheadAreAnsweredInOrder(t *testing.T) {
	for _, test := range []struct{ commands, bytes, maxPipelined, budgetBytes, served int }{
		{2000, 10, 10, 8 << 20, 2000}, {30_000, 100, 20, 400_000, 500}, {500, 4000, 256, 1 << 20, 50}, {100, 60_000, 256, 1 << 20, 2},
	} {
		budget := membudget.New(test.budgetBytes)
		srv, fake, addr := startReadingAhead(t, test.maxPipelined, budget)
		client := dialClient(t, addr)
		client.write(string(holdCommands(test.commands, test.bytes)))
		waitUntilRead(t, srv)
		stopped := make(chan struct{})
		go func() {
			for {
				select {
				case call := <-fake.held:
					answerCall(call, core.Answer{})
				case <-stopped:
					return
				}
			}
		}()
		served := 0
		for i := range test.commands {
			switch line, err := client.reader.ReadString('\n'); {
			case err == nil && line == fmt.Sprintf("+k%d\r\n", i):
				served++
			case err != nil || line != "-BUSY\r\n":
				t.Fatalf("%+v: answer %d is %q, %v", test, i, line, err)
			}
		}
		if served < test.served || served == test.commands && test.served < test.commands {
			t.Errorf("%+v: %d served", test, served)
		}
		client.expectLine(string(holdCommands(1, 0)), "+k0\r\n")
		close(stopped)
		waitFor(t, func() bool { return budget.Used() == 0 })
	}
}
