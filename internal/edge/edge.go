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
	"cometpond/internal/membudget"
	"cometpond/internal/peer"
	"cometpond/internal/syserr"
)

// Ingress is a running ingress.
type Ingress struct {
	cfg       *Config
	log       zerolog.Logger
	clock     core.Clock
	loop      *core.Loop
	pauses    *core.PauseMonitor
	pool      *backend.Pool
	peers     *peer.Transport
	discovery *endpoints.Client
	front     *front.Server
	memory    *membudget.Budget

	stopServices     context.CancelFunc
	stopLoop         context.CancelFunc
	services         sync.WaitGroup
	loopDone         chan struct{} // closed when the core loop has ended
	firstListOnce    sync.Once
	firstListApplied chan struct{} // closed once a list that contains servers has been applied
	reloadRequests   chan struct{} // holds a pending request to read the configuration again
}

// Periods during which reading the configuration file is retried. At the start an unreadable file is retried; at a reload
// an invalid one is retried as well, because the file may be read while it is still being written.
const (
	loadRetryPeriod   = 3 * time.Second
	reloadRetryPeriod = 3 * time.Second
)

// ApplyResourceLimits configures the Go runtime for the machine's resources: it limits the number of running threads and
// keeps the heap well below the memory limit.
func ApplyResourceLimits(cfg *Config) {
	budget := plan.NewBudget(cfg.Resources, cfg.Settings.MaxOpenRequests, svc.MaxValueBytes)
	runtime.GOMAXPROCS(budget.Threads)
	debug.SetMemoryLimit(budget.HeapBytes)
}

// Run loads the configuration and runs an ingress until it has shut down. A signal on hup reloads the configuration, a
// signal on term starts a graceful shutdown. Both may arrive before the ingress is up, at the same time, and repeatedly.
func Run(getenv func(string) string, hup, term <-chan os.Signal, log zerolog.Logger) error {
	starting, cancel := context.WithCancel(context.Background())
	defer cancel()
	type outcome struct {
		ingress *Ingress
		err     error
	}
	started, stopped := make(chan outcome, 1), make(chan struct{})
	go func() {
		ingress, err := loadAndStart(starting, getenv, log)
		started <- outcome{ingress, err}
	}()
	var ingress *Ingress
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
				ingress.requestReload()
			}
			if stopping {
				stop()
			}
		case <-hup:
			if reloadRequested = true; ingress != nil {
				ingress.requestReload()
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
func loadAndStart(ctx context.Context, getenv func(string) string, log zerolog.Logger) (*Ingress, error) {
	var cfg *Config
	loadCtx, cancel := context.WithTimeout(ctx, loadRetryPeriod)
	defer cancel()
	err := syserr.Retry(loadCtx, syserr.StorageRetryable, func() (err error) {
		cfg, err = Load(getenv)
		return err
	})
	if err != nil {
		return nil, err
	}
	ApplyResourceLimits(cfg)
	ingress, err := start(ctx, cfg, func() (*Config, error) { return Load(getenv) }, log)
	if err != nil {
		return nil, err
	}
	log.Info().Str("name", cfg.Name).Str("listen", cfg.Listen).Float64("cores", cfg.Resources.Cores).
		Float64("memory_mb", cfg.Resources.MemoryMB).Int("sockets", cfg.Resources.Sockets).Msg("serving")
	return ingress, nil
}

// Start starts an ingress. It accepts clients once the policy module is running and the initial list of servers has been
// applied. Without an initial list it waits for the first one from discovery; if ctx ends during that wait, Start fails.
func Start(ctx context.Context, cfg *Config, log zerolog.Logger) (*Ingress, error) {
	return start(ctx, cfg, nil, log)
}

// start is Start with a function that loads the configuration at a reload; nil disables reloads.
func start(ctx context.Context, cfg *Config, load func() (*Config, error), log zerolog.Logger) (_ *Ingress, err error) {
	ingress := &Ingress{cfg: cfg, log: log, clock: core.NewClock(),
		loopDone: make(chan struct{}), firstListApplied: make(chan struct{}), reloadRequests: make(chan struct{}, 1)}
	budget := plan.NewBudget(cfg.Resources, cfg.Settings.MaxOpenRequests, svc.MaxValueBytes)
	if ingress.loop, err = core.NewLoop(cfg.Settings.Settings, cfg.Seed, ingress.clock); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ingress.loop.SetMaxRequests(budget.OpenRequests)
	if cfg.Trace {
		ingress.loop.Observe(traceRequests(log))
	}
	ingress.pauses = core.NewPauseMonitor(ingress.clock)
	ingress.memory = membudget.New(budget.WorkBytes)
	backendOptions := poolOptions(cfg, budget, log.With().Str("part", "backend").Logger())
	backendOptions.Memory = ingress.memory
	ingress.pool, err = backend.New(ingress.loop, backendOptions)
	if err != nil {
		return nil, err
	}
	servicesCtx, stopServices := context.WithCancel(context.Background())
	loopCtx, stopLoop := context.WithCancel(context.Background())
	ingress.stopServices, ingress.stopLoop = stopServices, stopLoop
	defer func() {
		if err != nil {
			ingress.closeAll()
		}
	}()
	var peers core.Peers
	if cfg.Settings.PeerMessages && cfg.Settings.Gateways > 1 {
		ingress.peers, err = peer.OpenPlain(cfg.PeerListen, cfg.PeerAddrs, cfg.PeerBroadcastAddr, cfg.Settings.Self, ingress.loop,
			log.With().Str("part", "peer").Logger())
		if err != nil {
			close(ingress.loopDone)
			return nil, err
		}
		peers = ingress.peers
		ingress.goService(func() { ingress.peers.Run(servicesCtx) })
	}
	ingress.loop.Attach(ingress.pool, peers)
	ingress.goService(func() { ingress.pauses.Run(servicesCtx) })
	go func() {
		defer close(ingress.loopDone)
		ingress.loop.Run(loopCtx)
	}()
	ingress.ApplyList(cfg.InitialList)
	ingress.discovery = endpoints.NewClient(cfg.Discovery, cfg.InitialList, ingress, log.With().Str("part", "discovery").Logger())
	ingress.goService(func() { ingress.discovery.Run(servicesCtx) })
	timeout := time.NewTimer(time.Duration(plan.FirstListTimeoutS * float64(time.Second)))
	defer timeout.Stop()
	select {
	case <-ingress.firstListApplied:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timeout.C:
		log.Warn().Str("discovery", cfg.Discovery).Msg("no list of servers from discovery yet; refusing all requests until one arrives")
	}
	commands := svc.NewClientProtocol(svc.NewCommandParser(cfg.Settings.Settings))
	ingress.front, err = front.Start(ingress.loop, front.Options{Listen: cfg.Listen, Loops: 1, CloseOnClientEOF: true, Limits: budget.Front,
		IdleLimits: budget.IdleConnections, Handler: commands, InputAge: ingress.pauses.InputAge, Memory: ingress.memory, Log: log.With().Str("part", "front").Logger()})
	if err != nil {
		return nil, err
	}
	ingress.goService(func() { ingress.logPeriodically(servicesCtx) })
	if load != nil {
		ingress.goService(func() { ingress.reloadOnRequest(servicesCtx, load) })
	}
	return ingress, nil
}

// poolOptions returns the options of the connection pool to the servers.
func poolOptions(cfg *Config, budget plan.Budget, log zerolog.Logger) backend.Options {
	limits, dialTimeoutS := plan.ConnectionLimits(cfg.Settings, budget)
	var protocol backend.Dialect = svc.ServerProtocol{}
	if cfg.Trace {
		protocol = &tracingProtocol{protocol, log}
	}
	return backend.Options{Dialect: protocol, Connections: limits.Connections, MaxTotalConnections: budget.ServerConnections, Pipeline: limits.Pipeline,
		ReuseDelayS: limits.ReuseDelayS, IdleTimeoutS: limits.IdleTimeoutS, ConnectTimeout: time.Duration(dialTimeoutS * float64(time.Second)), StrictProbes: true, Loops: 1, Log: log}
}

// goService runs a service on its own goroutine; closeAll waits until it returns.
func (ingress *Ingress) goService(service func()) {
	ingress.services.Add(1)
	go func() {
		defer ingress.services.Done()
		service()
	}()
}

// ApplyList applies a list of servers, full or changes. The pool gets the addresses first, so that it can connect to a
// server as soon as the core selects it.
func (ingress *Ingress) ApplyList(list endpoints.List) {
	if len(list.Servers) == 0 && !list.Full {
		return
	}
	ingress.pool.SetAddresses(list.Addrs)
	select {
	case <-ingress.loop.UpdateServers(list.Servers, list.Full):
	case <-ingress.loopDone:
	}
	if len(list.Servers) > 0 {
		ingress.firstListOnce.Do(func() { close(ingress.firstListApplied) })
	}
}

// requestReload asks reloadOnRequest to read the configuration again. It never blocks.
func (ingress *Ingress) requestReload() {
	select {
	case ingress.reloadRequests <- struct{}{}:
	default: // a reload is pending already
	}
}

// reloadOnRequest reloads the configuration at each call of requestReload, until ctx is done. A configuration that stays
// unusable during the retry period is logged and changes nothing.
func (ingress *Ingress) reloadOnRequest(ctx context.Context, load func() (*Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ingress.reloadRequests:
		}
		var next *Config
		loadCtx, cancel := context.WithTimeout(ctx, reloadRetryPeriod)
		err := syserr.Retry(loadCtx, func(error) bool { return true }, func() (err error) {
			next, err = load()
			return err
		})
		cancel()
		if err != nil {
			ingress.log.Error().Err(err).Msg("could not reload the configuration; keeping the current one")
			continue
		}
		ingress.Reload(next)
	}
}

// Reload applies a new configuration: lists of servers are fetched from its discovery address from now on. All other
// fields keep the values of the first configuration.
func (ingress *Ingress) Reload(cfg *Config) {
	ingress.log.Info().Str("discovery", cfg.Discovery).Msg("configuration reloaded")
	ingress.discovery.SetAddress(cfg.Discovery)
}

// Stop shuts the ingress down gracefully: it serves until clients have reconnected elsewhere and all open requests are
// answered, at most for the time that plan.Shutdown allows, then closes everything.
func (ingress *Ingress) Stop() {
	shutdown := plan.Shutdown{StartS: ingress.clock.Now()}
	for _, class := range ingress.cfg.Settings.Classes {
		shutdown.DeadlineS = max(shutdown.DeadlineS, class.DeadlineS)
	}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		status := ingress.loop.Status()
		step := shutdown.NextStep(ingress.clock.Now(), ingress.front.OpenConnections(), status.OpenRequests+status.QueuedCalls)
		if step == plan.CloseIdle {
			ingress.front.CloseWhenIdle()
		} else if step == plan.Exit {
			break
		}
	}
	ingress.closeAll()
}

// closeAll stops and closes everything that start has started: the core loop first, which settles the open requests, then
// the front after it has sent their answers, the services and the connections to servers.
func (ingress *Ingress) closeAll() {
	ingress.stopLoop()
	<-ingress.loopDone
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if ingress.front != nil {
		ingress.front.Flush(ctx)
		ingress.front.Stop(ctx)
	}
	ingress.stopServices()
	ingress.services.Wait()
	ingress.pool.Stop()
}
