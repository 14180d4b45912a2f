package backend

import (
	"context"

	"cometpond/internal/syserr"
	"cometpond/policy"
)

// dial opens one more connection on a goroutine of its own, which the pool waits for.
func (b *box) dial(probe bool) {
	p := b.pool
	p.dials.Add(1)
	p.work.Add(1)
	addr := b.addr
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(p.ctx, p.opt.ConnectTimeout)
		defer cancel()
		l := &link{box: b, probe: probe, addr: addr}
		if err := syserr.Retry(ctx, syserr.Local, func() error { return p.connect(ctx, l) }); err != nil {
			p.dialsFailed.Add(1)
			p.warn.Warn().Str("box", b.name).Str("addr", addr).Bool("probe", probe).Err(err).Msg("no connection to a box")
			b.dialFailed(probe, err)
		}
	}()
}

// connect opens a connection and has a loop serve it.
func (p *Pool) connect(ctx context.Context, l *link) error {
	c, err := p.opt.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return err
	}
	return p.loops.Enroll(c, l)
}

// dialFailed takes the news that a connection was not had. What this machine lacked for it says nothing of the box.
func (b *box) dialFailed(probe bool, err error) {
	status := policy.ConnectFailed
	if syserr.Local(err) {
		status = policy.NotSent
	}
	if probe {
		b.probed(status, nil)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns.DialFailed(b.pool.now(), status)
}
