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

// Target selects calls by the object they act on. It is a part of the object's path, or of the link in /proc/PID/fd.
type Target string

// The predefined targets. A file is selected by a part of its path.
const (
	Any     Target = ""
	Sockets Target = "socket:"
	Eventfd Target = "anon_inode:[eventfd]"
)

// Fault describes which calls fail, how and how often.
type Fault struct {
	Call            Call
	Target          Target        // a predefined target, or a part of a file's path
	Errno           unix.Errno    // returned by the call, which is not carried out
	BreakConnection bool          // also shuts the connection down, as a network error would
	MaxBytes        int           // if above 0, a read or write on a socket transfers at most so many bytes instead of failing
	Burst, Pause    time.Duration // calls fail only during bursts, which pauses separate; Burst 0: at any time
	Probability     float64       // that a matching call fails, 0 to 1
	MaxCount        int           // the fault occurs at most so many times; 0: no limit
	Port            int           // local or remote port of the socket; 0: any
}

// Injector decides for each trapped call of one process whether it fails. It is safe for concurrent use.
type Injector struct {
	listener int
	pid      int
	pidfd    int
	done     chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	faults    []Fault
	setAt     time.Time // when the faults took effect
	remaining []int     // occurrences left of each fault that has a MaxCount
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

// Seed restarts the random draws for Probability from a seed.
func (in *Injector) Seed(seed uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.rng = rand.New(rand.NewPCG(seed, 1))
}

// Set replaces the faults. Without arguments, all calls continue normally.
func (in *Injector) Set(faults ...Fault) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults, in.remaining, in.setAt = faults, make([]int, len(faults)), time.Now()
	for i, f := range faults {
		in.remaining[i] = f.MaxCount
	}
}

// Counts returns how many calls of each kind have failed or were cut short so far.
func (in *Injector) Counts() map[Call]int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return maps.Clone(in.counts)
}

// Wait blocks until the process has exited and the Injector's goroutine has ended.
func (in *Injector) Wait() { <-in.done }

// notification has the layout of struct seccomp_notif.
type notification struct {
	id      uint64
	pid     uint32
	flags   uint32
	number  int32
	arch    uint32
	pointer uint64
	args    [6]uint64
}

// response has the layout of struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// pollIntervalMS is the interval of the checks whether the process has exited.
const pollIntervalMS = 200

// serve answers the kernel's notifications until the process exits.
func (in *Injector) serve() {
	defer unix.Close(in.listener)
	defer unix.Close(in.pidfd)
	for {
		ready := []unix.PollFd{{Fd: int32(in.listener), Events: unix.POLLIN}}
		if n, err := unix.Poll(ready, pollIntervalMS); n == 0 || err == unix.EINTR {
			continue
		} else if err != nil || ready[0].Revents&unix.POLLIN == 0 {
			return // the last process under the filter has exited
		}
		var n notification
		if in.ioctl(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)) != nil {
			continue // the call was interrupted meanwhile
		}
		r := in.decide(&n)
		r.id = n.id
		_ = in.ioctl(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r)) // an error means that the call was interrupted
	}
}

// ioctl runs a request on the listener, and repeats it when a signal interrupts it.
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

// decide returns the response for one trapped call.
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

// count records one injected failure of a call.
func (in *Injector) count(c Call) {
	in.mu.Lock()
	in.counts[c]++
	in.mu.Unlock()
}

// pick returns the first fault that applies to a call, nil for none, and the call's descriptor.
func (in *Injector) pick(n *notification) (*Fault, int) {
	fd := int(int32(n.args[0]))
	if n.number == unix.SYS_EPOLL_CTL {
		fd = int(int32(n.args[2])) // the descriptor that is added, modified or removed
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	for i := range in.faults {
		f := &in.faults[i]
		if callNumbers[f.Call] != uint32(n.number) || f.MaxCount > 0 && in.remaining[i] == 0 || in.rng.Float64() >= f.Probability {
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

// target returns what a call acts on: the path given to openat or renameat, and the link of the descriptor for other calls.
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

// hasPort reports whether either end of a socket has the port.
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

// maxPathBytes limits the length of a path that is read from the process.
const maxPathBytes = 512

// readString reads a null-terminated string from the memory of the process; "" on an error.
func (in *Injector) readString(address uint64) string {
	b := make([]byte, maxPathBytes)
	n, err := in.readMemory(address, b)
	if err != nil {
		return ""
	}
	text, _, _ := strings.Cut(string(b[:n]), "\x00")
	return text
}

// readMemory copies from the memory of the process.
func (in *Injector) readMemory(address uint64, b []byte) (int, error) {
	local := []unix.Iovec{{Base: &b[0], Len: uint64(len(b))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(b)}}
	return unix.ProcessVMReadv(in.pid, local, remote, 0)
}

// transferPart carries out a read or write on a socket for at most so many bytes. It returns false for other calls, and for
// calls that ask for no more bytes than that.
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

// toResponse converts the result of a call made for the process.
func toResponse(n int, err error) response {
	if errno, is := err.(unix.Errno); is {
		return response{errno: -int32(errno)}
	}
	return response{value: int64(n)}
}

// startConnect starts the connection that the process asked for: an interrupted connect continues in the background.
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

// breakConnection shuts down a connection of the process in both directions.
func (in *Injector) breakConnection(fd int) {
	own, err := unix.PidfdGetfd(in.pidfd, fd, 0)
	if err != nil {
		return
	}
	defer unix.Close(own)
	_ = unix.Shutdown(own, unix.SHUT_RDWR) // an error means that there is no connection
}
