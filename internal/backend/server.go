package backend

import (
	"sync"

	"cometpond/internal/links"
)

// box is what is kept of one box. Its lock covers all below.
type box struct {
	pool *Pool
	name string
	addr string // where it is reached

	mu      sync.Mutex
	conns   *links.Box
	probe   *link // a connection of its own, so that no answer holds a probe up
	probing *probe
}

func (b *box) retire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns.Retire()
	if b.probe != nil {
		b.probe.c.Close()
	}
}

// Held is what the connections to one box carry.
type Held struct {
	Connections, Idle int // open, and with nothing out
	Out               int // attempts without an end
	GivenUp           int // attempts given up whose connection still stands
}

// Held tells what the connections to each box carry now.
func (p *Pool) Held() map[string]Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]Held, len(p.boxes))
	for name, b := range p.boxes {
		b.mu.Lock()
		open, idle, dead := b.conns.Links()
		all[name] = Held{open, idle, b.conns.Out(), dead}
		b.mu.Unlock()
	}
	return all
}
