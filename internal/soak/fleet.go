package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"cometpond/internal/standin"
)

// Options are the settings of a run.
type Options struct {
	Seed        uint64
	Duration    time.Duration
	IdleClients bool // idle clients fill the descriptors
	// Program is an ingress that reads EDGE_CONFIG and keeps to EDGE_NOFILE descriptors, with its environment; it calls
	// faults.Trap.
	Program func() *exec.Cmd
	Folder  string // for configurations
}

// Report is what came of a run.
type Report struct {
	Violations   []Violation
	Sent, Served int
	FailedCalls  int      // calls that were made to fail
	Events       []string // what happened when
	Logs         []string // of the ingresses, their ends
}

// fleet is a run under way.
type fleet struct {
	deployment
	seed        uint64
	record      *Record
	program     func() *exec.Cmd
	ingressList []*ingress
	end         time.Time
	lastID      atomic.Uint64
	background  sync.WaitGroup // troubles that go on by themselves

	mu          sync.Mutex
	rng         *rand.Rand
	servers     []*server // listed, in order of their start
	delisted    []*server // not listed any more, and serving on
	drains      []pendingDrain
	serverCount int
}

// pendingDrain is a drain that each ingress is told of by a version of the list.
type pendingDrain struct {
	server   string
	versions [][2]uint64 // by ingress and discovery
	at       time.Time
}

// Sizes of a fleet.
const (
	initialServers            = 4
	clientsPerIngress         = 6 // of an ingress
	idleConnectionsPerIngress = 200
)

// Run plays one run and judges it.
func Run(o Options) (*Report, error) {
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	f := &fleet{deployment: drawDeployment(rng, o.IdleClients), seed: o.Seed, program: o.Program, rng: rng}
	f.record = &Record{IdleClients: o.IdleClients, start: time.Now(), processes: make([][]*Process, f.ingresses)}
	defer f.close()
	for range initialServers {
		if err := f.addServer(); err != nil {
			return nil, err
		}
	}
	if err := f.startAll(o.Folder); err != nil {
		return nil, err
	}
	f.record.start = time.Now()
	f.end = time.Now().Add(o.Duration)
	err := f.play(o)
	failed := f.stop()
	f.resolveDrains()
	r := &Report{FailedCalls: failed, Events: f.record.events}
	r.Violations, r.Sent, r.Served = f.record.Judge()
	for _, n := range f.ingressList {
		r.Logs = append(r.Logs, n.log.String())
	}
	return r, err
}

// play has clients ask while troubles come, until the end.
func (f *fleet) play(o Options) error {
	stopped := make(chan struct{})
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		f.record.watchOwnPauses(stopped)
	}()
	var crowd []net.Conn
	if o.IdleClients {
		crowd = f.openIdleConnections()
	}
	var clients sync.WaitGroup
	for i := range clientsPerIngress * f.ingresses {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{fleet: f, rng: rand.New(rand.NewPCG(f.seed, uint64(100+i)))}
			c.run()
		}()
	}
	err := f.playFaults()
	clients.Wait()
	f.background.Wait()
	for _, c := range crowd {
		c.Close()
	}
	close(stopped)
	work.Wait()
	return err
}

// startAll starts all ingresses.
func (f *fleet) startAll(folder string) error {
	var peers []string
	for range f.ingresses {
		addr, err := freeUDP()
		if err != nil {
			return err
		}
		peers = append(peers, addr)
	}
	for i := range f.ingresses {
		n := &ingress{fleet: f, number: i}
		f.ingressList = append(f.ingressList, n)
		listen, err := freeTCP()
		if err != nil {
			return err
		}
		home := filepath.Join(folder, fmt.Sprint("n", i))
		if err := os.MkdirAll(home, 0o700); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		n.cfg = &configuration{folder: home, listen: listen, peerListen: peers[i], peers: peers}
		for k := range n.discovery {
			if n.discovery[k], err = standin.NewPlatformDiscovery(f.hosts(i)...); err != nil {
				return err
			}
		}
	}
	errs := make([]error, len(f.ingressList))
	var work sync.WaitGroup
	for i, n := range f.ingressList {
		work.Add(1)
		go func() {
			defer work.Done()
			errs[i] = n.start()
		}()
	}
	work.Wait()
	return errors.Join(errs...)
}

// stop ends all processes, and tells how many calls were made to fail.
func (f *fleet) stop() (failed int) {
	for _, n := range f.ingressList {
		n.stop()
	}
	for _, n := range f.ingressList {
		failed += n.failedCalls
	}
	return failed
}

func (f *fleet) close() {
	for _, n := range f.ingressList {
		n.stop()
	}
	for _, s := range append(f.servers, f.delisted...) {
		s.close()
	}
}

// finished tells that clients begin no more requests.
func (f *fleet) finished() bool { return time.Now().After(f.end) }

func (f *fleet) newID() string { return fmt.Sprintf("%016x", f.lastID.Add(1)) }

// draw returns a number from 0 up to below n.
func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// updateRecord changes what the record holds.
func (f *fleet) updateRecord(change func()) {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	change()
}

// pick returns an ingress that the front sends clients to, and which of its processes runs; nil if there is none.
func (f *fleet) pick(rng *rand.Rand) (*ingress, int) {
	from := rng.IntN(len(f.ingressList))
	for k := range f.ingressList {
		n := f.ingressList[(from+k)%len(f.ingressList)]
		n.mu.Lock()
		ok, life := n.accepting && time.Now().After(n.refusingUntil), len(n.processes)-1
		n.mu.Unlock()
		if ok {
			return n, life
		}
	}
	return nil, 0
}

// openIdleConnections opens idle connections to every ingress.
func (f *fleet) openIdleConnections() (list []net.Conn) {
	for _, n := range f.ingressList {
		for range idleConnectionsPerIngress {
			if c, err := net.DialTimeout("tcp", n.cfg.listen, dialTimeout); err == nil {
				list = append(list, c)
			}
		}
	}
	f.record.note("crowd: %d idle connections", len(list))
	return list
}

// Stalls of this process of which times near them are not judged.
const (
	pauseCheckInterval = 10 * time.Millisecond
	minPause           = 30 * time.Millisecond
)

// watchOwnPauses notes when this process stood still: then what it saw may be older than it seems.
func (r *Record) watchOwnPauses(stopped <-chan struct{}) {
	tick := time.NewTicker(pauseCheckInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-stopped:
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > pauseCheckInterval+minPause {
			r.addPause(Span{last, now.Add(pauseCheckInterval)})
		}
		last = now
	}
}

func freeTCP() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func freeUDP() (string, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}
