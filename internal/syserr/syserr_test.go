package syserr

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestKinds(t *testing.T) {
	for _, c := range []struct {
		err                       error
		transient, local, storage bool
	}{
		{nil, false, false, false},
		{io.EOF, false, false, false},
		{unix.EINTR, true, true, true},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", unix.ENFILE)}, true, true, true},
		{fmt.Errorf("kept: %w", &os.PathError{Op: "write", Path: "x", Err: unix.ENOSPC}), false, true, true},
		{unix.EIO, false, false, true},
		{os.NewSyscallError("connect", unix.EADDRNOTAVAIL), false, true, false},
		{unix.ENETUNREACH, false, true, false},
		{unix.ECONNREFUSED, false, false, false}, // the other end's word
		{unix.ETIMEDOUT, false, false, false},
		{unix.EHOSTUNREACH, false, false, false},
		{unix.ECONNRESET, false, false, false},
		{unix.ENOENT, false, false, false},
	} {
		if Transient(c.err) != c.transient || Local(c.err) != c.local || StorageRetryable(c.err) != c.storage {
			t.Errorf("%v: %v %v %v, want %v %v %v", c.err, Transient(c.err), Local(c.err), StorageRetryable(c.err), c.transient, c.local, c.storage)
		}
	}
}

func TestRetry(t *testing.T) {
	n := 0
	err := Retry(context.Background(), Transient, func() error {
		if n++; n < 4 {
			return unix.EINTR
		}
		return nil
	})
	if err != nil || n != 4 {
		t.Errorf("%v after %d calls", err, n)
	}
	if err := Retry(context.Background(), Transient, func() error { return io.EOF }); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want what no further try would mend at once", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := Retry(ctx, Transient, func() error { return unix.ENFILE }); !errors.Is(err, unix.ENFILE) {
		t.Errorf("%v, want the last error", err)
	}
	if err := Retry(ctx, Transient, func() error { t.Error("called"); return nil }); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v, want the context's", err)
	}
}

func TestBackoff(t *testing.T) {
	var b Backoff
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 50, 50} {
		if got := b.Next(); got != want*time.Millisecond {
			t.Errorf("%v, want %d ms", got, want)
		}
	}
	if b.Reset(); b.Next() != firstPause {
		t.Error("it does not begin anew")
	}
}
