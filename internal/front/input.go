package front

import (
	"time"

	"cometpond/internal/eventloop"
	"cometpond/internal/intake"
	"cometpond/internal/resp"
)

// passAfter is how long a connection waits for memory until none passes it, seconds.
const passAfter = 2

// stranger asks for room for a connection that has not logged in.
func (srv *Server) stranger(k *conn, bytes int) intake.Decision {
	srv.poolMu.Lock()
	defer srv.poolMu.Unlock()
	return srv.pool.HoldUnauthenticated(k.id, bytes)
}

// ask asks for room for one that has.
func (srv *Server) ask(k *conn, bytes int) intake.Decision {
	srv.poolMu.Lock()
	defer srv.poolMu.Unlock()
	v, others := srv.pool.Acquire(seconds(), k.id, bytes)
	if v == intake.Wait {
		srv.asking[k.id] = k
	}
	srv.granted(others)
	return v
}

// done gives back what a connection held.
func (srv *Server) done(k *conn) {
	srv.poolMu.Lock()
	defer srv.poolMu.Unlock()
	srv.granted(srv.pool.Release(seconds(), k.id))
}

// leave forgets a connection.
func (srv *Server) leave(k *conn) {
	srv.poolMu.Lock()
	defer srv.poolMu.Unlock()
	delete(srv.asking, k.id)
	srv.granted(srv.pool.Remove(seconds(), k.id))
}

// granted tells connections, on their own loops, that they may go on. The pool's lock is held.
func (srv *Server) granted(ids []uint64) {
	for _, id := range ids {
		k := srv.asking[id]
		delete(srv.asking, id)
		if k != nil {
			_ = k.loop.el.Execute(func() { k.loop.goOn(k) }) // an error means that the loops end
		}
	}
}

// goOn has a connection read on: the pool has granted what it asked for.
func (l *loop) goOn(k *conn) {
	if k.closed {
		l.s.leave(k) // it left while the word was on its way
		return
	}
	k.waits = false
	k.granted = max(len(k.in), k.need)
	if !k.partial.IsZero() {
		k.partial = time.Now()
	}
	l.act(k, k.resume())
}

// Bounds of what one connection may hold as input, bytes.
const (
	chunkMost    = 16 << 10 // of one read: what has come in before anything can be decided about it
	strangerMost = 16 << 10 // of a command before login, with strangerArgs arguments
	strangerArgs = 10
	aheadMost    = 4 << 20 // of one command, or sent ahead while answers are awaited, beyond one largest argument
)

// limits are the bounds of the next command.
func (k *conn) limits() resp.Limits {
	if k.client == nil {
		return strangerLimits
	}
	return k.loop.s.lim
}

var strangerLimits = resp.Limits{Bulk: strangerMost, Args: strangerArgs, Inline: strangerMost, Depth: 1, Command: strangerMost}

// hold asks for the room that the rest of the input takes, and has the connection read no further without it.
func (k *conn) hold() eventloop.Action {
	s := k.loop.s
	if k.client == nil {
		if k.strange = len(k.in); s.stranger(k, len(k.in)) == intake.Disconnect {
			s.cut.Add(1)
			k.because(badInput)
			k.in, k.quit = nil, true
			k.say(func(b []byte) []byte {
				return resp.AppendError(b, "ERR too much input of clients that have not logged in")
			})
			if act := k.loop.write(k); act != eventloop.None {
				return act
			}
			return k.pump()
		}
		return eventloop.None
	}
	if k.strange > 0 {
		k.strange = 0
		s.stranger(k, 0)
	}
	want := max(len(k.in), k.need)
	switch {
	case want <= chunkMost:
		if k.granted > 0 {
			k.granted = 0
			s.done(k)
		}
		return eventloop.None
	case k.paused:
		return k.park()
	case want <= k.granted:
		return eventloop.None
	}
	if s.ask(k, want) == intake.Proceed {
		k.granted = want
		if k.need > cap(k.in) {
			k.in = append(make([]byte, 0, k.need), k.in...)
		}
		return eventloop.None
	}
	k.waits = true
	return k.park()
}

// park has the connection read no further, so that the client waits.
func (k *conn) park() eventloop.Action {
	k.parked, k.ready = true, k.head
	k.loop.s.parks.Add(1)
	k.c.PauseReading()
	return eventloop.None
}

// unpark has the connection read on.
func (k *conn) unpark() eventloop.Action {
	k.parked = false
	k.c.ResumeReading()
	k.looked(true)
	if !k.partial.IsZero() {
		k.partial = time.Now() // it was not the client that kept it waiting
	}
	if act := k.pump(); act != eventloop.None || k.congested {
		return act
	}
	return k.again()
}
