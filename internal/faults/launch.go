// Package faults is a test rig that runs one of the project's programs as a child process and makes some of its system
// calls fail. For each call of the chosen kinds the kernel notifies a supervisor in the test's process (seccomp user
// notification), which lets the call continue, makes it fail, or carries out a part of it. This needs no privileges and
// affects no other process.
//
// The program under test has to call Trap before anything else. In a process that Start has launched, Trap installs the
// seccomp filter and executes the same program again under it:
//
//	func TestMain(m *testing.M) {
//		faults.Trap()
//		...
//	}
package faults

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// trapVariable is the environment variable that lists the numbers of the calls to trap in a launched process. listenerFD is
// the descriptor of the socket over which that process sends the filter's notification descriptor to the supervisor.
const (
	trapVariable = "COMETPOND_TRAP"
	listenerFD   = 3
)

// Trap installs the filter in a process that Start has launched, and executes its program again under the filter. In any
// other process it does nothing.
func Trap() {
	list := os.Getenv(trapVariable)
	if list == "" {
		return
	}
	fmt.Fprintln(os.Stderr, "faults:", trapCalls(list)) // trapCalls returns only on an error
	os.Exit(1)
}

// trapCalls installs the filter, sends its listener to the supervisor and executes the program again. It returns only on
// an error.
func trapCalls(list string) error {
	runtime.LockOSThread() // the filter applies to this thread only, until the program is executed again
	var calls []uint32
	for text := range strings.SplitSeq(list, ",") {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return fmt.Errorf("%s: %w", trapVariable, err)
		}
		calls = append(calls, uint32(n))
	}
	listener, err := installFilter(calls)
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(listenerFD, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("send the seccomp listener to the supervisor: %w", err)
	}
	unix.Close(listener)
	unix.Close(listenerFD)
	env := []string{}
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, trapVariable+"=") {
			env = append(env, v)
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return syscall.Exec(self, os.Args, env)
}

// Offsets of fields in struct seccomp_data, in bytes.
const (
	offsetNumber = 0
	offsetArch   = 4
)

// installFilter installs a seccomp filter that notifies the supervisor of the calls with these numbers. It returns the
// descriptor of the listener on which the notifications arrive.
func installFilter(calls []uint32) (listener int, err error) {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	skipUnless := func(value uint32, skip uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jf: skip}
	}
	end := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	program := []unix.SockFilter{load(offsetArch), skipUnless(auditArchitecture, uint8(2*len(calls)+1)), load(offsetNumber)}
	for _, n := range calls {
		program = append(program, skipUnless(n, 1), end(unix.SECCOMP_RET_USER_NOTIF))
	}
	program = append(program, end(unix.SECCOMP_RET_ALLOW))
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return -1, fmt.Errorf("set no_new_privs: %w", err)
	}
	all := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	// WAIT_KILLABLE_RECV: signals don't interrupt a call that the supervisor has received. An interrupted call would be made
	// again, and a part that had already been carried out would be carried out twice.
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&all)))
	if errno != 0 {
		return -1, fmt.Errorf("install the seccomp filter: %w", errno)
	}
	return int(fd), nil
}

// Start launches a command whose program calls Trap, and returns the Injector that supervises the given calls. The faults
// apply from the start of the program until Set replaces them. The error is an UnsupportedCallError for a call that this
// architecture lacks.
func Start(cmd *exec.Cmd, calls []Call, first ...Fault) (*Injector, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	ours, theirs := pair[0], os.NewFile(uintptr(pair[1]), "listener")
	defer unix.Close(ours)
	var numbers []string
	for _, c := range calls {
		n, known := callNumbers[c]
		if !known {
			theirs.Close()
			return nil, &UnsupportedCallError{c}
		}
		numbers = append(numbers, strconv.FormatUint(uint64(n), 10))
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, trapVariable+"="+strings.Join(numbers, ","))
	cmd.ExtraFiles = []*os.File{theirs}
	err = cmd.Start()
	theirs.Close()
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	listener, err := receiveDescriptor(ours)
	if err != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return nil, fmt.Errorf("faults: %w", err)
	}
	return newInjector(listener, cmd.Process.Pid, first)
}

// receiveDescriptor receives one file descriptor over a Unix socket.
func receiveDescriptor(socket int) (fd int, err error) {
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return -1, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) == 0 {
		return -1, errors.New("the launched process sent no seccomp listener; check that its program calls faults.Trap")
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) == 0 {
		return -1, fmt.Errorf("receive the seccomp listener: %w", err)
	}
	return fds[0], nil
}
