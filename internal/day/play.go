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
func Run(ctx context.Context, script *Script, opt Options) (*audit.Result, error) {
	switch opt.Front {
	case "", "resp", "grpc", "both":
	default:
		return nil, fmt.Errorf("front %q: want resp, grpc or both", opt.Front)
	}
	fl, err := newFleet(script, opt)
	if err != nil {
		return nil, err
	}
	defer fl.close()
	for i := range script.Instances {
		if err := fl.start(i); err != nil {
			return nil, err
		}
	}
	readyCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for i := range script.Instances {
		if err := fl.awaitReady(readyCtx, i); err != nil {
			return nil, err
		}
	}
	opt.Log.Info().Int("instances", script.Instances).Int("boxes", script.Servers).Float64("rate", script.Rate).Dur("for",
		script.Duration).Msg("scenario started")
	scenarioCtx, stop := context.WithTimeout(ctx, script.Duration)
	defer stop()
	load := newLoadGenerator(fl)
	runner := &faultRunner{fleet: fl, load: load, log: opt.Log, errs: make(chan error, len(script.Faults)+1)}
	runner.start(scenarioCtx)
	load.run(scenarioCtx)
	runner.running.Wait()
	select {
	case err := <-runner.errs:
		return nil, err
	default:
	}
	if ctx.Err() != nil {
		return nil, errors.New("scenario was interrupted")
	}
	if err := fl.stop(); err != nil {
		return nil, err
	}
	return audit.Evaluate(runner.record()), nil
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
	fl := runner.fleet
	r := &audit.Record{Classes: fl.config.Classes, Plans: fl.config.Plans, PlanOf: map[string]string{},
		Attempts: runner.load.attempts,
		Arrivals: fl.arrivals, Overloads: fl.overloads, Pauses: fl.pauses, DrainGrace: 2 * time.Second, Slack: fl.options.Slack}
	r.Pushes, r.Acknowledgements = fl.listHistory()
	for _, list := range [][]*client{fl.clients, fl.newClients} {
		for _, c := range list {
			r.PlanOf[c.name] = c.plan
		}
	}
	return r
}

// start starts a goroutine for each fault; all end with ctx.
func (runner *faultRunner) start(ctx context.Context) {
	start := time.Now()
	for i, fault := range runner.fleet.script.Faults {
		runner.running.Add(1)
		go func() {
			defer runner.running.Done()
			if !sleep(ctx, time.Until(start.Add(fault.At))) {
				return
			}
			runner.log.Info().Str("trouble", fault.Kind).Float64("size", fault.Size).Dur("for", fault.Duration).Msg("fault injected")
			if err := runner.inject(ctx, fault, i); err != nil {
				runner.errs <- fmt.Errorf("(%s %g) at %v: %w", fault.Kind, fault.Size, fault.At, err)
			}
		}()
	}
}

// sleep waits for a duration and returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
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

func (runner *faultRunner) forEachServer(list []int, change func(*standin.Server)) {
	for _, i := range list {
		change(runner.fleet.servers[i])
	}
}

// indices returns the numbers from 0 to n-1.
func indices(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

func (runner *faultRunner) limitPieces(maxBytes int) {
	for _, list := range [][]*standin.TCPRelay{runner.fleet.ingressStreams, runner.fleet.serverStreams} {
		for _, stream := range list {
			stream.SetMaxChunk(maxBytes)
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
func (runner *faultRunner) inject(ctx context.Context, fault Fault, salt int) error {
	fl, load, n := runner.fleet, runner.load, int(fault.Size)
	while := func(on, off func()) error {
		on()
		sleep(ctx, fault.Duration)
		off()
		return nil
	}
	set := func(change func()) func() { return func() { load.mu.Lock(); defer load.mu.Unlock(); change() } }
	switch fault.Kind {
	case "kill":
		return fl.kill(ctx, n, fault.Duration)
	case "stall":
		fl.pauseInstance(ctx, n, fault.Duration)
	case "silent", "dark":
		var list []int
		if fault.Kind == "silent" {
			list = runner.selectServers(n, salt)
			runner.forEachServer(list, func(server *standin.Server) { server.Silent(true) })
		} else {
			for i := range fl.servers {
				if i%fl.script.Zones == n {
					list = append(list, i)
				}
			}
			runner.takeDown(list)
		}
		if sleep(ctx, min(listUpdateDelay, fault.Duration/2)) {
			runner.setState(list, policy.Removed)
		}
		if !sleep(ctx, fault.Duration-min(listUpdateDelay, fault.Duration/2)) {
			return nil
		}
		if fault.Kind == "silent" {
			runner.takeDown(list)
		}
		return runner.restoreServers(list)
	case "reset":
		for _, i := range runner.selectServers(n, salt) {
			fl.serverStreams[i].BreakConnections()
		}
	case "sever":
		fl.resetClients(n)
	case "hold", "hold-boxes":
		hold := func(stream *standin.TCPRelay, on bool) { stream.SetPaused(standin.Direction(salt%2), on) }
		if fault.Kind == "hold" {
			fl.disturbStreams(ctx, []int{n}, nil, fault.Duration, hold)
		} else {
			fl.disturbStreams(ctx, nil, runner.selectServers(n, salt), fault.Duration, hold)
		}
	case "pieces":
		return while(func() { runner.limitPieces(n) }, func() { runner.limitPieces(0) })
	case "trickle":
		fl.disturbStreams(ctx, indices(fl.script.Instances), indices(len(fl.servers)), fault.Duration, func(stream *standin.TCPRelay,
			on bool) {
			stream.SetRate(0)
			if on {
				stream.SetRate(fault.Size)
			}
		})
	case "slow":
		all := indices(len(fl.servers))
		return while(func() { runner.forEachServer(all, func(server *standin.Server) { server.Slow(fault.Size) }) },
			func() { runner.forEachServer(all, func(server *standin.Server) { server.Slow(1) }) })
	case "age":
		list := runner.selectServers(n, salt)
		for i := 1; i <= 10 && sleep(ctx, fault.Duration/10); i++ {
			runner.forEachServer(list, func(server *standin.Server) { server.Slow(float64(i)) })
		}
		runner.forEachServer(list, func(server *standin.Server) { server.Slow(1) })
	case "mute":
		list := runner.selectServers(n, salt)
		return while(func() { runner.forEachServer(list, func(server *standin.Server) { server.Mute("JOB.STATUS") }) },
			func() { runner.forEachServer(list, func(server *standin.Server) { server.Mute("") }) })
	case "drain":
		list := runner.selectServers(n, salt)
		runner.setState(list, policy.Draining)
		if sleep(ctx, fault.Duration) {
			runner.setState(list, policy.Up)
		}
	case "flood":
		floodClient := fl.clients[len(fl.clients)-1]
		rate := 0.0
		for _, plan := range fl.config.Plans {
			if plan.Name == floodClient.plan {
				rate = plan.Rate * fault.Size
			}
		}
		return while(set(func() { load.floodRates[floodClient] = rate }), set(func() { delete(load.floodRates, floodClient) }))
	case "burst":
		return while(set(func() { load.loadFactor = fault.Size }), set(func() { load.loadFactor = 1 }))
	case "scan":
		return while(set(func() { load.scanShare = fault.Size }), set(func() { load.scanShare = 0 }))
	case "heavy":
		to := func(x float64) func() { return func() { fl.mu.Lock(); defer fl.mu.Unlock(); fl.heavyFactor = x } }
		return while(to(fault.Size), to(1))
	case "move":
		load.moveClients(fault.Size)
	case "lossy":
		return while(func() { fl.relay.SetLoss(fault.Size) }, func() { fl.relay.SetLoss(0) })
	case "split":
		parts := make([]int, fl.script.Instances)
		for i := range parts {
			parts[i] = i % n
		}
		return while(func() { fl.relay.Partition(parts) }, func() { fl.relay.Partition(make([]int, fl.script.Instances)) })
	}
	return nil
}
