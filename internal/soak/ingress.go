package soak

import (
	"bytes"
	"fmt"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"cometpond/internal/faults"
	"cometpond/internal/standin"
)

// ingress is one ingress of the fleet, with all its successive processes.
type ingress struct {
	fleet          *fleet
	number         int
	cfg            *configuration
	discovery      [2]*standin.PlatformDiscovery // two discovery servers; a new configuration switches between them
	discoveryInUse int                           // index of the one in the current configuration

	replacing sync.Mutex // locked while a process is being replaced

	mu            sync.Mutex
	command       *exec.Cmd
	injector      *faults.Injector
	processes     []*Process
	accepting     bool      // clients may connect to it
	refusingUntil time.Time // clients avoid it until then, because it refused a connection
	exited        chan error
	log           logBuffer
	failedCalls   int // system calls that were made to fail in processes that have exited
	stopped       bool
}

// logBuffer keeps the last part of the log of an ingress's processes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// maxLogBytes is the size above which the older half of a log is dropped.
const maxLogBytes = 1 << 20

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() > maxLogBytes {
		l.text.Next(l.text.Len() / 2)
	}
	return l.text.Write(b)
}

// maxErrorLogBytes is how much of a log is part of an error.
const maxErrorLogBytes = 2000

// tail returns the last bytes of the log, at most so many.
func (l *logBuffer) tail(most int) string {
	text := l.String()
	return text[max(0, len(text)-most):]
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// trappedCalls are the system calls that can be made to fail.
var trappedCalls = []faults.Call{faults.Accept, faults.Connect, faults.EpollCtl, faults.EpollPwait, faults.Read, faults.Setsockopt,
	faults.Socket, faults.Write}

// configure writes the configuration file.
func (ing *ingress) configure() error {
	list := ing.discovery[ing.discoveryInUse].List()
	return ing.cfg.write(fmt.Sprint("n", ing.number), ing.discovery[ing.discoveryInUse].Addr(), list,
		ing.fleet.settings(ing.number), ing.fleet.sockets, ing.fleet.seed)
}

// start launches a new process and waits until it answers PING.
func (ing *ingress) start() error {
	if err := ing.configure(); err != nil {
		return err
	}
	cmd := ing.fleet.program()
	cmd.Env = append(cmd.Env, "EDGE_CONFIG="+ing.cfg.path(), fmt.Sprint("EDGE_NOFILE=", ing.fleet.sockets))
	cmd.Stderr = &ing.log
	processRecord := &Process{Started: time.Now()}
	injector, err := faults.Start(cmd, trappedCalls)
	if err != nil {
		return fmt.Errorf("soak: ingress %d: %w", ing.number, err)
	}
	exited := make(chan error, 1)
	go func() {
		err := cmd.Wait()
		injector.Wait()
		ing.mu.Lock()
		for _, times := range injector.Counts() {
			ing.failedCalls += times
		}
		ing.mu.Unlock()
		exited <- err
	}()
	ing.mu.Lock()
	ing.command, ing.injector, ing.exited = cmd, injector, exited
	ing.processes = append(ing.processes, processRecord)
	ing.mu.Unlock()
	ing.fleet.record.mu.Lock()
	ing.fleet.record.processes[ing.number] = append(ing.fleet.record.processes[ing.number], processRecord)
	ing.fleet.record.mu.Unlock()
	for !ing.answers() {
		select {
		case err := <-exited:
			exited <- err
			return fmt.Errorf("soak: ingress %d exited before it answered PING: %w; end of its log:\n%s", ing.number, err, ing.log.tail(maxErrorLogBytes))
		case <-time.After(5 * time.Millisecond):
		}
		if time.Since(processRecord.Started) > 3*maxStartTime {
			return fmt.Errorf("soak: ingress %d does not answer PING", ing.number)
		}
	}
	ing.fleet.updateRecord(func() { processRecord.ReadyAfter = time.Since(processRecord.Started) })
	ing.mu.Lock()
	ing.accepting = true
	ing.mu.Unlock()
	return nil
}

// answers reports whether the ingress answers PING.
func (ing *ingress) answers() bool {
	c, err := net.DialTimeout("tcp", ing.cfg.listen, dialTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(dialTimeout))
	_, _ = c.Write([]byte("*1\r\n$4\r\nPING\r\n"))
	b := make([]byte, 7)
	got, err := c.Read(b)
	return err == nil && string(b[:got]) == "+PONG\r\n"
}

// avoidFor keeps clients from connecting to the ingress for a while.
func (ing *ingress) avoidFor(d time.Duration) {
	ing.mu.Lock()
	defer ing.mu.Unlock()
	ing.refusingUntil = time.Now().Add(d)
}

// processNumber returns the number of the current process, from 0.
func (ing *ingress) processNumber() int {
	ing.mu.Lock()
	defer ing.mu.Unlock()
	return len(ing.processes) - 1
}

// signal sends a signal to the current process.
func (ing *ingress) signal(s syscall.Signal) {
	ing.mu.Lock()
	defer ing.mu.Unlock()
	_ = ing.command.Process.Signal(s) // an error means that it has exited
}

// setFaults replaces the faults injected into the current process.
func (ing *ingress) setFaults(f ...faults.Fault) {
	ing.mu.Lock()
	defer ing.mu.Unlock()
	ing.injector.Set(f...)
	if len(f) > 0 {
		ing.fleet.injections.Add(1)
	}
}

// restart sends SIGTERM to the process the given number of times, sends SIGKILL if it is still running after killAfter, and
// starts another process. It does nothing while the process is already being replaced.
func (ing *ingress) restart(times int) error {
	if !ing.replacing.TryLock() {
		return nil
	}
	defer ing.replacing.Unlock()
	processRecord := ing.processes[ing.processNumber()]
	ing.fleet.updateRecord(func() { processRecord.Terminated = time.Now() })
	for range times {
		ing.signal(syscall.SIGTERM)
		time.Sleep(time.Duration(ing.fleet.draw(40)) * time.Millisecond)
	}
	kill := time.NewTimer(time.Until(processRecord.Terminated.Add(ing.fleet.killAfter())))
	defer kill.Stop()
	select {
	case err := <-ing.exited:
		ing.fleet.updateRecord(func() { processRecord.Killed, processRecord.Exited = time.Now(), err })
	case <-kill.C:
		ing.fleet.updateRecord(func() { processRecord.Killed = time.Now() })
		ing.signal(syscall.SIGKILL)
		<-ing.exited
	}
	ing.removeFromFront()
	return ing.start()
}

// kill sends SIGKILL to the process and starts another one. It does nothing while the process is already being replaced.
func (ing *ingress) kill() error {
	if !ing.replacing.TryLock() {
		return nil
	}
	defer ing.replacing.Unlock()
	processRecord := ing.processes[ing.processNumber()]
	ing.fleet.updateRecord(func() { processRecord.Killed, processRecord.KilledAtOnce = time.Now(), true })
	ing.signal(syscall.SIGKILL)
	<-ing.exited
	ing.removeFromFront()
	return ing.start()
}

// removeFromFront stops clients from connecting to the ingress.
func (ing *ingress) removeFromFront() {
	ing.mu.Lock()
	defer ing.mu.Unlock()
	ing.accepting = false
}

// stop kills the current process and closes the discovery servers. It records a process that had exited by itself.
func (ing *ingress) stop() {
	ing.mu.Lock()
	process, exited, stopped := ing.command, ing.exited, ing.stopped
	ing.stopped = true
	ing.mu.Unlock()
	if process != nil && !stopped {
		select {
		case err := <-exited:
			processRecord := ing.processes[ing.processNumber()]
			ing.fleet.updateRecord(func() { processRecord.Exited = fmt.Errorf("exited by itself: %v", err) })
		default:
			_ = process.Process.Kill()
			<-exited
		}
	}
	for _, r := range ing.discovery {
		if r != nil {
			r.Close()
		}
	}
}
