package backend

import (
	"time"

	"cometpond/policy"
)

type probe struct {
	at    time.Time
	timer *time.Timer
}

// Probe asks a box for its load, on a connection of its own.
func (p *Pool) Probe(addr string) {
	b := p.box(addr)
	if b == nil {
		p.core.QueueProbeResult(policy.ProbeResult{Server: addr, Status: policy.ConnectFailed})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.probing != nil {
		return // one at a time: that one's end will be told
	}
	pr := &probe{at: time.Now()}
	b.probing = pr
	p.work.Add(1)
	pr.timer = time.AfterFunc(2*p.opt.ConnectTimeout, func() {
		defer p.work.Done()
		b.mu.Lock()
		if b.probing != pr {
			b.mu.Unlock()
			return
		}
		if b.probe != nil {
			b.probe.c.Close()
		}
		b.mu.Unlock()
		b.probed(policy.Timeout, nil)
	})
	if b.probe != nil {
		b.probe.usedAt = p.now()
		c := b.probe.c
		_ = c.Loop().Execute(func() { c.Write(p.opt.Dialect.AppendProbe(nil)) }) // an error means that the loops end
		return
	}
	b.dial(true)
}

// probed ends the probe that is out; false if none is.
func (b *box) probed(status policy.Status, load *policy.Load) bool {
	b.mu.Lock()
	pr := b.probing
	b.probing = nil
	b.mu.Unlock()
	if pr == nil {
		return false
	}
	if pr.timer.Stop() {
		b.pool.work.Done()
	}
	b.pool.core.QueueProbeResult(policy.ProbeResult{Server: b.name, Status: status, ElapsedS: time.Since(pr.at).Seconds(), Load: load})
	return true
}
