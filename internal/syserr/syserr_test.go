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

func TestClassification(t *testing.T) {
	for _, test := range []struct {
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
		{unix.ECONNREFUSED, false, false, false}, // sent by the other end
		{unix.ETIMEDOUT, false, false, false},
		{unix.EHOSTUNREACH, false, false, false},
		{unix.ECONNRESET, false, false, false},
		{unix.ENOENT, false, false, false},
	} {
		if Transient(test.err) != test.transient || Local(test.err) != test.local || StorageRetryable(test.err) != test.storage {
			t.Errorf("%v: %v %v %v, want %v %v %v", test.err, Transient(test.err), Local(test.err), StorageRetryable(test.err),
				test.transient, test.local, test.storage)
		}
	}
}

func TestRetry(t *testing.T) {
	calls := 0
	err := Retry(context.Background(), Transient, func() error {
		if calls++; calls < 4 {
			return unix.EINTR
		}
		return nil
	})
	if err != nil || calls != 4 {
		t.Errorf("%v after %d calls", err, calls)
	}
	if err := Retry(context.Background(), Transient, func() error { return io.EOF }); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want an error that is not retryable to be returned at once", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := Retry(ctx, Transient, func() error { return unix.ENFILE }); !errors.Is(err, unix.ENFILE) {
		t.Errorf("%v, want the last error", err)
	}
	if err := Retry(ctx, Transient, func() error { t.Error("called"); return nil }); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v, want the error of the context", err)
	}
}

func TestBackoff(t *testing.T) {
	var backoff Backoff
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 50, 50} {
		if got := backoff.Next(); got != want*time.Millisecond {
			t.Errorf("%v, want %d ms", got, want)
		}
	}
	if backoff.Reset(); backoff.Next() != minPause {
		t.Error("want the shortest pause after Reset")
	}
}
