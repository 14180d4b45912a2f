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

// ConnectionStats is what the connections to one box carry.
type ConnectionStats struct {
	Connections, Idle int // open, and with nothing out
	InFlight          int // attempts without an end
	Cancelled         int // attempts given up whose connection still stands
}

// ConnectionStats tells what the connections to each box carry now.
func (p *Pool) ConnectionStats() map[string]ConnectionStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]ConnectionStats, len(p.boxes))
	for name, b := range p.boxes {
		b.mu.Lock()
		open, idle, dead := b.conns.Links()
		all[name] = ConnectionStats{open, idle, b.conns.Out(), dead}
		b.mu.Unlock()
	}
	return all
}
