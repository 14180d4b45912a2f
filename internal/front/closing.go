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

// Times since the beginning of a shutdown.
const (
	partLeast = 50 * time.Millisecond  // until connections with an incomplete command are closed, too
	partMost  = 100 * time.Millisecond // until it no longer waits for clients to close
)

// part closes all connections gracefully: at first those without open requests, and after partLeast those with an incomplete
// command, too. It returns when all clients have closed, after partMost, or when ctx is done.
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

// part closes the loop's connections that are idle, and with last also others that wait for no reply.
func (l *loop) part(last bool) {
	for k := range l.conns {
		if k.idle() && !k.c.Unread() || last && !k.parked && k.waiting() == 0 {
			l.act(k, l.finish(k, shuttingDown))
		}
	}
}

// lost removes a closed connection and reports its unanswered calls to the core, which need no answers any more.
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
		s.core.Gone(gone)
	}
	k.queue, k.head, k.in = nil, 0, nil
}

// sweep closes connections whose command has been incomplete for too long, that have not logged in for too long, that have
// been idle for too long, or that have lingered for too long.
func (l *loop) sweep() {
	now, most := time.Now(), l.s.opt.Limits.Partial
	for len(l.lingering) > 0 && l.lingering[0].lingerTo < seconds() {
		l.hurry()
	}
	open, leaves := int(l.s.open.Load()), l.s.opt.IdleLimits.Leaves
	if l.s.retiring.Load() {
		leaves = l.s.opt.IdleLimits.Retires
	}
	for k := range l.conns {
		slow := !k.partial.IsZero() && now.Sub(k.partial) > most && !k.waits || k.client == nil && now.Sub(k.since) > most
		switch {
		case k.lingers || k.quit:
		case slow && !k.parked && !k.congested:
			l.s.cut.Add(1)
			k.because(unfinishedCommand)
			k.leaves() // replies to earlier commands are still written
		case k.idle() && leaves(k.guest, seconds(), open) && !k.c.Unread():
			l.act(k, l.finish(k, idleTooLong))
		}
	}
}

// idle reports whether a connection is settled and no command has begun to arrive.
func (k *conn) idle() bool { return k.settled() && len(k.in) == 0 }

// settled reports whether all commands of a connection have their replies, and the system has accepted these.
func (k *conn) settled() bool {
	return !k.parked && k.waiting() == 0 && len(k.out) == 0 && !k.quit && !k.lingers
}

// evict closes an idle connection to make room for a new one, and reports whether there was one.
func (l *loop) evict() bool {
	var out *conn
	now, crowd := seconds(), l.s.opt.IdleLimits
	for k := range l.conns {
		k.guest.Begun = len(k.in) > 0
		if k.settled() && (!k.guest.Begun || k.guest.Asked == 0) && crowd.Evictable(k.guest, now) &&
			(out == nil || crowd.Before(k.guest, out.guest)) {
			out = k
		}
	}
	if out == nil {
		return false
	}
	l.s.evicted.Add(1)
	if l.act(out, l.finish(out, evictedForOther)); !out.closed && out.guest.Asked == 0 {
		l.cut(out, evictedForOther) // nothing was sent that a reset could destroy
	}
	return true
}

// Limits of a lingering close.
const (
	lingerS     = 1.0       // duration in seconds
	lingerBytes = 256 << 10 // bytes of input discarded
	lingerShare = 8         // the maximum number of lingering connections is the connection limit divided by this
)

// finish starts a lingering close of a connection without open requests. It closes the sending side at once, and the rest
// when the client has closed, too; input that arrives meanwhile is discarded. If the socket were closed at once, unread input
// would reset the connection and destroy replies that are on their way. A request that arrives after this point is never
// processed, so its client can safely send it again elsewhere.
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
		k.c.ResumeReading() // to notice when the client closes
	}
	k.lingers, k.in, k.partial, k.lingerTo = true, nil, time.Time{}, seconds()+lingerS
	l.s.lingering.Add(1)
	l.lingering = append(l.lingering, k)
	// During a shutdown there are no new connections that would need the descriptors.
	for most := max(1, l.s.opt.Limits.Connections/lingerShare); len(l.lingering) > most && !l.s.retiring.Load(); {
		l.hurry()
	}
	return eventloop.None
}

// hurry closes the connection that has lingered the longest, without waiting for its client.
func (l *loop) hurry() {
	k := l.lingering[0]
	l.lingered(k)
	l.cut(k, lingeredTooLong)
}

// lingered removes a connection from the list of those in a lingering close.
func (l *loop) lingered(k *conn) {
	if i := slices.Index(l.lingering, k); i >= 0 {
		l.lingering = slices.Delete(l.lingering, i, i+1)
		l.s.lingering.Add(-1)
	}
}

// leaves closes the connection once its commands have their replies. No more input is processed.
func (k *conn) leaves() {
	k.quit, k.partial = true, time.Time{}
	k.loop.act(k, k.pump())
}

// closeReason is why a client's connection was closed. The values are written to the log.
type closeReason string

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

// because records why a connection is about to be closed; only the first reason counts.
func (k *conn) because(r closeReason) {
	if k.reason == "" {
		k.reason = r
	}
}

// ended records why a connection was closed, unless this side closed it and has recorded a reason already.
func (k *conn) ended(err error) {
	switch {
	case err == nil || errors.Is(err, eventloop.ErrStopped):
		k.because(shuttingDown) // all other closes by this side have recorded a reason
	case errors.Is(err, io.EOF):
		k.because(clientClosed)
	default:
		k.because(connectionBroken)
		k.endError = err
	}
}

// report logs the end of a connection, with the ids of the requests that had no answer. If there are any and it was not the
// client that disconnected, the level is warning.
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

// reportedMost limits the number of request ids in one log line.
const reportedMost = 16
