package rpc

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// failingListener returns each of the errors from Accept before it accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (failing *failingListener) Accept() (net.Conn, error) {
	if len(failing.errs) > 0 {
		err := failing.errs[0]
		failing.errs = failing.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return failing.Listener.Accept()
}

// An error of Accept, for example for lack of file descriptors, must not end the server: the connections that come
// later are accepted.
func TestAcceptErrorDoesNotEndServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var rejected atomic.Uint64
	failing := &failingListener{listener, []error{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.ENETDOWN, unix.ECONNABORTED, unix.EPERM}}
	limited := &limitedListener{Listener: failing, maxOpen: 10, rejected: &rejected, log: zerolog.Nop()}
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := limited.Accept()
	if err != nil {
		t.Fatalf("%v, want the connection that comes after the errors", err)
	}
	conn.Close()
	listener.Close()
	if _, err := limited.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v once the listener is closed", err)
	}
}
