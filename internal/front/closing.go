package front

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
)

// partLeast is what is left to clients at the end to take their last answers, and partMost how long it takes at most.
const (
	partLeast = 50 * time.Millisecond
	partMost  = 100 * time.Millisecond
)

// part ends all connections: those with nothing open at once, then the others, too, whatever they have begun. It returns
// once all clients have ended, or no longer wait for it.
func (srv *Server) part(ctx context.Context) {
	srv.CloseWhenIdle()
	start := time.Now()
	for srv.open.Load() > 0 && time.Since(start) < partMost {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
		last := time.Since(start) > partLeast
		srv.each(func(l *loop) { l.part(last) })
	}
}

// part ends the loop's connections that have nothing open, with last the others that are not owed an answer.
func (l *loop) part(last bool) {
	for k := range l.conns {
		if k.idle() && !k.c.HasUnread() || last && !k.parked && k.waiting() == 0 {
			l.act(k, l.finish(k, shuttingDown))
		}
	}
}

// lost forgets a connection that has ended and tells the core that nobody waits for its answers.
func (l *loop) lost(k *conn) {
	s := l.s
	s.open.Add(^uint64(0))
	k.closed = true
	delete(l.conns, k)
	l.lingered(k)
	if k.strange > 0 || k.granted > 0 || k.waits {
		s.leave(k)
	}
	var gone []*core.Call
	for _, p := range k.queue[k.head:] {
		if p.call.Front != nil && !p.done {
			gone = append(gone, &p.call)
		}
	}
	k.report(gone)
	if len(gone) > 0 {
		s.core.Disconnected(gone)
	}
	k.queue, k.head, k.in = nil, 0, nil
}

// sweep cuts connections whose command stays unfinished, or who never say who they are.
func (l *loop) sweep() {
	now, most := time.Now(), l.s.opt.Limits.PartialTimeout
	for len(l.lingering) > 0 && l.lingering[0].lingerTo < seconds() {
		l.hurry()
	}
	open, leaves := int(l.s.open.Load()), l.s.opt.IdleLimits.ShouldClose
	if l.s.retiring.Load() {
		leaves = l.s.opt.IdleLimits.ShouldCloseOnShutdown
	}
	for k := range l.conns {
		slow := !k.partial.IsZero() && now.Sub(k.partial) > most && !k.waits || k.client == nil && now.Sub(k.since) > most
		switch {
		case k.lingers || k.quit:
		case slow && !k.parked && !k.congested:
			l.s.cut.Add(1)
			k.because(unfinishedCommand)
			k.leaves() // answers that are awaited come first
		case k.idle() && leaves(k.guest, seconds(), open) && !k.c.HasUnread():
			l.act(k, l.finish(k, idleTooLong))
		}
	}
}

// idle tells whether a connection has nothing open: no command begun, and no answer awaited or not yet sent.
func (k *conn) idle() bool { return k.settled() && len(k.in) == 0 }

// settled tells whether all that a connection has asked is answered, and the answers are with the system.
func (k *conn) settled() bool {
	return !k.parked && k.waiting() == 0 && len(k.out) == 0 && !k.quit && !k.lingers
}

// evict closes the connection that gives way to a new one; false if none does.
func (l *loop) evict() bool {
	var out *conn
	now, crowd := seconds(), l.s.opt.IdleLimits
	for k := range l.conns {
		k.guest.CommandStarted = len(k.in) > 0
		if k.settled() && (!k.guest.CommandStarted || k.guest.Commands == 0) && crowd.Evictable(k.guest, now) &&
			(out == nil || crowd.EvictedBefore(k.guest, out.guest)) {
			out = k
		}
	}
	if out == nil {
		return false
	}
	l.s.evicted.Add(1)
	if l.act(out, l.finish(out, evictedForOther)); !out.closed && out.guest.Commands == 0 {
		l.cut(out, evictedForOther) // nothing was sent there that a close could take back
	}
	return true
}

// Bounds of a lingering close.
const (
	lingerS     = 1.0       // seconds
	lingerBytes = 256 << 10 // what still comes, bytes
	lingerShare = 8         // one of so many connections may be at it
)

// finish ends a connection that has nothing open: its sending side at once, and the rest when the client has ended, too.
// What comes meanwhile is thrown away. Closed at once, unread bytes would reset the connection, and with it answers that
// are on their way; and a request that comes now was not read, so that its client sends it again elsewhere.
func (l *loop) finish(k *conn, reason closeReason) eventloop.Action {
	if k.lingers {
		return eventloop.None
	}
	k.because(reason)
	if k.c.CloseWrite() != nil {
		return eventloop.Close
	}
	if k.strange > 0 || k.granted > 0 || k.waits {
		l.s.leave(k)
		k.strange, k.granted, k.waits = 0, 0, false
	}
	if k.parked {
		k.parked = false
		k.c.ResumeReading() // up to the client's end
	}
	k.lingers, k.in, k.partial, k.lingerTo = true, nil, time.Time{}, seconds()+lingerS
	l.s.lingering.Add(1)
	l.lingering = append(l.lingering, k)
	// While this instance leaves nobody new needs the room.
	for most := max(1, l.s.opt.Limits.MaxConnections/lingerShare); len(l.lingering) > most && !l.s.retiring.Load(); {
		l.hurry()
	}
	return eventloop.None
}

// hurry closes the connection that has lingered the longest.
func (l *loop) hurry() {
	k := l.lingering[0]
	l.lingered(k)
	l.cut(k, lingeredTooLong)
}

// lingered takes a connection off those that linger.
func (l *loop) lingered(k *conn) {
	if i := slices.Index(l.lingering, k); i >= 0 {
		l.lingering = slices.Delete(l.lingering, i, i+1)
		l.s.lingering.Add(-1)
	}
}

// leaves ends the connection once what it has asked is answered; nothing more is read.
func (k *conn) leaves() {
	k.quit, k.partial = true, time.Time{}
	k.loop.act(k, k.pump())
}

// closeReason is why a client's connection ended.
type closeReason string

// The reasons.
const (
	clientClosed      closeReason = "client closed"
	connectionBroken  closeReason = "connection broken"
	writeFailed       closeReason = "write failed"
	answersUnread     closeReason = "answers not read in time"
	badInput          closeReason = "input against the protocol"
	unfinishedCommand closeReason = "command not finished in time"
	asked             closeReason = "the client asked for it"
	idleTooLong       closeReason = "idle"
	evictedForOther   closeReason = "evicted for a new connection"
	lingeredTooLong   closeReason = "client did not close in time"
	shuttingDown      closeReason = "shutting down"
)

// because notes why a connection is about to be closed; the first reason stands.
func (k *conn) because(r closeReason) {
	if k.reason == "" {
		k.reason = r
	}
}

// ended notes how a connection ended that this end did not close on purpose.
func (k *conn) ended(err error) {
	switch {
	case err == nil || errors.Is(err, eventloop.ErrStopped):
		k.because(shuttingDown) // all other closes of this end have a reason by now
	case errors.Is(err, io.EOF):
		k.because(clientClosed)
	default:
		k.because(connectionBroken)
		k.endError = err
	}
}

// report logs the end of a connection, with the names of the requests that had no answer. Their loss is worth a warning
// where it is not the client who left.
func (k *conn) report(open []*core.Call) {
	level := zerolog.DebugLevel
	if len(open) > 0 && k.reason != clientClosed && k.reason != connectionBroken {
		level = zerolog.WarnLevel
		k.loop.s.abandoned.Add(uint64(len(open)))
	}
	line := k.loop.s.opt.Log.WithLevel(level)
	if !line.Enabled() {
		return
	}
	names := zerolog.Arr()
	for _, c := range open[:min(len(open), reportedMost)] {
		names.Str(c.ID)
	}
	line.Uint64("connection", k.id).Str("reason", string(k.reason)).AnErr("error", k.endError).
		Int("open_requests", len(open)).Array("ids", names).Msg("client connection ended")
}

// reportedMost bounds the names of requests in one line of the log.
const reportedMost = 16
