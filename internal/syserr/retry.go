package syserr

import (
	"context"
	"time"
)

// Bounds of the pause between two attempts at a call.
const (
	minPause = time.Millisecond
	maxPause = 50 * time.Millisecond
)

// Backoff is the pause before a failed call is retried: it doubles from 1 to 50 ms. The zero value is ready to use.
type Backoff struct{ next time.Duration }

// Next returns the pause before the next retry.
func (backoff *Backoff) Next() time.Duration {
	pause := max(backoff.next, minPause)
	backoff.next = min(2*pause, maxPause)
	return pause
}

// Reset returns to the shortest pause, after a call has succeeded.
func (backoff *Backoff) Reset() { backoff.next = 0 }

// Retry calls f until it succeeds, until it fails with an error that retryable rejects, or until ctx is done. It then
// returns the last error of f, or that of ctx if f was never called.
func Retry(ctx context.Context, retryable func(error) bool, f func() error) error {
	var backoff Backoff
	var err error
	for ctx.Err() == nil {
		if err = f(); err == nil || !retryable(err) {
			return err
		}
		timer := time.NewTimer(backoff.Next())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return err
}
