package discovery

import (
	"context"
	"sync"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"github.com/rs/zerolog"
)

// keepAgain is the time between two tries to write a list that could not be written.
const keepAgain = 200 * time.Millisecond

// keeper writes the newest list to a file, and tries again until that has succeeded.
type keeper struct {
	file *File
	log  zerolog.Logger

	mu        sync.Mutex // covers the file as well
	unwritten *listToKeep
}

type listToKeep struct {
	version    string
	at         time.Time
	assignment *endpointv3.ClusterLoadAssignment
}

// keep takes the newest list and writes it, now or later.
func (k *keeper) keep(version string, a *endpointv3.ClusterLoadAssignment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unwritten = &listToKeep{version, time.Now(), a}
	if err := k.write(); err != nil {
		k.log.Warn().Err(err).Msg("list not kept on disk, trying again")
	}
}

// write writes what is not written. The lock is held.
func (k *keeper) write() error {
	if k.unwritten == nil {
		return nil
	}
	if err := k.file.Store(k.unwritten.version, k.unwritten.at, k.unwritten.assignment); err != nil {
		return err
	}
	k.unwritten = nil
	return nil
}

// run tries again until ctx is over, and once more then.
func (k *keeper) run(ctx context.Context) {
	tick := time.NewTicker(keepAgain)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		k.mu.Lock()
		_ = k.write() // said already
		k.mu.Unlock()
	}
}
