// Package connpool is the connection pool of one server without its I/O: it decides which connection carries an attempt,
// when a connection is opened or closed, and what the end of a connection proves about the attempts on it. It has no
// clock and no goroutine; internal/backend carries out its decisions.
//
// A server replies in the order of the commands, so a connection that carries a cancelled attempt may be blocked by it.
// Such a connection takes no further attempts and is closed once it carries no others, so that the server can stop the
// work.
package connpool

import (
	"cmp"
	"math"
	"slices"

	"cometpond/internal/core"
	"cometpond/policy"
)

// Effects carries out what a Pool decides. Its methods are called while a method of the Pool runs.
type Effects interface {
	// Dial opens a connection. It ends in a call of Opened, DialFailed or DialedOldAddress.
	Dial()
	// Write writes payloads in the order of the calls. Immediately before each write, the implementation asks StartWrite
	// whether the attempt is still to be written.
	Write(conn *Conn, attempt core.AttemptID, payload []byte)
	// Close closes a connection. It ends in a call of Closed.
	Close(conn *Conn)
	// End reports that an attempt has ended without a reply.
	End(attempt core.AttemptID, status policy.Status)
}

// Limits bound what a Pool uses. Times are in seconds, on the clock of the times passed to its methods.
type Limits struct {
	Connections int // open or being opened at the same time, at least 1
	Pipeline    int // attempts awaiting a reply on one connection, at least 1
	// ReuseDelayS is how long after a reply a connection is not used while another one is available: the server may send
	// more data than belongs to the reply, which would be taken for the reply to the next attempt.
	ReuseDelayS  float64
	IdleTimeoutS float64 // a connection idle for longer is closed and not used again; 0: no limit
}

// Pool holds the connections to one server. It is not safe for concurrent use.
type Pool struct {
	limits   Limits
	effects  Effects
	conns    []*Conn
	dialing  int             // connections being opened
	waiting  []*pendingReply // attempts without a connection
	attempts map[core.AttemptID]*pendingReply
	retired  bool // the server is no longer listed
	draining bool // no new attempt goes to the server
}

// Conn is one open connection.
type Conn struct {
	Handle any // the caller's connection, as passed to Opened

	queue     []*pendingReply // in the order in which the replies will come
	greetings int             // entries of the queue that belong to the greeting
	cancelled int             // entries of the queue whose attempt was cancelled
	usedAt    float64         // when it was opened or last received a reply
	answered  bool            // it has received a reply, and more data may follow
	retired   bool            // it takes no new attempts, see RetireConnections
	closing   bool            // Effects.Close was called, or the connection has ended
}

// pendingReply is an attempt, or one command of this gateway's greeting, whose reply has not come yet.
type pendingReply struct {
	attempt   core.AttemptID
	payload   []byte
	startBy   float64 // not written after this time
	answerBy  float64 // the reply is useless after this time
	conn      *Conn
	greeting  bool
	cancelled bool
	withdrawn bool  // its reply is no longer needed
	written   bool  // written, or about to be
	endOffset int64 // offset of the end of its command in the bytes sent on the connection; once these are sent it may run
}

// New returns a pool without connections.
func New(limits Limits, effects Effects) *Pool {
	return &Pool{limits: limits, effects: effects, attempts: map[core.AttemptID]*pendingReply{}}
}

// SetMaxConnections changes the limit on connections. Open connections above the new limit stay open.
func (pool *Pool) SetMaxConnections(connections int) { pool.limits.Connections = max(1, connections) }

// Send starts an attempt. It uses, in this order: an idle connection, a new connection, a connection that has just
// received a reply (see Limits.ReuseDelayS), or the connection with the fewest attempts. If every limit is reached, the
// attempt ends at once as policy.Rejected: the server has not seen it.
func (pool *Pool) Send(now float64, attempt core.AttemptID, payload []byte, timing policy.Timing) {
	pending := &pendingReply{attempt: attempt, payload: payload,
		startBy: now + min(timing.StartWithinS, timing.AnswerWithinS), answerBy: now + timing.AnswerWithinS}
	pool.attempts[attempt] = pending
	pool.place(now, pending)
}

// place gives an attempt to a connection, lets it wait for one, or ends it.
func (pool *Pool) place(now float64, pending *pendingReply) {
	attempt := pending.attempt
	idle, recent, busy := pool.pick(now)
	switch {
	case pool.draining:
		delete(pool.attempts, attempt)
		pool.effects.End(attempt, policy.NotSent)
	case idle != nil:
		pool.write(idle, pending)
	case len(pool.conns)+pool.dialing < pool.limits.Connections:
		pool.waiting = append(pool.waiting, pending)
		pool.dial()
	case recent != nil:
		pool.write(recent, pending)
	case busy != nil:
		pool.write(busy, pending)
	case len(pool.waiting) < (pool.dialing+pool.closingCount())*pool.limits.Pipeline:
		pool.waiting = append(pool.waiting, pending)
	default:
		delete(pool.attempts, attempt)
		pool.effects.End(attempt, policy.Rejected)
	}
}

// closingCount counts the connections that are being closed. Each of them makes room for a new one.
func (pool *Pool) closingCount() (count int) {
	for _, conn := range pool.conns {
		if conn.closing {
			count++
		}
	}
	return count
}

func (pool *Pool) dial() {
	pool.dialing++
	pool.effects.Dial()
}

// pick returns the usable connections of each kind, or nil: idle carries no attempt; recent carries none either, but
// received a reply less than Limits.ReuseDelayS ago (the one for which this is longest ago); busy is the one with the
// fewest attempts, below Limits.Pipeline.
func (pool *Pool) pick(now float64) (idle, recent, busy *Conn) {
	for _, conn := range pool.conns {
		inFlight := len(conn.queue) - conn.greetings
		switch {
		case conn.closing || conn.retired || conn.cancelled > 0:
		case inFlight == 0 && pool.limits.IdleTimeoutS > 0 && now-conn.usedAt > pool.limits.IdleTimeoutS:
			pool.close(conn) // the server may be closing it too, which would reset whatever is written now
		case inFlight == 0 && conn.answered && now-conn.usedAt < pool.limits.ReuseDelayS:
			if recent == nil || conn.usedAt < recent.usedAt {
				recent = conn
			}
		case inFlight == 0:
			return conn, nil, nil
		case inFlight < pool.limits.Pipeline && (busy == nil || inFlight < len(busy.queue)-busy.greetings):
			busy = conn
		}
	}
	return nil, recent, busy
}

func (pool *Pool) write(conn *Conn, pending *pendingReply) {
	pending.conn = conn
	conn.queue = append(conn.queue, pending)
	pool.effects.Write(conn, pending.attempt, pending.payload)
}

// StartWrite reports whether the payload of an attempt is to be written now, and how many seconds remain for its reply.
// An attempt that was cancelled meanwhile, whose time is over, or whose server drains is taken off its connection: the
// server never sees it.
func (pool *Pool) StartWrite(now float64, conn *Conn, attempt core.AttemptID) (remainingS float64, ok bool) {
	i := slices.IndexFunc(conn.queue, func(pending *pendingReply) bool { return !pending.greeting && pending.attempt == attempt })
	if i < 0 {
		return 0, false // its connection has ended
	}
	pending := conn.queue[i]
	if !pending.cancelled && now <= pending.startBy && !pool.draining {
		pending.written, pending.endOffset = true, math.MaxInt64
		return pending.answerBy - now, true
	}
	conn.queue = slices.Delete(conn.queue, i, i+1)
	switch {
	case pending.cancelled:
		conn.cancelled--
	case pool.draining || now <= pending.answerBy: // not the server's fault
		delete(pool.attempts, attempt)
		pool.effects.End(attempt, policy.NotSent)
	default:
		delete(pool.attempts, attempt)
		pool.effects.End(attempt, policy.ConnectFailed)
	}
	pool.closeIfDone(conn)
	pool.placeWaiting(now)
	return 0, false
}

// InFlight is the number of attempts on a connection that await their reply.
func (conn *Conn) InFlight() int { return len(conn.queue) - conn.greetings - conn.cancelled }

// SetEndOffset records where the command of an attempt admitted by StartWrite ends in the bytes sent on its connection.
func (conn *Conn) SetEndOffset(attempt core.AttemptID, endOffset int64) {
	if i := slices.IndexFunc(conn.queue,
		func(pending *pendingReply) bool { return !pending.greeting && pending.attempt == attempt }); i >= 0 {
		conn.queue[i].endOffset = endOffset
	}
}

// ReplaceStale handles a connection that has received unexpected data, or has ended, before the unwritten attempts on it
// were written, whose number is unwritten. It closes the connection and moves these attempts to other ones, as the server
// has not seen them. It does nothing and reports false if other attempts are in flight on the connection.
func (pool *Pool) ReplaceStale(now float64, conn *Conn, unwritten int) bool {
	if len(conn.queue) != unwritten || conn.closing {
		return false
	}
	queue := conn.queue
	conn.queue, conn.cancelled = nil, 0
	pool.close(conn)
	for _, pending := range queue {
		if pending.conn = nil; !pending.cancelled {
			pool.place(now, pending)
		}
	}
	return true
}

// closeIfDone closes a connection that carries only cancelled attempts, and one that carries nothing and is not to be
// used again.
func (pool *Pool) closeIfDone(conn *Conn) {
	if conn.cancelled > 0 && conn.cancelled == len(conn.queue) || (conn.retired || pool.retired) && len(conn.queue) == 0 {
		pool.close(conn)
	}
}

func (pool *Pool) close(conn *Conn) {
	if !conn.closing {
		conn.closing = true
		pool.effects.Close(conn)
	}
}

// placeWaiting gives waiting attempts to connections: only to idle ones while connections are being opened, otherwise
// to recent and busy ones as well.
func (pool *Pool) placeWaiting(now float64) {
	for len(pool.waiting) > 0 {
		conn, recent, busy := pool.pick(now)
		if conn == nil && pool.dialing == 0 {
			conn = cmp.Or(recent, busy)
		}
		if conn == nil {
			break
		}
		pending := pool.waiting[0]
		pool.waiting[0] = nil
		pool.waiting = pool.waiting[1:]
		pool.write(conn, pending)
	}
}

// Opened puts a new connection to use. Greetings is the number of replies to this gateway's greeting, which come first.
func (pool *Pool) Opened(now float64, handle any, greetings int) *Conn {
	conn := &Conn{Handle: handle, greetings: greetings, usedAt: now}
	for range greetings {
		conn.queue = append(conn.queue, &pendingReply{greeting: true})
	}
	pool.dialing--
	pool.conns = append(pool.conns, conn)
	pool.placeWaiting(now)
	return conn
}

// DialFailed ends the attempts that waited for a connection that could not be opened, unless another connection can carry
// them: they never ran. Status is policy.ConnectFailed, or policy.NotSent where the server is not at fault.
func (pool *Pool) DialFailed(now float64, status policy.Status) {
	pool.dialing--
	pool.placeWaiting(now)
	// Only the connections being opened, and those that replace closing ones, can carry attempts that still wait. The
	// others must not wait for a busy connection: it may never reply.
	maxWaiting := (pool.dialing + pool.closingCount()) * pool.limits.Pipeline
	for len(pool.waiting) > maxWaiting {
		pending := pool.waiting[len(pool.waiting)-1]
		pool.waiting = pool.waiting[:len(pool.waiting)-1]
		delete(pool.attempts, pending.attempt)
		pool.effects.End(pending.attempt, status)
	}
}

// Withdraw takes back an attempt whose reply is no longer needed. If it is unwritten, it ends as policy.NotSent and the
// server never sees it; otherwise it runs to its end, but is not written again.
func (pool *Pool) Withdraw(attempt core.AttemptID) {
	switch pending := pool.attempts[attempt]; {
	case pending == nil:
	case pending.written:
		pending.withdrawn, pending.payload = true, nil
	default:
		pool.Cancel(attempt)
		pool.effects.End(attempt, policy.NotSent)
	}
}

// Cancel abandons an attempt. Its end is not reported.
func (pool *Pool) Cancel(attempt core.AttemptID) {
	pending := pool.attempts[attempt]
	if pending == nil {
		return
	}
	delete(pool.attempts, attempt)
	pending.cancelled, pending.payload = true, nil
	if conn := pending.conn; conn != nil {
		// StartWrite takes an unwritten attempt off the connection, which stays usable.
		if conn.cancelled++; pending.written && conn.cancelled == len(conn.queue) {
			pool.close(conn)
		}
		return
	}
	for i, waiting := range pool.waiting {
		if waiting == pending {
			pool.waiting = append(pool.waiting[:i], pool.waiting[i+1:]...)
			return
		}
	}
}

// ReplyKind is what a reply belongs to.
type ReplyKind int

// The kinds of replies.
const (
	UnexpectedReply ReplyKind = iota // none was awaited: the connection is out of step and must be closed
	GreetingReply                    // the reply to a command of this gateway's greeting
	LateReply                        // the reply to a cancelled attempt
	AttemptReply                     // the reply to an attempt, which ends with it
)

// MatchReply returns what the next reply on a connection belongs to.
func (pool *Pool) MatchReply(now float64, conn *Conn) (core.AttemptID, ReplyKind) {
	if len(conn.queue) == 0 {
		return core.AttemptID{}, UnexpectedReply
	}
	pending := conn.queue[0]
	conn.queue = conn.queue[1:]
	conn.usedAt, conn.answered = now, true
	kind := AttemptReply
	switch {
	case pending.greeting:
		conn.greetings--
		kind = GreetingReply
	case pending.cancelled:
		conn.cancelled--
		kind = LateReply
	default:
		delete(pool.attempts, pending.attempt)
	}
	pool.closeIfDone(conn)
	pool.placeWaiting(now)
	return pending.attempt, kind
}

// Closed handles the end of a connection on which the operating system accepted sentBytes. An attempt whose command is
// wholly among them may have run and ends as policy.Reset. One of which nothing or only a part was sent never ran: it moves
// to another connection. A new one is opened if waiting attempts need it.
func (pool *Pool) Closed(now float64, conn *Conn, sentBytes int64) {
	conn.closing = true
	for i, other := range pool.conns {
		if other == conn {
			pool.conns = append(pool.conns[:i], pool.conns[i+1:]...)
			break
		}
	}
	queue := conn.queue
	conn.queue = nil
	for _, pending := range queue {
		switch {
		case pending.greeting || pending.cancelled:
		case pending.written && pending.endOffset <= sentBytes:
			delete(pool.attempts, pending.attempt)
			pool.effects.End(pending.attempt, policy.Reset)
		case pending.withdrawn:
			delete(pool.attempts, pending.attempt)
			pool.effects.End(pending.attempt, policy.NotSent)
		default:
			pending.conn, pending.written = nil, false
			pool.place(now, pending)
		}
	}
	if len(pool.waiting) > pool.dialing*pool.limits.Pipeline && len(pool.conns)+pool.dialing < pool.limits.Connections {
		pool.dial()
	}
}

// Drain ends all unwritten attempts and sends no new ones to the server, until Relist. Attempts that wait for a connection
// end at once, those queued on one when they are about to be written.
func (pool *Pool) Drain() {
	pool.draining = true
	waiting := pool.waiting
	pool.waiting = nil
	for _, pending := range waiting {
		delete(pool.attempts, pending.attempt)
		pool.effects.End(pending.attempt, policy.NotSent)
	}
}

// CloseIdle closes the connections that have been idle for longer than Limits.IdleTimeoutS.
func (pool *Pool) CloseIdle(now float64) {
	for _, conn := range pool.conns {
		if pool.limits.IdleTimeoutS > 0 && len(conn.queue) == 0 && now-conn.usedAt > pool.limits.IdleTimeoutS {
			pool.close(conn)
		}
	}
}

// Retire drains a server that is no longer listed, and closes its connections as they become idle.
func (pool *Pool) Retire() {
	pool.Drain()
	pool.retired = true
	pool.RetireConnections()
}

// RetireConnections sends no new attempts over the connections that are open now: the server has another address, or is
// a new one under the same name. They are closed as they become idle.
func (pool *Pool) RetireConnections() {
	for _, conn := range pool.conns {
		conn.retired = true
		pool.closeIfDone(conn)
	}
}

// DialedOldAddress handles a dial that has reached a former address of the server: the connection is not used.
func (pool *Pool) DialedOldAddress() {
	pool.dialing--
	if len(pool.waiting) > pool.dialing*pool.limits.Pipeline && len(pool.conns)+pool.dialing < pool.limits.Connections {
		pool.dial()
	}
}

// Removable reports whether nothing is left of a retired server: no connection, no dial and no attempt.
func (pool *Pool) Removable() bool {
	return pool.retired && len(pool.conns) == 0 && pool.dialing == 0 && len(pool.attempts) == 0
}

// Relist reverts Retire and Drain.
func (pool *Pool) Relist() { pool.retired, pool.draining = false, false }

// InFlight is the number of attempts that have not ended, including those that wait for a connection.
func (pool *Pool) InFlight() int { return len(pool.attempts) }

// Stats counts the open connections, those of them that are idle, and the cancelled attempts on them.
func (pool *Pool) Stats() (open, idle, cancelled int) {
	for _, conn := range pool.conns {
		open++
		cancelled += conn.cancelled
		if len(conn.queue) == 0 {
			idle++
		}
	}
	return open, idle, cancelled
}
