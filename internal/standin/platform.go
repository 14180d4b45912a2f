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

// PlatformDiscovery stands in for the platform's discovery: HTTP with a long poll.
type PlatformDiscovery struct {
	addr       string
	httpServer *http.Server

	mu            sync.Mutex
	seq           uint64
	hosts         []PlatformHost
	changed       chan struct{}
	requestURIs   []string
	intercept     func(w http.ResponseWriter, r *http.Request) bool
	firstServedAt map[uint64]time.Time // when each version was first written
}

// NewPlatformDiscovery serves a list at a free address of loopback.
func NewPlatformDiscovery(hosts ...PlatformHost) (*PlatformDiscovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("roster: %w", err)
	}
	r := &PlatformDiscovery{addr: ln.Addr().String(), seq: 1, hosts: hosts, changed: make(chan struct{}), firstServedAt: map[uint64]time.Time{}}
	r.httpServer = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.httpServer.Serve(ln) }() // ends with Close
	return r, nil
}

// Addr is where it is reached.
func (discovery *PlatformDiscovery) Addr() string { return discovery.addr }

// SetHosts replaces the list, and returns its version.
func (discovery *PlatformDiscovery) SetHosts(hosts ...PlatformHost) (version uint64) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	discovery.seq++
	discovery.hosts = hosts
	close(discovery.changed)
	discovery.changed = make(chan struct{})
	return discovery.seq
}

// FirstServedAt is when a list of that version or a newer one was first written to a caller, false if none was.
func (discovery *PlatformDiscovery) FirstServedAt(version uint64) (at time.Time, told bool) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	for v, t := range discovery.firstServedAt {
		if v >= version && (!told || t.Before(at)) {
			at, told = t, true
		}
	}
	return at, told
}

// Intercept has f answer calls for which it returns true; nil for none.
func (discovery *PlatformDiscovery) Intercept(f func(w http.ResponseWriter, req *http.Request) bool) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	discovery.intercept = f
}

// Calls are the calls so far, each as its path with its query.
func (discovery *PlatformDiscovery) Calls() []string {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return append([]string(nil), discovery.requestURIs...)
}

// Close ends it and its connections.
func (discovery *PlatformDiscovery) Close() { _ = discovery.httpServer.Close() }

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

// List is the whole list as it is served.
func (discovery *PlatformDiscovery) List() string {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	return string(discovery.encodeList())
}

// encodeList is List with the lock held.
func (discovery *PlatformDiscovery) encodeList() []byte {
	text, err := json.Marshal(map[string]any{"seq": discovery.seq, "whole": true, "hosts": discovery.hosts})
	if err != nil {
		panic(err) // the type has no part that can't be written
	}
	return text
}

// ReceivedCommand is a command that a PlatformBackend took.
type ReceivedCommand struct {
	Conn  int // the connection's number
	Words []string
}

// PlatformBackend stands in for a backend of the platform. Each command is answered by Answer, which may wait, write
// what it likes and close the connection; commands of one connection are answered in turn.
type PlatformBackend struct {
	listener   net.Listener
	goroutines sync.WaitGroup
	answer     func(c net.Conn, s ReceivedCommand)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	total int
}

// NewPlatformBackend listens at a free address of loopback.
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

// ValueReply is the answer that holds the request's id as its value.
func ValueReply(s ReceivedCommand) []byte {
	out := resp.AppendBulk(resp.AppendArray(nil, 3), "value of "+s.Words[2])
	return append(out, "$-1\r\n$-1\r\n"...)
}

// Addr is where it is reached.
func (backend *PlatformBackend) Addr() string { return backend.listener.Addr().String() }

// OpenConnections and Count tell how many connections stand, and how many there were.
func (backend *PlatformBackend) OpenConnections() int {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return len(backend.conns)
}
func (backend *PlatformBackend) TotalConnections() int {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.total
}

// CloseConnections closes all connections; new ones are taken.
func (backend *PlatformBackend) CloseConnections() {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	for c := range backend.conns {
		c.Close()
	}
}

// Close ends it and waits for what runs.
func (backend *PlatformBackend) Close() {
	backend.listener.Close()
	backend.CloseConnections()
	backend.goroutines.Wait()
}

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

func (backend *PlatformBackend) serve(c net.Conn, n int) {
	var in []byte
	buf := make([]byte, 16<<10)
	for {
		args, used, _, err := resp.Command(in, nil, resp.DefaultLimits)
		if err == nil {
			s := ReceivedCommand{Conn: n}
			for _, a := range args {
				s.Words = append(s.Words, string(a))
			}
			in = in[used:]
			if strings.EqualFold(s.Words[0], "INFO") {
				_, _ = c.Write(resp.AppendBulk(nil, "util=0.50,latency_ms=2"))
			} else {
				backend.answer(c, s)
			}
			continue
		}
		k, err := c.Read(buf)
		if err != nil {
			return
		}
		in = append(in, buf[:k]...)
	}
}

// PlatformSettings is a settings object of the platform with three classes and two plans.
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
