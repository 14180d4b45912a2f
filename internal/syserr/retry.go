package syserr

import (
	"context"
	"time"
)

// Pauses between two tries of a call.
const (
	firstPause = time.Millisecond
	mostPause  = 50 * time.Millisecond
)

// Backoff is the pause before a call that failed is made again: it doubles from 1 to 50 ms. The zero value is ready.
type Backoff struct{ next time.Duration }

// Next returns the pause before the next try.
func (b *Backoff) Next() time.Duration {
	pause := max(b.next, firstPause)
	b.next = min(2*pause, mostPause)
	return pause
}

// Reset takes the news that a call succeeded.
func (b *Backoff) Reset() { b.next = 0 }

// Retry calls f until it succeeds, until it fails in a way that again says no to, or until ctx is over; then it returns
// f's last error, or that of ctx if f was never called.
func Retry(ctx context.Context, again func(error) bool, f func() error) error {
	var pause Backoff
	var err error
	for ctx.Err() == nil {
		if err = f(); err == nil || !again(err) {
			return err
		}
		wait := time.NewTimer(pause.Next())
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return err
}
