package endpoints

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cometpond/internal/standin"
)

// outage makes a discovery server receive requests without answering them. Those that it has received by then are not
// answered after the end of the outage either.
type outage struct {
	mu   sync.Mutex
	down bool
	last time.Time // when the last request was received
}

func (o *outage) set(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// requestedWithin reports whether a request was received within the last while.
func (o *outage) requestedWithin(while time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.last) < while
}

// intercept handles a request to the discovery server.
func (o *outage) intercept(_ http.ResponseWriter, req *http.Request) bool {
	o.mu.Lock()
	down := o.down
	o.last = time.Now()
	o.mu.Unlock()
	if down {
		<-req.Context().Done()
	}
	return down
}

// maxUnawareness is how long after the end of an outage the list may be applied: the shortest time for which requests may
// still be sent to a server that drains.
const maxUnawareness = 250 * time.Millisecond

// Guards against lists that are asked for more rarely the longer discovery has been down: at its return a server drains, at once
// or some tenths of a second later, and has to be known as draining in time. The outage ends at the worst moment, just after a
// request that is never answered.
func TestDrainAfterOutageOfAnyLengthIsKnownInTime(t *testing.T) {
	var plays sync.WaitGroup
	for _, length := range []time.Duration{3, 7, 9, 14} {
		for _, later := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
			discovery := startDiscovery(t, host("s-1"))
			_, received := follow(t, discovery.Addr())
			waitFor(t, "the list", func() bool { n, _ := received.last(); return n > 0 })
			plays.Add(1)
			go func() { // all at once: they wait most of the time
				defer plays.Done()
				if took := playOutage(discovery, received, length*time.Second, later); took > maxUnawareness {
					t.Errorf("outage of %d s, drain %v later: known %v after discovery had it and was back, want %v at most", length, later, took, maxUnawareness)
				}
			}()
		}
	}
	plays.Wait()
}

// playOutage makes a server drain some time after an outage, and returns how long after that the client had the list.
func playOutage(discovery *standin.PlatformDiscovery, received *recorder, length, later time.Duration) time.Duration {
	const step = time.Millisecond
	var down outage
	discovery.Intercept(down.intercept)
	down.set(true)
	discovery.SetHosts(host("s-1"), host("s-2")) // ends the long poll
	time.Sleep(length)
	for !down.requestedWithin(5 * time.Millisecond) {
		time.Sleep(step)
	}
	down.set(false)
	time.Sleep(later)
	draining := host("s-1")
	draining.Health = "DRAINING"
	version := discovery.SetHosts(draining, host("s-2"))
	for returned := time.Now(); ; time.Sleep(step) {
		took := time.Since(returned)
		if _, list := received.last(); list.Version >= version || took > 10*maxUnawareness {
			return took
		}
	}
}

// Guards against a connection to discovery that hangs while it is opened: it must not hold up the requests after it.
func TestHangingConnectionDelaysNoRequest(t *testing.T) {
	listener, fill := fullListener(t)
	_, received := follow(t, listener.Addr().String())
	time.Sleep(700 * time.Millisecond)
	for _, conn := range fill {
		conn.Close()
	}
	discovery := startDiscovery(t, host("s-1"))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, discovery.List()) })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	accepting := time.Now()
	waitFor(t, "the list", func() bool { n, _ := received.last(); return n > 0 })
	if took := time.Since(accepting); took > maxUnawareness {
		t.Errorf("the list came %v after connections were accepted again, want %v at most", took, maxUnawareness)
	}
}

// fullListener returns a listener whose queue is full, so that new connections hang, and the connections that fill it.
func fullListener(t *testing.T) (net.Listener, []net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	var fill []net.Conn
	for len(fill) < 10 {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return listener, fill
		}
		t.Cleanup(func() { conn.Close() })
		fill = append(fill, conn)
	}
	t.Fatal("connections to a full queue are still accepted")
	return nil, nil
}

// Guards against slow answers that are given up each time: discovery takes as long for every request, however often it is asked.
func TestSlowAnswersAreUsed(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			discovery := startDiscovery(t, host("s-1"))
			discovery.Intercept(func(_ http.ResponseWriter, req *http.Request) bool {
				select {
				case <-time.After(delay):
				case <-req.Context().Done():
				}
				return false
			})
			started := time.Now()
			_, received := follow(t, discovery.Addr())
			waitFor(t, "the first list", func() bool { n, _ := received.last(); return n > 0 })
			if took := time.Since(started); took > delay+500*time.Millisecond {
				t.Errorf("the first list came after %v", took)
			}
			version := discovery.SetHosts(host("s-1"), host("s-2"))
			changed := time.Now()
			waitFor(t, "the change", func() bool { _, list := received.last(); return list.Version >= version })
			if took := time.Since(changed); took > 6*time.Second {
				t.Errorf("the change was known after %v, want 6 s at most", took)
			}
		})
	}
}
