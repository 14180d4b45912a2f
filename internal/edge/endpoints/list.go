// Package endpoints follows the platform's list of servers: it fetches the full list from discovery by HTTP and then
// long-polls for changes.
package endpoints

import (
	"encoding/json"
	"fmt"
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
