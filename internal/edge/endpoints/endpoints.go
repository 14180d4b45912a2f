// Package endpoints follows the platform's list of servers: it fetches the full list from discovery by HTTP and then
// long-polls for changes.
package endpoints

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"strconv"

	"cometpond/policy"
)

// maxHosts limits the entries of one list.
const mostHosts = 4096

// List is a list of servers: all of them, or those that have changed.
type List struct {
	Seq     uint64 // version of the list
	Whole   bool   // the list names all servers
	Servers []policy.Server
	Dial    map[string]string // addresses by server id
}

// wireList is a list as discovery sends it.
type wireList struct {
	Seq   *uint64    `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []wireHost `json:"hosts"`
}

// wireHost is an entry of a list as discovery sends it.
type wireHost struct {
	Host   string   `json:"host"`
	Dial   string   `json:"dial"`
	Site   string   `json:"site"`
	Block  int      `json:"block"`
	Health string   `json:"health"`
	Share  *float64 `json:"share"`
	BornMS float64  `json:"born_ms"`
}

// Parse parses a list. If any entry is invalid, the whole list is rejected with an error that names the entry and the
// expected value.
func Parse(text []byte) (List, error) {
	var wire wireList
	if err := json.Unmarshal(text, &wire); err != nil {
		return List{}, fmt.Errorf("list of servers: %w", err)
	}
	switch {
	case wire.Seq == nil:
		return List{}, fmt.Errorf("list of servers: seq is missing, want the list's version")
	case len(wire.Hosts) > mostHosts:
		return List{}, fmt.Errorf("list of servers: %d entries, want at most %d", len(wire.Hosts), mostHosts)
	}
	list := List{Seq: *wire.Seq, Whole: wire.Whole, Dial: map[string]string{}}
	for i, host := range wire.Hosts {
		server := policy.Server{ID: host.Host, Zone: host.Site, Cell: host.Block, Weight: 1, SinceS: host.BornMS / 1000}
		if host.Share != nil {
			server.Weight = *host.Share
		}
		switch host.Health {
		case "SERVING":
			server.State = policy.Up
		case "DRAINING":
			server.State = policy.Draining
		case "DELETED":
			server.State = policy.Removed
		default:
			return List{}, fmt.Errorf("list of servers: entry %d: health %q, want SERVING, DRAINING or DELETED", i, host.Health)
		}
		if host.Host == "" {
			return List{}, fmt.Errorf("list of servers: entry %d: host is empty, want the server's name", i)
		}
		if server.State != policy.Removed {
			if err := Address(host.Dial); err != nil {
				return List{}, fmt.Errorf("list of servers: entry %d: dial: %w", i, err)
			}
			list.Dial[host.Host] = host.Dial
		}
		list.Servers = append(list.Servers, server)
	}
	return list, nil
}

// CheckAddress returns an error unless addr is an IP address with a port from 1 to 65535.
func Address(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q, want an IP address with a port", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q, want a port from 1 to 65535", addr)
	}
	return nil
}

// Timing of the requests to discovery, in seconds. The sums of these values keep two limits that the platform sets: a change
// must be requested within 6 s after discovery has it and can be reached, even if the long poll that is open then and the
// two requests after it get no answer; and within 4 s after the address of discovery has changed, even if three requests
// get no answer.
//
// While discovery is down, a request starts every firstByteTimeoutS + retryDelayS. The interval has to be that short
// because a change that discovery has when it comes back counts as known to the ingress at once, and requests to a server
// that drains must stop within a time for which the shortest known setting is 0.25 s.
const (
	holdS    = 2.0  // how long discovery may hold a long poll open; a change that the poll missed counts as known 2 s after that
	answerS  = 0.7  // timeout of a request, in addition to the time for which it may be held open
	connectS = 0.5  // timeout for the connection, as part of answerTimeoutS
	firstS   = 0.15 // timeout for the first byte of a full list: discovery has the list ready, so it answers at once if it is up
	backoffS = 0.05 // delay after a failed request
	patient  = 40   // failures in a row after which the first byte may take answerTimeoutS: this end may be the slow one
)

// Poller decides which request to discovery comes next and how an answer is applied. It has no I/O and no clock.
type Watch struct {
	seq   uint64             // version of the last list
	known bool               // version is from the current address and no change was missed since: the next request is a long poll
	fails int                // failed requests in a row
	hosts map[string]backend // all servers of the lists so far, by id
}

// knownServer is what a Poller keeps of a server.
type backend struct {
	born float64 // when its last known process started
	up   bool    // requests may be sent to it
}

// NewPoller returns a poller that starts with a known list; the zero List for none.
func NewWatch(known List) *Watch {
	poller := &Watch{hosts: map[string]backend{}}
	poller.Answered(known)
	poller.Restart()
	return poller
}

// Request is a request to discovery. Times are in seconds.
type Call struct {
	Path     string
	WaitS    float64 // delay before the request
	FirstS   float64 // timeout for the first byte of the answer
	TimeoutS float64 // timeout for the complete answer
}

// Reset makes the next request ask for the full list without delay: the address of discovery has changed, or lists from
// the same address may not be up to date any more.
func (w *Watch) Restart() { w.known, w.fails = false, 0 }

// NextRequest returns the request to send next. It has a delay only after a failure, because discovery continues a long
// poll only if the next request follows at once.
func (w *Watch) Next() Call {
	request := Call{Path: "/api/targets", FirstS: firstS, TimeoutS: answerS}
	if w.known {
		request.Path += "?since=" + strconv.FormatUint(w.seq, 10) + "&timeout_ms=" + strconv.Itoa(holdS*1000)
		request.TimeoutS += holdS
	}
	if w.known || w.fails > patient {
		request.FirstS = request.TimeoutS
	}
	if w.fails > 0 {
		request.WaitS = backoffS
	}
	return request
}

// HandleList processes a valid list and returns the list to apply. Changes are applied even if the full list was requested,
// but in that case they don't answer the request, so the full list is requested again after a delay.
//
// A list with a lower version than the last one is either outdated or comes from a discovery server that restarted its
// numbering. It is applied with one exception: a server that drains or is removed does not come back by it, unless the
// server has restarted since.
func (w *Watch) Answered(list List) List {
	older := list.Seq < w.seq
	if w.fails = 0; list.Whole || w.known {
		w.known = list.Whole || !older
	} else {
		w.fails = 1
	}
	w.seq = list.Seq
	if list.Whole && !older {
		for id, known := range w.hosts { // those that the full list doesn't name are removed
			w.hosts[id] = backend{known.born, false}
		}
	}
	for i := range list.Servers {
		server := &list.Servers[i]
		known, isKnown := w.hosts[server.ID]
		if isKnown && older && !known.up && server.State == policy.Up && server.SinceS <= known.born {
			server.State = policy.Draining
		}
		w.hosts[server.ID] = backend{max(known.born, server.SinceS), server.State == policy.Up}
	}
	if len(w.hosts) > 2*mostHosts {
		maps.DeleteFunc(w.hosts, func(_ string, known backend) bool { return !known.up })
	}
	return list
}

// HandleFailure records that a request brought no valid list. The next request asks for the full list, because changes may
// have been missed.
func (w *Watch) Failed() {
	w.fails++
	w.known = false
}
