package day

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cometpond/internal/audit"
	"cometpond/internal/config"
	"cometpond/internal/standin"
	"cometpond/policy"
)

// client is a customer of the scenario.
type client struct {
	name, plan   string
	weight       float64 // share of the load
	homeInstance int     // the instance that it uses most often
}

const clientSecret = "day-secret"

// fleet is everything that a scenario runs: instances, stand-ins and the connections between them.
type fleet struct {
	script         *Script
	options        Options
	dir            string
	config         *config.Config // of instance 0: classes, plans and commands are the same for all
	clients        []*client
	newClients     []*client // customers that appear only in a scan
	eds            *standin.EDS
	relay          *standin.DatagramRelay
	ingressStreams []*standin.TCPRelay // in front of each instance's RESP port
	serverStreams  []*standin.TCPRelay // in front of each server
	servers        []*standin.Server
	serverList     []policy.Server
	settingsFiles  []string
	listenAddrs    []string // RESP listen address of each instance
	rpcAddrs       []string // gRPC listen address of each instance, empty without that front

	mu          sync.Mutex
	processes   []*process
	arrivals    []audit.Arrival
	overloads   []audit.Overload
	outages     [][]outage // by instance
	pauses      []audit.Pause
	heavyFactor float64
	restarts    []audit.Acknowledgement
	rng         *rand.Rand
}

// outage is a period in which an instance or its connections were down, with a margin.
type outage struct{ from, to time.Time }

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// nextPort is the last loopback port that was tried. Ports are below the range of outgoing connections, so that an
// instance can bind its port again after a restart. All scenarios of a process share the counter.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(12000 + os.Getpid()*7%18000)) }

func reservePort(network string) (string, error) {
	for port := nextPort.Add(1); port < 32000; port = nextPort.Add(1) {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if network == "udp" {
			if conn, err := net.ListenPacket("udp", addr); err == nil {
				conn.Close()
				return addr, nil
			}
		} else if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port on loopback below 32000")
}

// newFleet starts the stand-ins around the instances and writes the settings files.
func newFleet(script *Script, opt Options) (_ *fleet, err error) {
	fl := &fleet{script: script, options: opt, rng: rand.New(rand.NewPCG(script.Seed, 3)),
		outages: make([][]outage, script.Instances), processes: make([]*process, script.Instances), heavyFactor: 1}
	defer func() {
		if err != nil {
			fl.close()
		}
	}()
	if fl.dir, err = os.MkdirTemp("", "cometpond-day-"); err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	fl.makeClients()
	if err := fl.startStandIns(); err != nil {
		return nil, err
	}
	return fl, nil
}

// makeClients draws the customers: many on a small plan, some on a large one. A few request more than their
// quota.
func (fl *fleet) makeClients() {
	basic, premium := max(6, int(fl.script.Rate*0.55)), max(2, int(fl.script.Rate*0.045))
	add := func(n int, plan string, share float64) {
		var sum float64
		from := len(fl.clients)
		for i := range n {
			weight := 0.5 + fl.rng.Float64()
			if i%10 == 9 {
				weight *= 2.5
			}
			sum += weight
			fl.clients = append(fl.clients, &client{name: fmt.Sprintf("%s-%d", plan, i), plan: plan, weight: weight,
				homeInstance: fl.rng.IntN(fl.script.Instances)})
		}
		for _, c := range fl.clients[from:] {
			c.weight *= share / sum
		}
	}
	add(basic, "basic", 0.63)
	add(premium, "premium", 0.37)
	for i := range 500 {
		fl.newClients = append(fl.newClients, &client{name: fmt.Sprintf("new-%d", i), plan: "basic",
			homeInstance: i % fl.script.Instances})
	}
}

// startStandIns reserves ports, starts the stand-ins and writes a settings file for each instance.
func (fl *fleet) startStandIns() error {
	var peers []string
	for range fl.script.Instances {
		addr, err := reservePort("tcp")
		if err != nil {
			return err
		}
		peer, err := reservePort("udp")
		if err != nil {
			return err
		}
		fl.listenAddrs, peers = append(fl.listenAddrs, addr), append(peers, peer)
		stream, err := standin.NewTCPRelay("127.0.0.1:0", addr, fl.script.Seed+uint64(len(fl.ingressStreams)))
		if err != nil {
			return err
		}
		fl.ingressStreams = append(fl.ingressStreams, stream)
		if fl.options.Front == "grpc" || fl.options.Front == "both" {
			rpcAddr, err := reservePort("tcp")
			if err != nil {
				return err
			}
			fl.rpcAddrs = append(fl.rpcAddrs, rpcAddr)
		}
	}
	var err error
	if fl.relay, err = standin.NewDatagramRelay(peers, fl.script.Seed); err != nil {
		return err
	}
	if fl.config, err = config.Parse("day", fl.settings(0, peers, "127.0.0.1:1")); err != nil {
		return err
	}
	if err := fl.startServers(); err != nil {
		return err
	}
	if fl.eds, err = standin.NewEDS("127.0.0.1:0", "boxes", fl.serverList); err != nil {
		return err
	}
	for i := range fl.script.Instances {
		path := filepath.Join(fl.dir, fmt.Sprintf("instance-%d.sexp", i))
		if err := os.WriteFile(path, []byte(fl.settings(i, peers, fl.eds.Addr())), 0o600); err != nil {
			return fmt.Errorf("day: %w", err)
		}
		if _, err := config.Load(path); err != nil {
			return err
		}
		fl.settingsFiles = append(fl.settingsFiles, path)
	}
	return nil
}

// settings returns the text of the settings file of one instance.
func (fl *fleet) settings(me int, peers []string, eds string) string {
	var text strings.Builder
	printf := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	printf(`(ingress (me %d) (zone room-%d) (listen %q) (drain 5s))`, me, me%fl.script.Zones, fl.listenAddrs[me])
	printf(`(instances (key "%x")`, sha256.Sum256([]byte(fmt.Sprint("day", fl.script.Seed))))
	for i := range peers {
		addr := peers[me]
		if i != me {
			addr = fl.relay.Addr(me, i)
		}
		printf(`  (instance %d %q)`, i, addr)
	}
	printf(`)`)
	printf(`(discovery (server %q) (cluster boxes) (keep %q))`, eds, filepath.Join(fl.dir, fmt.Sprintf("list-%d.json", me)))
	printf(`(classes
  (class job-status  (aim 1s)   (deadline 2.5s) (worth 3) (late-worth 0.2) (effect safe))
  (class image-fetch (aim 2.5s) (deadline 6s)   (worth 1) (late-worth 0.2) (effect safe))
  (class sign-submit (aim 3s)   (deadline 12s)  (worth 3) (effect keyed) (key-scope zone) (key-ttl 7.5s))
  (class key-burn    (aim 2s)   (deadline 4s)   (worth 3) (effect unsafe)))
(commands
  (command JOB.STATUS  (class job-status)  (arity 4) (units 1))
  (command IMAGE.FETCH (class image-fetch) (arity 4) (units 1))
  (command SIGN.SUBMIT (class sign-submit) (arity 5) (units 2) (key-at 1))
  (command KEY.BURN    (class key-burn)    (arity 4) (units 2))
  (throttle (class job-status)))
(plans
  (plan basic   (rate 2.6) (burst 9) (price 1.1))
  (plan premium (rate 18) (burst 36) (price 1.8) (excess-cost 0.6) (ceiling (rate 36) (burst 72) (slack 7.2))))
(rules (answer-slack 10ms) (cold-from 0.3) (cold 10s) (fall-multiple 2) (fall 1.5s))`)
	sum := config.HashSecret(clientSecret)
	if len(fl.rpcAddrs) > 0 {
		printf(`(grpc (listen %q) (streams 10000)
  (domain day (secret-sha256 "%x") (unmatched refuse) (descriptor (customer client) (class job-status))))`, fl.rpcAddrs[me], sum)
	}
	printf(`(clients`)
	for _, list := range [][]*client{fl.clients, fl.newClients} {
		for _, c := range list {
			printf(`  (client %s (plan %s) (secret-sha256 "%x"))`, c.name, c.plan, sum)
		}
	}
	printf(`)`)
	return text.String()
}

// meanWorkS is the mean work of each command, in seconds of a core of speed 1. The speed of the servers is scaled
// with the load, so that they are about 60% busy under the usual load at any rate.
var meanWorkS = map[string]float64{"JOB.STATUS": 0.045, "IMAGE.FETCH": 0.09, "SIGN.SUBMIT": 0.15, "KEY.BURN": 0.06}

func (fl *fleet) startServers() error {
	params := standin.DefaultParams
	params.Speed = max(0.3, fl.script.Rate/300*12/float64(fl.script.Servers))
	jobs := standin.Jobs(fl.config, 1)
	for name, job := range jobs {
		job.Work, job.Echo = meanWorkS[name], 3
		if job.KeyAt > 0 {
			job.Echo = 4
		}
		jobs[name] = job
	}
	memory := make([]*standin.SubmissionKeys, fl.script.Zones)
	for i := range memory {
		memory[i] = standin.NewSubmissionKeys()
	}
	for i := range fl.script.Servers {
		zone := i % fl.script.Zones
		addr, err := reservePort("tcp")
		if err != nil {
			return err
		}
		listed, err := reservePort("tcp")
		if err != nil {
			return err
		}
		stream, err := standin.NewTCPRelay(listed, addr, fl.script.Seed+100+uint64(i))
		if err != nil {
			return err
		}
		fl.serverStreams = append(fl.serverStreams, stream)
		server, err := standin.NewServer(addr, standin.ServerOptions{Name: listed, Params: params, Jobs: jobs,
			Seed: fl.script.Seed + uint64(i), Keys: memory[zone],
			OnArrival: fl.recordArrival, WorkFactor: fl.workFactor})
		if err != nil {
			return err
		}
		fl.servers = append(fl.servers, server)
		fl.serverList = append(fl.serverList, policy.Server{ID: listed, Zone: fmt.Sprintf("room-%d", zone),
			Cell: i / fl.script.Zones / 2, Weight: 1})
	}
	return nil
}

// takeDown takes a server off the network.
func (fl *fleet) takeDown(i int) {
	fl.serverStreams[i].Down()
	fl.servers[i].Down()
}

func (fl *fleet) bringUp(i int) error {
	if err := fl.servers[i].Up(); err != nil {
		return err
	}
	return fl.serverStreams[i].Up()
}

// resetClients resets all connections of an instance's clients. Requests in flight on them are excused.
func (fl *fleet) resetClients(i int) {
	fl.mu.Lock()
	fl.outages[i] = append(fl.outages[i], outage{from: time.Now().Add(-100 * time.Millisecond),
		to: time.Now().Add(100 * time.Millisecond)})
	fl.mu.Unlock()
	fl.ingressStreams[i].BreakConnections()
}

// workFactor returns the factor on the work of the n-th request: one in fifty is heavy during a "heavy" fault.
func (fl *fleet) workFactor(n uint64) float64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if n%50 == 0 {
		return fl.heavyFactor
	}
	return 1
}

// recordArrival records a command that a server observed. Its words are: command, id or key, client, and for keyed
// commands the id of the attempt.
func (fl *fleet) recordArrival(seen standin.Arrival) {
	arrival := audit.Arrival{At: seen.At, Server: seen.Server, Instance: seen.Instance, Executed: seen.Executed,
		AttemptID: seen.Words[1]}
	for _, c := range fl.config.Commands {
		if c.Name == seen.Words[0] {
			arrival.Class = fl.config.Classes[c.Class].Name
			if arrival.Client = seen.Words[2]; c.KeyIndex > 0 {
				arrival.Key, arrival.AttemptID = seen.Words[1], seen.Words[3]
			}
		}
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.arrivals = append(fl.arrivals, arrival)
	if seen.Outcome == standin.Crashed {
		for _, overload := range fl.overloads {
			if overload.Server == seen.Server {
				return
			}
		}
		fl.overloads = append(fl.overloads, audit.Overload{At: seen.At, Server: seen.Server})
	}
}

// start starts the process of an instance.
func (fl *fleet) start(i int) error {
	cmd := fl.options.Serve(fl.settingsFiles[i])
	cmd.Stdout, cmd.Stderr = fl.options.Output, fl.options.Output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // instances end even if this process is killed
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("instance %d: %w", i, err)
	}
	proc := &process{cmd, make(chan struct{})}
	go func() {
		defer close(proc.done)
		_ = cmd.Wait() // the exit status is checked in stop
	}()
	fl.mu.Lock()
	fl.processes[i] = proc
	fl.mu.Unlock()
	return nil
}

// awaitReady waits until an instance accepts the login of a client.
func (fl *fleet) awaitReady(ctx context.Context, i int) error {
	for ctx.Err() == nil {
		if conn, err := dial(fl.listenAddrs[i], fl.clients[0].name); err == nil {
			conn.close()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("instance %d did not become ready: %w", i, ctx.Err())
}

// kill kills an instance with SIGKILL and restarts it after a delay.
func (fl *fleet) kill(ctx context.Context, i int, down time.Duration) error {
	fl.mu.Lock()
	proc := fl.processes[i]
	fl.outages[i] = append(fl.outages[i], outage{from: time.Now().Add(-100 * time.Millisecond), to: time.Now().Add(time.Hour)})
	fl.mu.Unlock()
	_ = proc.cmd.Process.Kill() // the process may have exited already
	<-proc.done
	select {
	case <-time.After(down):
	case <-ctx.Done():
		return nil
	}
	fl.mu.Lock()
	fl.restarts = append(fl.restarts, audit.Acknowledgement{At: time.Now(), Instance: fmt.Sprintf("cometpond-%d", i),
		Restarted: true})
	fl.mu.Unlock()
	if err := fl.start(i); err != nil {
		return err
	}
	up, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if err := fl.awaitReady(up, i); err != nil && ctx.Err() == nil {
		return err
	}
	fl.mu.Lock()
	fl.outages[i][len(fl.outages[i])-1].to = time.Now()
	fl.mu.Unlock()
	return nil
}

// wasDown reports whether an instance was down at any time between two points in time.
func (fl *fleet) wasDown(i int, from, to time.Time) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, down := range fl.outages[i] {
		if from.Before(down.to) && to.After(down.from) {
			return true
		}
	}
	return false
}

// recordPausesDuring applies a change for a duration and records the pauses that it causes.
func (fl *fleet) recordPausesDuring(ctx context.Context, d time.Duration, pauses []audit.Pause, change func(on bool)) {
	fl.mu.Lock()
	from := len(fl.pauses)
	for _, pause := range pauses {
		pause.From, pause.To = time.Now(), time.Now().Add(time.Hour)
		fl.pauses = append(fl.pauses, pause)
	}
	fl.mu.Unlock()
	change(true)
	sleep(ctx, d)
	change(false)
	fl.mu.Lock()
	for i := range pauses {
		fl.pauses[from+i].To = time.Now()
	}
	fl.mu.Unlock()
}

// pauseInstance pauses the process of an instance for a duration.
func (fl *fleet) pauseInstance(ctx context.Context, i int, d time.Duration) {
	fl.mu.Lock()
	proc := fl.processes[i]
	fl.mu.Unlock()
	fl.recordPausesDuring(ctx, d, []audit.Pause{{Instance: i}}, func(on bool) {
		signal := syscall.SIGCONT
		if on {
			signal = syscall.SIGSTOP
		}
		_ = proc.cmd.Process.Signal(signal) // the process may have exited
	})
}

// disturbStreams slows or stops the streams in front of instances or servers for a duration. To its clients, such an
// instance appears to be paused.
func (fl *fleet) disturbStreams(ctx context.Context, instances, servers []int, d time.Duration,
	change func(stream *standin.TCPRelay, on bool)) {
	var streams []*standin.TCPRelay
	var pauses []audit.Pause
	for _, i := range instances {
		streams = append(streams, fl.ingressStreams[i])
		pauses = append(pauses, audit.Pause{Instance: i, Network: true})
	}
	for _, i := range servers {
		streams = append(streams, fl.serverStreams[i])
		pauses = append(pauses, audit.Pause{Server: fl.serverStreams[i].Addr(), Network: true})
	}
	fl.recordPausesDuring(ctx, d, pauses, func(on bool) {
		for _, stream := range streams {
			change(stream, on)
		}
	})
}

// recentlyPaused reports whether an instance is paused, or was within the last second.
func (fl *fleet) recentlyPaused(i int) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, pause := range fl.pauses {
		if pause.Server == "" && pause.Instance == i && time.Since(pause.To) < time.Second {
			return true
		}
	}
	return false
}

// answerTimeout returns a channel that is closed after a duration or, if the instance was paused meanwhile, a second
// after it resumed.
func (fl *fleet) answerTimeout(i int, within time.Duration) (over <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var check func()
	timer := time.AfterFunc(within, func() { check() })
	check = func() {
		if fl.recentlyPaused(i) {
			timer.Reset(50 * time.Millisecond)
		} else {
			cancel()
		}
	}
	return ctx.Done(), func() { timer.Stop(); cancel() }
}

// updateServerList changes the list of servers and publishes it through the discovery server.
func (fl *fleet) updateServerList(change func(list []policy.Server)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	change(fl.serverList)
	fl.eds.Set(fl.serverList)
}

// listHistory returns the lists that the discovery server offered and the acknowledgements that it received.
func (fl *fleet) listHistory() (pushes []audit.Push, notices []audit.Acknowledgement) {
	lists, at := fl.eds.Pushed()
	for i, list := range lists {
		push := audit.Push{At: at[i], Up: map[string]bool{}}
		for _, server := range list {
			push.Up[server.ID] = server.State == policy.Up
		}
		pushes = append(pushes, push)
	}
	notices = append(notices, fl.restarts...)
	for _, ack := range fl.eds.Acknowledgements() {
		if ack.Error == "" && ack.Version > 0 {
			notices = append(notices, audit.Acknowledgement{At: ack.At, Instance: ack.Node, PushIndex: ack.Version - 1})
		}
	}
	return pushes, notices
}

// stop ends the instances with SIGTERM and returns an error unless each exits with code 0.
func (fl *fleet) stop() error {
	fl.mu.Lock()
	processes := append([]*process(nil), fl.processes...)
	fl.mu.Unlock()
	for _, proc := range processes {
		if proc != nil {
			_ = proc.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for i, proc := range processes {
		if proc == nil {
			continue
		}
		select {
		case <-proc.done:
		case <-time.After(15 * time.Second):
			_ = proc.cmd.Process.Kill()
			<-proc.done
			return fmt.Errorf("instance %d did not exit within 15 s after SIGTERM", i)
		}
		if code := proc.cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("instance %d exited with code %d after SIGTERM, want 0", i, code)
		}
	}
	return nil
}

// close ends all processes and stand-ins that still run and removes the files.
func (fl *fleet) close() {
	for _, proc := range fl.processes {
		if proc != nil {
			_ = proc.cmd.Process.Kill()
			<-proc.done
		}
	}
	if fl.eds != nil {
		fl.eds.Close()
	}
	if fl.relay != nil {
		fl.relay.Close()
	}
	for _, list := range [][]*standin.TCPRelay{fl.ingressStreams, fl.serverStreams} {
		for _, stream := range list {
			stream.Close()
		}
	}
	for _, server := range fl.servers {
		server.Close()
	}
	if fl.dir != "" {
		os.RemoveAll(fl.dir)
	}
}
