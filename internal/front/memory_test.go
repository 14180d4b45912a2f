package front

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/membudget"
	"cometpond/internal/resp"
)

// startBudgeted starts a server with a memory budget of that many bytes.
func startBudgeted(t *testing.T, bytes int) (*Server, *fakeCore, string, *membudget.Budget) {
	t.Helper()
	budget := membudget.New(bytes)
	srv, fake, addr := startServerWith(t, func(limits *config.FrontLimits) {
		limits.MaxArgumentBytes, limits.MaxInputBytes = 64<<10, 1<<20
	}, func(options *Options) { options.Memory = budget })
	return srv, fake, addr, budget
}

// submit returns a command with an argument of that many bytes; its answer is held back by the core if held is set.
func submit(key string, bytes int, held bool) string {
	text := strings.Repeat("x", bytes)
	if held {
		text = "hold" + text
	}
	return string(resp.AppendCommand(nil, "SIGN.SUBMIT", key, text))
}

// A client that sends far more at once than the memory budget holds, in long or short commands, waits for its own answers and
// loses nothing; the budget is kept, and all of it is free afterwards.
func TestPipelineBeyondTheMemoryWaitsForItsAnswers(t *testing.T) {
	const budgetBytes = 1 << 20
	for _, size := range []int{0, 3_000, 20_000, 60_000} {
		srv, fake, addr, budget := startBudgeted(t, budgetBytes)
		client := connect(t, addr, true)
		n := 20 + 4*budgetBytes/(size+2_000)
		go func() {
			for i := range n {
				_, _ = client.Write([]byte(submit(fmt.Sprint("k", i), size, true)))
			}
		}()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			for range n {
				call := <-fake.held
				if used := budget.Used(); used > budgetBytes {
					t.Errorf("size %d: %d bytes in use of %d", size, used, budgetBytes)
				}
				answerCall(call, core.Answer{Payload: []byte("+did " + call.Key + "\r\n")})
			}
		}()
		for i := range n {
			client.expect("", fmt.Sprintf("+did k%d\r\n", i))
		}
		<-answered
		if waitFor(t, func() bool { return budget.Used() == 0 }); srv.Counts().OutOfMemory != 0 {
			t.Errorf("size %d: %d commands refused", size, srv.Counts().OutOfMemory)
		}
	}
}

// Clients that fill the memory budget leave room for those that send one command at a time; when the budget is used up, a
// command is refused at once and its connection goes on.
func TestCommandWithoutMemoryIsRefusedAtOnce(t *testing.T) {
	const budgetBytes = 1 << 20
	srv, fake, addr, budget := startBudgeted(t, budgetBytes)
	for range 8 { // pipelines take up to half of the budget
		client := connect(t, addr, true)
		go func() {
			for i := range 100 {
				_, _ = client.Write([]byte(submit(fmt.Sprint("k", i), 10_000, true)))
			}
		}()
	}
	waitFor(t, func() bool { return budget.Used() > budgetBytes/3 })
	connect(t, addr, true).expect(submit("one", 60_000, false), "+did one\r\n")
	for range 10 { // one long command each, up to the whole budget
		connect(t, addr, true).send(submit("k", 60_000, true))
	}
	client := connect(t, addr, true)
	waitFor(t, func() bool { return srv.Counts().OutOfMemory > 0 })
	client.expect(submit("two", 60_000, false), "-REFUSED no memory for the command\r\n")
	client.expect(submit("short", 10, false), "+did short\r\n")
	client.expect("PING\r\n", "+PONG\r\n")
	for len(fake.held) > 0 {
		answerCall(<-fake.held, core.Answer{Payload: []byte("+ok\r\n")})
	}
	waitFor(t, func() bool {
		for len(fake.held) > 0 {
			answerCall(<-fake.held, core.Answer{Payload: []byte("+ok\r\n")})
		}
		return budget.Used() == 0
	})
	client.expect(submit("three", 60_000, false), "+did three\r\n")
}

// Long answers that wait for a missing one stay within the memory budget: those that do not fit become errors, in order.
func TestAnswersThatWaitStayWithinTheMemory(t *testing.T) {
	const budgetBytes, n, length = 1 << 20, 60, 60_000
	srv, fake, addr, budget := startBudgeted(t, budgetBytes)
	client := connect(t, addr, true)
	client.send(submit("first", 0, true) + strings.Repeat(submit("k", 0, true), n))
	first := <-fake.held
	long := resp.AppendBulk(nil, strings.Repeat("v", length))
	for range n {
		answerCall(<-fake.held, core.Answer{Payload: long})
	}
	waitFor(t, func() bool { return srv.Counts().OutOfMemory > 0 })
	if used := budget.Used(); used > budgetBytes {
		t.Errorf("%d bytes in use of %d", used, budgetBytes)
	}
	answerCall(first, core.Answer{Payload: []byte("+first\r\n")})
	client.expect("", "+first\r\n")
	served, failed := 0, 0
	for range n {
		line, err := client.reader.ReadString('\n')
		switch {
		case err != nil:
			t.Fatal(err)
		case strings.HasPrefix(line, "$"):
			served++
			client.expect("", strings.Repeat("v", length)+"\r\n")
		case strings.HasPrefix(line, "-FAILED no memory"):
			failed++
		default:
			t.Fatalf("%q", line)
		}
	}
	if served < 3 || failed == 0 {
		t.Errorf("%d served, %d failed", served, failed)
	}
	waitFor(t, func() bool { return budget.Used() == 0 })
}

// Guards against answers that are replaced by errors although they need less memory than their own commands have given back:
// other clients have taken what this one could have had.
func TestShortAnswersAlwaysFit(t *testing.T) {
	const budgetBytes, n, size = 1 << 20, 60, 3000
	srv, fake, addr, budget := startBudgeted(t, budgetBytes)
	client := connect(t, addr, true)
	client.send(strings.Repeat(submit("k", size, true), 20))
	calls := []*core.Call{}
	for range 20 {
		calls = append(calls, <-fake.held)
	}
	for used := -1; used != budget.Used(); { // until no other client gets any more
		used = budget.Used()
		other := connect(t, addr, true)
		go func() { _, _ = other.Write([]byte(strings.Repeat(submit("other", size, true), n))) }()
		time.Sleep(20 * time.Millisecond)
	}
	for _, call := range append(calls[1:], calls[0]) {
		answerCall(call, core.Answer{Payload: []byte("+answer\r\n")})
		srv.Flush(context.Background()) // until it is handled
	}
	failed := 0
	for range calls {
		if line, err := client.reader.ReadString('\n'); err != nil || line != "+answer\r\n" {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d answers were replaced", failed, len(calls))
	}
}

// An answer does not wait until reading resumes: it is written as soon as those before it are.
func TestAnswersAreWrittenWhileReadingIsPaused(t *testing.T) {
	srv, fake, addr := startServer(t, func(limits *config.FrontLimits) { limits.MaxPipelined = 10; limits.MaxArgumentBytes = 64 << 10 })
	client := connect(t, addr, true)
	client.send(strings.Repeat(submit("k", 0, true), 10) + strings.Repeat(submit("k", 3_000, false), 10))
	waitFor(t, func() bool { return srv.Counts().ReadsPaused == 1 })
	answerCall(<-fake.held, core.Answer{Payload: []byte("+did first\r\n")})
	client.expect("", "+did first\r\n")
}

// What a connection holds of the memory budget is free again when it ends, whatever it was doing.
func TestClosedConnectionsHoldNoMemory(t *testing.T) {
	srv, fake, addr, budget := startBudgeted(t, 1<<20)
	long := resp.AppendBulk(nil, strings.Repeat("v", 60_000))
	for i := range 30 {
		client := connect(t, addr, true)
		client.send(strings.Repeat(submit("k", 100*i, true), 3) + submit("half", 30_000, true)[:20_000])
		first := <-fake.held
		if i%3 > 0 {
			answerCall(<-fake.held, core.Answer{Payload: long})
		}
		if i%3 > 1 {
			answerCall(first, core.Answer{Payload: long}) // not read
		}
		client.Close()
		waitFor(t, func() bool { return srv.Counts().Open == 0 })
		for len(fake.held) > 0 {
			<-fake.held
		}
	}
	waitFor(t, func() bool { return budget.Used() == 0 && srv.Counts().Input.GrantedBytes == 0 })
}
