package backend

import (
	"sync"

	"cometpond/internal/connpool"
)

// server is the state of one server. Its lock protects addr and the fields below mu.
type server struct {
	pool *Pool
	name string
	addr string // where new connections are opened

	mu        sync.Mutex
	conns     *connpool.Pool
	probeConn *connection // only for probes, so that no attempt delays them
	probing   *probe      // the probe in flight
}

// retire drains a server that is no longer listed and closes its connections as they become idle.
func (srv *server) retire() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.conns.Retire()
	if srv.probeConn != nil {
		srv.probeConn.socket.Close()
	}
}

// ConnectionStats describes the connections to one server.
type ConnectionStats struct {
	Connections, Idle int // open connections, and those of them that await no reply
	InFlight          int // attempts that have not ended, including those that wait for a connection
	Cancelled         int // cancelled attempts whose connection is still open
}

// ConnectionStats returns the state of the connections to each server, by the name of the server.
func (pool *Pool) ConnectionStats() map[string]ConnectionStats {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	stats := make(map[string]ConnectionStats, len(pool.servers))
	for name, srv := range pool.servers {
		srv.mu.Lock()
		open, idle, cancelled := srv.conns.Stats()
		stats[name] = ConnectionStats{open, idle, srv.conns.InFlight(), cancelled}
		srv.mu.Unlock()
	}
	return stats
}
