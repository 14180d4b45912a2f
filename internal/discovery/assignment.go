// Package discovery learns the list of boxes from Envoy's endpoint discovery service (EDS v3, state of the
// world over gRPC), hands each list on before it acknowledges it, and keeps the last one on disk.
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

// TypeURL is the resource type that is asked for.
const TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// metadataKey is where an endpoint's metadata hold what EDS has no field for: cell, a small whole number
// (boxes of a room and a cell share a memory of keys), and started, seconds since 1970.
const metadataKey = "cometpond"

// ServersFromAssignment translates an assignment into the list of boxes. Boxes that are DRAINING, UNHEALTHY or TIMEOUT
// get nothing new; DEGRADED and UNKNOWN ones are up. An error names the endpoint and what would be right.
func ServersFromAssignment(a *endpointv3.ClusterLoadAssignment) ([]policy.Server, error) {
	var list []policy.Server
	seen := map[string]bool{}
	for _, group := range a.GetEndpoints() {
		for _, e := range group.GetLbEndpoints() {
			s, err := server(group.GetLocality().GetZone(), e)
			if err != nil {
				return nil, err
			}
			if seen[s.ID] {
				return nil, fmt.Errorf("endpoint %s: given twice, want each address once", s.ID)
			}
			seen[s.ID] = true
			list = append(list, s)
		}
	}
	return list, nil
}

func server(zone string, e *endpointv3.LbEndpoint) (policy.Server, error) {
	a := e.GetEndpoint().GetAddress().GetSocketAddress()
	if a == nil {
		return policy.Server{}, errors.New("endpoint without a socket address, want address and port")
	}
	if a.GetPortValue() == 0 || a.GetPortValue() > 65535 || net.ParseIP(a.GetAddress()) == nil {
		return policy.Server{}, fmt.Errorf("endpoint %s:%d: want an IP address and a port", a.GetAddress(), a.GetPortValue())
	}
	s := policy.Server{ID: net.JoinHostPort(a.GetAddress(), strconv.Itoa(int(a.GetPortValue()))), Zone: zone, Weight: 1}
	if zone == "" {
		return s, fmt.Errorf("endpoint %s: its locality has no zone, want the room's name", s.ID)
	}
	if w := e.GetLoadBalancingWeight(); w != nil {
		s.Weight = float64(w.GetValue())
	}
	switch e.GetHealthStatus() {
	case corev3.HealthStatus_DRAINING, corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		s.State = policy.Draining
	}
	for name, v := range e.GetMetadata().GetFilterMetadata()[metadataKey].GetFields() {
		n, ok := v.GetKind().(*structpb.Value_NumberValue)
		if !ok || n.NumberValue < 0 {
			return s, fmt.Errorf("endpoint %s: metadata %s is no number of 0 or more", s.ID, name)
		}
		switch name {
		case "cell":
			s.Cell = int(n.NumberValue)
		case "started":
			s.StartedAt = n.NumberValue
		}
	}
	return s, nil
}

// NewAssignment is the reverse of Servers, for those who serve lists. Weights become whole numbers.
func NewAssignment(cluster string, list []policy.Server) (*endpointv3.ClusterLoadAssignment, error) {
	a := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	zones := map[string]*endpointv3.LocalityLbEndpoints{}
	for _, s := range list {
		if s.State == policy.Removed {
			continue
		}
		host, port, err := net.SplitHostPort(s.ID)
		if err != nil {
			return nil, fmt.Errorf("box %s: %w", s.ID, err)
		}
		n, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			return nil, fmt.Errorf("box %s: %w", s.ID, err)
		}
		g := zones[s.Zone]
		if g == nil {
			g = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: s.Zone}}
			zones[s.Zone] = g
			a.Endpoints = append(a.Endpoints, g)
		}
		health := corev3.HealthStatus_HEALTHY
		if s.State == policy.Draining {
			health = corev3.HealthStatus_DRAINING
		}
		meta, err := structpb.NewStruct(map[string]any{"cell": float64(s.Cell), "started": s.StartedAt})
		if err != nil {
			return nil, fmt.Errorf("box %s: %w", s.ID, err)
		}
		g.LbEndpoints = append(g.LbEndpoints, &endpointv3.LbEndpoint{
			HealthStatus:        health,
			LoadBalancingWeight: wrapperspb.UInt32(uint32(max(1, math.Round(s.Weight)))),
			Metadata:            &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{metadataKey: meta}},
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
					Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}}},
		})
	}
	return a, nil
}
