package backend

import (
	"context"

	"cometpond/internal/syserr"
	"cometpond/policy"
)

// dial opens a connection in its own goroutine, which Pool.Stop waits for. The caller holds the server's lock.
func (srv *server) dial(forProbes bool) {
	pool := srv.pool
	pool.dials.Add(1)
	pool.background.Add(1)
	addr := srv.addr
	go func() {
		defer pool.background.Done()
		ctx, cancel := context.WithTimeout(pool.ctx, pool.opt.ConnectTimeout)
		defer cancel()
		conn := &connection{server: srv, forProbes: forProbes, addr: addr}
		if err := syserr.Retry(ctx, syserr.Local, func() error { return pool.connect(ctx, conn) }); err != nil {
			pool.dialsFailed.Add(1)
			pool.sampledLog.Warn().Str("box", srv.name).Str("addr", addr).Bool("probe", forProbes).Err(err).
				Msg("opening a connection to a server failed")
			srv.dialFailed(forProbes, err)
		}
	}()
}

// connect opens a connection and has an event loop serve it.
func (pool *Pool) connect(ctx context.Context, conn *connection) error {
	netConn, err := pool.opt.DialContext(ctx, "tcp", conn.addr)
	if err != nil {
		return err
	}
	return pool.loops.Enroll(netConn, conn)
}

// dialFailed ends the attempts, or the probe, that waited for a connection. An error on this machine's side says nothing
// about the server: attempts then end as policy.NotSent.
func (srv *server) dialFailed(forProbes bool, err error) {
	status := policy.ConnectFailed
	if syserr.Local(err) {
		status = policy.NotSent
	}
	if forProbes {
		srv.endProbe(status, nil)
		return
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.conns.DialFailed(srv.pool.now(), status)
}
