package backend

import (
	"time"

	"cometpond/policy"
)

// probe is a request for a load report that is in flight.
type probe struct {
	startedAt time.Time
	timeout   *time.Timer
}

// Probe asks a server for a load report, on a connection that is only used for probes.
func (pool *Pool) Probe(name string) {
	srv := pool.server(name)
	if srv == nil {
		pool.core.QueueProbeResult(policy.ProbeResult{Server: name, Status: policy.ConnectFailed})
		return
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.probing != nil {
		return // at most one probe is in flight; its result will be reported
	}
	started := &probe{startedAt: time.Now()}
	srv.probing = started
	pool.background.Add(1)
	started.timeout = time.AfterFunc(2*pool.opt.ConnectTimeout, func() {
		defer pool.background.Done()
		srv.mu.Lock()
		if srv.probing != started {
			srv.mu.Unlock()
			return
		}
		if srv.probeConn != nil {
			srv.probeConn.socket.Close()
		}
		srv.mu.Unlock()
		srv.endProbe(policy.Timeout, nil)
	})
	if srv.probeConn != nil {
		srv.probeConn.usedAt = pool.now()
		socket := srv.probeConn.socket
		// An error means that the loops are stopping.
		_ = socket.Loop().Execute(func() { socket.Write(pool.opt.Dialect.AppendProbe(nil)) })
		return
	}
	srv.dial(true)
}

// endProbe ends the probe in flight and reports its result; it returns false if no probe is in flight.
func (srv *server) endProbe(status policy.Status, load *policy.Load) bool {
	srv.mu.Lock()
	ended := srv.probing
	srv.probing = nil
	srv.mu.Unlock()
	if ended == nil {
		return false
	}
	if ended.timeout.Stop() {
		srv.pool.background.Done()
	}
	srv.pool.core.QueueProbeResult(policy.ProbeResult{Server: srv.name, Status: status,
		ElapsedS: time.Since(ended.startedAt).Seconds(), Load: load})
	return true
}
