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

// ingress is one ingress of the fleet, process after process.
type ingress struct {
	fleet  *fleet
	number int
	cfg    *configuration
	roster [2]*standin.PlatformDiscovery // discovery on its machine, and where a new configuration moves it
	asked  int                           // which of the two

	ending sync.Mutex // held while a process is being replaced

	mu       sync.Mutex
	process  *exec.Cmd
	injector *faults.Injector
	lives    []*Life
	inFront  bool      // clients are sent to it
	outUntil time.Time // it refused a connection
	exited   chan error
	log      logBuffer
	failed   int // calls that were made to fail, of processes that have ended
	stopped  bool
}

// logBuffer keeps the end of what processes write to their logs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

const logMost = 1 << 20

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() > logMost {
		l.text.Next(l.text.Len() / 2)
	}
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// trapped are the calls that may be made to fail.
var trapped = []faults.Call{faults.Accept, faults.Connect, faults.EpollCtl, faults.EpollPwait, faults.Read, faults.Setsockopt,
	faults.Socket, faults.Write}

// configure writes the configuration.
func (n *ingress) configure() error {
	list := n.roster[n.asked].List()
	return n.cfg.write(fmt.Sprint("n", n.number), n.roster[n.asked].Addr(), list, n.fleet.settings(n.number), n.fleet.sockets, n.fleet.seed)
}

// start begins a new process and waits until it answers.
func (n *ingress) start() error {
	if err := n.configure(); err != nil {
		return err
	}
	cmd := n.fleet.program()
	cmd.Env = append(cmd.Env, "EDGE_CONFIG="+n.cfg.path(), fmt.Sprint("EDGE_NOFILE=", n.fleet.sockets))
	cmd.Stderr = &n.log
	life := &Life{Started: time.Now()}
	injector, err := faults.Start(cmd, trapped)
	if err != nil {
		return fmt.Errorf("soak: ingress %d: %w", n.number, err)
	}
	exited := make(chan error, 1)
	go func() {
		err := cmd.Wait()
		injector.Wait()
		n.mu.Lock()
		for _, times := range injector.Counts() {
			n.failed += times
		}
		n.mu.Unlock()
		exited <- err
	}()
	n.mu.Lock()
	n.process, n.injector, n.exited = cmd, injector, exited
	n.lives = append(n.lives, life)
	n.mu.Unlock()
	n.fleet.record.mu.Lock()
	n.fleet.record.lives[n.number] = append(n.fleet.record.lives[n.number], life)
	n.fleet.record.mu.Unlock()
	for !n.answers() {
		select {
		case err := <-exited:
			exited <- err
			return fmt.Errorf("soak: ingress %d ended before it answered: %w", n.number, err)
		case <-time.After(5 * time.Millisecond):
		}
		if time.Since(life.Started) > 3*readyMost {
			return fmt.Errorf("soak: ingress %d does not answer", n.number)
		}
	}
	n.fleet.mark(func() { life.ReadyAfter = time.Since(life.Started) })
	n.mu.Lock()
	n.inFront = true
	n.mu.Unlock()
	return nil
}

// answers tells whether PING has its answer.
func (n *ingress) answers() bool {
	c, err := net.DialTimeout("tcp", n.cfg.listen, dialTimeout)
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

func (n *ingress) leaveAlone(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outUntil = time.Now().Add(d)
}

// life returns the number of the process that is running, from 0.
func (n *ingress) life() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.lives) - 1
}

func (n *ingress) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s) // an error means that it has ended
}

func (n *ingress) set(f ...faults.Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.injector.Set(f...)
}

// restart tells the process to end, so many times in a row, kills it at the earliest moment, and starts another one. It does
// nothing where the process is being replaced.
func (n *ingress) restart(times int) error {
	if !n.ending.TryLock() {
		return nil
	}
	defer n.ending.Unlock()
	life := n.lives[n.life()]
	n.fleet.mark(func() { life.Terminated = time.Now() })
	for range times {
		n.signal(syscall.SIGTERM)
		time.Sleep(time.Duration(n.fleet.draw(40)) * time.Millisecond)
	}
	kill := time.NewTimer(time.Until(life.Terminated.Add(n.fleet.killAfter())))
	defer kill.Stop()
	select {
	case err := <-n.exited:
		n.fleet.mark(func() { life.Killed, life.Exited = time.Now(), err })
	case <-kill.C:
		n.fleet.mark(func() { life.Killed = time.Now() })
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	n.out()
	return n.start()
}

// kill ends the process at once and starts another one. It does nothing where the process is being replaced.
func (n *ingress) kill() error {
	if !n.ending.TryLock() {
		return nil
	}
	defer n.ending.Unlock()
	life := n.lives[n.life()]
	n.fleet.mark(func() { life.Killed, life.KilledAtOnce = time.Now(), true })
	n.signal(syscall.SIGKILL)
	<-n.exited
	n.out()
	return n.start()
}

// out takes the ingress from the front.
func (n *ingress) out() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFront = false
}

// stop ends it for good, at once.
func (n *ingress) stop() {
	n.mu.Lock()
	process, exited, stopped := n.process, n.exited, n.stopped
	n.stopped = true
	n.mu.Unlock()
	if process != nil && !stopped {
		select {
		case err := <-exited:
			life := n.lives[n.life()]
			n.fleet.mark(func() { life.Exited = fmt.Errorf("ended by itself: %v", err) })
		default:
			_ = process.Process.Kill()
			<-exited
		}
	}
	for _, r := range n.roster {
		if r != nil {
			r.Close()
		}
	}
}
