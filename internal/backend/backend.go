// Package backend carries attempts to servers that speak RESP, over pooled and pipelined connections on event loops. It
// reports to the core what the end of each attempt proves: that there is a reply, that the attempt never ran, or that it
// may have run. Package connpool decides which connection carries an attempt, and the core decides which server.
package backend

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/connpool"
	"cometpond/internal/core"
	"cometpond/internal/eventloop"
	"cometpond/internal/membudget"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// Core is notified when attempts and probes end.
type Core interface {
	// Done is called with locks of the pool held. It must not call back into the pool.
	QueueResults(results ...core.Result)
	// Deliver is called without locks: attempts that follow from the results may be sent at once.
	HandleResults(results []core.Result)
	// Probed is called with the result of a probe.
	QueueProbeResult(p policy.ProbeResult)
}

// Dialect is how commands are sent to servers and how their replies are read. Implementations are stateless and safe for
// concurrent use.
type Dialect interface {
	// Greeting returns what is sent first on a connection, and the number of replies to it.
	Greeting() (commands []byte, replies int)
	// AppendAttempt appends the command that carries an attempt whose reply must come within remainingS seconds.
	AppendAttempt(dst, payload []byte, remainingS float64) []byte
	// AppendProbe appends the command that asks for a load report.
	AppendProbe(dst []byte) []byte
	// Reply parses the reply to an attempt. Malformed means that it is not a valid reply: the attempt may have run, and
	// the connection must be closed. The payload of the result must not alias reply.
	ParseReply(reply []byte) (result core.Result, malformed bool)
	// Load parses the reply to a probe; nil if it holds no known value.
	ParseLoad(reply []byte) *policy.Load
	// Limits returns the limits on the size of a reply.
	Limits() resp.Limits
}

// Options are the settings of a Pool. Fields whose name ends in S are in seconds.
type Options struct {
	Dialect             Dialect
	Connections         int           // to one server at the same time, at least 1
	MaxTotalConnections int           // to all servers, which share it evenly; connections for probes are not counted; 0: no limit
	Pipeline            int           // attempts on one connection at the same time, at least 1
	ConnectTimeout      time.Duration // timeout for opening a connection
	ReuseDelayS         float64       // see connpool.Limits
	IdleTimeoutS        float64       // see connpool.Limits; 0: no limit
	StrictProbes        bool          // a probe connection is closed when an unexpected reply comes
	Loops               int           // event loops, at least 1
	// Memory bounds the incomplete replies of all connections; a connection whose reply does not fit is closed. nil: no bound.
	Memory *membudget.Budget
	// DialContext opens a connection; nil: over TCP.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Log         zerolog.Logger
}

// Counts are totals since the start, and the number of open connections.
type Counts struct {
	Dials, DialsFailed uint64 // connections that were dialed, and dials that failed
	AttemptsBroken     uint64 // attempts that may have run when their connection ended
	LateReplies        uint64 // replies to attempts that had been cancelled
	RepliesOutOfMemory uint64 // connections closed because the memory budget had no room for an incomplete reply
	OpenConnections    int64  // connections that are open now
}

// Pool holds the connections to all servers.
type Pool struct {
	opt         Options
	core        Core
	replyLimits resp.Limits
	sampledLog  zerolog.Logger // limited to maxLogsPerSecond, as many connections may fail at the same time
	loops       *eventloop.Group
	ctx         context.Context
	cancel      context.CancelFunc
	background  sync.WaitGroup // dials, probe timers and closeIdle
	start       time.Time

	mu        sync.Mutex
	servers   map[string]*server // by name
	addresses map[string]string  // by name, of servers whose names are not their addresses

	dials, dialsFailed, attemptsBroken, lateReplies, repliesOutOfMemory atomic.Uint64
	openConnections                                                     atomic.Int64
}

// maxLogsPerSecond bounds the warnings about single connections.
const maxLogsPerSecond = 10

// keepAlive is the TCP keep-alive period: how often the system checks whether a silent server is still there.
const keepAlive = 15 * time.Second

// New starts the event loops of a pool without servers.
func New(handler Core, opt Options) (*Pool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	if opt.DialContext == nil {
		opt.DialContext = (&net.Dialer{KeepAlive: keepAlive}).DialContext
	}
	pool := &Pool{opt: opt, core: handler, replyLimits: opt.Dialect.Limits(),
		servers: map[string]*server{}, addresses: map[string]string{},
		ctx: ctx, cancel: cancel, start: time.Now(),
		sampledLog: opt.Log.Sample(&zerolog.BurstSampler{Burst: maxLogsPerSecond, Period: time.Second})}
	var err error
	if pool.loops, err = eventloop.New(pool, eventloop.Options{Loops: opt.Loops, Log: opt.Log}); err != nil {
		cancel()
		return nil, fmt.Errorf("starting the event loops for servers: %w", err)
	}
	if opt.IdleTimeoutS > 0 {
		pool.background.Add(1)
		go pool.closeIdle()
	}
	return pool, nil
}

// closeIdle closes connections that have been idle for too long, until the pool stops.
func (pool *Pool) closeIdle() {
	defer pool.background.Done()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-pool.ctx.Done():
			return
		case <-ticker.C:
		}
		pool.mu.Lock()
		for _, srv := range pool.servers {
			srv.mu.Lock()
			srv.conns.CloseIdle(pool.now())
			if srv.probeConn != nil && srv.probing == nil && pool.now()-srv.probeConn.usedAt > pool.opt.IdleTimeoutS {
				srv.probeConn.socket.Close()
			}
			srv.mu.Unlock()
		}
		pool.removeRetired()
		pool.mu.Unlock()
	}
}

// removeRetired removes servers that are no longer listed and have no connection, attempt or probe left. The caller holds
// the pool's lock.
func (pool *Pool) removeRetired() {
	for name, srv := range pool.servers {
		srv.mu.Lock()
		if srv.conns.Removable() && srv.probeConn == nil && srv.probing == nil {
			delete(pool.servers, name) // attempts sent to it before it is listed again fail without having run
			delete(pool.addresses, name)
		}
		srv.mu.Unlock()
	}
}

// SetAddresses sets the addresses of servers whose names are not their addresses. It must be called before Servers lists
// them. An address is kept until its server is removed. If the address of a server changes, new connections go to the new
// one.
func (pool *Pool) SetAddresses(addresses map[string]string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for name, addr := range addresses {
		pool.addresses[name] = addr
		if srv := pool.servers[name]; srv != nil {
			srv.mu.Lock()
			if srv.addr != addr {
				srv.addr = addr
				srv.conns.RetireConnections()
				if srv.probeConn != nil && srv.probing == nil {
					srv.probeConn.socket.Close()
				}
			}
			srv.mu.Unlock()
		}
	}
}

// Stop closes all connections and returns when all goroutines of the pool have ended.
func (pool *Pool) Stop() {
	pool.cancel()
	pool.background.Wait()
	pool.loops.Stop()
}

// Counts returns the current counts.
func (pool *Pool) Counts() Counts {
	return Counts{pool.dials.Load(), pool.dialsFailed.Load(), pool.attemptsBroken.Load(),
		pool.lateReplies.Load(), pool.repliesOutOfMemory.Load(), pool.openConnections.Load()}
}

// now returns the seconds since the pool's start on a monotonic clock.
func (pool *Pool) now() float64 { return time.Since(pool.start).Seconds() }

// server returns the server of a name, or nil.
func (pool *Pool) server(name string) *server {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.servers[name]
}

// UpdateServers updates the list of servers; whole means that servers not in list are removed. Attempts in flight on a removed
// server run to their end, and its connections are closed once they are idle.
func (pool *Pool) UpdateServers(list []policy.Server, whole bool) {
	pool.mu.Lock()
	listed := map[string]bool{}
	for _, entry := range list {
		if entry.State == policy.Removed {
			if srv := pool.servers[entry.ID]; srv != nil {
				srv.retire()
			}
			continue
		}
		listed[entry.ID] = true
		if srv := pool.servers[entry.ID]; srv == nil {
			srv = &server{pool: pool, name: entry.ID, addr: cmp.Or(pool.addresses[entry.ID], entry.ID)}
			srv.conns = connpool.New(connpool.Limits{Connections: pool.opt.Connections, Pipeline: pool.opt.Pipeline,
				ReuseDelayS: pool.opt.ReuseDelayS, IdleTimeoutS: pool.opt.IdleTimeoutS}, (*effects)(srv))
			pool.servers[entry.ID] = srv
		}
		srv := pool.servers[entry.ID]
		srv.mu.Lock()
		if srv.conns.Relist(); entry.State == policy.Draining {
			srv.conns.Drain()
		}
		srv.mu.Unlock()
	}
	if whole {
		for name, srv := range pool.servers {
			if !listed[name] {
				srv.retire()
			}
		}
	}
	pool.removeRetired()
	if pool.opt.MaxTotalConnections > 0 {
		share := min(pool.opt.Connections, max(1, pool.opt.MaxTotalConnections/max(1, len(pool.servers))))
		for _, srv := range pool.servers {
			srv.mu.Lock()
			srv.conns.SetMaxConnections(share)
			srv.mu.Unlock()
		}
	}
	pool.mu.Unlock()
}

// Send starts an attempt on a server. The attempt is not written after its time to start has passed.
func (pool *Pool) Send(attempt core.AttemptID, name string, payload []byte, timing policy.Timing) {
	srv := pool.server(name)
	if srv == nil {
		pool.core.QueueResults(core.Result{Attempt: attempt, Status: policy.ConnectFailed})
		return
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	now := pool.now()
	srv.conns.Send(now, attempt, payload, timing)
}

// Cancel abandons an attempt. Its end is not reported.
func (pool *Pool) Cancel(attempt core.AttemptID, name string) {
	if srv := pool.server(name); srv != nil {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.conns.Cancel(attempt)
	}
}

// Withdraw takes back an attempt that has not been written; it then ends as policy.NotSent. A written one runs to its end.
func (pool *Pool) Withdraw(attempt core.AttemptID, name string) {
	if srv := pool.server(name); srv != nil {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.conns.Withdraw(attempt)
	}
}
