// Package instance joins the parts of one gateway: front, core, connections to the boxes, messages to other
// instances and discovery, and starts and stops them in order.
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
	"cometpond/internal/peer"
	"cometpond/internal/rpc"
	"cometpond/policy"
)

// Options are what a caller may add to the settings file.
type Options struct {
	Log  zerolog.Logger
	Seed uint64 // of the module's random numbers; 0: drawn
	// Hooks put something between the parts; the rigs use them to break rules on purpose.
	Hooks Hooks
}

// Hooks wrap parts where they are not nil.
type Hooks struct {
	Settings    func(*policy.Settings)
	Backend     func(core.Backend) core.Backend
	ServerLists func(discovery.Sink) discovery.Sink
	Calls       func(front.Core) front.Core
	FilterInput func(data []byte) []byte
}

// Instance is a running gateway.
type Instance struct {
	cfg    *config.Config
	log    zerolog.Logger
	loop   *core.Loop
	stalls *core.PauseMonitor
	pool   *backend.Pool
	peers  *peer.Transport
	disc   *discovery.Client
	front  *front.Server
	rpc    *rpc.Server
	since  time.Time

	stopParts context.CancelFunc // peers and discovery
	stopLoop  context.CancelFunc
	parts     sync.WaitGroup
	ran       chan struct{} // closed when the loop has ended
}

// Start brings a gateway up: the boxes are known and the core runs before the first client is let in. With
// discovery and no list kept on disk, clients are let in at once and wait for the first list.
func Start(ctx context.Context, cfg *config.Config, opt Options) (_ *Instance, err error) {
	i := &Instance{cfg: cfg, log: opt.Log, since: time.Now(), ran: make(chan struct{})}
	s := cfg.Settings()
	if opt.Hooks.Settings != nil {
		opt.Hooks.Settings(&s)
	}
	seed := opt.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	clock := core.NewClock()
	if i.loop, err = core.NewLoop(s, seed, clock); err != nil {
		return nil, err
	}
	i.stalls = core.NewPauseMonitor(clock)
	loops := cfg.EventLoops
	if loops == 0 {
		loops = max(1, min(4, runtime.NumCPU()/2))
	}
	i.pool, err = backend.New(i.loop, backend.Options{
		Dialect:     backend.RESP{Name: fmt.Sprintf("cometpond-%d", cfg.Self), LoadInReplies: cfg.Backend.LoadSource == "answer"},
		Connections: cfg.Backend.MaxConnections, Pipeline: cfg.Backend.MaxPipelined, ConnectTimeout: cfg.Backend.ConnectTimeout,
		Loops: max(1, loops/2), Log: opt.Log.With().Str("part", "backend").Logger()})
	if err != nil {
		return nil, err
	}
	parts, stopParts := context.WithCancel(context.Background())
	loop, stopLoop := context.WithCancel(context.Background())
	i.stopParts, i.stopLoop = stopParts, stopLoop
	defer func() {
		if err != nil {
			i.end()
		}
	}()
	i.run(func() { i.stalls.Run(parts) })
	var told core.Peers
	if len(cfg.Instances) > 1 {
		if i.peers, err = peer.OpenSealed(cfg, i.loop, opt.Log.With().Str("part", "peer").Logger()); err != nil {
			return nil, err
		}
		told = i.peers
		i.run(func() { i.peers.Run(parts) })
	}
	var boxes core.Backend = i.pool
	if opt.Hooks.Backend != nil {
		boxes = opt.Hooks.Backend(boxes)
	}
	i.loop.Attach(boxes, told)
	go func() {
		defer close(i.ran)
		i.loop.Run(loop)
	}()
	var lists discovery.Sink = i.loop
	if opt.Hooks.ServerLists != nil {
		lists = opt.Hooks.ServerLists(lists)
	}
	if cfg.Discovery == nil {
		<-lists.UpdateServers(cfg.Servers, true)
	} else {
		i.disc = discovery.NewClient(*cfg.Discovery, fmt.Sprintf("cometpond-%d", cfg.Self), lists,
			opt.Log.With().Str("part", "discovery").Logger())
		if err := i.disc.Restore(ctx); err != nil {
			opt.Log.Warn().Err(err).Msg("kept list not used")
		}
		i.run(func() { i.disc.Run(parts) })
	}
	var calls front.Core = i.loop
	if opt.Hooks.Calls != nil {
		calls = opt.Hooks.Calls(calls)
	}
	book := access.New(cfg)
	if cfg.GRPC != nil {
		i.rpc, err = rpc.Start(rpcCore{calls, i.loop, i.stalls}, rpc.Options{GRPC: *cfg.GRPC, Book: book, Log: opt.Log.With().Str("part", "rpc").Logger()})
		if err != nil {
			return nil, err
		}
	}
	i.front, err = front.Start(calls, front.Options{Listen: cfg.Listen, Loops: loops, Limits: cfg.Front, Registry: book,
		Info: i.Info, InputAge: i.stalls.InputAge, FilterInput: opt.Hooks.FilterInput, Log: opt.Log.With().Str("part", "front").Logger()})
	if err != nil {
		return nil, err
	}
	return i, nil
}

// rpcCore is the core as the gRPC front sees it, through the same hook as the other front.
type rpcCore struct {
	front.Core
	loop   *core.Loop
	stalls *core.PauseMonitor
}

// Submit hands calls in. When their connections were last read is not known here, so that after a stall all
// are taken to have been sent when it began.
func (c rpcCore) Submit(calls []*core.Call) int {
	age, _ := c.stalls.InputAge(0, false)
	for _, k := range calls {
		k.AgeS = age
	}
	return c.Core.Submit(calls)
}

func (c rpcCore) ReturnUnits(calls []*core.Call) { c.loop.ReturnUnits(calls) }

func (i *Instance) run(f func()) {
	i.parts.Add(1)
	go func() {
		defer i.parts.Done()
		f()
	}()
}

// Addr is the address that RESP clients reach.
func (i *Instance) Addr() net.Addr { return i.front.Addr() }

// RPCAddr is the address that gRPC clients reach, nil without that front.
func (i *Instance) RPCAddr() net.Addr {
	if i.rpc == nil {
		return nil
	}
	return i.rpc.Addr()
}

// Stop turns new work away, lets what is in flight end for as long as the settings say, settles the rest,
// and closes everything. When ctx is over it settles at once. Each request taken has had its answer.
func (i *Instance) Stop(ctx context.Context) {
	i.front.RejectNewConnections()
	if i.rpc != nil {
		i.rpc.Drain()
	}
	i.loop.Drain()
	deadline := time.NewTimer(i.cfg.DrainTimeout)
	defer deadline.Stop()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	quiet := 0
	for waiting := true; waiting && quiet < 3; { // three looks: what is being read just now comes in between
		select {
		case <-tick.C:
			if s := i.loop.Status(); s.OpenRequests+s.QueuedCalls == 0 {
				quiet++
			} else {
				quiet = 0
			}
		case <-deadline.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	s := i.loop.Status()
	i.stopLoop()
	<-i.ran
	flush, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	i.front.Flush(flush)
	i.log.Info().Int("settled", s.OpenRequests).Uint64("taken", s.Received).Msg("stopped")
	i.end()
}

// end closes what runs; it is for a start that failed as well.
func (i *Instance) end() {
	i.stopLoop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if i.rpc != nil { // all answers are with it: it only has to write them
		i.rpc.Stop(ctx)
	}
	if i.front != nil {
		i.front.Stop(ctx)
	}
	i.stopParts()
	i.parts.Wait()
	if i.pool != nil {
		i.pool.Stop()
	}
}

// Status is what the core last counted.
func (i *Instance) Status() core.Status { return i.loop.Status() }

// Info is the text that INFO answers: sections of name:value lines.
func (i *Instance) Info() string {
	var b strings.Builder
	section := func(name string, pairs ...any) {
		fmt.Fprintf(&b, "# %s\r\n", name)
		for k := 0; k < len(pairs); k += 2 {
			fmt.Fprintf(&b, "%v:%v\r\n", pairs[k], pairs[k+1])
		}
	}
	section("Server", "instance", i.cfg.Self, "zone", i.cfg.Zone, "uptime_in_seconds", int(time.Since(i.since).Seconds()))
	s := i.loop.Status()
	section("Requests", "taken", s.Received, "served", s.Served, "refused", s.Refused, "failed", s.Failed, "admitted", s.Admitted,
		"client_gone", s.Disconnected, "joined", s.Joined, "repeated", s.Repeated, "overfull", s.Overloaded, "overdue", s.Overdue,
		"stalls", i.stalls.PauseCount(), "too_late", s.DeadlinePassed, "in_flight", s.OpenRequests, "waiting", s.QueuedCalls, "attempts", s.Attempts, "attempt_timeouts", s.Timeouts,
		"late_answers", s.LateResults, "probes", s.Probes)
	if i.front != nil {
		c := i.front.Counts()
		section("Clients", "connections", c.Open, "connections_total", c.Opened, "connections_cut", c.Terminated, "commands", c.Commands,
			"logins_denied", c.LoginsDenied, "connections_parked", c.ReadsPaused, "input_held", c.Input.GrantedBytes, "input_waiting", c.Input.Waiting,
			"input_strangers", c.Input.UnauthenticatedBytes)
	}
	if i.rpc != nil {
		c := i.rpc.Counts()
		section("gRPC", "calls", c.Calls, "stream_requests", c.StreamRequests, "streams", c.OpenStreams, "calls_denied", c.DeniedCalls,
			"rpc_connections_cut", c.RejectedConnections)
	}
	p := i.pool.Counts()
	section("Boxes", "box_connections", p.OpenConnections, "dials", p.Dials, "dials_failed", p.DialsFailed, "attempts_broken", p.AttemptsBroken)
	if i.disc != nil {
		d := i.disc.Status()
		section("Discovery", "discovery_connected", d.Connected, "list_version", d.Version, "list_boxes", d.Servers,
			"lists_refused", d.RejectedLists)
	}
	if i.peers != nil {
		c := i.peers.Counts()
		section("Peers", "messages_sent", c.Sent, "messages_unsent", c.Unsent, "messages_heard", c.Received,
			"messages_dropped", s.DroppedMessages, "foreign", c.Foreign, "replayed", c.Replayed, "old", c.Old, "misdirected", c.Misdirected)
	}
	return b.String()
}
