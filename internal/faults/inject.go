package faults

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call names a system call.
type Call string

// The calls that can be trapped.
const (
	Accept     Call = "accept4"
	Bind       Call = "bind"
	Connect    Call = "connect"
	Fcntl      Call = "fcntl" // the runtime duplicates descriptors with it
	EpollCtl   Call = "epoll_ctl"
	EpollWait  Call = "epoll_wait"
	EpollPwait Call = "epoll_pwait"
	Fsync      Call = "fsync"
	Getsockopt Call = "getsockopt"
	Open       Call = "openat"
	Read       Call = "read"
	Recvfrom   Call = "recvfrom"
	Rename     Call = "renameat"
	Setsockopt Call = "setsockopt"
	Shutdown   Call = "shutdown"
	Socket     Call = "socket"
	Write      Call = "write"
)

var callNumbers = map[Call]int{
	Accept: unix.SYS_ACCEPT4, Bind: unix.SYS_BIND, Connect: unix.SYS_CONNECT, Fcntl: unix.SYS_FCNTL, EpollCtl: unix.SYS_EPOLL_CTL,
	EpollWait: unix.SYS_EPOLL_WAIT, EpollPwait: unix.SYS_EPOLL_PWAIT, Fsync: unix.SYS_FSYNC, Getsockopt: unix.SYS_GETSOCKOPT,
	Open: unix.SYS_OPENAT, Read: unix.SYS_READ, Recvfrom: unix.SYS_RECVFROM, Rename: unix.SYS_RENAMEAT,
	Setsockopt: unix.SYS_SETSOCKOPT, Shutdown: unix.SYS_SHUTDOWN, Socket: unix.SYS_SOCKET, Write: unix.SYS_WRITE,
}

// Target is what a call's first argument refers to.
type Target string

// The targets. Files are matched by a part of their path with On.
const (
	Any     Target = ""
	Sockets Target = "socket:"
	Eventfd Target = "anon_inode:[eventfd]"
)

// Fault is a way for calls to fail.
type Fault struct {
	Call            Call
	Target          Target        // or a part of a file's path
	Errno           unix.Errno    // the call fails so, and nothing of it is carried out
	BreakConnection bool          // the connection is broken as well, as an error of the network breaks it
	MaxBytes        int           // of a read or a write on a socket: so many bytes at most are moved, in place of failing
	Burst, Pause    time.Duration // calls fail for a burst, then none does for a pause, and so on; 0: they may fail at any time
	Probability     float64       // of the calls that match, 0 to 1, that fail
	MaxCount        int           // so many times in all; 0: without a bound
	Port            int           // of either end of a socket; 0: any
}

// Injector decides on each trapped call of one process. It is safe for concurrent use.
type Injector struct {
	listener int
	pid      int
	pidfd    int
	done     chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	faults    []Fault
	setAt     time.Time // when the faults came into force
	remaining []int     // times, of each of faults
	counts    map[Call]int
}

func newInjector(listener, pid int, first []Fault) (*Injector, error) {
	in := &Injector{listener: listener, pid: pid, done: make(chan struct{}), rng: rand.New(rand.NewPCG(1, 1)), counts: map[Call]int{}}
	var err error
	if in.pidfd, err = unix.PidfdOpen(pid, 0); err != nil {
		unix.Close(listener)
		return nil, fmt.Errorf("faults: %w", err)
	}
	in.Set(first...)
	go func() {
		defer close(in.done)
		in.serve()
	}()
	return in, nil
}

// Seed begins the draws of Share anew.
func (in *Injector) Seed(seed uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.rng = rand.New(rand.NewPCG(seed, 1))
}

// Set replaces the faults; none lets all calls go on.
func (in *Injector) Set(faults ...Fault) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults, in.remaining, in.setAt = faults, make([]int, len(faults)), time.Now()
	for i, f := range faults {
		in.remaining[i] = f.MaxCount
	}
}

// Counts tells how many calls of each kind failed or were cut short so far.
func (in *Injector) Counts() map[Call]int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return maps.Clone(in.counts)
}

// Wait returns once the process is gone and nothing of the Injector runs any more.
func (in *Injector) Wait() { <-in.done }

// notification is struct seccomp_notif.
type notification struct {
	id      uint64
	pid     uint32
	flags   uint32
	number  int32
	arch    uint32
	pointer uint64
	args    [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// pollIntervalMS is the time between two looks whether the process is gone.
const pollIntervalMS = 200

func (in *Injector) serve() {
	defer unix.Close(in.listener)
	defer unix.Close(in.pidfd)
	for {
		ready := []unix.PollFd{{Fd: int32(in.listener), Events: unix.POLLIN}}
		if n, err := unix.Poll(ready, pollIntervalMS); n == 0 || err == unix.EINTR {
			continue
		} else if err != nil || ready[0].Revents&unix.POLLIN == 0 {
			return // the last process under the filter is gone
		}
		var n notification
		if in.ioctl(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)) != nil {
			continue // the call was given up meanwhile
		}
		r := in.decide(&n)
		r.id = n.id
		_ = in.ioctl(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r)) // an error means that the call was given up
	}
}

func (in *Injector) ioctl(request uintptr, data unsafe.Pointer) error {
	for {
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(in.listener), request, uintptr(data))
		switch errno {
		case 0:
			return nil
		case unix.EINTR:
		default:
			return errno
		}
	}
}

// decide says what becomes of a call.
func (in *Injector) decide(n *notification) response {
	goOn := response{flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	f, fd := in.pick(n)
	if f == nil {
		return goOn
	}
	if f.MaxBytes > 0 {
		r, moved := in.transferPart(n, fd, f.MaxBytes)
		if !moved {
			return goOn
		}
		in.count(f.Call)
		return r
	}
	if f.BreakConnection {
		in.breakConnection(fd)
	}
	if f.Call == Connect && f.Errno == unix.EINTR {
		in.startConnect(n, fd)
	}
	in.count(f.Call)
	return response{errno: -int32(f.Errno)}
}

func (in *Injector) count(c Call) {
	in.mu.Lock()
	in.counts[c]++
	in.mu.Unlock()
}

// pick draws the fault that a call meets, nil for none, and tells the call's descriptor.
func (in *Injector) pick(n *notification) (*Fault, int) {
	fd := int(int32(n.args[0]))
	if n.number == unix.SYS_EPOLL_CTL {
		fd = int(int32(n.args[2])) // the descriptor that is added, changed or taken out
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for i := range in.faults {
		f := &in.faults[i]
		if int(n.number) != callNumbers[f.Call] || f.MaxCount > 0 && in.remaining[i] == 0 || in.rng.Float64() >= f.Probability {
			continue
		}
		if whole := f.Burst + f.Pause; f.Burst > 0 && time.Since(in.setAt)%whole >= f.Burst {
			continue
		}
		if f.Target != Any && !strings.Contains(in.target(n, fd), string(f.Target)) || f.Port != 0 && !in.hasPort(fd, f.Port) {
			continue
		}
		if n.number == unix.SYS_FCNTL && n.args[1] != unix.F_DUPFD_CLOEXEC && n.args[1] != unix.F_DUPFD {
			continue
		}
		in.remaining[i]--
		return f, fd
	}
	return nil, fd
}

// target is what a call refers to: the path of openat and renameat, and of others that of their descriptor.
func (in *Injector) target(n *notification, fd int) string {
	if n.number == unix.SYS_OPENAT || n.number == unix.SYS_RENAMEAT {
		return in.readString(n.args[1])
	}
	path, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", in.pid, fd))
	if err != nil {
		return ""
	}
	return path
}

// hasPort tells whether one end of a socket has the port.
func (in *Injector) hasPort(fd, port int) bool {
	own, err := unix.PidfdGetfd(in.pidfd, fd, 0)
	if err != nil {
		return false
	}
	defer unix.Close(own)
	for _, name := range []func(int) (unix.Sockaddr, error){unix.Getsockname, unix.Getpeername} {
		if at, err := name(own); err == nil {
			if four, is := at.(*unix.SockaddrInet4); is && four.Port == port {
				return true
			}
		}
	}
	return false
}

// maxPathBytes bounds a path that is read from the process, bytes.
const maxPathBytes = 512

// readString reads a string of the process.
func (in *Injector) readString(address uint64) string {
	b := make([]byte, maxPathBytes)
	n, err := in.readMemory(address, b)
	if err != nil {
		return ""
	}
	text, _, _ := strings.Cut(string(b[:n]), "\x00")
	return text
}

func (in *Injector) readMemory(address uint64, b []byte) (int, error) {
	local := []unix.Iovec{{Base: &b[0], Len: uint64(len(b))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(b)}}
	return unix.ProcessVMReadv(in.pid, local, remote, 0)
}

// transferPart carries out a read or a write on a socket for so many bytes at most; false if the call is of another kind, or moves
// no more than that by itself.
func (in *Injector) transferPart(n *notification, fd, most int) (r response, moved bool) {
	size := int(n.args[2])
	if size <= most || n.number != unix.SYS_READ && n.number != unix.SYS_WRITE {
		return r, false
	}
	own, err := unix.PidfdGetfd(in.pidfd, fd, 0)
	if err != nil {
		return r, false
	}
	defer unix.Close(own)
	b := make([]byte, most)
	if n.number == unix.SYS_WRITE {
		if _, err := in.readMemory(n.args[1], b); err != nil {
			return r, false
		}
		sent, err := unix.SendmsgN(own, b, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		return toResponse(sent, err), true
	}
	got, _, err := unix.Recvfrom(own, b, unix.MSG_DONTWAIT)
	if err != nil || got <= 0 {
		return toResponse(got, err), true
	}
	local := []unix.Iovec{{Base: &b[0], Len: uint64(got)}}
	remote := []unix.RemoteIovec{{Base: uintptr(n.args[1]), Len: got}}
	if _, err := unix.ProcessVMWritev(in.pid, local, remote, 0); err != nil {
		return response{errno: -int32(unix.EFAULT)}, true
	}
	return toResponse(got, nil), true
}

func toResponse(n int, err error) response {
	if errno, is := err.(unix.Errno); is {
		return response{errno: -int32(errno)}
	}
	return response{value: int64(n)}
}

// startConnect begins what the process asked for: an interrupted connect goes on by itself.
func (in *Injector) startConnect(n *notification, fd int) {
	own, err := unix.PidfdGetfd(in.pidfd, fd, 0)
	if err != nil {
		return
	}
	defer unix.Close(own)
	name := make([]byte, n.args[2])
	if _, err := in.readMemory(n.args[1], name); err == nil {
		_, _, _ = unix.Syscall(unix.SYS_CONNECT, uintptr(own), uintptr(unsafe.Pointer(&name[0])), uintptr(len(name)))
	}
}

// breakConnection ends a connection of the process in both directions.
func (in *Injector) breakConnection(fd int) {
	own, err := unix.PidfdGetfd(in.pidfd, fd, 0)
	if err != nil {
		return
	}
	defer unix.Close(own)
	_ = unix.Shutdown(own, unix.SHUT_RDWR) // an error means that there is no connection
}
