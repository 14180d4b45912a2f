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
	IdleClients bool // idle connections use up the file descriptors of the ingresses
	// Program returns the command of an ingress with its environment. The program reads EDGE_CONFIG, limits itself to
	// EDGE_NOFILE descriptors and calls faults.Trap.
	Program func() *exec.Cmd
	Folder  string // for the configuration files
}

// Report is the result of a run.
type Report struct {
	Violations   []Violation
	Sent, Served int
	Injections   int      // how often an ingress was told which of its system calls fail
	FailedCalls  int      // system calls that were made to fail
	Events       []string // the events of the run with their times
	Logs         []string // the last part of each ingress's log
}

// fleet is the state of one run.
type fleet struct {
	deployment
	seed        uint64
	record      *Record
	program     func() *exec.Cmd
	ingressList []*ingress
	end         time.Time
	lastID      atomic.Uint64
	injections  atomic.Int64
	background  sync.WaitGroup // faults that end by themselves, in the background

	mu          sync.Mutex
	rng         *rand.Rand
	servers     []*server // on the list, in order of their start
	delisted    []*server // drained; they still serve requests
	drains      []pendingDrain
	serverCount int
}

// pendingDrain is a drain together with the list versions that announce it to each ingress.
type pendingDrain struct {
	server   string
	versions [][2]uint64 // by ingress and discovery server
	at       time.Time
}

// Sizes of a fleet and of its load.
const (
	initialServers            = 4
	clientsPerIngress         = 6 // for each ingress
	idleConnectionsPerIngress = 200
)

// Run carries out one run and checks it against the rules.
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
	r := &Report{Injections: int(f.injections.Load()), FailedCalls: failed, Events: f.record.events}
	r.Violations, r.Sent, r.Served = f.record.Judge()
	for _, ing := range f.ingressList {
		r.Logs = append(r.Logs, ing.log.String())
	}
	return r, err
}

// play runs the clients and the faults until the end of the run.
func (f *fleet) play(o Options) error {
	stopped := make(chan struct{})
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		f.record.watchOwnPauses(stopped)
	}()
	var idleConnections []net.Conn
	if o.IdleClients {
		idleConnections = f.openIdleConnections()
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
	for _, c := range idleConnections {
		c.Close()
	}
	close(stopped)
	work.Wait()
	return err
}

// startAll creates and starts all ingresses.
func (f *fleet) startAll(folder string) error {
	var peers []string
	for range f.ingresses {
		addr, err := standin.FreeUDPAddr()
		if err != nil {
			return err
		}
		peers = append(peers, addr)
	}
	for i := range f.ingresses {
		ing := &ingress{fleet: f, number: i}
		f.ingressList = append(f.ingressList, ing)
		listen, err := standin.FreeTCPAddr()
		if err != nil {
			return err
		}
		home := filepath.Join(folder, fmt.Sprint("n", i))
		if err := os.MkdirAll(home, 0o700); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		ing.cfg = &configuration{folder: home, listen: listen, peerListen: peers[i], peers: peers}
		for k := range ing.discovery {
			if ing.discovery[k], err = standin.NewPlatformDiscovery(f.hosts(i)...); err != nil {
				return err
			}
		}
	}
	errs := make([]error, len(f.ingressList))
	var work sync.WaitGroup
	for i, ing := range f.ingressList {
		work.Add(1)
		go func() {
			defer work.Done()
			errs[i] = ing.start()
		}()
	}
	work.Wait()
	return errors.Join(errs...)
}

// stop ends all processes, and returns how many system calls were made to fail.
func (f *fleet) stop() (failed int) {
	for _, ing := range f.ingressList {
		ing.stop()
	}
	for _, ing := range f.ingressList {
		failed += ing.failedCalls
	}
	return failed
}

// close ends all ingresses and servers.
func (f *fleet) close() {
	for _, ing := range f.ingressList {
		ing.stop()
	}
	for _, s := range append(f.servers, f.delisted...) {
		s.close()
	}
}

// finished reports whether the run is over, so that clients send no more requests.
func (f *fleet) finished() bool { return time.Now().After(f.end) }

func (f *fleet) newID() string { return fmt.Sprintf("%016x", f.lastID.Add(1)) }

// draw returns a random number in [0, n).
func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// updateRecord calls change with the record's lock held.
func (f *fleet) updateRecord(change func()) {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	change()
}

// pick returns an ingress that accepts clients and the number of its current process; nil if there is none.
func (f *fleet) pick(rng *rand.Rand) (*ingress, int) {
	from := rng.IntN(len(f.ingressList))
	for k := range f.ingressList {
		ing := f.ingressList[(from+k)%len(f.ingressList)]
		ing.mu.Lock()
		ok, process := ing.accepting && time.Now().After(ing.refusingUntil), len(ing.processes)-1
		ing.mu.Unlock()
		if ok {
			return ing, process
		}
	}
	return nil, 0
}

// openIdleConnections opens idle connections to all ingresses.
func (f *fleet) openIdleConnections() (list []net.Conn) {
	for _, ing := range f.ingressList {
		for range idleConnectionsPerIngress {
			if c, err := net.DialTimeout("tcp", ing.cfg.listen, dialTimeout); err == nil {
				list = append(list, c)
			}
		}
	}
	f.record.note("opened %d idle connections", len(list))
	return list
}

// A pause of this process by at least minPause makes its own times unreliable: times near it are not judged.
const (
	pauseCheckInterval = 10 * time.Millisecond
	minPause           = 30 * time.Millisecond
)

// watchOwnPauses records when this process was paused, since events it saw then may have happened earlier than recorded.
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
