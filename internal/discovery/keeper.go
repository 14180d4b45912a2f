package discovery

import (
	"context"
	"sync"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"github.com/rs/zerolog"
)

// storeRetryInterval is the time between two attempts to write a list that could not be written.
const storeRetryInterval = 200 * time.Millisecond

// listStore writes the newest list to a file and retries until that succeeds.
type listStore struct {
	file *File
	log  zerolog.Logger

	mu      sync.Mutex // guards the file too
	pending *pendingList
}

// pendingList is a list that has not been written yet.
type pendingList struct {
	version    string
	at         time.Time
	assignment *endpointv3.ClusterLoadAssignment
}

// save writes a list that replaces all earlier ones, at once or, when that fails, with the next retry.
func (store *listStore) save(version string, assignment *endpointv3.ClusterLoadAssignment) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.pending = &pendingList{version, time.Now(), assignment}
	if err := store.writePending(); err != nil {
		store.log.Warn().Err(err).Msg("could not store the list on disk; will retry")
	}
}

// writePending writes the pending list, if there is one. The caller holds the lock.
func (store *listStore) writePending() error {
	if store.pending == nil {
		return nil
	}
	if err := store.file.Store(store.pending.version, store.pending.at, store.pending.assignment); err != nil {
		return err
	}
	store.pending = nil
	return nil
}

// retryPending retries the pending list until ctx is done, and then once more.
func (store *listStore) retryPending(ctx context.Context) {
	tick := time.NewTicker(storeRetryInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		store.mu.Lock()
		_ = store.writePending() // save has logged the first failure
		store.mu.Unlock()
	}
}
