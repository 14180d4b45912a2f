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
const maxHosts = 4096

// List is a list of servers: all of them, or those that have changed.
type List struct {
	Version uint64 // version of the list
	Full    bool   // the list names all servers
	Servers []policy.Server
	Addrs   map[string]string // addresses by server id
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
	case len(wire.Hosts) > maxHosts:
		return List{}, fmt.Errorf("list of servers: %d entries, want at most %d", len(wire.Hosts), maxHosts)
	}
	list := List{Version: *wire.Seq, Full: wire.Whole, Addrs: map[string]string{}}
	for i, host := range wire.Hosts {
		server := policy.Server{ID: host.Host, Zone: host.Site, Cell: host.Block, Weight: 1, StartedAt: host.BornMS / 1000}
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
			if err := CheckAddress(host.Dial); err != nil {
				return List{}, fmt.Errorf("list of servers: entry %d: dial: %w", i, err)
			}
			list.Addrs[host.Host] = host.Dial
		}
		list.Servers = append(list.Servers, server)
	}
	return list, nil
}

// CheckAddress returns an error unless addr is an IP address with a port from 1 to 65535.
func CheckAddress(addr string) error {
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
	longPollS         = 2.0  // how long discovery may hold a long poll open; a change that the poll missed counts as known 2 s after that
	answerTimeoutS    = 0.7  // timeout of a request, in addition to the time for which it may be held open
	connectTimeoutS   = 0.5  // timeout for the connection, as part of answerTimeoutS
	firstByteTimeoutS = 0.15 // timeout for the first byte of a full list: discovery has the list ready, so it answers at once if it is up
	retryDelayS       = 0.05 // delay after a failed request
	quickRetries      = 40   // failures in a row after which the first byte may take answerTimeoutS: this end may be the slow one
)

// Poller decides which request to discovery comes next and how an answer is applied. It has no I/O and no clock.
type Poller struct {
	version  uint64                 // version of the last list
	synced   bool                   // version is from the current address and no change was missed since: the next request is a long poll
	failures int                    // failed requests in a row
	servers  map[string]knownServer // all servers of the lists so far, by id
}

// knownServer is what a Poller keeps of a server.
type knownServer struct {
	startedAtS float64 // when its last known process started
	usable     bool    // requests may be sent to it
}

// NewPoller returns a poller that starts with a known list; the zero List for none.
func NewPoller(known List) *Poller {
	poller := &Poller{servers: map[string]knownServer{}}
	poller.HandleList(known)
	poller.Reset()
	return poller
}

// Request is a request to discovery. Times are in seconds.
type Request struct {
	Path              string
	DelayS            float64 // delay before the request
	FirstByteTimeoutS float64 // timeout for the first byte of the answer
	TimeoutS          float64 // timeout for the complete answer
}

// Reset makes the next request ask for the full list without delay: the address of discovery has changed, or lists from
// the same address may not be up to date any more.
func (poller *Poller) Reset() { poller.synced, poller.failures = false, 0 }

// NextRequest returns the request to send next. It has a delay only after a failure, because discovery continues a long
// poll only if the next request follows at once.
func (poller *Poller) NextRequest() Request {
	request := Request{Path: "/api/targets", FirstByteTimeoutS: firstByteTimeoutS, TimeoutS: answerTimeoutS}
	if poller.synced {
		request.Path += "?since=" + strconv.FormatUint(poller.version, 10) + "&timeout_ms=" + strconv.Itoa(longPollS*1000)
		request.TimeoutS += longPollS
	}
	if poller.synced || poller.failures > quickRetries {
		request.FirstByteTimeoutS = request.TimeoutS
	}
	if poller.failures > 0 {
		request.DelayS = retryDelayS
	}
	return request
}

// HandleList processes a valid list and returns the list to apply. Changes are applied even if the full list was requested,
// but in that case they don't answer the request, so the full list is requested again after a delay.
//
// A list with a lower version than the last one is either outdated or comes from a discovery server that restarted its
// numbering. It is applied with one exception: a server that drains or is removed does not come back by it, unless the
// server has restarted since.
func (poller *Poller) HandleList(list List) List {
	older := list.Version < poller.version
	if poller.failures = 0; list.Full || poller.synced {
		poller.synced = list.Full || !older
	} else {
		poller.failures = 1
	}
	poller.version = list.Version
	if list.Full && !older {
		for id, known := range poller.servers { // those that the full list doesn't name are removed
			poller.servers[id] = knownServer{known.startedAtS, false}
		}
	}
	for i := range list.Servers {
		server := &list.Servers[i]
		known, isKnown := poller.servers[server.ID]
		if isKnown && older && !known.usable && server.State == policy.Up && server.StartedAt <= known.startedAtS {
			server.State = policy.Draining
		}
		poller.servers[server.ID] = knownServer{max(known.startedAtS, server.StartedAt), server.State == policy.Up}
	}
	if len(poller.servers) > 2*maxHosts {
		maps.DeleteFunc(poller.servers, func(_ string, known knownServer) bool { return !known.usable })
	}
	return list
}

// HandleFailure records that a request brought no valid list. The next request asks for the full list, because changes may
// have been missed.
func (poller *Poller) HandleFailure() {
	poller.failures++
	poller.synced = false
}
