package soak

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cometpond/internal/faults"
	"cometpond/internal/standin"
)

// trouble is one kind of event. It returns once it is over, or has begun what goes on by itself.
type trouble struct {
	name   string
	weight int
	play   func(f *fleet) error
}

// The troubles, and how often each comes beside the others.
func table() []trouble {
	return []trouble{
		{"failing calls", 10, (*fleet).failingCalls},
		{"broken connections", 3, (*fleet).brokenConnections},
		{"SIGTERM", 3, (*fleet).terminate},
		{"SIGKILL", 1, (*fleet).killAtOnce},
		{"SIGHUP", 3, (*fleet).move},
		{"SIGSTOP", 2, (*fleet).standStill},
		{"drain", 3, (*fleet).drain},
		{"new server", 1, (*fleet).addAndTell},
		{"server in trouble", 5, (*fleet).serverInTrouble},
		{"discovery down", 2, (*fleet).discoveryDown},
	}
}

// Times between two troubles, and of one.
const (
	calm        = 250 * time.Millisecond
	troubleMost = 1500 // milliseconds
)

// mostSeries is how many series of troubles run beside each other, by the seed.
const mostSeries = 3

// troubles plays series of them beside each other until the end. The last ones have time to pass.
func (f *fleet) troubles() error {
	errs := make([]error, 1+f.seed%mostSeries)
	var work sync.WaitGroup
	for i := range errs {
		work.Add(1)
		go func() {
			defer work.Done()
			errs[i] = f.series()
		}()
	}
	work.Wait()
	return errors.Join(errs...)
}

// series plays one trouble after the other.
func (f *fleet) series() error {
	list := table()
	sum := 0
	for _, t := range list {
		sum += t.weight
	}
	for time.Until(f.end) > time.Second {
		at := f.draw(sum)
		for _, t := range list {
			if at -= t.weight; at < 0 {
				if err := t.play(f); err != nil {
					return err
				}
				break
			}
		}
		time.Sleep(calm)
	}
	return nil
}

// any draws an ingress.
func (f *fleet) any() *ingress { return f.members[f.draw(len(f.members))] }

// span draws how long something lasts.
func (f *fleet) span(least, most time.Duration) time.Duration {
	return least + time.Duration(f.draw(int((most-least)/time.Millisecond)+1))*time.Millisecond
}

// moments are faults that last for a moment each.
func moments() []faults.Fault {
	return []faults.Fault{
		{Call: faults.Accept, Errno: unix.ENFILE, Probability: 1}, {Call: faults.Accept, Errno: unix.ECONNABORTED, Probability: 0.5},
		{Call: faults.Accept, Errno: unix.ENOBUFS, Probability: 0.5}, {Call: faults.Accept, Errno: unix.EPROTO, Probability: 0.3},
		{Call: faults.Read, Target: faults.Sockets, Errno: unix.EINTR, Probability: 0.3}, {Call: faults.Read, Target: faults.Sockets, Errno: unix.ENOMEM, Probability: 0.3},
		{Call: faults.Read, Target: faults.Sockets, MaxBytes: 5, Probability: 0.7}, {Call: faults.Write, Target: faults.Sockets, MaxBytes: 5, Probability: 0.7},
		{Call: faults.Write, Target: faults.Sockets, Errno: unix.EAGAIN, Probability: 0.3}, {Call: faults.Write, Target: faults.Sockets, Errno: unix.ENOBUFS, Probability: 0.3},
		{Call: faults.Write, Target: faults.Eventfd, Errno: unix.EINTR, Probability: 0.3}, {Call: faults.EpollPwait, Errno: unix.EINTR, Probability: 0.3},
		{Call: faults.EpollCtl, Target: faults.Sockets, Errno: unix.ENOMEM, Probability: 0.3},
		{Call: faults.Socket, Errno: unix.ENFILE, Probability: 1}, {Call: faults.Socket, Errno: unix.ENOBUFS, Probability: 0.5},
		{Call: faults.Connect, Errno: unix.EADDRNOTAVAIL, Probability: 1}, {Call: faults.Connect, Errno: unix.ENETUNREACH, Probability: 0.5},
		{Call: faults.Setsockopt, Errno: unix.ENOBUFS, Probability: 0.5},
	}
}

// failingCalls has up to three kinds of calls fail at one or at all ingresses.
func (f *fleet) failingCalls() error {
	all := moments()
	var list []faults.Fault
	for range 1 + f.draw(3) {
		list = append(list, all[f.draw(len(all))])
	}
	members := f.members
	if f.draw(2) == 0 {
		members = []*ingress{f.any()}
	}
	d := f.span(50*time.Millisecond, 400*time.Millisecond)
	for _, x := range list {
		f.record.note("%d ingresses: %s %q fails by %v, short %d, for %v", len(members), x.Call, x.Target, x.Errno, x.MaxBytes, d)
	}
	for _, n := range members {
		n.set(list...)
	}
	time.Sleep(d)
	for _, n := range members {
		n.set()
	}
	return nil
}

// brokenConnections has connections to one server break, as a network that fails shows it.
func (f *fleet) brokenConnections() error {
	n := f.any()
	s := f.anyServer()
	errno := []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET}[f.draw(3)]
	call := []faults.Call{faults.Read, faults.Write}[f.draw(2)]
	d := f.span(50*time.Millisecond, 300*time.Millisecond)
	f.record.note("n%d: connections to %s break by %v for %v", n.number, s.name, errno, d)
	n.set(faults.Fault{Call: call, Target: faults.Sockets, Port: portOf(s.at[n.number].Addr()), Errno: errno, BreakConnection: true, Probability: 0.3})
	time.Sleep(d)
	n.set()
	return nil
}

// terminate restarts an ingress as planned, sometimes with a new configuration at the same moment.
func (f *fleet) terminate() error {
	n, times := f.any(), 1+f.draw(3)
	if f.draw(2) == 0 {
		if err := f.hup(n, 1+f.draw(2)); err != nil {
			return err
		}
	}
	f.record.note("n%d: SIGTERM %d times", n.number, times)
	err := n.restart(times)
	f.record.note("n%d: serves again", n.number)
	return err
}

func (f *fleet) killAtOnce() error {
	n := f.any()
	f.record.note("n%d: SIGKILL", n.number)
	return n.kill()
}

func (f *fleet) move() error { return f.hup(f.any(), 1+f.draw(3)) }

// hup moves an ingress to its other discovery, with so many signals in a row.
func (f *fleet) hup(n *ingress, times int) error {
	f.mu.Lock()
	n.asked = 1 - n.asked
	f.mu.Unlock()
	if err := n.configure(); err != nil {
		return err
	}
	f.record.note("n%d: SIGHUP %d times, discovery %d", n.number, times, n.asked)
	for range times {
		n.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(f.draw(30)) * time.Millisecond)
	}
	return nil
}

// stopMost is how long an ingress may be held up and has to keep all rules but those on time.
const stopMost = 150 * time.Millisecond

func (f *fleet) standStill() error {
	n := f.any()
	d := f.span(20*time.Millisecond, stopMost)
	from := time.Now()
	f.record.note("n%d: SIGSTOP for %v", n.number, d)
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
	f.record.blur(Span{from, time.Now().Add(stopMost)})
	return nil
}

// serverInTrouble has a server behave badly for a while.
func (f *fleet) serverInTrouble() error {
	s := f.anyServer()
	m := []mood{hangs, resets, busy, slow}[f.draw(4)]
	d := f.span(200*time.Millisecond, troubleMost*time.Millisecond)
	f.record.note("%s: mood %d for %v", s.name, m, d)
	s.set(m)
	f.work.Add(1)
	go func() {
		defer f.work.Done()
		time.Sleep(d)
		s.set(well)
	}()
	return nil
}

// discoveryDown has discovery of one ingress refuse, or say nothing.
func (f *fleet) discoveryDown() error {
	n := f.any()
	d := f.span(300*time.Millisecond, troubleMost*time.Millisecond)
	silent := f.draw(2) == 0
	f.record.note("n%d: discovery down for %v, silent %v", n.number, d, silent)
	until := time.Now().Add(d)
	for _, r := range n.roster {
		r.Intercept(func(w http.ResponseWriter, q *http.Request) bool {
			if time.Now().After(until) {
				return false
			}
			if silent {
				select {
				case <-q.Context().Done():
				case <-time.After(time.Until(until)):
				}
			}
			panic(http.ErrAbortHandler)
		})
	}
	return nil
}

// ---- The list of servers ----

// hosts is the list as one ingress gets it. Those that drain are named so.
func (f *fleet) hosts(n int) (list []standin.PlatformHost) {
	for _, s := range f.servers {
		list = append(list, s.host(n, "SERVING"))
	}
	for _, d := range f.drains {
		for _, s := range f.gone {
			if s.name == d.server && time.Since(d.at) < listedAsDraining {
				list = append(list, s.host(n, "DRAINING"))
			}
		}
	}
	return list
}

// listedAsDraining is how long a server that drains stays on the list.
const listedAsDraining = 2 * time.Second

func (f *fleet) anyServer() *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[f.rng.IntN(len(f.servers))]
}

// addServer starts a server, which the next list names.
func (f *fleet) addServer() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named++
	s, err := newServer(serverName(f.named), f.ingresses, f.seed+uint64(f.named), f.record)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	return nil
}

func (f *fleet) addAndTell() error {
	if err := f.addServer(); err != nil {
		return err
	}
	f.record.note("%s: new", serverName(f.named))
	f.tell("")
	return nil
}

// drain has a server take nothing new; another one comes in its place.
func (f *fleet) drain() error {
	if err := f.addServer(); err != nil {
		return err
	}
	f.mu.Lock()
	k := f.rng.IntN(len(f.servers) - 1)
	s := f.servers[k]
	f.servers = append(f.servers[:k:k], f.servers[k+1:]...)
	f.gone = append(f.gone, s)
	f.mu.Unlock()
	f.record.note("%s: drains", s.name)
	f.tell(s.name)
	return nil
}

// tell gives every discovery the list, in which a server drains, "" for none.
func (f *fleet) tell(drains string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := pendingDrain{server: drains, at: time.Now()}
	if drains != "" {
		f.drains = append(f.drains, d)
	}
	for i, n := range f.members {
		var versions [2]uint64
		for k, r := range n.roster {
			versions[k] = r.SetHosts(f.hosts(i)...)
		}
		d.versions = append(d.versions, versions)
	}
	if drains != "" {
		f.drains[len(f.drains)-1] = d
	}
}

// resolveDrains finds when each ingress was first told of each drain.
func (f *fleet) resolveDrains() {
	for _, d := range f.drains {
		told := make([]time.Time, len(f.members))
		for i, n := range f.members {
			for k, r := range n.roster {
				if at, was := r.FirstServedAt(d.versions[i][k]); was && (told[i].IsZero() || at.Before(told[i])) {
					told[i] = at
				}
			}
		}
		f.record.drains = append(f.record.drains, Drain{Server: d.server, Told: told})
	}
}
