package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// Discovery is a stand-in for the agent that tells the list of backends, by long poll.
type Discovery struct {
	ln net.Listener

	mu        sync.Mutex
	seq       int
	hosts     []Host
	changedAt map[string]int // version of a host's last change
	changed   chan struct{}
	written   map[int]time.Time // when the first answer that holds this version was written
	calls     []string
	down      bool // silent: calls that come meanwhile are never answered
}

func startDiscovery(seq int, hosts []Host) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("discovery: %v", err)
	}
	d := &Discovery{ln: ln, seq: seq, hosts: append([]Host(nil), hosts...), changedAt: map[string]int{},
		changed: make(chan struct{}), written: map[int]time.Time{}}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = server.Serve(ln) }()
	return d
}

// Addr is the address on which discovery listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Set changes the health of a host and returns the list's new version.
func (d *Discovery) Set(host, health string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for i := range d.hosts {
		if d.hosts[i].Host == host {
			d.hosts[i].Health = health
			d.changedAt[host] = d.seq
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.seq
}

// WrittenAt returns when an answer with that version or a later one was first written to the ingress.
func (d *Discovery) WrittenAt(version int) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for v, t := range d.written {
		if v >= version && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	seq, changed := d.seq, d.changed
	if len(d.calls) < 400 {
		d.calls = append(d.calls, stamp(time.Now())+" "+r.URL.RequestURI())
	}
	d.mu.Unlock()
	if d.isDown() {
		<-r.Context().Done()
		return
	}
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	watch := err == nil
	if watch && since >= seq {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if d.isDown() { // the watch was open when the outage began: it has fallen silent
		<-r.Context().Done()
		return
	}
	d.mu.Lock()
	list := map[string]any{"seq": d.seq, "whole": !watch}
	hosts := []Host{}
	for _, h := range d.hosts {
		if !watch || d.changedAt[h.Host] > since {
			hosts = append(hosts, h)
		}
	}
	list["hosts"] = hosts
	version := d.seq
	d.mu.Unlock()
	text, _ := json.Marshal(list)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err == nil {
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		d.mu.Lock()
		if _, before := d.written[version]; !before {
			d.written[version] = time.Now()
		}
		d.mu.Unlock()
	}
}

// Ingress is a process of the program under test.
type Ingress struct {
	Listen  string
	config  string
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
}

// Config is what the configuration file of an ingress says.
type Config struct {
	Name, Discovery  string
	Settings         string
	Known            []Host
	KnownSeq         int
	MemoryMB         int
	Sockets          int
	Peers            []string
	PeerListen, Seed string
}

// write replaces the configuration file by a rename.
func (in *Ingress) write(cfg Config) {
	known, _ := json.Marshal(map[string]any{"seq": cfg.KnownSeq, "whole": true, "hosts": cfg.Known})
	peers, _ := json.Marshal(append([]string{}, cfg.Peers...))
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":%q,"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"peer_listen":%q,"peers":%s,"peers_all":"","known":%s,"settings":%s}`,
		cfg.Name, in.Listen, cfg.Discovery, cfg.Seed, cfg.MemoryMB, cfg.Sockets, cfg.PeerListen, peers, known, cfg.Settings)
	if err := os.WriteFile(in.config+".next", []byte(text), 0o600); err != nil {
		cannotRun("configuration: %v", err)
	}
	if err := os.Rename(in.config+".next", in.config); err != nil {
		cannotRun("configuration: %v", err)
	}
}

// runCommand returns the command of the deploy file that starts an ingress.
func runCommand() string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		cannotRun("deploy file: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			if words := strings.SplitN(value, `"`, 3); len(words) == 3 {
				return words[1]
			}
		}
	}
	cannotRun("deploy file: no run")
	return ""
}

var (
	ingressesMu sync.Mutex
	ingresses   []*Ingress // all that were started
	ending      bool       // none is started any more
)

// startIngress starts an ingress by the deploy file and waits until it answers PING.
func startIngress(cfg Config) *Ingress {
	in := &Ingress{Listen: freeAddr(), config: filepath.Join(tmp, cfg.Name+".json"), exited: make(chan struct{})}
	if cfg.Seed == "" {
		cfg.Seed = fmt.Sprintf("%016x", time.Now().UnixNano())
	}
	in.write(cfg)
	in.cmd = exec.Command("/bin/sh", "-c", runCommand())
	in.cmd.Dir = root
	in.cmd.Env = append(os.Environ(), "EDGE_NAME="+cfg.Name, "EDGE_LISTEN="+in.Listen, "EDGE_DISCOVERY="+cfg.Discovery,
		"EDGE_CONFIG="+in.config, "TMPDIR="+tmp)
	log, err := os.Create(filepath.Join(tmp, cfg.Name+".log"))
	if err != nil {
		cannotRun("log: %v", err)
	}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	ingressesMu.Lock()
	if ending {
		select {} // the case is ending
	}
	err = in.cmd.Start()
	if err == nil {
		ingresses = append(ingresses, in)
	}
	ingressesMu.Unlock()
	if err != nil {
		cannotRun("starting the ingress: %v", err)
	}
	go func() {
		_ = in.cmd.Wait()
		close(in.exited)
	}()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if in.ready() {
			return in
		}
		if in.gone() {
			break
		}
	}
	cannotRun("the ingress does not answer PING")
	return nil
}

// ready reports whether the ingress answers PING.
func (in *Ingress) ready() bool {
	c, err := net.DialTimeout("tcp", in.Listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.Write(command("PING"))
	b := make([]byte, 16)
	n, _ := c.Read(b)
	return string(b[:n]) == "+PONG\r\n"
}

// gone reports whether the process has ended.
func (in *Ingress) gone() bool {
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (in *Ingress) signal(s syscall.Signal) {
	if !in.gone() {
		_ = in.cmd.Process.Signal(s)
	}
}

// endAll ends all ingresses.
func endAll() {
	ingressesMu.Lock()
	ending = true
	started := ingresses
	ingressesMu.Unlock()
	for _, in := range started {
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		<-in.exited
	}
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// SetDown begins or ends an outage: the agent is silent meanwhile. Calls that are open then have fallen silent for good.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		close(d.changed) // so that open watches notice
		d.changed = make(chan struct{})
	}
}

func (d *Discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// arrivals returns the requests that an ingress has sent to backends.
func (f *Fleet) arrivals(ingress int) (list []Arrival) {
	for _, b := range f.Backends[ingress] {
		list = append(list, b.Arrivals()...)
	}
	return list
}

// noteArrivals writes to the record what has run: id, backend, ingress and time of arrival.
func (f *Fleet) noteArrivals() {
	for i := range f.Ingresses {
		for _, a := range f.arrivals(i) {
			raw("ran %s %s n%d %s", a.ID, a.Backend, i, stamp(a.LastByte))
		}
	}
}
