// Package syserr tells errors of system calls apart by what they say: that the call may be repeated, that this machine
// could not do it just now, or that what it was made on is broken; and makes calls again.
package syserr

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Transient tells that a call failed for want of something that this machine may have again at any moment, or was
// interrupted. What the call was made on is as good as before, and the call may be repeated.
func Transient(err error) bool {
	return anyOf(err, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, unix.ENFILE, unix.EMFILE)
}

// Local tells that a connection could not be opened for a reason on this machine's side: it says nothing of the other end.
func Local(err error) bool {
	return Transient(err) || anyOf(err, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN, unix.EPERM, unix.EACCES,
		unix.ENOSPC) // of epoll_ctl: this user watches as many descriptors as the system allows
}

// ListenRetryable tells that an address could not be listened on just now: this machine lacks something, or a process on its way out
// still holds the address.
func ListenRetryable(err error) bool { return Local(err) || anyOf(err, unix.EADDRINUSE) }

// StorageRetryable tells that a file could not be read or written just now. The same call may succeed later.
func StorageRetryable(err error) bool {
	return Transient(err) || anyOf(err, unix.EIO, unix.ENOSPC, unix.EDQUOT, unix.EROFS)
}

func anyOf(err error, list ...unix.Errno) bool {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return false
	}
	for _, e := range list {
		if errno == e {
			return true
		}
	}
	return false
}
