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

// Retry calls f until it succeeds, until it fails in a way that again says no to, or until ctx is over; then it returns
// f's last error, or that of ctx if f was never called. The pauses grow from 1 to 50 ms.
func Retry(ctx context.Context, again func(error) bool, f func() error) error {
	pause := firstPause
	var err error
	for ctx.Err() == nil {
		if err = f(); err == nil || !again(err) {
			return err
		}
		wait := time.NewTimer(pause)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
		}
		pause = min(2*pause, mostPause)
	}
	if err == nil {
		err = ctx.Err()
	}
	return err
}
