package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
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
	folder  string // of its configuration
	config  string
	log     *logBuffer
}

// configure writes the configuration, anew if there is one.
func (f *faultyIngress) configure(p *platform) {
	f.t.Helper()
	var err error
	f.config, err = standin.PlatformConfig(f.folder, f.addr, p.roster.Addr(), p.roster.List(), standin.PlatformSettings(0, 1))
	if err != nil {
		f.t.Fatal(err)
	}
}

// logBuffer keeps what a process writes to its log.
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

// startFaulty starts an ingress with these calls under supervision; at has faults in force from its first moment.
func startFaulty(t *testing.T, p *platform, calls []faults.Call, at ...faults.Fault) *faultyIngress {
	t.Helper()
	return startLogging(t, p, nil, calls, at...)
}

// startLogging is startFaulty with a log that goes elsewhere, where stderr is not nil.
func startLogging(t *testing.T, p *platform, stderr *os.File, calls []faults.Call, at ...faults.Fault) *faultyIngress {
	t.Helper()
	f := &faultyIngress{t: t, addr: freeAddr(t), log: &logBuffer{}, folder: t.TempDir()}
	f.configure(p)
	var err error
	f.process = exec.Command(os.Args[0], "-test.run", "TestMain")
	f.process.Env = append(os.Environ(), "EDGE_CONFIG="+f.config, "EDGE_CHILD=1")
	f.process.Stderr = f.log
	if stderr != nil {
		f.process.Stderr = stderr
		f.process.Env = append(f.process.Env, "COMETPOND_EDGE_TRACE=1") // so that there is much to log
	}
	if f.Injector, err = faults.Start(f.process, calls, at...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = f.process.Process.Kill()
		_ = f.process.Wait()
		f.Wait()
		if t.Failed() {
			t.Logf("counts %v, the end of its log:\n%s", f.Counts(), tail(f.log.String(), 3000))
		}
	})
	until(t, "it answers", f.answers)
	return f
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// answers tells whether the ingress answers PING.
func (f *faultyIngress) answers() bool {
	c, err := net.DialTimeout("tcp", f.addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte("*1\r\n$4\r\nPING\r\n"))
	text, err := readAnswer(bufio.NewReader(c))
	return err == nil && text == "+PONG"
}

// tally is what became of the requests of a load.
type tally struct {
	mu            sync.Mutex
	served, wrong int
	other         []string // refusals and failures
	lost          []string // requests that were sent whole and got no whole answer
	unreachable   []string // connections that were not had
}

func (y *tally) add(f func()) {
	y.mu.Lock()
	defer y.mu.Unlock()
	f()
}

// answerWithin is how long a client waits for an answer beyond its deadline, which no request of these tests outlasts.
const answerWithin = 3500 * time.Millisecond

// load keeps clients at work for a while: some ask over one connection all the time, others open a new one for every two
// requests. It returns once each has its last answer.
func load(addr string, clients int, d time.Duration) *tally {
	y := &tally{}
	var work sync.WaitGroup
	end := time.Now().Add(d)
	for n := range 2 * clients {
		each := 2
		if n < clients {
			each = 1 << 30
		}
		work.Add(1)
		go func() {
			defer work.Done()
			for time.Now().Before(end) {
				if !ask(addr, each, end, y) {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	work.Wait()
	return y
}

// ask sends so many requests over one new connection, one after the other; false if it is not had.
func ask(addr string, requests int, end time.Time, y *tally) bool {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		y.add(func() { y.unreachable = append(y.unreachable, err.Error()) })
		return false
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for i := 0; i < requests && time.Now().Before(end); i++ {
		id := newID()
		sent := time.Now()
		_ = c.SetDeadline(sent.Add(answerWithin))
		var text string
		class := []string{"status", "pay", "order"}[i%3] // safe to repeat, unsafe, with a key
		if _, err = c.Write(request(id, class, "basic", 2500)); err == nil {
			text, err = readAnswer(in)
		}
		y.add(func() {
			switch {
			case err != nil:
				y.lost = append(y.lost, fmt.Sprintf("%s after %.3f s: %v", id, time.Since(sent).Seconds(), err))
			case text == "value of "+id:
				y.served++
			case strings.HasPrefix(text, "-"):
				y.other = append(y.other, id+" "+class+": "+text)
			default:
				y.wrong++
			}
		})
		if err != nil {
			return true
		}
	}
	return true
}

// check fails the test unless every request had a whole answer, and so large a share of them the backend's.
func (y *tally) check(t *testing.T, servedShare float64) {
	t.Helper()
	if len(y.lost) > 0 || y.wrong > 0 || len(y.unreachable) > 0 {
		t.Errorf("%d requests lost, first %q; %d wrong answers; %d connections not had, first %q",
			len(y.lost), first(y.lost), y.wrong, len(y.unreachable), first(y.unreachable))
	}
	if all := y.served + len(y.other); float64(y.served) < servedShare*float64(all) || y.served == 0 {
		t.Errorf("%d of %d requests served, want a share of %v; first other answer %q", y.served, all, servedShare, first(y.other))
	}
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// slowly answers after a time in which other requests are open.
func slowly(c net.Conn, s standin.ReceivedCommand) {
	time.Sleep(20 * time.Millisecond)
	good(c, s)
}

// faultTime is how long each fault lasts in a test, and moment how long a call fails without a pause where it fails always:
// under the 0.25 s that the settings give a connection to be opened.
const (
	faultTime = 600 * time.Millisecond
	moment    = 100 * time.Millisecond
)

// closing answers and closes the connection, so that every request needs a new one.
func closing(c net.Conn, s standin.ReceivedCommand) {
	slowly(c, s)
	c.Close()
}

// withFaults plays a load while calls fail in one way after the other.
func withFaults(t *testing.T, calls []faults.Call, servedShare float64, list ...faults.Fault) {
	t.Helper()
	withFaultsAt(t, newPlatform(t, 3, slowly), calls, servedShare, list...)
}

func withFaultsAt(t *testing.T, p *platform, calls []faults.Call, servedShare float64, list ...faults.Fault) {
	t.Helper()
	f := startFaulty(t, p, calls)
	for _, fault := range list {
		before := f.Counts()[fault.Call]
		f.Set(fault)
		y := load(f.addr, 6, faultTime)
		f.Set()
		if f.Counts()[fault.Call] == before {
			t.Errorf("%s never failed by %v: the test shows nothing", fault.Call, fault.Errno)
		}
		y.check(t, servedShare)
		if t.Failed() {
			t.Fatalf("%s failing by %v", fault.Call, fault.Errno)
		}
	}
	load(f.addr, 3, faultTime/2).check(t, 1)
	if err := f.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := f.process.Wait(); err != nil {
		t.Errorf("its end: %v", err)
	}
}

// each is one fault for each of the errors.
func each(f faults.Fault, errnos ...unix.Errno) (list []faults.Fault) {
	for _, e := range errnos {
		f.Errno = e
		list = append(list, f)
	}
	return list
}

// port is the port of an address.
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

// arrivals counts the commands that came to servers, by the request's id.
type arrivals struct {
	mu    sync.Mutex
	times map[string]int
	class map[string]string
}

// counting answers slowly, and counts.
func (a *arrivals) counting(c net.Conn, s standin.ReceivedCommand) {
	a.mu.Lock()
	a.times[s.Words[2]]++
	a.class[s.Words[2]] = s.Words[3]
	a.mu.Unlock()
	slowly(c, s)
}

// check fails the test if a request that must not run twice came twice.
func (a *arrivals) check(t *testing.T) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, n := range a.times {
		if n > 1 && strings.Contains(a.class[id], "c=pay") {
			t.Errorf("request %s, which must not run twice, came to servers %d times", id, n)
		}
	}
}

func TestFailingAcceptEndsNoConnection(t *testing.T) {
	withFaults(t, []faults.Call{faults.Accept}, 1, each(faults.Fault{Call: faults.Accept, Probability: 0.3}, unix.ENFILE,
		unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ETIMEDOUT)...)
}

func TestInterruptedWakeUpLeavesNoAnswerBehind(t *testing.T) {
	withFaults(t, []faults.Call{faults.Write}, 1, each(faults.Fault{Call: faults.Write, Target: faults.Eventfd, Probability: 0.1}, unix.EINTR, unix.EAGAIN)...)
}

func TestFailingReadEndsNoConnection(t *testing.T) {
	withFaults(t, []faults.Call{faults.Read}, 1, each(faults.Fault{Call: faults.Read, Target: faults.Sockets, Probability: 0.1}, unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.ENOBUFS)...)
}

func TestFailingWriteEndsNoConnection(t *testing.T) {
	withFaults(t, []faults.Call{faults.Write}, 1, each(faults.Fault{Call: faults.Write, Target: faults.Sockets, Probability: 0.1}, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM)...)
}

func TestShortReadsAndWritesLoseNothing(t *testing.T) {
	withFaults(t, []faults.Call{faults.Read, faults.Write}, 1, faults.Fault{Call: faults.Read, Target: faults.Sockets, MaxBytes: 7, Probability: 0.5},
		faults.Fault{Call: faults.Write, Target: faults.Sockets, MaxBytes: 7, Probability: 0.5})
}

func TestFailingLooksLoseNothing(t *testing.T) {
	withFaults(t, []faults.Call{faults.Recvfrom}, 1,
		each(faults.Fault{Call: faults.Recvfrom, Target: faults.Sockets, Probability: 0.5}, unix.EINTR, unix.ENOMEM)...)
}

func TestInterruptedWaitEndsNothing(t *testing.T) {
	withFaults(t, []faults.Call{faults.EpollPwait}, 1, each(faults.Fault{Call: faults.EpollPwait, Probability: 0.2}, unix.EINTR)...)
}

func TestFailingRegistrationLosesNoConnection(t *testing.T) {
	withFaults(t, []faults.Call{faults.EpollCtl}, 1, each(faults.Fault{Call: faults.EpollCtl, Target: faults.Sockets, Probability: 0.2}, unix.ENOMEM, unix.ENOSPC)...)
}

func TestFailingSocketsRefuseNobody(t *testing.T) {
	withFaultsAt(t, newPlatform(t, 3, closing), []faults.Call{faults.Socket, faults.Connect}, 1,
		append(each(faults.Fault{Call: faults.Socket, Probability: 1, Burst: moment, Pause: 2 * moment}, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM),
			each(faults.Fault{Call: faults.Connect, Probability: 1, Burst: moment, Pause: 2 * moment}, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR, unix.ENOBUFS)...)...)
}

func TestUnreachableServersLoseNothing(t *testing.T) {
	withFaultsAt(t, newPlatform(t, 3, closing), []faults.Call{faults.Connect}, 0,
		each(faults.Fault{Call: faults.Connect, Probability: 0.5}, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNREFUSED)...)
}

func TestFailingOptionsRefuseNobody(t *testing.T) {
	withFaultsAt(t, newPlatform(t, 3, closing), []faults.Call{faults.Setsockopt, faults.Getsockopt, faults.Fcntl}, 1,
		faults.Fault{Call: faults.Setsockopt, Errno: unix.ENOBUFS, Probability: 0.3},
		faults.Fault{Call: faults.Getsockopt, Errno: unix.ENOBUFS, Probability: 0.3},
		faults.Fault{Call: faults.Fcntl, Errno: unix.EMFILE, Probability: 0.3})
}

// What was out on a connection that breaks may have run.
func TestBrokenConnectionsToServersLoseAndRepeatNothing(t *testing.T) {
	a := &arrivals{times: map[string]int{}, class: map[string]string{}}
	p := newPlatform(t, 1, a.counting)
	f := startFaulty(t, p, []faults.Call{faults.Read, faults.Write})
	at := port(t, p.backends[0].Addr())
	for _, call := range []faults.Call{faults.Read, faults.Write} {
		for _, fault := range each(faults.Fault{Call: call, Target: faults.Sockets, Port: at, Probability: 0.05, BreakConnection: true}, unix.ETIMEDOUT,
			unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE) {
			f.Set(fault)
			y := load(f.addr, 4, faultTime/2)
			f.Set()
			y.check(t, 0)
		}
	}
	a.check(t)
	load(f.addr, 3, faultTime/2).check(t, 1)
}

func TestBrokenClientsHarmNobodyElse(t *testing.T) {
	a := &arrivals{times: map[string]int{}, class: map[string]string{}}
	p := newPlatform(t, 2, a.counting)
	f := startFaulty(t, p, []faults.Call{faults.Read, faults.Write})
	for _, call := range []faults.Call{faults.Read, faults.Write} {
		for _, fault := range each(faults.Fault{Call: call, Target: faults.Sockets, Port: port(t, f.addr), Probability: 0.02, BreakConnection: true}, unix.ETIMEDOUT, unix.EHOSTUNREACH) {
			before := f.Counts()[call]
			f.Set(fault)
			y := load(f.addr, 4, faultTime/2)
			f.Set()
			if broken := f.Counts()[call] - before; len(y.lost) > broken || y.wrong > 0 || len(y.unreachable) > 0 {
				t.Errorf("%s broken %d times by %v: %d requests lost, %d wrong answers, %d connections not had", call, broken, fault.Errno,
					len(y.lost), y.wrong, len(y.unreachable))
			}
		}
	}
	a.check(t)
	load(f.addr, 3, faultTime/2).check(t, 1)
}

func TestStartsThoughCallsFailForAMoment(t *testing.T) {
	calls := []faults.Call{faults.Socket, faults.Bind, faults.Setsockopt, faults.Open, faults.Read, faults.EpollCtl}
	for _, fault := range []faults.Fault{
		{Call: faults.Socket, Errno: unix.ENFILE}, {Call: faults.Socket, Errno: unix.ENOBUFS}, {Call: faults.Bind, Errno: unix.EADDRINUSE},
		{Call: faults.Setsockopt, Errno: unix.ENOBUFS}, {Call: faults.Open, Target: "config.json", Errno: unix.ENFILE},
		{Call: faults.Open, Target: "config.json", Errno: unix.EIO}, {Call: faults.Read, Target: "config.json", Errno: unix.EIO},
	} {
		fault.Probability, fault.Burst, fault.Pause = 1, 4*moment, time.Hour
		f := startFaulty(t, newPlatform(t, 1, good), calls, fault)
		if f.Counts()[fault.Call] == 0 {
			t.Errorf("%s never failed by %v: the test shows nothing", fault.Call, fault.Errno)
		}
		load(f.addr, 2, moment).check(t, 1)
	}
}

// The last case is a file that is read half written.
func TestReloadsThoughTheFileCannotBeReadForAMoment(t *testing.T) {
	for _, fault := range []faults.Fault{{Call: faults.Open, Target: "config.json", Errno: unix.ENFILE}, {Call: faults.Read, Target: "config.json", Errno: unix.EIO}, {}} {
		p := newPlatform(t, 1, good)
		f := startFaulty(t, p, []faults.Call{faults.Open, faults.Read})
		next := newPlatform(t, 1, good)
		f.configure(next)
		whole, err := os.ReadFile(f.config)
		if err != nil {
			t.Fatal(err)
		}
		if fault.Call != "" {
			fault.Probability = 1
			f.Set(fault)
		} else if err := os.WriteFile(f.config, whole[:len(whole)/2], 0o600); err != nil {
			t.Fatal(err)
		}
		if err := f.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * moment)
		if len(next.roster.Calls()) > 0 {
			t.Fatal("the new configuration was read: the test shows nothing")
		}
		f.Set()
		if err := os.WriteFile(f.config, whole, 0o600); err != nil {
			t.Fatal(err)
		}
		back := time.Now()
		until(t, "the new discovery is asked", func() bool { return len(next.roster.Calls()) > 0 })
		if took := time.Since(back); took > time.Second {
			t.Errorf("asked %v after the file could be read", took)
		}
	}
}

func TestLogThatCannotBeWrittenHarmsNobody(t *testing.T) {
	for _, trouble := range []string{"its reader is gone", "nobody reads it", "no space", "input or output error"} {
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer reader.Close()
		var at []faults.Fault
		switch trouble {
		case "its reader is gone":
			reader.Close()
		case "no space":
			at = append(at, faults.Fault{Call: faults.Write, Target: "pipe:", Errno: unix.ENOSPC, Probability: 1})
		case "input or output error":
			at = append(at, faults.Fault{Call: faults.Write, Target: "pipe:", Errno: unix.EIO, Probability: 1})
		}
		f := startLogging(t, newPlatform(t, 2, good), writer, []faults.Call{faults.Write}, at...)
		writer.Close()
		load(f.addr, 4, faultTime).check(t, 1)
		if t.Failed() {
			t.Fatalf("the log: %s", trouble)
		}
		if err := f.process.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := f.process.Wait(); err != nil {
			t.Errorf("its end, the log: %s: %v", trouble, err)
		}
	}
}
