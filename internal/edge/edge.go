// Package edge runs one instance as an ingress of the users' platform: it speaks the platform's configuration format,
// client and server protocol, discovery protocol and peer datagrams. The front, the core and the connections to servers
// are the same as those of any other instance, and all decisions about requests are made there.
package edge

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/backend"
	"cometpond/internal/core"
	"cometpond/internal/edge/endpoints"
	"cometpond/internal/edge/plan"
	"cometpond/internal/edge/svc"
	"cometpond/internal/front"
	"cometpond/internal/peer"
	"cometpond/internal/syserr"
)

// Ingress is a running ingress.
type Edge struct {
	cfg    *Config
	log    zerolog.Logger
	clock  core.Clock
	loop   *core.Loop
	stalls *core.Stalls
	pool   *backend.Pool
	peers  *peer.Transport
	disc   *endpoints.Client
	front  *front.Server

	stopParts context.CancelFunc
	stopLoop  context.CancelFunc
	parts     sync.WaitGroup
	ran       chan struct{} // closed when the core loop has ended
	listed    sync.Once
	first     chan struct{} // closed once a list that contains servers has been applied
	reloads   chan struct{} // holds a pending request to read the configuration again
}

// Periods during which reading the configuration file is retried. At the start an unreadable file is retried; at a reload
// an invalid one is retried as well, because the file may be read while it is still being written.
const (
	loadFor   = 3 * time.Second
	reloadFor = 3 * time.Second
)

// ApplyResourceLimits configures the Go runtime for the machine's resources: it limits the number of running threads and
// keeps the heap well below the memory limit.
func Confine(cfg *Config) {
	budget := plan.NewBudget(cfg.Limits, cfg.Terms.MostHeld, svc.MaxValue)
	runtime.GOMAXPROCS(budget.Threads)
	debug.SetMemoryLimit(budget.HeapBytes)
}

// Run loads the configuration and runs an ingress until it has shut down. A signal on hup reloads the configuration, a
// signal on term starts a graceful shutdown. Both may arrive before the ingress is up, at the same time, and repeatedly.
func Run(getenv func(string) string, hup, term <-chan os.Signal, log zerolog.Logger) error {
	starting, cancel := context.WithCancel(context.Background())
	defer cancel()
	type outcome struct {
		ingress *Edge
		err     error
	}
	started, stopped := make(chan outcome, 1), make(chan struct{})
	go func() {
		ingress, err := begin(starting, getenv, log)
		started <- outcome{ingress, err}
	}()
	var ingress *Edge
	var reloadRequested, stopping bool
	stop := func() {
		log.Info().Msg("shutting down: serving until clients have reconnected elsewhere and open requests are answered")
		go func() {
			defer close(stopped)
			ingress.Stop()
		}()
	}
	for {
		select {
		case result := <-started:
			switch {
			case stopping && result.err != nil:
				return nil // no client was accepted yet
			case result.err != nil:
				return result.err
			}
			ingress = result.ingress
			if reloadRequested {
				ingress.reload()
			}
			if stopping {
				stop()
			}
		case <-hup:
			if reloadRequested = true; ingress != nil {
				ingress.reload()
			}
		case <-term:
			if stopping {
				continue
			}
			if stopping = true; ingress == nil {
				cancel()
			} else {
				stop()
			}
		case <-stopped:
			return nil
		}
	}
}

// loadAndStart loads the configuration and starts an ingress with it.
func begin(ctx context.Context, getenv func(string) string, log zerolog.Logger) (*Edge, error) {
	var cfg *Config
	loadCtx, cancel := context.WithTimeout(ctx, loadFor)
	defer cancel()
	err := syserr.Retry(loadCtx, syserr.Storage, func() (err error) {
		cfg, err = Load(getenv)
		return err
	})
	if err != nil {
		return nil, err
	}
	Confine(cfg)
	ingress, err := start(ctx, cfg, func() (*Config, error) { return Load(getenv) }, log)
	if err != nil {
		return nil, err
	}
	log.Info().Str("name", cfg.Name).Str("listen", cfg.Listen).Float64("cores", cfg.Limits.Cores).
		Float64("memory_mb", cfg.Limits.MemoryMB).Int("sockets", cfg.Limits.Sockets).Msg("serving")
	return ingress, nil
}

// Start starts an ingress. It accepts clients once the policy module is running and the initial list of servers has been
// applied. Without an initial list it waits for the first one from discovery; if ctx ends during that wait, Start fails.
func Start(ctx context.Context, cfg *Config, log zerolog.Logger) (*Edge, error) {
	return start(ctx, cfg, nil, log)
}

// start is Start with a function that loads the configuration at a reload; nil disables reloads.
func start(ctx context.Context, cfg *Config, load func() (*Config, error), log zerolog.Logger) (_ *Edge, err error) {
	ingress := &Edge{cfg: cfg, log: log, clock: core.NewClock(), ran: make(chan struct{}), first: make(chan struct{}), reloads: make(chan struct{}, 1)}
	budget := plan.NewBudget(cfg.Limits, cfg.Terms.MostHeld, svc.MaxValue)
	if ingress.loop, err = core.NewLoop(cfg.Terms.Settings, cfg.Seed, ingress.clock); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ingress.loop.Bound(budget.Held)
	if cfg.Trace {
		ingress.loop.Observe(traceRequests(log))
	}
	ingress.stalls = core.NewStalls(ingress.clock)
	ingress.pool, err = backend.New(ingress.loop, poolOptions(cfg, budget, log.With().Str("part", "backend").Logger()))
	if err != nil {
		return nil, err
	}
	servicesCtx, stopServices := context.WithCancel(context.Background())
	loopCtx, stopLoop := context.WithCancel(context.Background())
	ingress.stopParts, ingress.stopLoop = stopServices, stopLoop
	defer func() {
		if err != nil {
			ingress.end()
		}
	}()
	var peers core.Peers
	if cfg.Terms.Peers && cfg.Terms.Gateways > 1 {
		ingress.peers, err = peer.OpenPlain(cfg.PeerListen, cfg.Peers, cfg.PeersAll, cfg.Terms.Me, ingress.loop, log.With().Str("part", "peer").Logger())
		if err != nil {
			close(ingress.ran)
			return nil, err
		}
		peers = ingress.peers
		ingress.run(func() { ingress.peers.Run(servicesCtx) })
	}
	ingress.loop.Attach(ingress.pool, peers)
	ingress.run(func() { ingress.stalls.Run(servicesCtx) })
	go func() {
		defer close(ingress.ran)
		ingress.loop.Run(loopCtx)
	}()
	ingress.List(cfg.Known)
	ingress.disc = endpoints.NewClient(cfg.Discovery, cfg.Known, ingress, log.With().Str("part", "discovery").Logger())
	ingress.run(func() { ingress.disc.Run(servicesCtx) })
	timeout := time.NewTimer(time.Duration(plan.FirstListS * float64(time.Second)))
	defer timeout.Stop()
	select {
	case <-ingress.first:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timeout.C:
		log.Warn().Str("discovery", cfg.Discovery).Msg("no list of servers from discovery yet; refusing all requests until one arrives")
	}
	commands := svc.NewClients(svc.NewBook(cfg.Terms.Settings))
	ingress.front, err = front.Start(ingress.loop, front.Options{Listen: cfg.Listen, Loops: 1, Leavers: true, Bounds: budget.Front, Crowd: budget.Crowd,
		Commands: commands, Age: ingress.stalls.Age, Log: log.With().Str("part", "front").Logger()})
	if err != nil {
		return nil, err
	}
	ingress.run(func() { ingress.watch(servicesCtx) })
	if load != nil {
		ingress.run(func() { ingress.followConfiguration(servicesCtx, load) })
	}
	return ingress, nil
}

// poolOptions returns the options of the connection pool to the servers.
func poolOptions(cfg *Config, budget plan.Budget, log zerolog.Logger) backend.Options {
	limits, dialTimeoutS := plan.Links(cfg.Terms, budget)
	var protocol backend.Dialect = svc.Backends{}
	if cfg.Trace {
		protocol = &tracedBackends{protocol, log}
	}
	return backend.Options{Dialect: protocol, Connections: limits.Connections, Total: budget.Backends, Pipeline: limits.Pipeline, RestS: limits.RestS,
		IdleS: limits.IdleS, Connect: time.Duration(dialTimeoutS * float64(time.Second)), Strict: true, Loops: 1, Log: log}
}

// goService runs a service on its own goroutine; closeAll waits until it returns.
func (e *Edge) run(service func()) {
	e.parts.Add(1)
	go func() {
		defer e.parts.Done()
		service()
	}()
}

// ApplyList applies a list of servers, full or changes. The pool gets the addresses first, so that it can connect to a
// server as soon as the core selects it.
func (e *Edge) List(list endpoints.List) {
	if len(list.Servers) == 0 && !list.Whole {
		return
	}
	e.pool.Located(list.Dial)
	select {
	case <-e.loop.Servers(list.Servers, list.Whole):
	case <-e.ran:
	}
	if len(list.Servers) > 0 {
		e.listed.Do(func() { close(e.first) })
	}
}

// requestReload asks reloadOnRequest to read the configuration again. It never blocks.
func (e *Edge) reload() {
	select {
	case e.reloads <- struct{}{}:
	default: // a reload is pending already
	}
}

// reloadOnRequest reloads the configuration at each call of requestReload, until ctx is done. A configuration that stays
// unusable during the retry period is logged and changes nothing.
func (e *Edge) followConfiguration(ctx context.Context, load func() (*Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.reloads:
		}
		var next *Config
		loadCtx, cancel := context.WithTimeout(ctx, reloadFor)
		err := syserr.Retry(loadCtx, func(error) bool { return true }, func() (err error) {
			next, err = load()
			return err
		})
		cancel()
		if err != nil {
			e.log.Error().Err(err).Msg("could not reload the configuration; keeping the current one")
			continue
		}
		e.Reload(next)
	}
}

// Reload applies a new configuration: lists of servers are fetched from its discovery address from now on. All other
// fields keep the values of the first configuration.
func (e *Edge) Reload(cfg *Config) {
	e.log.Info().Str("discovery", cfg.Discovery).Msg("configuration reloaded")
	e.disc.Move(cfg.Discovery)
}

// Stop shuts the ingress down gracefully: it serves until clients have reconnected elsewhere and all open requests are
// answered, at most for the time that plan.Shutdown allows, then closes everything.
func (e *Edge) Stop() {
	shutdown := plan.Leaving{Since: e.clock.Now()}
	for _, class := range e.cfg.Terms.Classes {
		shutdown.LongestS = max(shutdown.LongestS, class.DeadlineS)
	}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		status := e.loop.Status()
		step := shutdown.Next(e.clock.Now(), e.front.Open(), status.Held+status.Waiting)
		if step == plan.Retire {
			e.front.Retire()
		} else if step == plan.Exit {
			break
		}
	}
	e.end()
}

// closeAll stops and closes everything that start has started: the core loop first, which settles the open requests, then
// the front after it has sent their answers, the services and the connections to servers.
func (e *Edge) end() {
	e.stopLoop()
	<-e.ran
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if e.front != nil {
		e.front.Flush(ctx)
		e.front.Stop(ctx)
	}
	e.stopParts()
	e.parts.Wait()
	e.pool.Stop()
}
