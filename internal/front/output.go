package front

import (
	"math"
	"strconv"
	"time"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
	"cometpond/internal/resp"
)

// fellBehind schedules repeated checks whether a client has read: a socket that is not watched reports no events.
func (l *loop) fellBehind(k *conn) {
	l.behind = append(l.behind, k)
	if !l.checking {
		l.check()
	}
}

// check schedules the next check of connections with unsent replies.
func (l *loop) check() {
	l.checking = true
	l.el.After(behindCheck, l.relieve)
}

// relieve continues writing to clients that have read, and closes connections that have accepted nothing for too long.
func (l *loop) relieve() {
	list := l.behind
	l.behind, l.checking = nil, false
	for _, k := range list {
		if k.closed {
			continue
		}
		n, err := k.c.Send(k.out)
		if n > 0 {
			k.leftSince = time.Now()
			k.out = k.out[:copy(k.out, k.out[n:])]
		}
		if k.congested = len(k.out) > min(congestMost, l.s.opt.Limits.Output/2); len(k.out) > 0 {
			l.behind = append(l.behind, k)
		} else {
			k.out = nil
		}
		if err != nil || len(k.out) > 0 && time.Since(k.leftSince) > l.s.opt.Limits.Partial {
			l.s.cut.Add(1)
			if k.endError = err; err != nil {
				k.because(writeFailed)
			}
			l.cut(k, answersUnread)
		} else if !k.congested {
			l.act(k, k.resume())
		}
	}
	if len(l.behind) > 0 && !l.checking {
		l.check()
	}
}

// say replies to a command without the core. The reply is written after those to earlier commands.
func (k *conn) say(put func([]byte) []byte) {
	if k.waiting() == 0 {
		k.loop.buf = put(k.loop.buf)
		return
	}
	k.queue = append(k.queue, &pending{conn: k, ready: put(nil), done: true})
}

// fail replies to a command with an error.
func (k *conn) fail(text string) {
	k.say(func(b []byte) []byte { return resp.AppendError(b, text) })
}

// Limits of output.
const (
	outputBatch = 64 << 10             // bytes of replies gathered before they are written
	congestMost = 256 << 10            // unsent bytes above which no more replies are written; at most half of the configured limit
	behindCheck = 2 * time.Millisecond // between two checks of clients that do not read as fast as replies are written
)

// write sends the replies in the loop's buffer. What the socket does not accept is kept in k.out. Above a limit no more
// replies are written until the client has read.
func (l *loop) write(k *conn) eventloop.Action {
	if len(l.buf) == 0 {
		return eventloop.None
	}
	b := l.buf
	if len(k.out) == 0 {
		n, err := k.c.Send(b)
		if err != nil {
			l.buf = l.buf[:0]
			k.because(writeFailed)
			k.endError = err
			return eventloop.Close
		}
		b = b[n:]
	}
	if len(b) > 0 {
		if len(k.out) == 0 {
			k.leftSince = time.Now()
			l.fellBehind(k)
		}
		k.out = append(k.out, b...)
		k.congested = len(k.out) > min(congestMost, l.s.opt.Limits.Output/2)
	}
	l.buf = l.buf[:0]
	if cap(l.buf) > 1<<20 {
		l.buf = nil
	}
	return eventloop.None
}

// pump writes the replies that are ready, in the order of their commands.
func (k *conn) pump() eventloop.Action {
	l := k.loop
	if k.head < len(k.queue) && k.queue[k.head].done {
		k.guest.LastS = seconds()
	}
	for k.head < len(k.queue) && k.queue[k.head].done && !k.congested {
		l.buf = k.append(l.buf, k.queue[k.head])
		k.queue[k.head] = nil
		k.head++
		if len(l.buf) >= outputBatch {
			if act := l.write(k); act != eventloop.None {
				return act
			}
		}
	}
	if k.head == len(k.queue) {
		k.queue, k.head = k.queue[:0], 0
	} else if k.head > 256 && k.head > len(k.queue)/2 {
		n := copy(k.queue, k.queue[k.head:])
		clear(k.queue[n:])
		k.queue, k.head = k.queue[:n], 0
	}
	if act := l.write(k); act != eventloop.None {
		return act
	}
	switch {
	case k.quit && k.waiting() == 0 && len(k.out) == 0:
		return l.finish(k, asked)
	case l.s.retiring.Load() && k.guest.Asked > 0 && k.idle() && !k.c.Unread():
		return l.finish(k, shuttingDown)
	}
	return eventloop.None
}

// append appends the reply to one command.
func (k *conn) append(b []byte, p *pending) []byte {
	a := &p.call.Answer
	switch {
	case p.ready != nil:
		return append(b, p.ready...)
	case k.loop.s.opt.Handler != nil:
		return k.loop.s.opt.Handler.AppendReply(b, &p.call)
	case a.Kind == core.Served && k.version == 2 && len(a.Payload) > 0 && !old(a.Payload[0]):
		return resp.AppendDowngraded(b, a.Payload, k.loop.s.lim)
	case a.Kind == core.Served:
		return append(b, a.Payload...)
	case p.call.Limit && (a.Kind == core.Admitted || a.Kind == core.Refused && a.Reason == core.NoRoom):
		return appendThrottle(b, a, p.call.Units)
	case a.Kind == core.Refused && a.RetryS > 0:
		return resp.AppendError(b, "REFUSED retry in "+strconv.FormatFloat(a.RetryS, 'f', 3, 64)+" s: "+a.Why)
	case a.Kind == core.Refused:
		return resp.AppendError(b, "REFUSED "+a.Why)
	}
	return resp.AppendError(b, "FAILED "+a.Why)
}

// old reports whether a reply type exists in RESP version 2 and is no aggregate, which may contain other types.
func old(kind byte) bool { return kind == '+' || kind == '-' || kind == ':' || kind == '$' }

// appendThrottle appends the five numbers of a reply to CL.THROTTLE: whether the request was limited, the limit, the remaining
// units, and the whole seconds until a retry makes sense (-1 if the request was admitted) and until the quota is full again.
func appendThrottle(b []byte, a *core.Answer, units float64) []byte {
	limited, retry := int64(0), int64(-1)
	if a.Kind == core.Refused && units > 0 {
		limited, retry = 1, max(1, int64(math.Ceil(a.Quota.RetryS)))
	}
	whole := func(x float64) int64 { return int64(min(math.Floor(x+1e-9), math.MaxInt32)) }
	b = resp.AppendArrayHeader(b, 5)
	b = resp.AppendInt(b, limited)
	b = resp.AppendInt(b, whole(a.Quota.Burst))
	b = resp.AppendInt(b, whole(a.Quota.Room))
	b = resp.AppendInt(b, retry)
	return resp.AppendInt(b, int64(math.Ceil(max(a.Quota.ResetS, 0)-1e-9)))
}
