// Package discovery receives the list of servers from Envoy's endpoint discovery service (EDS v3, state of the
// world over gRPC). It acknowledges a list once it is in force, and keeps the last one on disk for the next start.
package discovery

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"cometpond/policy"
)

// TypeURL is the type of the requested resources.
const TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// metadataKey is the filter name under which an endpoint's metadata holds what EDS has no field for: cell, a small
// whole number (servers of the same zone and cell share their store of keys), and started, seconds since 1970.
const metadataKey = "cometpond"

// ServersFromAssignment converts an assignment into a list of servers. Endpoints that are DRAINING, UNHEALTHY or
// TIMEOUT become draining servers, which get no new requests; DEGRADED and UNKNOWN ones are up. An error names the
// endpoint and what is expected; it is sent to the discovery server as the reason of the refusal.
func ServersFromAssignment(assignment *endpointv3.ClusterLoadAssignment) ([]policy.Server, error) {
	var list []policy.Server
	seen := map[string]bool{}
	for _, group := range assignment.GetEndpoints() {
		for _, endpoint := range group.GetLbEndpoints() {
			server, err := serverFromEndpoint(group.GetLocality().GetZone(), endpoint)
			if err != nil {
				return nil, err
			}
			if seen[server.ID] {
				return nil, fmt.Errorf("endpoint %s: given twice, want each address once", server.ID)
			}
			seen[server.ID] = true
			list = append(list, server)
		}
	}
	return list, nil
}

// serverFromEndpoint converts one endpoint of a zone.
func serverFromEndpoint(zone string, endpoint *endpointv3.LbEndpoint) (policy.Server, error) {
	address := endpoint.GetEndpoint().GetAddress().GetSocketAddress()
	if address == nil {
		return policy.Server{}, errors.New("endpoint without a socket address, want address and port")
	}
	if address.GetPortValue() == 0 || address.GetPortValue() > 65535 || net.ParseIP(address.GetAddress()) == nil {
		return policy.Server{}, fmt.Errorf("endpoint %s:%d: want an IP address and a port",
			address.GetAddress(), address.GetPortValue())
	}
	server := policy.Server{ID: net.JoinHostPort(address.GetAddress(), strconv.Itoa(int(address.GetPortValue()))),
		Zone: zone, Weight: 1}
	if zone == "" {
		return server, fmt.Errorf("endpoint %s: its locality has no zone, want the room's name", server.ID)
	}
	if weight := endpoint.GetLoadBalancingWeight(); weight != nil {
		server.Weight = float64(weight.GetValue())
	}
	switch endpoint.GetHealthStatus() {
	case corev3.HealthStatus_DRAINING, corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		server.State = policy.Draining
	}
	for name, value := range endpoint.GetMetadata().GetFilterMetadata()[metadataKey].GetFields() {
		number, ok := value.GetKind().(*structpb.Value_NumberValue)
		if !ok || number.NumberValue < 0 {
			return server, fmt.Errorf("endpoint %s: metadata %s is no number of 0 or more", server.ID, name)
		}
		switch name {
		case "cell":
			server.Cell = int(number.NumberValue)
		case "started":
			server.StartedAt = number.NumberValue
		}
	}
	return server, nil
}

// NewAssignment converts a list of servers into an assignment, for programs that serve lists. Weights are rounded to
// whole numbers.
func NewAssignment(cluster string, list []policy.Server) (*endpointv3.ClusterLoadAssignment, error) {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	zones := map[string]*endpointv3.LocalityLbEndpoints{}
	for _, server := range list {
		if server.State == policy.Removed {
			continue
		}
		host, port, err := net.SplitHostPort(server.ID)
		if err != nil {
			return nil, fmt.Errorf("server %s: %w", server.ID, err)
		}
		portNumber, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			return nil, fmt.Errorf("server %s: %w", server.ID, err)
		}
		group := zones[server.Zone]
		if group == nil {
			group = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: server.Zone}}
			zones[server.Zone] = group
			assignment.Endpoints = append(assignment.Endpoints, group)
		}
		health := corev3.HealthStatus_HEALTHY
		if server.State == policy.Draining {
			health = corev3.HealthStatus_DRAINING
		}
		metadata, err := structpb.NewStruct(map[string]any{"cell": float64(server.Cell), "started": server.StartedAt})
		if err != nil {
			return nil, fmt.Errorf("server %s: %w", server.ID, err)
		}
		group.LbEndpoints = append(group.LbEndpoints, &endpointv3.LbEndpoint{
			HealthStatus:        health,
			LoadBalancingWeight: wrapperspb.UInt32(uint32(max(1, math.Round(server.Weight)))),
			Metadata:            &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{metadataKey: metadata}},
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
					Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(portNumber)}}}}}},
		})
	}
	return assignment, nil
}
