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

// Sink receives lists of servers. The channel that Servers returns is closed once the list is in force; only then is the
// list acknowledged. whole says that the list replaces the previous one.
type Sink interface {
	UpdateServers(list []policy.Server, whole bool) <-chan struct{}
}

// Client follows the list of servers.
type Client struct {
	cfg    config.Discovery
	node   string
	sink   Sink
	log    zerolog.Logger
	store  *listStore // nil: lists are not stored
	status atomic.Pointer[Status]
}

// Status describes the connection and the list of a Client.
type Status struct {
	Connected     bool
	Version       string
	Servers       int
	RejectedLists uint64 // since the start of the process
}

// NewClient returns a client; node is the name of this instance in requests to discovery servers.
func NewClient(cfg config.Discovery, node string, sink Sink, log zerolog.Logger) *Client {
	client := &Client{cfg: cfg, node: node, sink: sink, log: log}
	if cfg.CachePath != "" {
		client.store = &listStore{file: &File{Path: cfg.CachePath}, log: log}
	}
	client.status.Store(&Status{})
	return client
}

// Status returns the current status.
func (client *Client) Status() Status { return *client.status.Load() }

// updateStatus replaces the status with a changed copy. Only the goroutine that calls Restore and Run may call it.
func (client *Client) updateStatus(change func(*Status)) {
	status := *client.status.Load()
	change(&status)
	client.status.Store(&status)
}

// restoreTimeout limits the retries to read the stored list.
const restoreTimeout = 2 * time.Second

// Restore puts the list stored on disk in force, if there is one, and logs its age.
func (client *Client) Restore(ctx context.Context) error {
	if client.store == nil {
		return nil
	}
	if err := client.store.file.RemoveTemporary(); err != nil {
		client.log.Warn().Err(err).Msg("could not remove temporary files of the stored list")
	}
	var version string
	var storedAt time.Time
	var assignment *endpointv3.ClusterLoadAssignment
	readContext, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	err := syserr.Retry(readContext, syserr.StorageRetryable, func() (err error) {
		version, storedAt, assignment, err = client.store.file.Load()
		return err
	})
	if err != nil {
		return err
	}
	if assignment == nil {
		return nil
	}
	list, err := ServersFromAssignment(assignment)
	if err != nil {
		return fmt.Errorf("list stored in %s: %w", client.cfg.CachePath, err)
	}
	client.log.Info().Str("version", version).Int("boxes", len(list)).Dur("age", time.Since(storedAt)).
		Msg("starting with the list stored on disk")
	client.updateStatus(func(status *Status) { status.Version, status.Servers = version, len(list) })
	return waitInForce(ctx, client.sink.UpdateServers(list, true))
}

// waitInForce waits until a list is in force or ctx is done.
func waitInForce(ctx context.Context, inForce <-chan struct{}) error {
	select {
	case <-inForce:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Delays between attempts to reach a server: doubled after each failure, from minBackoff to maxBackoff.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Run follows the list until ctx is done. When a server fails it goes on to the next one of the configuration.
func (client *Client) Run(ctx context.Context) {
	if client.store != nil {
		var storing sync.WaitGroup
		defer storing.Wait()
		storing.Add(1)
		go func() {
			defer storing.Done()
			client.store.retryPending(ctx)
		}()
	}
	pause := minBackoff
	for i := 0; ctx.Err() == nil; i++ {
		addr := client.cfg.Servers[i%len(client.cfg.Servers)]
		received, err := client.follow(ctx, addr)
		client.updateStatus(func(status *Status) { status.Connected = false })
		if ctx.Err() != nil {
			return
		}
		if received {
			pause = minBackoff
		}
		client.log.Warn().Str("server", addr).Err(err).Dur("again_in", pause).
			Msg("lost the discovery server; the last list stays in force")
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = min(2*pause, maxBackoff)
	}
}

// follow serves one stream until it fails; received reports whether a list has come into force over it.
func (client *Client) follow(ctx context.Context, addr string) (received bool, err error) {
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
	request := &discoveryv3.DiscoveryRequest{Node: &corev3.Node{Id: client.node, Cluster: "cometpond"}, TypeUrl: TypeURL,
		ResourceNames: []string{client.cfg.Cluster}}
	if err := stream.Send(request); err != nil {
		return false, fmt.Errorf("discovery request: %w", err)
	}
	version := ""
	for {
		response, err := stream.Recv()
		if err != nil {
			return received, fmt.Errorf("discovery stream: %w", err)
		}
		client.updateStatus(func(status *Status) { status.Connected = true })
		request := &discoveryv3.DiscoveryRequest{TypeUrl: TypeURL, ResourceNames: []string{client.cfg.Cluster},
			ResponseNonce: response.GetNonce()}
		list, assignment, err := client.parseResponse(response)
		if err != nil {
			client.updateStatus(func(status *Status) { status.RejectedLists++ })
			client.log.Warn().Str("version", response.GetVersionInfo()).Err(err).
				Msg("invalid list refused; the last valid one stays in force")
			request.ErrorDetail = &statuspb.Status{Code: 3, Message: err.Error()} // INVALID_ARGUMENT
		} else {
			// The list must be in force first: the discovery server counts drains from the acknowledgement.
			if err := waitInForce(ctx, client.sink.UpdateServers(list, true)); err != nil {
				return received, err
			}
			received, version = true, response.GetVersionInfo()
			client.updateStatus(func(status *Status) { status.Version, status.Servers = version, len(list) })
			if client.store != nil {
				client.store.save(version, assignment)
			}
			client.log.Debug().Str("version", version).Int("boxes", len(list)).Msg("list in force")
		}
		request.VersionInfo = version
		if err := stream.Send(request); err != nil {
			return received, fmt.Errorf("discovery acknowledgement: %w", err)
		}
	}
}

// parseResponse validates a response and returns the cluster's assignment and its list of servers.
func (client *Client) parseResponse(response *discoveryv3.DiscoveryResponse) ([]policy.Server, *endpointv3.ClusterLoadAssignment, error) {
	if response.GetTypeUrl() != TypeURL {
		return nil, nil, fmt.Errorf("resources of type %s, want %s", response.GetTypeUrl(), TypeURL)
	}
	for _, resource := range response.GetResources() {
		assignment := &endpointv3.ClusterLoadAssignment{}
		if err := resource.UnmarshalTo(assignment); err != nil {
			return nil, nil, fmt.Errorf("resource: %w", err)
		}
		if assignment.GetClusterName() != client.cfg.Cluster {
			continue
		}
		list, err := ServersFromAssignment(assignment)
		return list, assignment, err
	}
	return nil, nil, errors.New("no assignment for cluster " + client.cfg.Cluster)
}
