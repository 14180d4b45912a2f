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

// client is a customer of the day.
type client struct {
	name, plan string
	weight     float64 // share of the load
	home       int     // the instance that it uses most
}

const daySecret = "day-secret"

// fleet is everything that runs on the day.
type fleet struct {
	s       *Script
	opt     Options
	dir     string
	cfg     *config.Config // of instance 0: classes, plans and commands are the same for all
	clients []*client
	fresh   []*client // customers that a scan brings
	eds     *standin.EDS
	relay   *standin.DatagramRelay
	fronts  []*standin.TCPRelay // in front of each instance's RESP port
	backs   []*standin.TCPRelay // in front of each box
	boxes   []*standin.Server
	list    []policy.Server
	files   []string
	listen  []string // where instances listen
	rpcs    []string // addresses of the gRPC front, none without it

	mu       sync.Mutex
	procs    []*process
	arrivals []audit.Arrival
	falls    []audit.Overload
	killed   [][]span // by instance
	stalls   []audit.Pause
	heavy    float64
	restarts []audit.Acknowledgement
	rng      *rand.Rand
}

// span is a time in which an instance was down, and a little more.
type span struct{ from, to time.Time }

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// nextPort goes through the loopback ports below those that outgoing connections take, so that an instance
// finds its own again after a restart. Days of one process share it.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(12000 + os.Getpid()*7%18000)) }

func takePort(network string) (string, error) {
	for port := nextPort.Add(1); port < 32000; port = nextPort.Add(1) {
		a := fmt.Sprintf("127.0.0.1:%d", port)
		if network == "udp" {
			if c, err := net.ListenPacket("udp", a); err == nil {
				c.Close()
				return a, nil
			}
		} else if l, err := net.Listen("tcp", a); err == nil {
			l.Close()
			return a, nil
		}
	}
	return "", errors.New("no free port on loopback below 32000")
}

// newFleet sets up the outside of the instances and writes their settings.
func newFleet(s *Script, opt Options) (_ *fleet, err error) {
	f := &fleet{s: s, opt: opt, rng: rand.New(rand.NewPCG(s.Seed, 3)),
		killed: make([][]span, s.Instances), procs: make([]*process, s.Instances), heavy: 1}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "cometpond-day-"); err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	f.makeClients()
	if err := f.settle(); err != nil {
		return nil, err
	}
	return f, nil
}

// makeClients draws the customers: many on a small plan, some on a large one, a few of them asking for more
// than they have.
func (f *fleet) makeClients() {
	basic, premium := max(6, int(f.s.Rate*0.55)), max(2, int(f.s.Rate*0.045))
	add := func(n int, plan string, share float64) {
		var sum float64
		from := len(f.clients)
		for i := range n {
			w := 0.5 + f.rng.Float64()
			if i%10 == 9 {
				w *= 2.5
			}
			sum += w
			f.clients = append(f.clients, &client{name: fmt.Sprintf("%s-%d", plan, i), plan: plan, weight: w, home: f.rng.IntN(f.s.Instances)})
		}
		for _, c := range f.clients[from:] {
			c.weight *= share / sum
		}
	}
	add(basic, "basic", 0.63)
	add(premium, "premium", 0.37)
	for i := range 500 {
		f.fresh = append(f.fresh, &client{name: fmt.Sprintf("new-%d", i), plan: "basic", home: i % f.s.Instances})
	}
}

// settle opens the ports, starts the stand-ins and writes a settings file for each instance.
func (f *fleet) settle() error {
	var peers []string
	for range f.s.Instances {
		a, err := takePort("tcp")
		if err != nil {
			return err
		}
		p, err := takePort("udp")
		if err != nil {
			return err
		}
		f.listen, peers = append(f.listen, a), append(peers, p)
		r, err := standin.NewTCPRelay("127.0.0.1:0", a, f.s.Seed+uint64(len(f.fronts)))
		if err != nil {
			return err
		}
		f.fronts = append(f.fronts, r)
		if f.opt.Front == "grpc" || f.opt.Front == "both" {
			g, err := takePort("tcp")
			if err != nil {
				return err
			}
			f.rpcs = append(f.rpcs, g)
		}
	}
	var err error
	if f.relay, err = standin.NewDatagramRelay(peers, f.s.Seed); err != nil {
		return err
	}
	if f.cfg, err = config.Parse("day", f.settings(0, peers, "127.0.0.1:1")); err != nil {
		return err
	}
	if err := f.startBoxes(); err != nil {
		return err
	}
	if f.eds, err = standin.NewEDS("127.0.0.1:0", "boxes", f.list); err != nil {
		return err
	}
	for i := range f.s.Instances {
		path := filepath.Join(f.dir, fmt.Sprintf("instance-%d.sexp", i))
		if err := os.WriteFile(path, []byte(f.settings(i, peers, f.eds.Addr())), 0o600); err != nil {
			return fmt.Errorf("day: %w", err)
		}
		if _, err := config.Load(path); err != nil {
			return err
		}
		f.files = append(f.files, path)
	}
	return nil
}

// settings is the file of one instance.
func (f *fleet) settings(me int, peers []string, eds string) string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p(`(ingress (me %d) (zone room-%d) (listen %q) (drain 5s))`, me, me%f.s.Zones, f.listen[me])
	p(`(instances (key "%x")`, sha256.Sum256([]byte(fmt.Sprint("day", f.s.Seed))))
	for i := range peers {
		a := peers[me]
		if i != me {
			a = f.relay.Addr(me, i)
		}
		p(`  (instance %d %q)`, i, a)
	}
	p(`)`)
	p(`(discovery (server %q) (cluster boxes) (keep %q))`, eds, filepath.Join(f.dir, fmt.Sprintf("list-%d.json", me)))
	p(`(classes
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
	sum := config.HashSecret(daySecret)
	if len(f.rpcs) > 0 {
		p(`(grpc (listen %q) (streams 10000)
  (domain day (secret-sha256 "%x") (unmatched refuse) (descriptor (customer client) (class job-status))))`, f.rpcs[me], sum)
	}
	p(`(clients`)
	for _, list := range [][]*client{f.clients, f.fresh} {
		for _, c := range list {
			p(`  (client %s (plan %s) (secret-sha256 "%x"))`, c.name, c.plan, sum)
		}
	}
	p(`)`)
	return b.String()
}

// work is the mean work of each command, seconds of a core of speed 1; the boxes' speed goes with the load,
// so that a usual moment keeps them about 60% busy at any rate.
var work = map[string]float64{"JOB.STATUS": 0.045, "IMAGE.FETCH": 0.09, "SIGN.SUBMIT": 0.15, "KEY.BURN": 0.06}

func (f *fleet) startBoxes() error {
	p := standin.DefaultParams
	p.Speed = max(0.3, f.s.Rate/300*12/float64(f.s.Servers))
	jobs := standin.Jobs(f.cfg, 1)
	for name, j := range jobs {
		j.Work, j.Echo = work[name], 3
		if j.KeyAt > 0 {
			j.Echo = 4
		}
		jobs[name] = j
	}
	memory := make([]*standin.SubmissionKeys, f.s.Zones)
	for i := range memory {
		memory[i] = standin.NewSubmissionKeys()
	}
	for i := range f.s.Servers {
		room := i % f.s.Zones
		a, err := takePort("tcp")
		if err != nil {
			return err
		}
		listed, err := takePort("tcp")
		if err != nil {
			return err
		}
		r, err := standin.NewTCPRelay(listed, a, f.s.Seed+100+uint64(i))
		if err != nil {
			return err
		}
		f.backs = append(f.backs, r)
		b, err := standin.NewServer(a, standin.ServerOptions{Name: listed, Params: p, Jobs: jobs, Seed: f.s.Seed + uint64(i), Keys: memory[room],
			OnArrival: f.saw, WorkFactor: f.extra})
		if err != nil {
			return err
		}
		f.boxes = append(f.boxes, b)
		f.list = append(f.list, policy.Server{ID: listed, Zone: fmt.Sprintf("room-%d", room), Cell: i / f.s.Zones / 2, Weight: 1})
	}
	return nil
}

// down takes a box from the network, and up brings it back cold.
func (f *fleet) down(i int) {
	f.backs[i].Down()
	f.boxes[i].Down()
}

func (f *fleet) up(i int) error {
	if err := f.boxes[i].Up(); err != nil {
		return err
	}
	return f.backs[i].Up()
}

// sever breaks all connections of an instance's clients; what was out on them is excused.
func (f *fleet) sever(i int) {
	f.mu.Lock()
	f.killed[i] = append(f.killed[i], span{from: time.Now().Add(-100 * time.Millisecond), to: time.Now().Add(100 * time.Millisecond)})
	f.mu.Unlock()
	f.fronts[i].BreakConnections()
}

// extra makes one request in fifty heavy while the script says so.
func (f *fleet) extra(n uint64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n%50 == 0 {
		return f.heavy
	}
	return 1
}

// saw keeps what a box saw. The words are: command, id or key, client, and for keyed ones the try's id.
func (f *fleet) saw(a standin.Arrival) {
	r := audit.Arrival{At: a.At, Server: a.Server, Instance: a.Instance, Executed: a.Executed, AttemptID: a.Words[1]}
	for _, c := range f.cfg.Commands {
		if c.Name == a.Words[0] {
			r.Class = f.cfg.Classes[c.Class].Name
			if r.Client = a.Words[2]; c.KeyIndex > 0 {
				r.Key, r.AttemptID = a.Words[1], a.Words[3]
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, r)
	if a.Outcome == standin.Crashed {
		for _, o := range f.falls {
			if o.Server == a.Server {
				return
			}
		}
		f.falls = append(f.falls, audit.Overload{At: a.At, Server: a.Server})
	}
}

// start starts an instance's process.
func (f *fleet) start(i int) error {
	cmd := f.opt.Serve(f.files[i])
	cmd.Stdout, cmd.Stderr = f.opt.Output, f.opt.Output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left behind if the day itself is killed
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("instance %d: %w", i, err)
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // how it ended shows on the sockets
	}()
	f.mu.Lock()
	f.procs[i] = p
	f.mu.Unlock()
	return nil
}

// ready waits until an instance lets a client in.
func (f *fleet) ready(ctx context.Context, i int) error {
	for ctx.Err() == nil {
		if c, err := dial(f.listen[i], f.clients[0].name); err == nil {
			c.close()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("instance %d is not ready: %w", i, ctx.Err())
}

// kill ends an instance outright, and restarts it after a while.
func (f *fleet) kill(ctx context.Context, i int, down time.Duration) error {
	f.mu.Lock()
	p := f.procs[i]
	f.killed[i] = append(f.killed[i], span{from: time.Now().Add(-100 * time.Millisecond), to: time.Now().Add(time.Hour)})
	f.mu.Unlock()
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.done
	select {
	case <-time.After(down):
	case <-ctx.Done():
		return nil
	}
	f.mu.Lock()
	f.restarts = append(f.restarts, audit.Acknowledgement{At: time.Now(), Instance: fmt.Sprintf("cometpond-%d", i), Restarted: true})
	f.mu.Unlock()
	if err := f.start(i); err != nil {
		return err
	}
	up, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if err := f.ready(up, i); err != nil && ctx.Err() == nil {
		return err
	}
	f.mu.Lock()
	f.killed[i][len(f.killed[i])-1].to = time.Now()
	f.mu.Unlock()
	return nil
}

// excused tells whether an instance was down at some time between two.
func (f *fleet) excused(i int, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.killed[i] {
		if from.Before(s.to) && to.After(s.from) {
			return true
		}
	}
	return false
}

// during keeps something up for a while and notes the stalls that it means.
func (f *fleet) during(ctx context.Context, d time.Duration, stalls []audit.Pause, change func(on bool)) {
	f.mu.Lock()
	from := len(f.stalls)
	for _, s := range stalls {
		s.From, s.To = time.Now(), time.Now().Add(time.Hour)
		f.stalls = append(f.stalls, s)
	}
	f.mu.Unlock()
	change(true)
	pause(ctx, d)
	change(false)
	f.mu.Lock()
	for i := range stalls {
		f.stalls[from+i].To = time.Now()
	}
	f.mu.Unlock()
}

// stall has an instance stand still for a while.
func (f *fleet) stall(ctx context.Context, i int, d time.Duration) {
	f.mu.Lock()
	p := f.procs[i]
	f.mu.Unlock()
	f.during(ctx, d, []audit.Pause{{Instance: i}}, func(on bool) {
		signal := syscall.SIGCONT
		if on {
			signal = syscall.SIGSTOP
		}
		_ = p.cmd.Process.Signal(signal) // it may have ended
	})
}

// wires has the wires in front of instances or boxes carry less, or nothing, for a while. To clients an instance
// behind one seems to stand still.
func (f *fleet) wires(ctx context.Context, instances, boxes []int, d time.Duration, change func(r *standin.TCPRelay, on bool)) {
	var list []*standin.TCPRelay
	var stalls []audit.Pause
	for _, i := range instances {
		list = append(list, f.fronts[i])
		stalls = append(stalls, audit.Pause{Instance: i, Network: true})
	}
	for _, i := range boxes {
		list = append(list, f.backs[i])
		stalls = append(stalls, audit.Pause{Server: f.backs[i].Addr(), Network: true})
	}
	f.during(ctx, d, stalls, func(on bool) {
		for _, r := range list {
			change(r, on)
		}
	})
}

// standing tells whether an instance stands still, or did a moment ago.
func (f *fleet) standing(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.stalls {
		if s.Server == "" && s.Instance == i && time.Since(s.To) < time.Second {
			return true
		}
	}
	return false
}

// patience is over after a while, or a second after its instance went on if that stood still meanwhile.
func (f *fleet) patience(i int, within time.Duration) (over <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var check func()
	t := time.AfterFunc(within, func() { check() })
	check = func() {
		if f.standing(i) {
			t.Reset(50 * time.Millisecond)
		} else {
			cancel()
		}
	}
	return ctx.Done(), func() { t.Stop(); cancel() }
}

// push tells discovery of the list as it stands now.
func (f *fleet) push(change func(list []policy.Server)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.list)
	f.eds.Set(f.list)
}

// told is what the discovery server offered, and saw the instances acknowledge.
func (f *fleet) told() (pushes []audit.Push, notices []audit.Acknowledgement) {
	lists, at := f.eds.Pushed()
	for i, list := range lists {
		p := audit.Push{At: at[i], Up: map[string]bool{}}
		for _, s := range list {
			p.Up[s.ID] = s.State == policy.Up
		}
		pushes = append(pushes, p)
	}
	notices = append(notices, f.restarts...)
	for _, t := range f.eds.Acknowledgements() {
		if t.Error == "" && t.Version > 0 {
			notices = append(notices, audit.Acknowledgement{At: t.At, Instance: t.Node, PushIndex: t.Version - 1})
		}
	}
	return pushes, notices
}

// stop ends the instances by SIGTERM and tells whether each left with exit code 0.
func (f *fleet) stop() error {
	f.mu.Lock()
	procs := append([]*process(nil), f.procs...)
	f.mu.Unlock()
	for _, p := range procs {
		if p != nil {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for i, p := range procs {
		if p == nil {
			continue
		}
		select {
		case <-p.done:
		case <-time.After(15 * time.Second):
			_ = p.cmd.Process.Kill()
			<-p.done
			return fmt.Errorf("instance %d did not end in 15 s after SIGTERM", i)
		}
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("instance %d ended with exit code %d after SIGTERM, want 0", i, code)
		}
	}
	return nil
}

// close ends all that is left.
func (f *fleet) close() {
	for _, p := range f.procs {
		if p != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if f.eds != nil {
		f.eds.Close()
	}
	if f.relay != nil {
		f.relay.Close()
	}
	for _, list := range [][]*standin.TCPRelay{f.fronts, f.backs} {
		for _, r := range list {
			r.Close()
		}
	}
	for _, b := range f.boxes {
		b.Close()
	}
	if f.dir != "" {
		os.RemoveAll(f.dir)
	}
}
