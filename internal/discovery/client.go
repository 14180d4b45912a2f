package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"github.com/rs/zerolog"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"cometpond/internal/config"
	"cometpond/internal/syserr"
	"cometpond/policy"
)

// Sink takes lists of boxes. The channel is closed once the list is in force; only then is it acknowledged.
type Sink interface {
	UpdateServers(list []policy.Server, whole bool) <-chan struct{}
}

// Client follows the list of boxes.
type Client struct {
	cfg   config.Discovery
	node  string
	sink  Sink
	log   zerolog.Logger
	keep  *keeper // nil: no list is kept
	state atomic.Pointer[Status]
}

// Status is what a Client last knew.
type Status struct {
	Connected     bool
	Version       string
	Servers       int
	RejectedLists uint64 // lists refused since the start
}

// NewClient returns a client; node names this instance to the servers.
func NewClient(cfg config.Discovery, node string, sink Sink, log zerolog.Logger) *Client {
	c := &Client{cfg: cfg, node: node, sink: sink, log: log}
	if cfg.CachePath != "" {
		c.keep = &keeper{file: &File{Path: cfg.CachePath}, log: log}
	}
	c.state.Store(&Status{})
	return c
}

// Status tells how things stand.
func (c *Client) Status() Status { return *c.state.Load() }

func (c *Client) change(f func(*Status)) {
	s := *c.state.Load()
	f(&s)
	c.state.Store(&s)
}

// restoreFor is how long a kept list that can't be read is tried again.
const restoreFor = 2 * time.Second

// Restore puts the list kept on disk in force, if there is one, and tells how old it is.
func (c *Client) Restore(ctx context.Context) error {
	if c.keep == nil {
		return nil
	}
	if err := c.keep.file.Clean(); err != nil {
		c.log.Warn().Err(err).Msg("half-written lists could not be removed")
	}
	var version string
	var at time.Time
	var a *endpointv3.ClusterLoadAssignment
	reading, cancel := context.WithTimeout(ctx, restoreFor)
	defer cancel()
	err := syserr.Retry(reading, syserr.StorageRetryable, func() (err error) {
		version, at, a, err = c.keep.file.Load()
		return err
	})
	if err != nil {
		return err
	}
	if a == nil {
		return nil
	}
	list, err := ServersFromAssignment(a)
	if err != nil {
		return fmt.Errorf("list kept in %s: %w", c.cfg.CachePath, err)
	}
	c.log.Info().Str("version", version).Int("boxes", len(list)).Dur("age", time.Since(at)).Msg("start with the list kept on disk")
	c.change(func(s *Status) { s.Version, s.Servers = version, len(list) })
	return wait(ctx, c.sink.UpdateServers(list, true))
}

func wait(ctx context.Context, taken <-chan struct{}) error {
	select {
	case <-taken:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Backoff between attempts to reach a server: doubled after each failure, from least to most.
const (
	leastBackoff = 100 * time.Millisecond
	mostBackoff  = 5 * time.Second
)

// Run follows the list until ctx is over, from the servers in turn.
func (c *Client) Run(ctx context.Context) {
	if c.keep != nil {
		var keeping sync.WaitGroup
		defer keeping.Wait()
		keeping.Add(1)
		go func() {
			defer keeping.Done()
			c.keep.run(ctx)
		}()
	}
	pause := leastBackoff
	for i := 0; ctx.Err() == nil; i++ {
		addr := c.cfg.Servers[i%len(c.cfg.Servers)]
		heard, err := c.follow(ctx, addr)
		c.change(func(s *Status) { s.Connected = false })
		if ctx.Err() != nil {
			return
		}
		if heard {
			pause = leastBackoff
		}
		c.log.Warn().Str("server", addr).Err(err).Dur("again_in", pause).Msg("discovery lost; the last list stays in force")
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = min(2*pause, mostBackoff)
	}
}

// follow keeps one stream; heard tells whether a list came over it.
func (c *Client) follow(ctx context.Context, addr string) (heard bool, err error) {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second, PermitWithoutStream: true}))
	if err != nil {
		return false, fmt.Errorf("discovery server %s: %w", addr, err)
	}
	defer conn.Close()
	stream, err := edsv3.NewEndpointDiscoveryServiceClient(conn).StreamEndpoints(ctx)
	if err != nil {
		return false, fmt.Errorf("discovery stream: %w", err)
	}
	req := &discoveryv3.DiscoveryRequest{Node: &corev3.Node{Id: c.node, Cluster: "cometpond"}, TypeUrl: TypeURL,
		ResourceNames: []string{c.cfg.Cluster}}
	if err := stream.Send(req); err != nil {
		return false, fmt.Errorf("discovery request: %w", err)
	}
	version := ""
	for {
		res, err := stream.Recv()
		if err != nil {
			return heard, fmt.Errorf("discovery stream: %w", err)
		}
		c.change(func(s *Status) { s.Connected = true })
		req := &discoveryv3.DiscoveryRequest{TypeUrl: TypeURL, ResourceNames: []string{c.cfg.Cluster}, ResponseNonce: res.GetNonce()}
		list, a, err := c.read(res)
		if err != nil {
			c.change(func(s *Status) { s.RejectedLists++ })
			c.log.Warn().Str("version", res.GetVersionInfo()).Err(err).Msg("list refused; the last good one stays in force")
			req.ErrorDetail = &statuspb.Status{Code: 3, Message: err.Error()} // INVALID_ARGUMENT
		} else {
			// In force first: the acknowledgement is the moment from which drains count.
			if err := wait(ctx, c.sink.UpdateServers(list, true)); err != nil {
				return heard, err
			}
			heard, version = true, res.GetVersionInfo()
			c.change(func(s *Status) { s.Version, s.Servers = version, len(list) })
			if c.keep != nil {
				c.keep.keep(version, a)
			}
			c.log.Debug().Str("version", version).Int("boxes", len(list)).Msg("list in force")
		}
		req.VersionInfo = version
		if err := stream.Send(req); err != nil {
			return heard, fmt.Errorf("discovery acknowledgement: %w", err)
		}
	}
}

// read checks a response and takes the cluster's assignment out of it.
func (c *Client) read(res *discoveryv3.DiscoveryResponse) ([]policy.Server, *endpointv3.ClusterLoadAssignment, error) {
	if res.GetTypeUrl() != TypeURL {
		return nil, nil, fmt.Errorf("resources of type %s, want %s", res.GetTypeUrl(), TypeURL)
	}
	for _, r := range res.GetResources() {
		a := &endpointv3.ClusterLoadAssignment{}
		if err := r.UnmarshalTo(a); err != nil {
			return nil, nil, fmt.Errorf("resource: %w", err)
		}
		if a.GetClusterName() != c.cfg.Cluster {
			continue
		}
		list, err := ServersFromAssignment(a)
		return list, a, err
	}
	return nil, nil, errors.New("no assignment for cluster " + c.cfg.Cluster)
}
