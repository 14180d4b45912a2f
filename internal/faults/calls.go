package faults

import (
	"fmt"
	"runtime"

	"golang.org/x/sys/unix"
)

// Call is the name of a system call.
type Call string

// The system calls that Start can trap. Not every architecture has all of them; see Supported.
const (
	Accept     Call = "accept4"
	Bind       Call = "bind"
	Connect    Call = "connect"
	Fcntl      Call = "fcntl" // the Go runtime duplicates descriptors with F_DUPFD_CLOEXEC
	EpollCtl   Call = "epoll_ctl"
	EpollWait  Call = "epoll_wait" // architectures newer than x86-64 have epoll_pwait alone
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

// callNumbers maps each call that this architecture has to its number. The calls that only some architectures have are
// added by the file of the architecture.
var callNumbers = withArchitectureCalls(map[Call]uint32{
	Accept: unix.SYS_ACCEPT4, Bind: unix.SYS_BIND, Connect: unix.SYS_CONNECT, Fcntl: unix.SYS_FCNTL, EpollCtl: unix.SYS_EPOLL_CTL,
	EpollPwait: unix.SYS_EPOLL_PWAIT, Fsync: unix.SYS_FSYNC, Getsockopt: unix.SYS_GETSOCKOPT, Open: unix.SYS_OPENAT,
	Read: unix.SYS_READ, Recvfrom: unix.SYS_RECVFROM, Rename: unix.SYS_RENAMEAT, Setsockopt: unix.SYS_SETSOCKOPT,
	Shutdown: unix.SYS_SHUTDOWN, Socket: unix.SYS_SOCKET, Write: unix.SYS_WRITE,
})

// Supported reports whether this architecture has the call. No program makes a call that its architecture lacks.
func Supported(call Call) bool {
	_, has := callNumbers[call]
	return has
}

// UnsupportedCallError is the error of Start for a call that this architecture lacks, or that has no name in this package.
type UnsupportedCallError struct{ Call Call }

func (e *UnsupportedCallError) Error() string {
	return fmt.Sprintf("faults: %s has no system call %q that can be trapped", runtime.GOARCH, string(e.Call))
}
