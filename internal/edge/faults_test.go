package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cometpond/internal/faults"
	"cometpond/internal/standin"
)

// faultyIngress is an ingress in a process of its own whose system calls can be made to fail.
type faultyIngress struct {
	*faults.Injector
	t       *testing.T
	process *exec.Cmd
	addr    string
	folder  string // directory of the configuration
	config  string // path of the configuration
	log     *logBuffer
}

// configure writes the configuration and replaces an existing one.
func (ingress *faultyIngress) configure(platform *platform) {
	ingress.t.Helper()
	var err error
	ingress.config, err = standin.PlatformConfig(ingress.folder, ingress.addr, platform.discovery.Addr(), platform.discovery.List(),
		standin.PlatformSettings(0, 1))
	if err != nil {
		ingress.t.Fatal(err)
	}
}

// logBuffer records what a process writes to its log.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startFaulty starts an ingress of which these calls can be made to fail; the faults in at are in effect from the start.
func startFaulty(t *testing.T, platform *platform, calls []faults.Call, at ...faults.Fault) *faultyIngress {
	t.Helper()
	return startLogging(t, platform, nil, calls, at...)
}

// startLogging is startFaulty with the log written to stderr, unless that is nil.
func startLogging(t *testing.T, platform *platform, stderr *os.File, calls []faults.Call, at ...faults.Fault) *faultyIngress {
	t.Helper()
	ingress := &faultyIngress{t: t, addr: freeAddr(t), log: &logBuffer{}, folder: t.TempDir()}
	ingress.configure(platform)
	var err error
	ingress.process = exec.Command(os.Args[0], "-test.run", "TestMain")
	ingress.process.Env = append(os.Environ(), "EDGE_CONFIG="+ingress.config, "EDGE_CHILD=1")
	ingress.process.Stderr = ingress.log
	if stderr != nil {
		ingress.process.Stderr = stderr
		ingress.process.Env = append(ingress.process.Env, "COMETPOND_EDGE_TRACE=1") // so that much is logged
	}
	if ingress.Injector, err = faults.Start(ingress.process, calls, at...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = ingress.process.Process.Kill()
		_ = ingress.process.Wait()
		ingress.Wait()
		if t.Failed() {
			t.Logf("counts of failed calls %v, end of the log:\n%s", ingress.Counts(), tail(ingress.log.String(), 3000))
		}
	})
	waitFor(t, "it answers", ingress.answers)
	return ingress
}

// tail returns the last n bytes of a text.
func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// answers reports whether the ingress answers PING.
func (ingress *faultyIngress) answers() bool {
	conn, err := net.DialTimeout("tcp", ingress.addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
	text, err := readAnswer(bufio.NewReader(conn))
	return err == nil && text == "+PONG"
}

// loadResults counts the results of the requests of a load.
type loadResults struct {
	mu            sync.Mutex
	served, wrong int
	other         []string // refusals and failures
	lost          []string // requests that were sent completely and got no complete answer
	dialErrors    []string // errors of connections that could not be opened
}

func (results *loadResults) add(update func()) {
	results.mu.Lock()
	defer results.mu.Unlock()
	update()
}

// answerWithin is how long a client waits for an answer. It is beyond the deadline of all requests of these tests.
const answerWithin = 3500 * time.Millisecond

// runLoad runs clients for a while: half of them keep one connection, the others open a new one for every two requests. It
// returns when each client has its last answer.
func runLoad(addr string, clients int, duration time.Duration) *loadResults {
	results := &loadResults{}
	var work sync.WaitGroup
	end := time.Now().Add(duration)
	for n := range 2 * clients {
		each := 2
		if n < clients {
			each = 1 << 30
		}
		work.Add(1)
		go func() {
			defer work.Done()
			for time.Now().Before(end) {
				if !sendRequests(addr, each, end, results) {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	work.Wait()
	return results
}

// sendRequests sends requests one after the other over a new connection; false if the connection can't be opened.
func sendRequests(addr string, requests int, end time.Time, results *loadResults) bool {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		results.add(func() { results.dialErrors = append(results.dialErrors, err.Error()) })
		return false
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := 0; i < requests && time.Now().Before(end); i++ {
		id := newID()
		sent := time.Now()
		_ = conn.SetDeadline(sent.Add(answerWithin))
		var text string
		class := []string{"status", "pay", "order"}[i%3] // safe to repeat, unsafe, with a key
		if _, err = conn.Write(request(id, class, "basic", 2500)); err == nil {
			text, err = readAnswer(in)
		}
		results.add(func() {
			switch {
			case err != nil:
				results.lost = append(results.lost, fmt.Sprintf("%s after %.3f s: %v", id, time.Since(sent).Seconds(), err))
			case text == "value of "+id:
				results.served++
			case strings.HasPrefix(text, "-"):
				results.other = append(results.other, id+" "+class+": "+text)
			default:
				results.wrong++
			}
		})
		if err != nil {
			return true
		}
	}
	return true
}

// check fails the test unless every request got a complete answer, and at least this share of them an answer of a server.
func (results *loadResults) check(t *testing.T, servedShare float64) {
	t.Helper()
	if len(results.lost) > 0 || results.wrong > 0 || len(results.dialErrors) > 0 {
		t.Errorf("%d requests lost, first %q; %d wrong answers; %d connections not opened, first %q",
			len(results.lost), first(results.lost), results.wrong, len(results.dialErrors), first(results.dialErrors))
	}
	if all := results.served + len(results.other); float64(results.served) < servedShare*float64(all) || results.served == 0 {
		t.Errorf("%d of %d requests served, want at least a share of %v; first other answer %q", results.served, all, servedShare, first(results.other))
	}
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// answerSlowly is a server's answer function that delays the answer, so that several requests are open at once.
func answerSlowly(conn net.Conn, s standin.ReceivedCommand) {
	time.Sleep(20 * time.Millisecond)
	answerNow(conn, s)
}

// faultDuration is the duration of each fault in a test. Faults that make every call fail last for faultBurst at a time, which
// is below the dial timeout of the settings, 0.25 s.
const (
	faultDuration = 600 * time.Millisecond
	faultBurst    = 100 * time.Millisecond
)

// answerAndClose is a server's answer function that closes the connection after the answer, so that every request needs a new
// connection.
func answerAndClose(conn net.Conn, s standin.ReceivedCommand) {
	answerSlowly(conn, s)
	conn.Close()
}

// withFaults runs a load under each of the faults in turn. It checks that every request is answered, then that the ingress
// serves all requests without faults and exits without an error on SIGTERM.
func withFaults(t *testing.T, calls []faults.Call, servedShare float64, list ...faults.Fault) {
	t.Helper()
	withFaultsAt(t, newPlatform(t, 3, answerSlowly), calls, servedShare, list...)
}

// withFaultsAt is withFaults with the servers of a platform.
func withFaultsAt(t *testing.T, platform *platform, calls []faults.Call, servedShare float64, list ...faults.Fault) {
	t.Helper()
	ingress := startFaulty(t, platform, calls)
	for _, fault := range list {
		before := ingress.Counts()[fault.Call]
		ingress.Set(fault)
		results := runLoad(ingress.addr, 6, faultDuration)
		ingress.Set()
		if ingress.Counts()[fault.Call] == before {
			t.Errorf("%s never failed with %v: the fault was not tested", fault.Call, fault.Errno)
		}
		results.check(t, servedShare)
		if t.Failed() {
			t.Fatalf("%s failing with %v", fault.Call, fault.Errno)
		}
	}
	runLoad(ingress.addr, 3, faultDuration/2).check(t, 1)
	if err := ingress.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := ingress.process.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// maxLoads is how often runLoadUnder runs its load, at most.
const maxLoads = 20

// runLoadUnder runs a load under a fault, and checks its results. It runs the load again while the fault has not occurred, and
// fails the test if it never occurs.
func (ingress *faultyIngress) runLoadUnder(fault faults.Fault, clients int, duration time.Duration, check func(results *loadResults)) {
	ingress.t.Helper()
	before := ingress.Counts()[fault.Call]
	for range maxLoads {
		ingress.Set(fault)
		results := runLoad(ingress.addr, clients, duration)
		ingress.Set()
		check(results)
		if ingress.Counts()[fault.Call] > before {
			return
		}
	}
	ingress.t.Errorf("%s never failed with %v in %d loads: the fault was not tested", fault.Call, fault.Errno, maxLoads)
}

// withErrnos returns copies of a fault, one for each of the errors.
func withErrnos(fault faults.Fault, errnos ...unix.Errno) (list []faults.Fault) {
	for _, e := range errnos {
		fault.Errno = e
		list = append(list, fault)
	}
	return list
}

// port returns the port of an address.
func port(t *testing.T, addr string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// commandCounter counts the commands that servers receive, by request id.
type commandCounter struct {
	mu    sync.Mutex
	times map[string]int
	class map[string]string
}

// answerAndCount is a server's answer function that counts the command and answers slowly.
func (received *commandCounter) answerAndCount(conn net.Conn, s standin.ReceivedCommand) {
	received.mu.Lock()
	received.times[s.Words[2]]++
	received.class[s.Words[2]] = s.Words[3]
	received.mu.Unlock()
	answerSlowly(conn, s)
}

// check fails the test if servers received a request twice that must not run twice.
func (received *commandCounter) check(t *testing.T) {
	t.Helper()
	received.mu.Lock()
	defer received.mu.Unlock()
	for id, n := range received.times {
		if n > 1 && strings.Contains(received.class[id], "c=pay") {
			t.Errorf("request %s must not run twice, but servers received it %d times", id, n)
		}
	}
}

func TestFailingAcceptClosesNoConnection(t *testing.T) {
	withFaults(t, []faults.Call{faults.Accept}, 1, withErrnos(faults.Fault{Call: faults.Accept, Probability: 0.3}, unix.ENFILE,
		unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ETIMEDOUT)...)
}

func TestInterruptedWakeUpDelaysNoAnswer(t *testing.T) {
	withFaults(t, []faults.Call{faults.Write}, 1, withErrnos(faults.Fault{Call: faults.Write, Target: faults.Eventfd, Probability: 0.1}, unix.EINTR, unix.EAGAIN)...)
}

func TestFailingReadClosesNoConnection(t *testing.T) {
	withFaults(t, []faults.Call{faults.Read}, 1, withErrnos(faults.Fault{Call: faults.Read, Target: faults.Sockets, Probability: 0.1}, unix.EINTR, unix.EAGAIN, unix.ENOMEM,
		unix.ENOBUFS)...)
}

func TestFailingWriteClosesNoConnection(t *testing.T) {
	withFaults(t, []faults.Call{faults.Write}, 1, withErrnos(faults.Fault{Call: faults.Write, Target: faults.Sockets, Probability: 0.1}, unix.EINTR, unix.EAGAIN,
		unix.ENOBUFS, unix.ENOMEM)...)
}

func TestShortReadsAndWritesLoseNothing(t *testing.T) {
	withFaults(t, []faults.Call{faults.Read, faults.Write}, 1, faults.Fault{Call: faults.Read, Target: faults.Sockets, MaxBytes: 7, Probability: 0.5},
		faults.Fault{Call: faults.Write, Target: faults.Sockets, MaxBytes: 7, Probability: 0.5})
}

func TestFailingRecvfromLosesNothing(t *testing.T) {
	withFaults(t, []faults.Call{faults.Recvfrom}, 1,
		withErrnos(faults.Fault{Call: faults.Recvfrom, Target: faults.Sockets, Probability: 0.5}, unix.EINTR, unix.ENOMEM)...)
}

func TestInterruptedEpollWaitClosesNothing(t *testing.T) {
	withFaults(t, []faults.Call{faults.EpollPwait}, 1, withErrnos(faults.Fault{Call: faults.EpollPwait, Probability: 0.2}, unix.EINTR)...)
}

// The event loop waits with epoll_wait where the architecture has it, and the Go runtime with epoll_pwait.
func TestInterruptedEventLoopClosesNothing(t *testing.T) {
	if !faults.Supported(faults.EpollWait) {
		t.Skipf("%s has no epoll_wait, so no program calls it there; the event loop calls epoll_pwait", runtime.GOARCH)
	}
	withFaults(t, []faults.Call{faults.EpollWait}, 1, withErrnos(faults.Fault{Call: faults.EpollWait, Probability: 0.2}, unix.EINTR)...)
}

func TestFailingRegistrationLosesNoConnection(t *testing.T) {
	withFaults(t, []faults.Call{faults.EpollCtl}, 1, withErrnos(faults.Fault{Call: faults.EpollCtl, Target: faults.Sockets, Probability: 0.2},
		unix.ENOMEM, unix.ENOSPC)...)
}

func TestFailingSocketAndConnectRefuseNoRequest(t *testing.T) {
	withFaultsAt(t, newPlatform(t, 3, answerAndClose), []faults.Call{faults.Socket, faults.Connect}, 1,
		append(withErrnos(faults.Fault{Call: faults.Socket, Probability: 1, Burst: faultBurst, Pause: 2 * faultBurst},
			unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM),
			withErrnos(faults.Fault{Call: faults.Connect, Probability: 1, Burst: faultBurst, Pause: 2 * faultBurst},
				unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR, unix.ENOBUFS)...)...)
}

func TestUnreachableServersLoseNothing(t *testing.T) {
	withFaultsAt(t, newPlatform(t, 3, answerAndClose), []faults.Call{faults.Connect}, 0,
		withErrnos(faults.Fault{Call: faults.Connect, Probability: 0.5}, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNREFUSED)...)
}

func TestFailingSocketOptionsRefuseNoRequest(t *testing.T) {
	withFaultsAt(t, newPlatform(t, 3, answerAndClose), []faults.Call{faults.Setsockopt, faults.Getsockopt, faults.Fcntl}, 1,
		faults.Fault{Call: faults.Setsockopt, Errno: unix.ENOBUFS, Probability: 0.3},
		faults.Fault{Call: faults.Getsockopt, Errno: unix.ENOBUFS, Probability: 0.3},
		faults.Fault{Call: faults.Fcntl, Errno: unix.EMFILE, Probability: 0.3})
}

// Requests in flight on a connection that breaks may have run, so they must not be repeated.
func TestBrokenServerConnectionsLoseAndRepeatNothing(t *testing.T) {
	received := &commandCounter{times: map[string]int{}, class: map[string]string{}}
	platform := newPlatform(t, 1, received.answerAndCount)
	ingress := startFaulty(t, platform, []faults.Call{faults.Read, faults.Write})
	at := port(t, platform.servers[0].Addr())
	for _, call := range []faults.Call{faults.Read, faults.Write} {
		for _, fault := range withErrnos(faults.Fault{Call: call, Target: faults.Sockets, Port: at, Probability: 0.05, BreakConnection: true}, unix.ETIMEDOUT,
			unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE) {
			ingress.runLoadUnder(fault, 4, faultDuration/2, func(results *loadResults) { results.check(t, 0) })
		}
	}
	received.check(t)
	runLoad(ingress.addr, 3, faultDuration/2).check(t, 1)
}

func TestBrokenClientConnectionsAffectNoOtherClient(t *testing.T) {
	received := &commandCounter{times: map[string]int{}, class: map[string]string{}}
	platform := newPlatform(t, 2, received.answerAndCount)
	ingress := startFaulty(t, platform, []faults.Call{faults.Read, faults.Write})
	for _, call := range []faults.Call{faults.Read, faults.Write} {
		for _, fault := range withErrnos(faults.Fault{Call: call, Target: faults.Sockets, Port: port(t, ingress.addr), Probability: 0.02, BreakConnection: true},
			unix.ETIMEDOUT, unix.EHOSTUNREACH) {
			before := ingress.Counts()[call]
			ingress.runLoadUnder(fault, 4, faultDuration/2, func(results *loadResults) {
				if broken := ingress.Counts()[call] - before; len(results.lost) > broken || results.wrong > 0 || len(results.dialErrors) > 0 {
					t.Errorf("%s broken %d times with %v: %d requests lost, %d wrong answers, %d connections not opened", call, broken,
						fault.Errno, len(results.lost), results.wrong, len(results.dialErrors))
				}
			})
		}
	}
	received.check(t)
	runLoad(ingress.addr, 3, faultDuration/2).check(t, 1)
}

func TestStartsWhileCallsFailBriefly(t *testing.T) {
	calls := []faults.Call{faults.Socket, faults.Bind, faults.Setsockopt, faults.Open, faults.Read, faults.EpollCtl}
	for _, fault := range []faults.Fault{
		{Call: faults.Socket, Errno: unix.ENFILE}, {Call: faults.Socket, Errno: unix.ENOBUFS}, {Call: faults.Bind, Errno: unix.EADDRINUSE},
		{Call: faults.Setsockopt, Errno: unix.ENOBUFS}, {Call: faults.Open, Target: "config.json", Errno: unix.ENFILE},
		{Call: faults.Open, Target: "config.json", Errno: unix.EIO}, {Call: faults.Read, Target: "config.json", Errno: unix.EIO},
	} {
		fault.Probability, fault.Burst, fault.Pause = 1, 4*faultBurst, time.Hour
		ingress := startFaulty(t, newPlatform(t, 1, answerNow), calls, fault)
		if ingress.Counts()[fault.Call] == 0 {
			t.Errorf("%s never failed with %v: the fault was not tested", fault.Call, fault.Errno)
		}
		runLoad(ingress.addr, 2, faultBurst).check(t, 1)
	}
}

// A reload is retried while the configuration file can't be read. The last case is a file that is incompletely written.
func TestReloadsWhileTheFileCannotBeReadBriefly(t *testing.T) {
	for _, fault := range []faults.Fault{{Call: faults.Open, Target: "config.json", Errno: unix.ENFILE}, {Call: faults.Read, Target: "config.json", Errno: unix.EIO}, {}} {
		platform := newPlatform(t, 1, answerNow)
		ingress := startFaulty(t, platform, []faults.Call{faults.Open, faults.Read})
		next := newPlatform(t, 1, answerNow)
		ingress.configure(next)
		whole, err := os.ReadFile(ingress.config)
		if err != nil {
			t.Fatal(err)
		}
		if fault.Call != "" {
			fault.Probability = 1
			ingress.Set(fault)
		} else if err := os.WriteFile(ingress.config, whole[:len(whole)/2], 0o600); err != nil {
			t.Fatal(err)
		}
		if err := ingress.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * faultBurst)
		if len(next.discovery.Calls()) > 0 {
			t.Fatal("the new configuration was read during the fault, so the fault was not tested")
		}
		if fault.Call != "" && ingress.Counts()[fault.Call] == 0 {
			t.Errorf("%s never failed with %v: the fault was not tested", fault.Call, fault.Errno)
		}
		ingress.Set()
		if err := os.WriteFile(ingress.config, whole, 0o600); err != nil {
			t.Fatal(err)
		}
		readable := time.Now()
		waitFor(t, "the new discovery server is polled", func() bool { return len(next.discovery.Calls()) > 0 })
		if took := time.Since(readable); took > time.Second {
			t.Errorf("the new discovery server was polled %v after the file could be read", took)
		}
	}
}

func TestUnwritableLogAffectsNoRequest(t *testing.T) {
	for _, fault := range []string{"reader closed", "reader does not read", "no space", "input or output error"} {
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer reader.Close()
		var at []faults.Fault
		switch fault {
		case "reader closed":
			reader.Close()
		case "no space":
			at = append(at, faults.Fault{Call: faults.Write, Target: "pipe:", Errno: unix.ENOSPC, Probability: 1})
		case "input or output error":
			at = append(at, faults.Fault{Call: faults.Write, Target: "pipe:", Errno: unix.EIO, Probability: 1})
		}
		ingress := startLogging(t, newPlatform(t, 2, answerNow), writer, []faults.Call{faults.Write}, at...)
		writer.Close()
		runLoad(ingress.addr, 4, faultDuration).check(t, 1)
		if len(at) > 0 && ingress.Counts()[faults.Write] == 0 {
			t.Error("write never failed: the fault was not tested")
		}
		if t.Failed() {
			t.Fatalf("with the log fault: %s", fault)
		}
		if err := ingress.process.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := ingress.process.Wait(); err != nil {
			t.Errorf("exit with the log fault %s: %v", fault, err)
		}
	}
}
