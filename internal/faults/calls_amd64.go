package faults

import "golang.org/x/sys/unix"

// auditArchitecture is the value of the field arch of struct seccomp_data for system calls of this architecture.
const auditArchitecture = unix.AUDIT_ARCH_X86_64

// withArchitectureCalls adds the calls that not every architecture has.
func withArchitectureCalls(numbers map[Call]uint32) map[Call]uint32 {
	numbers[EpollWait] = unix.SYS_EPOLL_WAIT
	return numbers
}
