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

// scenario is one kind of fault or planned event. Its function returns when the event is over, or continues in the background.
type scenario struct {
	name   string
	weight int
	play   func(f *fleet) error
}

// scenarios returns all scenarios with the weights by which they are drawn.
func scenarios() []scenario {
	return []scenario{
		{"failing calls", 10, (*fleet).failingCalls},
		{"broken connections", 3, (*fleet).brokenConnections},
		{"SIGTERM", 3, (*fleet).terminate},
		{"SIGKILL", 1, (*fleet).killAtOnce},
		{"SIGHUP", 3, (*fleet).switchDiscovery},
		{"SIGSTOP", 2, (*fleet).pauseIngress},
		{"drain", 3, (*fleet).drain},
		{"new server", 1, (*fleet).addAndPublish},
		{"server in trouble", 5, (*fleet).degradeServer},
		{"discovery down", 2, (*fleet).discoveryDown},
	}
}

// The pause after each scenario, and the longest duration of a fault in the background.
const (
	scenarioInterval = 250 * time.Millisecond
	maxFaultMS       = 1500 // milliseconds
)

// maxSeries is the highest number of concurrent series of scenarios. The seed selects the number.
const maxSeries = 3

// playFaults runs concurrent series of scenarios until shortly before the end of the run, so that the last ones can end.
func (f *fleet) playFaults() error {
	errs := make([]error, 1+f.seed%maxSeries)
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

// series runs randomly drawn scenarios one after the other.
func (f *fleet) series() error {
	list := scenarios()
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
		time.Sleep(scenarioInterval)
	}
	return nil
}

// anyIngress returns a random ingress.
func (f *fleet) anyIngress() *ingress { return f.ingressList[f.draw(len(f.ingressList))] }

// drawDuration returns a random duration between two bounds, in whole milliseconds.
func (f *fleet) drawDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(f.draw(int((most-least)/time.Millisecond)+1))*time.Millisecond
}

// momentaryFaults returns the faults of system calls from which failingCalls draws.
func momentaryFaults() []faults.Fault {
	return []faults.Fault{
		{Call: faults.Accept, Errno: unix.ENFILE, Probability: 1}, {Call: faults.Accept, Errno: unix.ECONNABORTED, Probability: 0.5},
		{Call: faults.Accept, Errno: unix.ENOBUFS, Probability: 0.5}, {Call: faults.Accept, Errno: unix.EPROTO, Probability: 0.3},
		{Call: faults.Read, Target: faults.Sockets, Errno: unix.EINTR, Probability: 0.3},
		{Call: faults.Read, Target: faults.Sockets, Errno: unix.ENOMEM, Probability: 0.3},
		{Call: faults.Read, Target: faults.Sockets, MaxBytes: 5, Probability: 0.7},
		{Call: faults.Write, Target: faults.Sockets, MaxBytes: 5, Probability: 0.7},
		{Call: faults.Write, Target: faults.Sockets, Errno: unix.EAGAIN, Probability: 0.3},
		{Call: faults.Write, Target: faults.Sockets, Errno: unix.ENOBUFS, Probability: 0.3},
		{Call: faults.Write, Target: faults.Eventfd, Errno: unix.EINTR, Probability: 0.3},
		{Call: faults.EpollPwait, Errno: unix.EINTR, Probability: 0.3},
		{Call: faults.EpollCtl, Target: faults.Sockets, Errno: unix.ENOMEM, Probability: 0.3},
		{Call: faults.Socket, Errno: unix.ENFILE, Probability: 1},
		{Call: faults.Socket, Errno: unix.ENOBUFS, Probability: 0.5},
		{Call: faults.Connect, Errno: unix.EADDRNOTAVAIL, Probability: 1},
		{Call: faults.Connect, Errno: unix.ENETUNREACH, Probability: 0.5},
		{Call: faults.Setsockopt, Errno: unix.ENOBUFS, Probability: 0.5},
	}
}

// failingCalls injects up to three faults of system calls into one or all ingresses for a short time.
func (f *fleet) failingCalls() error {
	all := momentaryFaults()
	var list []faults.Fault
	for range 1 + f.draw(3) {
		list = append(list, all[f.draw(len(all))])
	}
	members := f.ingressList
	if f.draw(2) == 0 {
		members = []*ingress{f.anyIngress()}
	}
	d := f.drawDuration(50*time.Millisecond, 400*time.Millisecond)
	for _, x := range list {
		f.record.note("%d ingresses: %s %q fails by %v, short %d, for %v", len(members), x.Call, x.Target, x.Errno, x.MaxBytes, d)
	}
	for _, ing := range members {
		ing.setFaults(list...)
	}
	time.Sleep(d)
	for _, ing := range members {
		ing.setFaults()
	}
	return nil
}

// brokenConnections breaks connections to one server with the errors of a failing network.
func (f *fleet) brokenConnections() error {
	ing := f.anyIngress()
	s := f.anyServer()
	errno := []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET}[f.draw(3)]
	call := []faults.Call{faults.Read, faults.Write}[f.draw(2)]
	d := f.drawDuration(50*time.Millisecond, 300*time.Millisecond)
	f.record.note("n%d: connections to %s break by %v for %v", ing.number, s.name, errno, d)
	ing.setFaults(faults.Fault{Call: call, Target: faults.Sockets, Port: portOf(s.backends[ing.number].Addr()),
		Errno: errno, BreakConnection: true, Probability: 0.3})
	time.Sleep(d)
	ing.setFaults()
	return nil
}

// terminate restarts an ingress with SIGTERM, half of the time right after a new configuration.
func (f *fleet) terminate() error {
	ing, times := f.anyIngress(), 1+f.draw(3)
	if f.draw(2) == 0 {
		if err := f.reloadConfiguration(ing, 1+f.draw(2)); err != nil {
			return err
		}
	}
	f.record.note("n%d: SIGTERM %d times", ing.number, times)
	err := ing.restart(times)
	f.record.note("n%d: serves again", ing.number)
	return err
}

// killAtOnce restarts an ingress with SIGKILL.
func (f *fleet) killAtOnce() error {
	ing := f.anyIngress()
	f.record.note("n%d: SIGKILL", ing.number)
	return ing.kill()
}

// switchDiscovery moves a random ingress to its other discovery server.
func (f *fleet) switchDiscovery() error { return f.reloadConfiguration(f.anyIngress(), 1+f.draw(3)) }

// reloadConfiguration writes a configuration with the other discovery server and sends SIGHUP the given number of times.
func (f *fleet) reloadConfiguration(ing *ingress, times int) error {
	f.mu.Lock()
	ing.discoveryInUse = 1 - ing.discoveryInUse
	f.mu.Unlock()
	if err := ing.configure(); err != nil {
		return err
	}
	f.record.note("n%d: SIGHUP %d times, discovery %d", ing.number, times, ing.discoveryInUse)
	for range times {
		ing.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(f.draw(30)) * time.Millisecond)
	}
	return nil
}

// maxPause is the longest pause of an ingress. The ingress has to keep all rules despite it, except those on times.
const maxPause = 150 * time.Millisecond

// pauseIngress stops an ingress with SIGSTOP for a short time.
func (f *fleet) pauseIngress() error {
	ing := f.anyIngress()
	d := f.drawDuration(20*time.Millisecond, maxPause)
	from := time.Now()
	f.record.note("n%d: SIGSTOP for %v", ing.number, d)
	ing.signal(syscall.SIGSTOP)
	time.Sleep(d)
	ing.signal(syscall.SIGCONT)
	f.record.addPause(Span{from, time.Now().Add(maxPause)})
	return nil
}

// degradeServer gives a server a random faulty behavior for a while.
func (f *fleet) degradeServer() error {
	s := f.anyServer()
	m := []behavior{unresponsive, closing, busy, slow}[f.draw(4)]
	d := f.drawDuration(200*time.Millisecond, maxFaultMS*time.Millisecond)
	f.record.note("%s: behavior %d for %v", s.name, m, d)
	s.setBehavior(m)
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		time.Sleep(d)
		s.setBehavior(healthy)
	}()
	return nil
}

// discoveryDown makes the discovery servers of one ingress close requests, at once or only when the fault ends.
func (f *fleet) discoveryDown() error {
	ing := f.anyIngress()
	d := f.drawDuration(300*time.Millisecond, maxFaultMS*time.Millisecond)
	silent := f.draw(2) == 0
	f.record.note("n%d: discovery down for %v, silent %v", ing.number, d, silent)
	until := time.Now().Add(d)
	for _, r := range ing.discovery {
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

// The list of servers.

// hosts returns the list for one ingress. Draining servers are listed with the health DRAINING.
func (f *fleet) hosts(ingressNumber int) (list []standin.PlatformHost) {
	for _, s := range f.servers {
		list = append(list, s.host(ingressNumber, "SERVING"))
	}
	for _, d := range f.drains {
		for _, s := range f.delisted {
			if s.name == d.server && time.Since(d.at) < listedAsDraining {
				list = append(list, s.host(ingressNumber, "DRAINING"))
			}
		}
	}
	return list
}

// listedAsDraining is how long a draining server stays on the list.
const listedAsDraining = 2 * time.Second

// anyServer returns a random server on the list.
func (f *fleet) anyServer() *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[f.rng.IntN(len(f.servers))]
}

// addServer starts a server, which is part of the next published list.
func (f *fleet) addServer() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serverCount++
	s, err := newServer(serverName(f.serverCount), f.ingresses, f.seed+uint64(f.serverCount), f.record)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	return nil
}

// addAndPublish adds a server and publishes the list.
func (f *fleet) addAndPublish() error {
	if err := f.addServer(); err != nil {
		return err
	}
	f.record.note("%s: new", serverName(f.serverCount))
	f.publishList("")
	return nil
}

// drain drains a random server and adds another one in its place.
func (f *fleet) drain() error {
	if err := f.addServer(); err != nil {
		return err
	}
	f.mu.Lock()
	k := f.rng.IntN(len(f.servers) - 1)
	s := f.servers[k]
	f.servers = append(f.servers[:k:k], f.servers[k+1:]...)
	f.delisted = append(f.delisted, s)
	f.mu.Unlock()
	f.record.note("%s: drains", s.name)
	f.publishList(s.name)
	return nil
}

// publishList publishes the list to all discovery servers. It names the server that starts to drain, "" for none.
func (f *fleet) publishList(drains string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := pendingDrain{server: drains, at: time.Now()}
	if drains != "" {
		f.drains = append(f.drains, d)
	}
	for i, ing := range f.ingressList {
		var versions [2]uint64
		for k, r := range ing.discovery {
			versions[k] = r.SetHosts(f.hosts(i)...)
		}
		d.versions = append(d.versions, versions)
	}
	if drains != "" {
		f.drains[len(f.drains)-1] = d
	}
}

// resolveDrains records when each ingress was first notified of each drain.
func (f *fleet) resolveDrains() {
	for _, d := range f.drains {
		notifiedAt := make([]time.Time, len(f.ingressList))
		for i, ing := range f.ingressList {
			for k, r := range ing.discovery {
				if at, was := r.FirstServedAt(d.versions[i][k]); was && (notifiedAt[i].IsZero() || at.Before(notifiedAt[i])) {
					notifiedAt[i] = at
				}
			}
		}
		f.record.drains = append(f.record.drains, Drain{Server: d.server, NotifiedAt: notifiedAt})
	}
}
