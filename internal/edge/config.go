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
	"cometpond/internal/settings"
)

// maxConfigBytes limits the size of the configuration file.
const maxConfigBytes = 16 << 20

// Config is the configuration that the platform gives an ingress. Parse maps the names in the configuration file to the fields.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Resources               plan.Resources
	PeerListen              string
	PeerAddrs               []string       // the address of each ingress of the tier, this one's included
	PeerBroadcastAddr       string         // broadcast address that reaches all other ingresses, "" for none
	InitialList             endpoints.List // the servers known at the start; the zero value if the platform gave none
	Settings                settings.Settings
	Trace                   bool // COMETPOND_EDGE_TRACE is set: log each request and the state of each server
}

// Load reads and checks the configuration file that the environment variable EDGE_CONFIG names. Its error names the
// variable or the field at fault and the expected value.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set, want the path of the configuration file")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("EDGE_CONFIG: %s has %d bytes, want at most %d", path, info.Size(), maxConfigBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	cfg, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	var fileLimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &fileLimit); err == nil && fileLimit.Cur < uint64(cfg.Resources.Sockets) {
		cfg.Resources.Sockets = int(fileLimit.Cur) // RLIMIT_NOFILE is below the number in the configuration
		if !cfg.Resources.Sufficient() {
			return nil, fmt.Errorf("file descriptors: the system allows %d, want at least %d", fileLimit.Cur, plan.MinSockets)
		}
	}
	cfg.Trace = getenv("COMETPOND_EDGE_TRACE") != ""
	return cfg, nil
}

// Parse reads and checks the text of a configuration file.
func Parse(text []byte) (*Config, error) {
	var wire struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Seed       string          `json:"seed"`
		Limits     *plan.Resources `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, err
	}
	cfg := &Config{Name: wire.Name, Listen: wire.Listen, Discovery: wire.Discovery,
		PeerListen: wire.PeerListen, PeerAddrs: wire.Peers, PeerBroadcastAddr: wire.PeersAll}
	if len(wire.Settings) == 0 {
		return nil, errors.New("settings is missing, want the settings object")
	}
	var err error
	if cfg.Settings, err = settings.Parse(wire.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, field := range []struct{ name, addr string }{{"listen", cfg.Listen}, {"discovery", cfg.Discovery}} {
		if err := endpoints.CheckAddress(field.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", field.name, err)
		}
	}
	if cfg.Settings.PeerMessages && cfg.Settings.Gateways > 1 {
		if err := endpoints.CheckAddress(cfg.PeerListen); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		if len(cfg.PeerAddrs) != cfg.Settings.Gateways {
			return nil, fmt.Errorf("peers has %d addresses, want one for each of the %d ingresses", len(cfg.PeerAddrs), cfg.Settings.Gateways)
		}
		for i, addr := range cfg.PeerAddrs {
			if err := endpoints.CheckAddress(addr); err != nil {
				return nil, fmt.Errorf("peers: entry %d: %w", i, err)
			}
		}
		if cfg.PeerBroadcastAddr != "" {
			if err := endpoints.CheckAddress(cfg.PeerBroadcastAddr); err != nil {
				return nil, fmt.Errorf("peers_all: %w", err)
			}
		}
	}
	if wire.Limits == nil || !wire.Limits.Sufficient() {
		return nil, fmt.Errorf("limits are too low, want cores above 0, memory_mb of at least %d and sockets of at least %d",
			plan.MinMemoryMB, plan.MinSockets)
	}
	cfg.Resources = *wire.Limits
	if cfg.Seed, err = strconv.ParseUint(wire.Seed, 16, 64); err != nil { // any other text is hashed
		hash := fnv.New64a()
		hash.Write([]byte(wire.Seed))
		cfg.Seed = hash.Sum64()
	}
	if len(wire.Known) > 0 && string(wire.Known) != "null" {
		if cfg.InitialList, err = endpoints.Parse(wire.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if err := cfg.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return cfg, nil
}
