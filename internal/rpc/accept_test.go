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

// failingListener fails with each of the errors before it goes on.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return f.Listener.Accept()
}

func TestFailingAcceptDoesNotEndTheFront(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var cut atomic.Uint64
	f := &failingListener{ln, []error{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.ENETDOWN, unix.ECONNABORTED, unix.EPERM}}
	b := &bounded{Listener: f, most: 10, cut: &cut, log: zerolog.Nop()}
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := b.Accept()
	if err != nil {
		t.Fatalf("%v, want the connection that comes after the errors", err)
	}
	c.Close()
	ln.Close()
	if _, err := b.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v once the listener is closed", err)
	}
}
