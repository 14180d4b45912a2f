// Package instance runs one gateway instance: it connects the fronts for clients, the core, the connections to
// the servers, the messages to other instances and discovery, and starts and stops them in order.
package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/access"
	"cometpond/internal/backend"
	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/discovery"
	"cometpond/internal/front"
	"cometpond/internal/membudget"
	"cometpond/internal/peer"
	"cometpond/internal/rpc"
	"cometpond/policy"
)

// Options holds what a caller of Start may set beside the settings file.
type Options struct {
	Log  zerolog.Logger
	Seed uint64 // seed of the policy module's random numbers; 0 draws one
	// Hooks intercept calls between the parts. Test rigs use them to break rules on purpose.
	Hooks Hooks
}

// Hooks holds functions that wrap parts of the instance; nil ones are not called.
type Hooks struct {
	Settings    func(*policy.Settings)              // changes the settings of the policy module
	Backend     func(core.Backend) core.Backend     // wraps the connections to the servers
	ServerLists func(discovery.Sink) discovery.Sink // wraps the receiver of lists of servers
	Calls       func(front.Core) front.Core         // wraps the core as the fronts use it
	FilterInput func(data []byte) []byte            // changes bytes that the RESP front has read
}

// Instance is a running gateway.
type Instance struct {
	cfg       *config.Config
	log       zerolog.Logger
	loop      *core.Loop
	pauses    *core.PauseMonitor
	pool      *backend.Pool
	peers     *peer.Transport
	discovery *discovery.Client
	front     *front.Server
	rpc       *rpc.Server
	startedAt time.Time

	stopBackground context.CancelFunc // ends pause monitor, peer messages and discovery
	stopLoop       context.CancelFunc
	background     sync.WaitGroup
	loopDone       chan struct{} // closed when the core loop has ended
}

// Start starts a gateway. The list of servers is in force and the core runs before the first client connection
// is accepted. With discovery and no list on disk, clients are accepted at once and wait for the first list.
func Start(ctx context.Context, cfg *config.Config, options Options) (_ *Instance, err error) {
	in := &Instance{cfg: cfg, log: options.Log, startedAt: time.Now(), loopDone: make(chan struct{})}
	settings := cfg.Settings()
	if options.Hooks.Settings != nil {
		options.Hooks.Settings(&settings)
	}
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	clock := core.NewClock()
	if in.loop, err = core.NewLoop(settings, seed, clock); err != nil {
		return nil, err
	}
	in.pauses = core.NewPauseMonitor(clock)
	loops := cfg.EventLoops
	if loops == 0 {
		loops = max(1, min(4, runtime.NumCPU()/2))
	}
	memory := membudget.New(workBytes(cfg.Front))
	in.pool, err = backend.New(in.loop, backend.Options{
		Dialect:     backend.RESP{Name: fmt.Sprintf("cometpond-%d", cfg.Self), LoadInReplies: cfg.Backend.LoadSource == "answer"},
		Connections: cfg.Backend.MaxConnections, Pipeline: cfg.Backend.MaxPipelined, ConnectTimeout: cfg.Backend.ConnectTimeout,
		Memory: memory, Loops: max(1, loops/2), Log: options.Log.With().Str("part", "backend").Logger()})
	if err != nil {
		return nil, err
	}
	background, stopBackground := context.WithCancel(context.Background())
	loopContext, stopLoop := context.WithCancel(context.Background())
	in.stopBackground, in.stopLoop = stopBackground, stopLoop
	defer func() {
		if err != nil {
			in.closeAll()
		}
	}()
	in.goBackground(func() { in.pauses.Run(background) })
	var peers core.Peers
	if len(cfg.Instances) > 1 {
		if in.peers, err = peer.OpenSealed(cfg, in.loop, options.Log.With().Str("part", "peer").Logger()); err != nil {
			return nil, err
		}
		peers = in.peers
		in.goBackground(func() { in.peers.Run(background) })
	}
	var servers core.Backend = in.pool
	if options.Hooks.Backend != nil {
		servers = options.Hooks.Backend(servers)
	}
	in.loop.Attach(servers, peers)
	go func() {
		defer close(in.loopDone)
		in.loop.Run(loopContext)
	}()
	var lists discovery.Sink = in.loop
	if options.Hooks.ServerLists != nil {
		lists = options.Hooks.ServerLists(lists)
	}
	if cfg.Discovery == nil {
		<-lists.UpdateServers(cfg.Servers, true)
	} else {
		in.discovery = discovery.NewClient(*cfg.Discovery, fmt.Sprintf("cometpond-%d", cfg.Self), lists,
			options.Log.With().Str("part", "discovery").Logger())
		if err := in.discovery.Restore(ctx); err != nil {
			options.Log.Warn().Err(err).Msg("stored list of servers could not be used")
		}
		in.goBackground(func() { in.discovery.Run(background) })
	}
	var calls front.Core = in.loop
	if options.Hooks.Calls != nil {
		calls = options.Hooks.Calls(calls)
	}
	registry := access.New(cfg)
	if cfg.GRPC != nil {
		in.rpc, err = rpc.Start(rpcCore{calls, in.loop, in.pauses}, rpc.Options{GRPC: *cfg.GRPC, Book: registry,
			Log: options.Log.With().Str("part", "rpc").Logger()})
		if err != nil {
			return nil, err
		}
	}
	in.front, err = front.Start(calls, front.Options{Listen: cfg.Listen, Loops: loops, Limits: cfg.Front, Registry: registry, Memory: memory,
		Info: in.Info, InputAge: in.pauses.InputAge, FilterInput: options.Hooks.FilterInput, Log: options.Log.With().Str("part", "front").Logger()})
	if err != nil {
		return nil, err
	}
	return in, nil
}

// minWorkBytes is the least memory for work in progress: some of the longest replies of servers.
const minWorkBytes = 64 << 20

// workBytes returns the memory for commands in progress, their replies, and incomplete replies of servers: several times
// that for incomplete commands, as a command is in progress for longer than it takes to arrive.
func workBytes(limits config.FrontLimits) int { return max(minWorkBytes, 4*limits.MaxInputBytes) }

// rpcCore is the core as the gRPC front uses it. Calls pass through the same hook as those of the RESP front.
type rpcCore struct {
	front.Core
	loop   *core.Loop
	pauses *core.PauseMonitor
}

// Submit passes calls to the core. It does not know when their connections were last read, so after a pause of
// the process all calls count as sent when the pause began.
func (c rpcCore) Submit(calls []*core.Call) int {
	age, _ := c.pauses.InputAge(0, false)
	for _, call := range calls {
		call.AgeS = age
	}
	return c.Core.Submit(calls)
}

func (c rpcCore) ReturnUnits(calls []*core.Call) { c.loop.ReturnUnits(calls) }

// goBackground runs f in a goroutine that closeAll waits for.
func (in *Instance) goBackground(f func()) {
	in.background.Add(1)
	go func() {
		defer in.background.Done()
		f()
	}()
}

// Addr returns the address on which RESP clients connect.
func (in *Instance) Addr() net.Addr { return in.front.Addr() }

// RPCAddr returns the address on which gRPC clients connect, or nil without a gRPC front.
func (in *Instance) RPCAddr() net.Addr {
	if in.rpc == nil {
		return nil
	}
	return in.rpc.Addr()
}

// Stop refuses new requests, waits up to the drain time of the settings for requests in flight, answers the
// remaining ones with an error, and closes everything. It stops waiting when ctx is done. Each accepted request has
// been answered when Stop returns.
func (in *Instance) Stop(ctx context.Context) {
	in.front.RejectNewConnections()
	if in.rpc != nil {
		in.rpc.Drain()
	}
	in.loop.Drain()
	deadline := time.NewTimer(in.cfg.DrainTimeout)
	defer deadline.Stop()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	idleChecks := 0
	// Three idle checks in a row, as requests that are being read may still arrive between two checks.
	for waiting := true; waiting && idleChecks < 3; {
		select {
		case <-tick.C:
			if status := in.loop.Status(); status.OpenRequests+status.QueuedCalls == 0 {
				idleChecks++
			} else {
				idleChecks = 0
			}
		case <-deadline.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	status := in.loop.Status()
	in.stopLoop()
	<-in.loopDone
	flushContext, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	in.front.Flush(flushContext)
	in.log.Info().Int("settled", status.OpenRequests).Uint64("taken", status.Received).Msg("gateway stopped")
	in.closeAll()
}

// closeAll closes every part that has been started. Start calls it too when it fails half way.
func (in *Instance) closeAll() {
	in.stopLoop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if in.rpc != nil { // it holds all answers already and only has to write them
		in.rpc.Stop(ctx)
	}
	if in.front != nil {
		in.front.Stop(ctx)
	}
	in.stopBackground()
	in.background.Wait()
	if in.pool != nil {
		in.pool.Stop()
	}
}

// Status returns the latest counters of the core.
func (in *Instance) Status() core.Status { return in.loop.Status() }

// Info returns the reply to the command INFO: sections of name:value lines. The names are part of the interface
// for operators' tools and stay as they are.
func (in *Instance) Info() string {
	var text strings.Builder
	section := func(name string, pairs ...any) {
		fmt.Fprintf(&text, "# %s\r\n", name)
		for k := 0; k < len(pairs); k += 2 {
			fmt.Fprintf(&text, "%v:%v\r\n", pairs[k], pairs[k+1])
		}
	}
	section("Server", "instance", in.cfg.Self, "zone", in.cfg.Zone, "uptime_in_seconds", int(time.Since(in.startedAt).Seconds()))
	status := in.loop.Status()
	section("Requests", "taken", status.Received, "served", status.Served, "refused", status.Refused, "failed", status.Failed,
		"admitted", status.Admitted,
		"client_gone", status.Disconnected, "joined", status.Joined, "repeated", status.Repeated, "overfull", status.Overloaded,
		"overdue", status.Overdue,
		"stalls", in.pauses.PauseCount(), "too_late", status.DeadlinePassed, "in_flight", status.OpenRequests, "waiting", status.QueuedCalls,
		"attempts", status.Attempts, "attempt_timeouts", status.Timeouts,
		"late_answers", status.LateResults, "probes", status.Probes)
	if in.front != nil {
		counts := in.front.Counts()
		section("Clients", "connections", counts.Open, "connections_total", counts.Opened, "connections_cut", counts.Terminated,
			"commands", counts.Commands,
			"logins_denied", counts.LoginsDenied, "connections_parked", counts.ReadsPaused, "input_held", counts.Input.GrantedBytes,
			"input_waiting", counts.Input.Waiting, "input_skipped", counts.Skipped, "out_of_memory", counts.OutOfMemory,
			"input_strangers", counts.Input.UnauthenticatedBytes)
	}
	if in.rpc != nil {
		counts := in.rpc.Counts()
		section("gRPC", "calls", counts.Calls, "stream_requests", counts.StreamRequests, "streams", counts.OpenStreams,
			"calls_denied", counts.DeniedCalls,
			"rpc_connections_cut", counts.RejectedConnections)
	}
	poolCounts := in.pool.Counts()
	section("Boxes", "box_connections", poolCounts.OpenConnections, "dials", poolCounts.Dials,
		"dials_failed", poolCounts.DialsFailed, "attempts_broken", poolCounts.AttemptsBroken)
	if in.discovery != nil {
		discoveryStatus := in.discovery.Status()
		section("Discovery", "discovery_connected", discoveryStatus.Connected, "list_version", discoveryStatus.Version,
			"list_boxes", discoveryStatus.Servers,
			"lists_refused", discoveryStatus.RejectedLists)
	}
	if in.peers != nil {
		counts := in.peers.Counts()
		section("Peers", "messages_sent", counts.Sent, "messages_unsent", counts.Unsent, "messages_heard", counts.Received,
			"messages_dropped", status.DroppedMessages, "foreign", counts.Foreign, "replayed", counts.Replayed, "old", counts.Old,
			"misdirected", counts.Misdirected)
	}
	return text.String()
}
