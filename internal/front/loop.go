package front

import (
	"sync"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
)

// loop is the state of one event loop: its connections and the answers that are on their way to them. Everything but the
// inbox is accessed on the loop's goroutine alone.
type loop struct {
	s     *Server
	el    *eventloop.Loop
	conns map[*conn]struct{}
	buf   []byte       // replies to write to the current connection
	calls []*core.Call // parsed from the current connection's input, not yet submitted
	dirty []*conn      // connections with new answers

	lingering []*conn // connections in a lingering close, oldest first

	behind   []*conn // connections with replies that their sockets have not accepted yet
	checking bool    // a check of these is scheduled

	mu    sync.Mutex   // guards inbox and up
	inbox []*core.Call // answered calls
	up    bool         // the loop checks inbox by itself and needs no wake-up
	spare []*core.Call // the previous inbox, kept for its memory
}

// sleep schedules the processing of the inbox as a separate task of the event loop.
func (l *loop) sleep() {
	l.mu.Lock()
	l.up = false
	l.mu.Unlock()
	_ = l.el.Execute(l.run) // an error means that the loops are ending, and the connections with them
}

// awake sets whether the loop checks its inbox by itself. While the inbox is not empty it can't be switched off, and the
// result is false.
func (l *loop) awake(on bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on && len(l.inbox) > 0 {
		return false
	}
	l.up = on
	return true
}

// Answered receives calls that the core has answered and wakes the loop if necessary. It implements core.Front.
func (l *loop) Answered(calls []*core.Call) {
	l.mu.Lock()
	first := len(l.inbox) == 0 && !l.up
	l.inbox = append(l.inbox, calls...)
	l.mu.Unlock()
	if first {
		_ = l.el.Execute(l.run) // an error means that the loops are ending, and the connections with them
	}
}

// run takes the answers from the inbox and writes the replies to their connections.
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

// act applies the action that resulted from work on a connection outside the callbacks of the event loop.
func (l *loop) act(k *conn, act eventloop.Action) {
	if act == eventloop.Close {
		l.el.Close(k.c)
	}
}

// cut closes a connection immediately.
func (l *loop) cut(k *conn, reason closeReason) {
	k.because(reason)
	l.el.Close(k.c)
}
