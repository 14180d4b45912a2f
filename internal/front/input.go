package front

import (
	"time"

	"cometpond/internal/eventloop"
	"cometpond/internal/intake"
	"cometpond/internal/resp"
)

// passAfter is how long a connection waits for memory until no other may overtake it, in seconds.
const passAfter = 2

// stranger requests memory for the input of a connection that has not logged in.
func (srv *Server) stranger(k *conn, bytes int) intake.Verdict {
	srv.poolMu.Lock()
	defer srv.poolMu.Unlock()
	return srv.pool.Stranger(k.id, bytes)
}

// ask requests memory for the input of a connection that has logged in.
func (srv *Server) ask(k *conn, bytes int) intake.Verdict {
	srv.poolMu.Lock()
	defer srv.poolMu.Unlock()
	v, others := srv.pool.Ask(seconds(), k.id, bytes)
	if v == intake.Wait {
		srv.asking[k.id] = k
	}
	srv.granted(others)
	return v
}

// done returns a connection's memory to the pool.
func (srv *Server) done(k *conn) {
	srv.poolMu.Lock()
	defer srv.poolMu.Unlock()
	srv.granted(srv.pool.Done(seconds(), k.id))
}

// leave removes a connection from the pool, with the memory that it holds and any request for more.
func (srv *Server) leave(k *conn) {
	srv.poolMu.Lock()
	defer srv.poolMu.Unlock()
	delete(srv.asking, k.id)
	srv.granted(srv.pool.Leave(seconds(), k.id))
}

// granted notifies connections, each on its own loop, that the pool has granted their requests. The caller holds poolMu.
func (srv *Server) granted(ids []uint64) {
	for _, id := range ids {
		k := srv.asking[id]
		delete(srv.asking, id)
		if k != nil {
			_ = k.loop.el.Execute(func() { k.loop.goOn(k) }) // an error means that the loops are ending
		}
	}
}

// goOn resumes a connection whose request for memory was granted.
func (l *loop) goOn(k *conn) {
	if k.closed {
		l.s.leave(k) // it was closed while the notification was on its way
		return
	}
	k.waits = false
	k.granted = max(len(k.in), k.need)
	if !k.partial.IsZero() {
		k.partial = time.Now()
	}
	l.act(k, k.resume())
}

// Limits of the input that one connection may hold, in bytes but for strangerArgs.
const (
	chunkMost    = 16 << 10 // size of one read, which arrives before any limit can be applied
	strangerMost = 16 << 10 // size of a command before login
	strangerArgs = 10       // arguments of a command before login
	aheadMost    = 4 << 20  // a command, or commands pipelined ahead of replies, in excess of one argument of the maximum size
)

// limits returns the limits of the next command.
func (k *conn) limits() resp.Limits {
	if k.client == nil {
		return strangerLimits
	}
	return k.loop.s.lim
}

var strangerLimits = resp.Limits{Bulk: strangerMost, Args: strangerArgs, Inline: strangerMost, Depth: 1, Command: strangerMost}

// hold requests memory for the input that is left, and pauses reading from the connection if it is not granted.
func (k *conn) hold() eventloop.Action {
	s := k.loop.s
	if k.client == nil {
		if k.strange = len(k.in); s.stranger(k, len(k.in)) == intake.Cut {
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
	if s.ask(k, want) == intake.Go {
		k.granted = want
		if k.need > cap(k.in) {
			k.in = append(make([]byte, 0, k.need), k.in...)
		}
		return eventloop.None
	}
	k.waits = true
	return k.park()
}

// park pauses reading from the connection, so that TCP flow control makes the client wait.
func (k *conn) park() eventloop.Action {
	k.parked, k.ready = true, k.head
	k.loop.s.parks.Add(1)
	k.c.PauseReading()
	return eventloop.None
}

// unpark resumes reading from the connection.
func (k *conn) unpark() eventloop.Action {
	k.parked = false
	k.c.ResumeReading()
	k.looked(true)
	if !k.partial.IsZero() {
		k.partial = time.Now() // the delay was not the client's
	}
	if act := k.pump(); act != eventloop.None || k.congested {
		return act
	}
	return k.again()
}
