package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"cometpond/internal/resp"
)

// PlatformHost is an entry of the platform's list of backends.
type PlatformHost struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// PlatformDiscovery is a stand-in for the platform's discovery server, which is polled over HTTP with long polls.
type PlatformDiscovery struct {
	addr       string
	httpServer *http.Server

	mu            sync.Mutex
	seq           uint64
	hosts         []PlatformHost
	changed       chan struct{}
	requestURIs   []string
	intercept     func(w http.ResponseWriter, r *http.Request) bool
	firstServedAt map[uint64]time.Time // when each version was first sent to a caller
}

// NewPlatformDiscovery serves a list on a free loopback address.
func NewPlatformDiscovery(hosts ...PlatformHost) (*PlatformDiscovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("platform discovery stand-in: %w", err)
	}
	r := &PlatformDiscovery{addr: ln.Addr().String(), seq: 1, hosts: hosts, changed: make(chan struct{}),
		firstServedAt: map[uint64]time.Time{}}
	r.httpServer = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.httpServer.Serve(ln) }() // ends with Close
	return r, nil
}

// Addr returns the address that it listens on.
func (discovery *PlatformDiscovery) Addr() string { return discovery.addr }

// SetHosts replaces the list and returns its version.
func (discovery *PlatformDiscovery) SetHosts(hosts ...PlatformHost) (version uint64) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	discovery.seq++
	discovery.hosts = hosts
	close(discovery.changed)
	discovery.changed = make(chan struct{})
	return discovery.seq
}

// FirstServedAt returns when a list of that version or a newer one was first sent to a caller, false if none was.
func (discovery *PlatformDiscovery) FirstServedAt(version uint64) (at time.Time, served bool) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	for v, t := range discovery.firstServedAt {
		if v >= version && (!served || t.Before(at)) {
			at, served = t, true
		}
	}
	return at, served
}

// Intercept sets a function that sees each call first. If it returns true, it has answered the call. nil: no function.
func (discovery *PlatformDiscovery) Intercept(f func(w http.ResponseWriter, req *http.Request) bool) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	discovery.intercept = f
}

// Calls returns the request URIs of the first 1000 calls.
func (discovery *PlatformDiscovery) Calls() []string {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return append([]string(nil), discovery.requestURIs...)
}

// Close stops the server and closes its connections.
func (discovery *PlatformDiscovery) Close() { _ = discovery.httpServer.Close() }

// serve answers one call. A caller that has the current version waits for a newer one until its timeout.
func (discovery *PlatformDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	discovery.mu.Lock()
	if len(discovery.requestURIs) < 1000 {
		discovery.requestURIs = append(discovery.requestURIs, req.URL.RequestURI())
	}
	spoil, changed, seq := discovery.intercept, discovery.changed, discovery.seq
	discovery.mu.Unlock()
	if spoil != nil && spoil(w, req) {
		return
	}
	if since, err := strconv.ParseUint(req.URL.Query().Get("since"), 10, 64); err == nil && since >= seq {
		ms, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		case <-time.After(time.Duration(ms) * time.Millisecond):
			fmt.Fprintf(w, `{"seq":%d,"whole":false,"hosts":[]}`, seq)
			return
		}
	}
	discovery.mu.Lock()
	version, text := discovery.seq, discovery.encodeList()
	if _, before := discovery.firstServedAt[version]; !before {
		discovery.firstServedAt[version] = time.Now()
	}
	discovery.mu.Unlock()
	_, _ = w.Write(text)
}

// List returns the complete list as JSON, as it is served.
func (discovery *PlatformDiscovery) List() string {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return string(discovery.encodeList())
}

// encodeList encodes the list. It is called with mu held.
func (discovery *PlatformDiscovery) encodeList() []byte {
	text, err := json.Marshal(map[string]any{"seq": discovery.seq, "whole": true, "hosts": discovery.hosts})
	if err != nil {
		panic(err) // every field of the type can be encoded
	}
	return text
}

// ReceivedCommand is a command that a PlatformBackend received.
type ReceivedCommand struct {
	Conn  int       // the connection's number
	At    time.Time // when its last byte was read
	Words []string
}

// PlatformBackend is a stand-in for a backend of the platform. A function answers each command; it may wait, write anything and
// close the connection. The commands of one connection are answered one after the other.
type PlatformBackend struct {
	listener   net.Listener
	goroutines sync.WaitGroup
	answer     func(c net.Conn, s ReceivedCommand)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	total int
}

// NewPlatformBackend starts a backend on a free loopback address.
func NewPlatformBackend(answer func(c net.Conn, s ReceivedCommand)) (*PlatformBackend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	b := &PlatformBackend{listener: ln, answer: answer, conns: map[net.Conn]struct{}{}}
	b.goroutines.Add(1)
	go b.accept()
	return b, nil
}

// ValueReply returns a successful reply whose value contains the request's id.
func ValueReply(s ReceivedCommand) []byte {
	out := resp.AppendBulk(resp.AppendArrayHeader(nil, 3), "value of "+s.Words[2])
	return append(out, "$-1\r\n$-1\r\n"...)
}

// Addr returns the address that it listens on.
func (backend *PlatformBackend) Addr() string { return backend.listener.Addr().String() }

// OpenConnections returns the number of open connections.
func (backend *PlatformBackend) OpenConnections() int {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return len(backend.conns)
}

// TotalConnections returns the number of connections accepted so far.
func (backend *PlatformBackend) TotalConnections() int {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.total
}

// CloseConnections closes all connections. New ones are still accepted.
func (backend *PlatformBackend) CloseConnections() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	for c := range backend.conns {
		c.Close()
	}
}

// Close stops the backend and waits for its goroutines.
func (backend *PlatformBackend) Close() {
	backend.listener.Close()
	backend.CloseConnections()
	backend.goroutines.Wait()
}

// accept serves connections until the listener is closed.
func (backend *PlatformBackend) accept() {
	defer backend.goroutines.Done()
	for {
		c, err := backend.listener.Accept()
		if err != nil {
			return
		}
		backend.mu.Lock()
		backend.conns[c] = struct{}{}
		backend.total++
		n := backend.total
		backend.mu.Unlock()
		backend.goroutines.Add(1)
		go func() {
			defer backend.goroutines.Done()
			backend.serve(c, n)
			c.Close()
			backend.mu.Lock()
			delete(backend.conns, c)
			backend.mu.Unlock()
		}()
	}
}

// maxUnansweredCommands bounds the commands of one connection that were read and not answered.
const maxUnansweredCommands = 1024

// serve reads the commands of one connection as they arrive, and answers them one after the other. It answers INFO itself.
func (backend *PlatformBackend) serve(c net.Conn, n int) {
	commands := make(chan ReceivedCommand, maxUnansweredCommands)
	backend.goroutines.Add(1)
	go func() {
		defer backend.goroutines.Done()
		defer close(commands)
		readCommands(c, n, commands)
	}()
	for command := range commands {
		if strings.EqualFold(command.Words[0], "INFO") {
			_, _ = c.Write(resp.AppendBulk(nil, "util=0.50,latency_ms=2"))
		} else {
			backend.answer(c, command)
		}
	}
}

// readCommands reads the commands of a connection until it ends.
func readCommands(c net.Conn, n int, commands chan<- ReceivedCommand) {
	var in []byte
	buf := make([]byte, 16<<10)
	for {
		args, used, _, err := resp.ParseCommand(in, nil, resp.DefaultLimits)
		if err == nil {
			command := ReceivedCommand{Conn: n, At: time.Now()}
			for _, a := range args {
				command.Words = append(command.Words, string(a))
			}
			in = in[used:]
			commands <- command
			continue
		}
		k, err := c.Read(buf)
		if err != nil {
			return
		}
		in = append(in, buf[:k]...)
	}
}

// PlatformSettings returns a settings object of the platform with three classes and two plans.
func PlatformSettings(me, ingresses int) string {
	return fmt.Sprintf(`{"balancers":%d,"me":%d,"myZone":"room-a","tickS":0.002,
"familyInfo":{"maxUnits":4,"peerIntake":40},"feedback":{"fields":["svc_ms","cpu_share"],"how":"probe"},
"limits":{"cancel":true,"connIdleS":15,"dialTimeoutS":0.25,"maxAttempts":3,"maxRetryAfterS":0.5,"mostHeld":20000,"multiplex":100,
"parallelTries":true,"peerMessages":true,"probes":true,"retryAfter":true},
"packages":[{"name":"basic","unitsPerS":1000000,"peakUnits":1000000,"pays":1,"excessCost":1},
{"name":"small","unitsPerS":1,"peakUnits":4,"pays":1,"excessCost":1}],
"prices":{"crossZone":0.02},
"profiles":[{"aimS":1,"deadlineS":2.5,"effect":"retryable","keyScope":"all","keyTtlS":5,"lateWorth":0.2,"name":"status","worth":3},
{"aimS":3,"deadlineS":6,"effect":"dedup","keyScope":"zone","keyTtlS":7.5,"name":"order","worth":3},
{"aimS":3,"deadlineS":6,"effect":"fragile","name":"pay","worth":3}],
"rules":{"answerSlackS":0.008,"askWithinS":10,"coldFrom":0.2,"coldS":15,"fallMultiple":2,"fallS":1.5,"stopSendingWithinS":2},
"scoreParts":{"worstTenant":0.15}}`, ingresses, me)
}

// PlatformConfig writes a configuration for one ingress into a folder and returns its path.
func PlatformConfig(folder, listen, discovery, known, settings string) (string, error) {
	if known == "" {
		known = "null"
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":1024},"peer_listen":"","peers":[],"peers_all":"","known":%s,"settings":%s}`,
		listen, discovery, known, settings)
	path := filepath.Join(folder, "config.json")
	next := path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return "", fmt.Errorf("configuration: %w", err)
	}
	return path, os.Rename(next, path)
}
