package faults

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"
)

// callVariable names the system call that this program makes once when a test starts it as a child process.
const callVariable = "FAULTS_CHILD_CALL"

// injected is an error that no call of the child returns by itself.
const injected = unix.EXDEV

func TestMain(m *testing.M) {
	Trap()
	if call := os.Getenv(callVariable); call != "" {
		makeCall(Call(call))
		return
	}
	os.Exit(m.Run())
}

// targetFile is the file that the child's call acts on: its standard input, or the path of the calls that take one.
const targetFile = os.DevNull

// makeCall makes a system call on targetFile, and exits with the number of its error.
func makeCall(call Call) {
	path, err := unix.BytePtrFromString(targetFile)
	if err != nil {
		panic(err)
	}
	number, fd := uintptr(callNumbers[call]), os.Stdin.Fd()
	var errno unix.Errno
	switch call {
	case Open, Rename:
		_, _, errno = unix.Syscall(number, fd, uintptr(unsafe.Pointer(path)), 0)
	case Fcntl:
		_, _, errno = unix.Syscall(number, fd, unix.F_DUPFD_CLOEXEC, 0)
	default:
		_, _, errno = unix.Syscall(number, fd, 0, 0)
	}
	os.Exit(int(errno))
}

// startCall starts a child process that makes one call, which is trapped under these faults.
func startCall(t *testing.T, call Call, list ...Fault) (*Injector, *exec.Cmd) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), callVariable+"="+string(call))
	cmd.Stderr = os.Stderr
	injector, err := Start(cmd, []Call{call}, list...)
	if err != nil {
		t.Fatal(err)
	}
	return injector, cmd
}

// exitCode waits for the child process and returns its exit code.
func exitCode(t *testing.T, injector *Injector, cmd *exec.Cmd) int {
	t.Helper()
	err := cmd.Wait()
	injector.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode()
}

// Guards against a filter or a table of calls that doesn't fit the architecture: no call would ever be trapped there.
func TestEveryCallOfTheArchitectureIsTrapped(t *testing.T) {
	for call := range callNumbers {
		t.Run(string(call), func(t *testing.T) {
			t.Parallel()
			injector, cmd := startCall(t, call, Fault{Call: call, Target: targetFile, Errno: injected, Probability: 1})
			if code := exitCode(t, injector, cmd); code != int(injected) || injector.Counts()[call] == 0 {
				t.Errorf("the call returned error %d and failed %d times, want error %d", code, injector.Counts()[call], int(injected))
			}
		})
	}
}

// A trapped call that no fault applies to is carried out.
func TestCallWithoutFaultIsCarriedOut(t *testing.T) {
	injector, cmd := startCall(t, Bind, Fault{Call: Bind, Target: targetFile, Errno: injected})
	if code := exitCode(t, injector, cmd); code != int(unix.ENOTSOCK) || injector.Counts()[Bind] != 0 {
		t.Errorf("the call returned error %d and failed %d times, want error %d", code, injector.Counts()[Bind], int(unix.ENOTSOCK))
	}
}

// A call that the architecture lacks is refused at the start, so that no test passes without its fault.
func TestUnsupportedCallIsAnError(t *testing.T) {
	const unknown Call = "no_such_call"
	if Supported(unknown) || !Supported(EpollPwait) {
		t.Errorf("%s supported: %v, %s: %v", unknown, Supported(unknown), EpollPwait, Supported(EpollPwait))
	}
	var unsupported *UnsupportedCallError
	if _, err := Start(exec.Command(os.Args[0]), []Call{unknown}); !errors.As(err, &unsupported) || unsupported.Call != unknown {
		t.Errorf("%v, want an UnsupportedCallError for %s", err, strconv.Quote(fmt.Sprint(unknown)))
	}
}
