package standin

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"

	"cometpond/internal/discovery"
	"cometpond/policy"
)

// Acknowledgement records that an instance accepted or refused a version of the list.
type Acknowledgement struct {
	At      time.Time
	Node    string
	Version int
	Error   string // why the instance refused the version, "" if it accepted
}

// EDS is a stand-in for an endpoint discovery server of the state-of-the-world protocol.
type EDS struct {
	edsv3.UnimplementedEndpointDiscoveryServiceServer
	cluster string
	addr    string
	server  *grpc.Server

	mu               sync.Mutex
	version          int
	lists            map[int][]policy.Server // by version
	pushedAt         []time.Time             // when each version was set, from version 1
	acknowledgements []Acknowledgement
	changed          chan struct{} // closed when there is a new version
}

// NewEDS serves a cluster's list on an address; port 0 selects a free port.
func NewEDS(addr, cluster string, list []policy.Server) (*EDS, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery stand-in: %w", err)
	}
	e := &EDS{cluster: cluster, addr: ln.Addr().String(), server: grpc.NewServer(), lists: map[int][]policy.Server{},
		changed: make(chan struct{})}
	e.Set(list)
	edsv3.RegisterEndpointDiscoveryServiceServer(e.server, e)
	go e.server.Serve(ln)
	return e, nil
}

// Addr returns the address that the server listens on.
func (eds *EDS) Addr() string { return eds.addr }

// Set pushes a list to all instances.
func (eds *EDS) Set(list []policy.Server) {
	eds.mu.Lock()
	defer eds.mu.Unlock()
	eds.version++
	eds.pushedAt = append(eds.pushedAt, time.Now())
	eds.lists[eds.version] = append([]policy.Server(nil), list...)
	close(eds.changed)
	eds.changed = make(chan struct{})
}

// Pushed returns all lists set so far, beginning with version 1, and the times at which they were set.
func (eds *EDS) Pushed() (lists [][]policy.Server, at []time.Time) {
	eds.mu.Lock()
	defer eds.mu.Unlock()
	for v := 1; v <= eds.version; v++ {
		lists = append(lists, eds.lists[v])
	}
	return lists, append([]time.Time(nil), eds.pushedAt...)
}

// Acknowledgements returns the acknowledgements received so far, in order.
func (eds *EDS) Acknowledgements() []Acknowledgement {
	eds.mu.Lock()
	defer eds.mu.Unlock()
	return append([]Acknowledgement(nil), eds.acknowledgements...)
}

// Close ends the server and its streams.
func (eds *EDS) Close() { eds.server.Stop() }

// StreamEndpoints serves the stream of one instance.
func (eds *EDS) StreamEndpoints(s edsv3.EndpointDiscoveryService_StreamEndpointsServer) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	node := first.GetNode().GetId()
	acks := make(chan struct{}, 1)
	failed := make(chan error, 1)
	go func() { // ends with the stream
		for {
			r, err := s.Recv()
			if err != nil {
				failed <- err
				return
			}
			v, _ := strconv.Atoi(r.GetVersionInfo())
			eds.mu.Lock()
			eds.acknowledgements = append(eds.acknowledgements, Acknowledgement{time.Now(), node, v, r.GetErrorDetail().GetMessage()})
			eds.mu.Unlock()
			select {
			case acks <- struct{}{}:
			default:
			}
		}
	}()
	sent := 0
	for {
		eds.mu.Lock()
		version, list, changed := eds.version, eds.lists[eds.version], eds.changed
		eds.mu.Unlock()
		if version > sent {
			a, err := discovery.NewAssignment(eds.cluster, list)
			if err != nil {
				return err
			}
			res, err := anypb.New(a)
			if err != nil {
				return err
			}
			v := strconv.Itoa(version)
			if err := s.Send(&discoveryv3.DiscoveryResponse{VersionInfo: v, TypeUrl: discovery.TypeURL, Nonce: "n" + v,
				Resources: []*anypb.Any{res}}); err != nil {
				return err
			}
			sent = version
		}
		select {
		case <-changed:
		case <-acks:
		case err := <-failed:
			return err
		case <-s.Context().Done():
			return s.Context().Err()
		}
	}
}
