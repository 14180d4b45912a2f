package front

import (
	"sync"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
)

// loop is one event loop: its connections, and the answers on their way to them. All but the inbox belongs
// to the loop's goroutine.
type loop struct {
	s     *Server
	el    *eventloop.Loop
	conns map[*conn]struct{}
	buf   []byte
	calls []*core.Call
	dirty []*conn

	lingering []*conn // in the order in which they began

	behind   []*conn // those with answers that their sockets did not take
	checking bool    // a look at them is on its way

	mu    sync.Mutex
	inbox []*core.Call
	up    bool // the loop will look at inbox by itself
	spare []*core.Call
}

// sleep has the loop look at its inbox in a turn of its own.
func (l *loop) sleep() {
	l.mu.Lock()
	l.up = false
	l.mu.Unlock()
	_ = l.el.Execute(l.run) // an error means that the loops end, and connections with them
}

// awake notes whether the loop will look at its inbox by itself. It stays awake, and false is returned, while
// something lies there.
func (l *loop) awake(on bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on && len(l.inbox) > 0 {
		return false
	}
	l.up = on
	return true
}

// Answered takes calls back from the core and wakes the loop.
func (l *loop) Answered(calls []*core.Call) {
	l.mu.Lock()
	first := len(l.inbox) == 0 && !l.up
	l.inbox = append(l.inbox, calls...)
	l.mu.Unlock()
	if first {
		_ = l.el.Execute(l.run) // an error means that the loops end, and connections with them
	}
}

// run writes the answers that have come to their connections.
func (l *loop) run() {
	l.mu.Lock()
	batch := l.inbox
	l.inbox = l.spare[:0]
	l.mu.Unlock()
	for _, c := range batch {
		p := c.Tag.(*pending)
		p.done = true
		if k := p.conn; !k.dirty && !k.closed {
			k.dirty = true
			l.dirty = append(l.dirty, k)
		}
	}
	clear(batch)
	l.spare = batch
	for _, k := range l.dirty {
		k.dirty = false
		if k.closed {
			continue
		}
		l.act(k, k.resume())
	}
	clear(l.dirty)
	l.dirty = l.dirty[:0]
}

// act carries out what came of a connection outside its own callbacks.
func (l *loop) act(k *conn, act eventloop.Action) {
	if act == eventloop.Close {
		l.el.Close(k.c)
	}
}

// cut ends a connection.
func (l *loop) cut(k *conn, reason closeReason) {
	k.because(reason)
	l.el.Close(k.c)
}
