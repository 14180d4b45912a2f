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

// Options configure a run.
type Options struct {
	Serve  func(file string) *exec.Cmd // the command that runs an instance with a settings file
	Output io.Writer                   // receives the output of the instances
	Log    zerolog.Logger
	Slack  time.Duration // audit.Record.Slack, 0 for its default
	Front  string        // the protocol of the clients: "resp" or "", "grpc", or "both"
}

// Run runs a scenario and returns the result of the audit. An error means that the scenario could not be completed.
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
		if err := f.awaitReady(up, i); err != nil {
			return nil, err
		}
	}
	opt.Log.Info().Int("instances", s.Instances).Int("boxes", s.Servers).Float64("rate", s.Rate).Dur("for", s.Duration).Msg("scenario started")
	span, done := context.WithTimeout(ctx, s.Duration)
	defer done()
	l := newLoadGenerator(f)
	p := &faultRunner{fleet: f, load: l, log: opt.Log, errs: make(chan error, len(s.Faults)+1)}
	p.start(span)
	l.run(span)
	p.running.Wait()
	select {
	case err := <-p.errs:
		return nil, err
	default:
	}
	if ctx.Err() != nil {
		return nil, errors.New("scenario was interrupted")
	}
	if err := f.stop(); err != nil {
		return nil, err
	}
	return audit.Evaluate(p.record()), nil
}

// faultRunner injects the faults of a script.
type faultRunner struct {
	fleet   *fleet
	load    *loadGenerator
	log     zerolog.Logger
	running sync.WaitGroup
	errs    chan error
}

func (runner *faultRunner) record() *audit.Record {
	f := runner.fleet
	r := &audit.Record{Classes: f.config.Classes, Plans: f.config.Plans, PlanOf: map[string]string{}, Attempts: runner.load.attempts,
		Arrivals: f.arrivals, Overloads: f.overloads, Pauses: f.pauses, DrainGrace: 2 * time.Second, Slack: f.options.Slack}
	r.Pushes, r.Acknowledgements = f.listHistory()
	for _, list := range [][]*client{f.clients, f.newClients} {
		for _, c := range list {
			r.PlanOf[c.name] = c.plan
		}
	}
	return r
}

// start starts a goroutine for each fault; all end with ctx.
func (runner *faultRunner) start(ctx context.Context) {
	start := time.Now()
	for i, e := range runner.fleet.script.Faults {
		runner.running.Add(1)
		go func() {
			defer runner.running.Done()
			if !sleep(ctx, time.Until(start.Add(e.At))) {
				return
			}
			runner.log.Info().Str("trouble", e.Kind).Float64("size", e.Size).Dur("for", e.Duration).Msg("fault injected")
			if err := runner.inject(ctx, e, i); err != nil {
				runner.errs <- fmt.Errorf("(%s %g) at %v: %w", e.Kind, e.Size, e.At, err)
			}
		}()
	}
}

// sleep waits for a duration and returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// listUpdateDelay is the delay after which the list of servers reflects a failed server.
const listUpdateDelay = 500 * time.Millisecond

// selectServers returns the indices of n servers; the salt makes them differ between faults.
func (runner *faultRunner) selectServers(n, salt int) []int {
	var list []int
	for i := range min(n, len(runner.fleet.servers)) {
		list = append(list, (salt*5+i*7)%len(runner.fleet.servers))
	}
	return list
}

func (runner *faultRunner) takeDown(list []int) {
	for _, i := range list {
		runner.fleet.takeDown(i)
	}
}

func (runner *faultRunner) forEachServer(list []int, f func(*standin.Box)) {
	for _, i := range list {
		f(runner.fleet.servers[i])
	}
}

// indices returns the numbers from 0 to n-1.
func indices(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

func (runner *faultRunner) limitPieces(most int) {
	for _, list := range [][]*standin.Stream{runner.fleet.ingressStreams, runner.fleet.serverStreams} {
		for _, r := range list {
			r.Pieces(most)
		}
	}
}

// restoreServers restarts servers cold and marks them as up in the list of servers.
func (runner *faultRunner) restoreServers(list []int) error {
	for _, i := range list {
		if err := runner.fleet.bringUp(i); err != nil {
			return err
		}
	}
	now := float64(time.Now().UnixNano()) / 1e9
	runner.fleet.updateServerList(func(s []policy.Server) {
		for _, i := range list {
			s[i].State, s[i].StartedAt = policy.Up, now
		}
	})
	return nil
}

func (runner *faultRunner) setState(list []int, state policy.ServerState) {
	runner.fleet.updateServerList(func(s []policy.Server) {
		for _, i := range list {
			s[i].State = state
		}
	})
}

// inject injects one fault and reverts it at its end.
func (runner *faultRunner) inject(ctx context.Context, e Fault, salt int) error {
	f, l, n := runner.fleet, runner.load, int(e.Size)
	while := func(on, off func()) error {
		on()
		sleep(ctx, e.Duration)
		off()
		return nil
	}
	set := func(f func()) func() { return func() { l.mu.Lock(); defer l.mu.Unlock(); f() } }
	switch e.Kind {
	case "kill":
		return f.kill(ctx, n, e.Duration)
	case "stall":
		f.pauseInstance(ctx, n, e.Duration)
	case "silent", "dark":
		var list []int
		if e.Kind == "silent" {
			list = runner.selectServers(n, salt)
			runner.forEachServer(list, func(b *standin.Box) { b.Silent(true) })
		} else {
			for i := range f.servers {
				if i%f.script.Zones == n {
					list = append(list, i)
				}
			}
			runner.takeDown(list)
		}
		if sleep(ctx, min(listUpdateDelay, e.Duration/2)) {
			runner.setState(list, policy.Removed)
		}
		if !sleep(ctx, e.Duration-min(listUpdateDelay, e.Duration/2)) {
			return nil
		}
		if e.Kind == "silent" {
			runner.takeDown(list)
		}
		return runner.restoreServers(list)
	case "reset":
		for _, i := range runner.selectServers(n, salt) {
			f.serverStreams[i].Sever()
		}
	case "sever":
		f.resetClients(n)
	case "hold", "hold-boxes":
		hold := func(r *standin.Stream, on bool) { r.Hold(standin.Direction(salt%2), on) }
		if e.Kind == "hold" {
			f.disturbStreams(ctx, []int{n}, nil, e.Duration, hold)
		} else {
			f.disturbStreams(ctx, nil, runner.selectServers(n, salt), e.Duration, hold)
		}
	case "pieces":
		return while(func() { runner.limitPieces(n) }, func() { runner.limitPieces(0) })
	case "trickle":
		f.disturbStreams(ctx, indices(f.script.Instances), indices(len(f.servers)), e.Duration, func(r *standin.Stream, on bool) {
			r.Trickle(0)
			if on {
				r.Trickle(e.Size)
			}
		})
	case "slow":
		every := indices(len(f.servers))
		return while(func() { runner.forEachServer(every, func(b *standin.Box) { b.Slow(e.Size) }) }, func() { runner.forEachServer(every, func(b *standin.Box) { b.Slow(1) }) })
	case "age":
		list := runner.selectServers(n, salt)
		for i := 1; i <= 10 && sleep(ctx, e.Duration/10); i++ {
			runner.forEachServer(list, func(b *standin.Box) { b.Slow(float64(i)) })
		}
		runner.forEachServer(list, func(b *standin.Box) { b.Slow(1) })
	case "mute":
		list := runner.selectServers(n, salt)
		return while(func() { runner.forEachServer(list, func(b *standin.Box) { b.Mute("JOB.STATUS") }) },
			func() { runner.forEachServer(list, func(b *standin.Box) { b.Mute("") }) })
	case "drain":
		list := runner.selectServers(n, salt)
		runner.setState(list, policy.Draining)
		if sleep(ctx, e.Duration) {
			runner.setState(list, policy.Up)
		}
	case "flood":
		c := f.clients[len(f.clients)-1]
		rate := 0.0
		for _, k := range f.config.Plans {
			if k.Name == c.plan {
				rate = k.Rate * e.Size
			}
		}
		return while(set(func() { l.floodRates[c] = rate }), set(func() { delete(l.floodRates, c) }))
	case "burst":
		return while(set(func() { l.loadFactor = e.Size }), set(func() { l.loadFactor = 1 }))
	case "scan":
		return while(set(func() { l.scanShare = e.Size }), set(func() { l.scanShare = 0 }))
	case "heavy":
		to := func(x float64) func() { return func() { f.mu.Lock(); defer f.mu.Unlock(); f.heavyFactor = x } }
		return while(to(e.Size), to(1))
	case "move":
		l.moveClients(e.Size)
	case "lossy":
		return while(func() { f.relay.Lose(e.Size) }, func() { f.relay.Lose(0) })
	case "split":
		part := make([]int, f.script.Instances)
		for i := range part {
			part[i] = i % n
		}
		return while(func() { f.relay.Split(part) }, func() { f.relay.Split(make([]int, f.script.Instances)) })
	}
	return nil
}
