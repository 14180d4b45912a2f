package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of the list of servers.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

type list struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

func listOf(seq uint64, whole bool, hosts []host) list {
	return list{seq, whole, append([]host{}, hosts...)}
}

// discovery is a stand-in of the platform's discovery.
type discovery struct {
	rec    *record
	delay  time.Duration // before each answer
	addr   string
	server *http.Server

	mu      sync.Mutex
	seq     uint64
	hosts   []host
	changed chan struct{} // closed at the next change
	silent  bool          // calls are accepted and not answered
}

// startDiscovery serves a list of servers.
func startDiscovery(rec *record, seq uint64, hosts []host, delay time.Duration) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, delay: delay, addr: l.Addr().String(), seq: seq, hosts: hosts, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.targets)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(l)
	return d, nil
}

// set puts another list in force.
func (d *discovery) set(seq uint64, hosts []host, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq, d.hosts, d.silent = seq, hosts, silent
	close(d.changed)
	d.changed = make(chan struct{})
}

// targets answers with the whole list, or waits for a newer one.
func (d *discovery) targets(w http.ResponseWriter, r *http.Request) {
	asked := time.Now()
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	watch := err == nil
	if watch {
		wait, _ := strconv.Atoi(query.Get("timeout_ms"))
		timer := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
		defer timer.Stop()
		for waiting := true; waiting; {
			d.mu.Lock()
			seq, changed := d.seq, d.changed
			d.mu.Unlock()
			if seq > since {
				break
			}
			select {
			case <-changed:
			case <-timer.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	}
	if d.delay > 0 {
		select {
		case <-time.After(d.delay):
		case <-r.Context().Done():
			d.rec.note(time.Now(), "discovery call-given-up watch=%v after %.0f ms", watch, time.Since(asked).Seconds()*1000)
			return
		}
	}
	d.mu.Lock()
	for d.silent {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	answer := listOf(d.seq, true, d.hosts)
	if watch && d.seq <= since {
		answer = listOf(d.seq, false, nil)
	}
	d.mu.Unlock()
	body, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(body)
	if !watch || len(answer.Hosts) > 0 {
		d.rec.note(time.Now(), "discovery answered seq=%d whole=%v hosts=%d after %.0f ms err=%v", answer.Seq, answer.Whole,
			len(answer.Hosts), time.Since(asked).Seconds()*1000, err)
	}
}
