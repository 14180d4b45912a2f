// Package edge runs an instance as a real ingress of the platform: its configuration, its commands, its discovery and
// its datagrams, on the same front, core and connections to servers as any instance. It decides nothing about requests.
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

// Edge is a running ingress.
type Edge struct {
	cfg    *Config
	log    zerolog.Logger
	clock  core.Clock
	loop   *core.Loop
	stalls *core.PauseMonitor
	pool   *backend.Pool
	peers  *peer.Transport
	disc   *endpoints.Client
	front  *front.Server

	stopParts context.CancelFunc
	stopLoop  context.CancelFunc
	parts     sync.WaitGroup
	ran       chan struct{}
	listed    sync.Once
	first     chan struct{} // closed once a list with servers is in force
	reloads   chan struct{} // the configuration is to be read again
}

// Times for which the configuration file is tried again when it can't be read, or at a reload holds no configuration: it
// may be read while it is being written.
const (
	loadFor   = 3 * time.Second
	reloadFor = 3 * time.Second
)

// Confine keeps the process to its machine: few threads at work, and a heap that stays well under the memory.
func Confine(c *Config) {
	b := plan.NewBudget(c.Limits, c.Terms.MostHeld, svc.MaxValue)
	runtime.GOMAXPROCS(b.Threads)
	debug.SetMemoryLimit(b.HeapBytes)
}

// Run is the life of an ingress, from its configuration to its end: hup has the configuration read again, at any moment, and
// term has it leave. Both may come before it is up, together, and more than once.
func Run(getenv func(string) string, hup, term <-chan os.Signal, log zerolog.Logger) error {
	starting, cancel := context.WithCancel(context.Background())
	defer cancel()
	type outcome struct {
		edge *Edge
		err  error
	}
	up, gone := make(chan outcome, 1), make(chan struct{})
	go func() {
		e, err := begin(starting, getenv, log)
		up <- outcome{e, err}
	}()
	var e *Edge
	var moved, leaves bool
	leave := func() {
		log.Info().Msg("stopping: clients move on, what was taken is answered")
		go func() {
			defer close(gone)
			e.Stop()
		}()
	}
	for {
		select {
		case o := <-up:
			switch {
			case leaves && o.err != nil:
				return nil // nobody was let in
			case o.err != nil:
				return o.err
			}
			e = o.edge
			if moved {
				e.reload()
			}
			if leaves {
				leave()
			}
		case <-hup:
			if moved = true; e != nil {
				e.reload()
			}
		case <-term:
			if leaves {
				continue
			}
			if leaves = true; e == nil {
				cancel()
			} else {
				leave()
			}
		case <-gone:
			return nil
		}
	}
}

// begin reads the configuration and brings an ingress up with it.
func begin(ctx context.Context, getenv func(string) string, log zerolog.Logger) (*Edge, error) {
	var cfg *Config
	reading, cancel := context.WithTimeout(ctx, loadFor)
	defer cancel()
	err := syserr.Retry(reading, syserr.StorageRetryable, func() (err error) {
		cfg, err = Load(getenv)
		return err
	})
	if err != nil {
		return nil, err
	}
	Confine(cfg)
	e, err := start(ctx, cfg, func() (*Config, error) { return Load(getenv) }, log)
	if err != nil {
		return nil, err
	}
	log.Info().Str("name", cfg.Name).Str("listen", cfg.Listen).Float64("cores", cfg.Limits.Cores).
		Float64("memory_mb", cfg.Limits.MemoryMB).Int("sockets", cfg.Limits.Sockets).Msg("serving")
	return e, nil
}

// Start brings an ingress up. Clients are let in once the module stands and the known list is in force. The wait for a first
// list ends with ctx, and so does the start then.
func Start(ctx context.Context, c *Config, log zerolog.Logger) (*Edge, error) {
	return start(ctx, c, nil, log)
}

// start is Start with a way to read the configuration again, nil for none.
func start(ctx context.Context, c *Config, load func() (*Config, error), log zerolog.Logger) (_ *Edge, err error) {
	e := &Edge{cfg: c, log: log, clock: core.NewClock(), ran: make(chan struct{}), first: make(chan struct{}), reloads: make(chan struct{}, 1)}
	b := plan.NewBudget(c.Limits, c.Terms.MostHeld, svc.MaxValue)
	if e.loop, err = core.NewLoop(c.Terms.Settings, c.Seed, e.clock); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	e.loop.SetMaxRequests(b.Held)
	if c.Trace {
		e.loop.Observe(traceRequests(log))
	}
	e.stalls = core.NewPauseMonitor(e.clock)
	e.pool, err = backend.New(e.loop, poolOptions(c, b, log.With().Str("part", "backend").Logger()))
	if err != nil {
		return nil, err
	}
	parts, stopParts := context.WithCancel(context.Background())
	loop, stopLoop := context.WithCancel(context.Background())
	e.stopParts, e.stopLoop = stopParts, stopLoop
	defer func() {
		if err != nil {
			e.end()
		}
	}()
	var told core.Peers
	if c.Terms.PeerMessages && c.Terms.Gateways > 1 {
		e.peers, err = peer.OpenPlain(c.PeerListen, c.Peers, c.PeersAll, c.Terms.Self, e.loop, log.With().Str("part", "peer").Logger())
		if err != nil {
			close(e.ran)
			return nil, err
		}
		told = e.peers
		e.run(func() { e.peers.Run(parts) })
	}
	e.loop.Attach(e.pool, told)
	e.run(func() { e.stalls.Run(parts) })
	go func() {
		defer close(e.ran)
		e.loop.Run(loop)
	}()
	e.List(c.Known)
	e.disc = endpoints.NewClient(c.Discovery, c.Known, e, log.With().Str("part", "discovery").Logger())
	e.run(func() { e.disc.Run(parts) })
	wait := time.NewTimer(time.Duration(plan.FirstListS * float64(time.Second)))
	defer wait.Stop()
	select {
	case <-e.first:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-wait.C:
		log.Warn().Str("discovery", c.Discovery).Msg("no list of backends yet: all is refused until one comes")
	}
	commands := svc.NewClients(svc.NewBook(c.Terms.Settings))
	e.front, err = front.Start(e.loop, front.Options{Listen: c.Listen, Loops: 1, CloseOnClientEOF: true, Limits: b.Front, IdleLimits: b.Crowd,
		Handler: commands, InputAge: e.stalls.InputAge, Log: log.With().Str("part", "front").Logger()})
	if err != nil {
		return nil, err
	}
	e.run(func() { e.watch(parts) })
	if load != nil {
		e.run(func() { e.followConfiguration(parts, load) })
	}
	return e, nil
}

func poolOptions(c *Config, b plan.Budget, log zerolog.Logger) backend.Options {
	l, openS := plan.Links(c.Terms, b)
	var dialect backend.Dialect = svc.Backends{}
	if c.Trace {
		dialect = &tracedBackends{dialect, log}
	}
	return backend.Options{Dialect: dialect, Connections: l.Connections, MaxTotalConnections: b.Backends, Pipeline: l.Pipeline, ReuseDelayS: l.ReuseDelayS,
		IdleTimeoutS: l.IdleTimeoutS, ConnectTimeout: time.Duration(openS * float64(time.Second)), StrictProbes: true, Loops: 1, Log: log}
}

func (e *Edge) run(f func()) {
	e.parts.Add(1)
	go func() {
		defer e.parts.Done()
		f()
	}()
}

// List puts a list in force: where its servers are comes first.
func (e *Edge) List(l endpoints.List) {
	if len(l.Servers) == 0 && !l.Whole {
		return
	}
	e.pool.SetAddresses(l.Dial)
	select {
	case <-e.loop.UpdateServers(l.Servers, l.Whole):
	case <-e.ran:
	}
	if len(l.Servers) > 0 {
		e.listed.Do(func() { close(e.first) })
	}
}

// reload has the configuration read again, soon.
func (e *Edge) reload() {
	select {
	case e.reloads <- struct{}{}:
	default: // it is about to be
	}
}

// followConfiguration reads the configuration again whenever reload asks for it, until ctx is over. One that can't be used
// changes nothing.
func (e *Edge) followConfiguration(ctx context.Context, load func() (*Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.reloads:
		}
		var next *Config
		reading, cancel := context.WithTimeout(ctx, reloadFor)
		err := syserr.Retry(reading, func(error) bool { return true }, func() (err error) {
			next, err = load()
			return err
		})
		cancel()
		if err != nil {
			e.log.Error().Err(err).Msg("the old configuration stands")
			continue
		}
		e.Reload(next)
	}
}

// Reload takes a new configuration over: lists come from its discovery from now on. All else stands.
func (e *Edge) Reload(c *Config) {
	e.log.Info().Str("discovery", c.Discovery).Msg("new configuration")
	e.disc.Move(c.Discovery)
}

// Stop serves on until clients have moved elsewhere and all that was taken is answered, then ends.
func (e *Edge) Stop() {
	l := plan.Leaving{Since: e.clock.Now()}
	for _, c := range e.cfg.Terms.Classes {
		l.LongestS = max(l.LongestS, c.DeadlineS)
	}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		s := e.loop.Status()
		next := l.Next(e.clock.Now(), e.front.OpenConnections(), s.OpenRequests+s.QueuedCalls)
		if next == plan.Retire {
			e.front.CloseWhenIdle()
		} else if next == plan.Exit {
			break
		}
	}
	e.end()
}

// end closes all that runs.
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
