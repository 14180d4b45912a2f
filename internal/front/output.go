package front

import (
	"math"
	"strconv"
	"time"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
	"cometpond/internal/resp"
)

// fellBehind has the loop look again soon whether a client has read: a parked socket tells nobody.
func (l *loop) fellBehind(k *conn) {
	l.behind = append(l.behind, k)
	if !l.checking {
		l.check()
	}
}

func (l *loop) check() {
	l.checking = true
	l.el.After(behindCheck, l.relieve)
}

// relieve writes on to clients that have read, and cuts those that have taken nothing for too long.
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
		if k.congested = len(k.out) > min(congestMost, l.s.opt.Limits.MaxUnreadBytes/2); len(k.out) > 0 {
			l.behind = append(l.behind, k)
		} else {
			k.out = nil
		}
		if err != nil || len(k.out) > 0 && time.Since(k.leftSince) > l.s.opt.Limits.PartialTimeout {
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

// say answers a command that needs no ruling, at once or behind those that wait.
func (k *conn) say(put func([]byte) []byte) {
	if k.waiting() == 0 {
		k.loop.buf = put(k.loop.buf)
		return
	}
	k.queue = append(k.queue, &pending{conn: k, ready: put(nil), done: true})
}

func (k *conn) fail(text string) {
	k.say(func(b []byte) []byte { return resp.AppendError(b, text) })
}

// Bounds of output.
const (
	outputBatch = 64 << 10             // bytes of answers gathered before they are written
	congestMost = 256 << 10            // bytes unsent, from which on no more are written, or half of what the settings allow
	behindCheck = 2 * time.Millisecond // between two looks at clients that do not read as fast as they are answered
)

// write sends what stands in the loop's buffer. What the socket does not take is kept here; past a bound no more is
// written until the client has read.
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
		k.congested = len(k.out) > min(congestMost, l.s.opt.Limits.MaxUnreadBytes/2)
	}
	l.buf = l.buf[:0]
	if cap(l.buf) > 1<<20 {
		l.buf = nil
	}
	return eventloop.None
}

// pump writes the answers that stand ready, in the order of their commands.
func (k *conn) pump() eventloop.Action {
	l := k.loop
	if k.head < len(k.queue) && k.queue[k.head].done {
		k.guest.LastUsedAtS = seconds()
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
	case l.s.retiring.Load() && k.guest.Commands > 0 && k.idle() && !k.c.HasUnread():
		return l.finish(k, shuttingDown)
	}
	return eventloop.None
}

// append writes one answer.
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
	case p.call.QuotaOnly && (a.Kind == core.Admitted || a.Kind == core.Refused && a.Reason == core.NoCapacity):
		return appendThrottle(b, a, p.call.Units)
	case a.Kind == core.Refused && a.RetryAfterS > 0:
		return resp.AppendError(b, "REFUSED retry in "+strconv.FormatFloat(a.RetryAfterS, 'f', 3, 64)+" s: "+a.Detail)
	case a.Kind == core.Refused:
		return resp.AppendError(b, "REFUSED "+a.Detail)
	}
	return resp.AppendError(b, "FAILED "+a.Detail)
}

// old tells whether a reply's type is one that version 2 has, and not an aggregate that may hold others.
func old(kind byte) bool { return kind == '+' || kind == '-' || kind == ':' || kind == '$' }

// appendThrottle writes the five numbers of CL.THROTTLE: whether it was limited, the limit, what remains,
// whole seconds until a retry makes sense (-1 if it passed) and until the quota is whole.
func appendThrottle(b []byte, a *core.Answer, units float64) []byte {
	limited, retry := int64(0), int64(-1)
	if a.Kind == core.Refused && units > 0 {
		limited, retry = 1, max(1, int64(math.Ceil(a.Quota.RetryAfterS)))
	}
	whole := func(x float64) int64 { return int64(min(math.Floor(x+1e-9), math.MaxInt32)) }
	b = resp.AppendArrayHeader(b, 5)
	b = resp.AppendInt(b, limited)
	b = resp.AppendInt(b, whole(a.Quota.Burst))
	b = resp.AppendInt(b, whole(a.Quota.Remaining))
	b = resp.AppendInt(b, retry)
	return resp.AppendInt(b, int64(math.Ceil(max(a.Quota.ResetS, 0)-1e-9)))
}
