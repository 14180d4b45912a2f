package day

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/audit"
	"cometpond/internal/standin"
	"cometpond/policy"
)

// Options say how a day is played.
type Options struct {
	Serve  func(file string) *exec.Cmd // the command that runs an instance with a settings file
	Output io.Writer                   // what the instances print
	Log    zerolog.Logger
	Slack  time.Duration // the auditor's, 0 for its own
	Front  string        // what clients speak: "resp" or "", "grpc", or "both"
}

// Run plays a day and returns the verdict. An error means that the day could not be played.
func Run(ctx context.Context, s *Script, opt Options) (*audit.Result, error) {
	switch opt.Front {
	case "", "resp", "grpc", "both":
	default:
		return nil, fmt.Errorf("front %q: want resp, grpc or both", opt.Front)
	}
	f, err := newFleet(s, opt)
	if err != nil {
		return nil, err
	}
	defer f.close()
	for i := range s.Instances {
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	up, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for i := range s.Instances {
		if err := f.ready(up, i); err != nil {
			return nil, err
		}
	}
	opt.Log.Info().Int("instances", s.Instances).Int("boxes", s.Servers).Float64("rate", s.Rate).Dur("for", s.Duration).Msg("the day begins")
	span, done := context.WithTimeout(ctx, s.Duration)
	defer done()
	l := newLoad(f)
	p := &play{f: f, l: l, log: opt.Log, failed: make(chan error, len(s.Faults)+1)}
	p.begin(span)
	l.run(span)
	p.work.Wait()
	select {
	case err := <-p.failed:
		return nil, err
	default:
	}
	if ctx.Err() != nil {
		return nil, errors.New("the day was cut short")
	}
	if err := f.stop(); err != nil {
		return nil, err
	}
	return audit.Evaluate(p.record()), nil
}

// play carries out the script.
type play struct {
	f      *fleet
	l      *load
	log    zerolog.Logger
	work   sync.WaitGroup
	failed chan error
}

func (p *play) record() *audit.Record {
	f := p.f
	r := &audit.Record{Classes: f.cfg.Classes, Plans: f.cfg.Plans, PlanOf: map[string]string{}, Attempts: p.l.tries,
		Arrivals: f.arrivals, Overloads: f.falls, Pauses: f.stalls, DrainGrace: 2 * time.Second, Slack: f.opt.Slack}
	r.Pushes, r.Acknowledgements = f.told()
	for _, list := range [][]*client{f.clients, f.fresh} {
		for _, c := range list {
			r.PlanOf[c.name] = c.plan
		}
	}
	return r
}

// begin starts a goroutine for each trouble; they end with the day.
func (p *play) begin(ctx context.Context) {
	start := time.Now()
	for i, e := range p.f.s.Faults {
		p.work.Add(1)
		go func() {
			defer p.work.Done()
			if !pause(ctx, time.Until(start.Add(e.At))) {
				return
			}
			p.log.Info().Str("trouble", e.Kind).Float64("size", e.Size).Dur("for", e.Duration).Msg("trouble begins")
			if err := p.trouble(ctx, e, i); err != nil {
				p.failed <- fmt.Errorf("(%s %g) at %v: %w", e.Kind, e.Size, e.At, err)
			}
		}()
	}
}

// pause waits; false if the day is over first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// noticeAfter is how long the list takes to tell what has become of a box.
const noticeAfter = 500 * time.Millisecond

// some returns the indices of n boxes, others for each trouble.
func (p *play) some(n, salt int) []int {
	var list []int
	for i := range min(n, len(p.f.boxes)) {
		list = append(list, (salt*5+i*7)%len(p.f.boxes))
	}
	return list
}

func (p *play) down(list []int) {
	for _, i := range list {
		p.f.down(i)
	}
}

func (p *play) each(list []int, f func(*standin.Server)) {
	for _, i := range list {
		f(p.f.boxes[i])
	}
}

// all returns the first n numbers.
func all(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

func (p *play) pieces(most int) {
	for _, list := range [][]*standin.TCPRelay{p.f.fronts, p.f.backs} {
		for _, r := range list {
			r.SetMaxChunk(most)
		}
	}
}

// back restarts boxes cold and has the list say so.
func (p *play) back(list []int) error {
	for _, i := range list {
		if err := p.f.up(i); err != nil {
			return err
		}
	}
	now := float64(time.Now().UnixNano()) / 1e9
	p.f.push(func(s []policy.Server) {
		for _, i := range list {
			s[i].State, s[i].StartedAt = policy.Up, now
		}
	})
	return nil
}

func (p *play) mark(list []int, state policy.ServerState) {
	p.f.push(func(s []policy.Server) {
		for _, i := range list {
			s[i].State = state
		}
	})
}

// trouble carries out one event and takes it back at its end.
func (p *play) trouble(ctx context.Context, e Fault, salt int) error {
	f, l, n := p.f, p.l, int(e.Size)
	while := func(on, off func()) error {
		on()
		pause(ctx, e.Duration)
		off()
		return nil
	}
	set := func(f func()) func() { return func() { l.mu.Lock(); defer l.mu.Unlock(); f() } }
	switch e.Kind {
	case "kill":
		return f.kill(ctx, n, e.Duration)
	case "stall":
		f.stall(ctx, n, e.Duration)
	case "silent", "dark":
		var list []int
		if e.Kind == "silent" {
			list = p.some(n, salt)
			p.each(list, func(b *standin.Server) { b.Silent(true) })
		} else {
			for i := range f.boxes {
				if i%f.s.Zones == n {
					list = append(list, i)
				}
			}
			p.down(list)
		}
		if pause(ctx, min(noticeAfter, e.Duration/2)) {
			p.mark(list, policy.Removed)
		}
		if !pause(ctx, e.Duration-min(noticeAfter, e.Duration/2)) {
			return nil
		}
		if e.Kind == "silent" {
			p.down(list)
		}
		return p.back(list)
	case "reset":
		for _, i := range p.some(n, salt) {
			f.backs[i].BreakConnections()
		}
	case "sever":
		f.sever(n)
	case "hold", "hold-boxes":
		hold := func(r *standin.TCPRelay, on bool) { r.SetPaused(standin.Direction(salt%2), on) }
		if e.Kind == "hold" {
			f.wires(ctx, []int{n}, nil, e.Duration, hold)
		} else {
			f.wires(ctx, nil, p.some(n, salt), e.Duration, hold)
		}
	case "pieces":
		return while(func() { p.pieces(n) }, func() { p.pieces(0) })
	case "trickle":
		f.wires(ctx, all(f.s.Instances), all(len(f.boxes)), e.Duration, func(r *standin.TCPRelay, on bool) {
			r.SetRate(0)
			if on {
				r.SetRate(e.Size)
			}
		})
	case "slow":
		every := all(len(f.boxes))
		return while(func() { p.each(every, func(b *standin.Server) { b.Slow(e.Size) }) }, func() { p.each(every, func(b *standin.Server) { b.Slow(1) }) })
	case "age":
		list := p.some(n, salt)
		for i := 1; i <= 10 && pause(ctx, e.Duration/10); i++ {
			p.each(list, func(b *standin.Server) { b.Slow(float64(i)) })
		}
		p.each(list, func(b *standin.Server) { b.Slow(1) })
	case "mute":
		list := p.some(n, salt)
		return while(func() { p.each(list, func(b *standin.Server) { b.Mute("JOB.STATUS") }) },
			func() { p.each(list, func(b *standin.Server) { b.Mute("") }) })
	case "drain":
		list := p.some(n, salt)
		p.mark(list, policy.Draining)
		if pause(ctx, e.Duration) {
			p.mark(list, policy.Up)
		}
	case "flood":
		c := f.clients[len(f.clients)-1]
		rate := 0.0
		for _, k := range f.cfg.Plans {
			if k.Name == c.plan {
				rate = k.Rate * e.Size
			}
		}
		return while(set(func() { l.flood[c] = rate }), set(func() { delete(l.flood, c) }))
	case "burst":
		return while(set(func() { l.factor = e.Size }), set(func() { l.factor = 1 }))
	case "scan":
		return while(set(func() { l.scan = e.Size }), set(func() { l.scan = 0 }))
	case "heavy":
		to := func(x float64) func() { return func() { f.mu.Lock(); defer f.mu.Unlock(); f.heavy = x } }
		return while(to(e.Size), to(1))
	case "move":
		l.move(e.Size)
	case "lossy":
		return while(func() { f.relay.SetLoss(e.Size) }, func() { f.relay.SetLoss(0) })
	case "split":
		part := make([]int, f.s.Instances)
		for i := range part {
			part[i] = i % n
		}
		return while(func() { f.relay.Partition(part) }, func() { f.relay.Partition(make([]int, f.s.Instances)) })
	}
	return nil
}
