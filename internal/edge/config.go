package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"

	"golang.org/x/sys/unix"

	"cometpond/internal/edge/endpoints"
	"cometpond/internal/edge/plan"
	"cometpond/internal/terms"
)

// mostConfig bounds the configuration file, bytes.
const mostConfig = 16 << 20

// Config is what the platform tells an ingress.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Limits                  plan.Machine
	PeerListen              string
	Peers                   []string // an address for each ingress of the tier, its own included
	PeersAll                string   // reaches all others, "" for none
	Known                   endpoints.List
	Terms                   terms.Settings
	Trace                   bool // COMETPOND_EDGE_TRACE is set: answers, and beliefs beside what the sockets show, are logged
}

// Load reads and checks the file that the environment names. The error names the variable or the field, and what would
// be right.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set, want the path of the configuration file")
	}
	f, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if f.Size() > mostConfig {
		return nil, fmt.Errorf("EDGE_CONFIG: %s holds %d bytes, want %d at most", path, f.Size(), mostConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil && files.Cur < uint64(c.Limits.Sockets) {
		c.Limits.Sockets = int(files.Cur) // the system allows fewer than the platform says
		if !c.Limits.Enough() {
			return nil, fmt.Errorf("descriptors: the system allows %d, want %d at least", files.Cur, plan.LeastSockets)
		}
	}
	c.Trace = getenv("COMETPOND_EDGE_TRACE") != ""
	return c, nil
}

// Parse is Load for the text of the file.
func Parse(text []byte) (*Config, error) {
	var w struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Seed       string          `json:"seed"`
		Limits     *plan.Machine   `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, err
	}
	c := &Config{Name: w.Name, Listen: w.Listen, Discovery: w.Discovery, PeerListen: w.PeerListen, Peers: w.Peers, PeersAll: w.PeersAll}
	if len(w.Settings) == 0 {
		return nil, errors.New("settings is missing, want the settings object")
	}
	var err error
	if c.Terms, err = terms.Parse(w.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := endpoints.Address(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	if c.Terms.PeerMessages && c.Terms.Gateways > 1 {
		if err := endpoints.Address(c.PeerListen); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		if len(c.Peers) != c.Terms.Gateways {
			return nil, fmt.Errorf("peers holds %d addresses, want one for each of the %d ingresses", len(c.Peers), c.Terms.Gateways)
		}
		for i, p := range c.Peers {
			if err := endpoints.Address(p); err != nil {
				return nil, fmt.Errorf("peers: entry %d: %w", i, err)
			}
		}
		if c.PeersAll != "" {
			if err := endpoints.Address(c.PeersAll); err != nil {
				return nil, fmt.Errorf("peers_all: %w", err)
			}
		}
	}
	if w.Limits == nil || !w.Limits.Enough() {
		return nil, fmt.Errorf("limits can't be met, want cores above 0, memory_mb of %d and sockets of %d at least",
			plan.LeastMemoryMB, plan.LeastSockets)
	}
	c.Limits = *w.Limits
	if c.Seed, err = strconv.ParseUint(w.Seed, 16, 64); err != nil { // any text will do
		h := fnv.New64a()
		h.Write([]byte(w.Seed))
		c.Seed = h.Sum64()
	}
	if len(w.Known) > 0 && string(w.Known) != "null" {
		if c.Known, err = endpoints.Parse(w.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if err := c.Terms.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}
