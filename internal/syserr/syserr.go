// Package syserr classifies errors of system calls: the call may be repeated, this machine could not carry it out for
// now, or the object of the call is broken. It also retries calls.
package syserr

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Transient reports whether a call was interrupted, or failed because this machine was short of a resource that may be
// available again at any moment. The object of the call is unaffected, and the call may be repeated.
func Transient(err error) bool {
	return anyOf(err, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, unix.ENFILE, unix.EMFILE)
}

// Local reports whether a connection could not be opened for a reason on this machine. Such an error says nothing about
// the other end.
func Local(err error) bool {
	return Transient(err) || anyOf(err, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN, unix.EPERM, unix.EACCES,
		unix.ENOSPC) // from epoll_ctl: the user has reached the system's limit on watched descriptors
}

// ListenRetryable reports whether listening on an address failed for now: this machine is short of a resource, or a
// process that is exiting still uses the address.
func ListenRetryable(err error) bool { return Local(err) || anyOf(err, unix.EADDRINUSE) }

// StorageRetryable reports whether reading or writing a file failed for now, so that the same call may succeed later.
func StorageRetryable(err error) bool {
	return Transient(err) || anyOf(err, unix.EIO, unix.ENOSPC, unix.EDQUOT, unix.EROFS)
}

// anyOf reports whether the system call error in err's chain is one of errnos.
func anyOf(err error, errnos ...unix.Errno) bool {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return false
	}
	for _, candidate := range errnos {
		if errno == candidate {
			return true
		}
	}
	return false
}
