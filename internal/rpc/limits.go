package rpc

import (
	"context"
	"fmt"
	"math"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	ratelimitv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cometpond/internal/access"
	"cometpond/internal/config"
	"cometpond/internal/core"
)

// maxDescriptors is the largest number of descriptors in one request.
const maxDescriptors = 64

// ShouldRateLimit implements Envoy's rate limit service. The units of all matching descriptors are requested
// together. The request is over limit if one descriptor is; the units taken for the others are then returned.
func (srv *Server) ShouldRateLimit(ctx context.Context, request *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	srv.calls.Add(1)
	domain, ok := srv.authenticateDomain(ctx, request.GetDomain())
	if !ok {
		return nil, status.Error(codes.Unauthenticated, "no good credentials for this domain: want authorization: Basic with its name and secret")
	}
	descriptors := request.GetDescriptors()
	if len(descriptors) == 0 || len(descriptors) > maxDescriptors {
		return nil, status.Errorf(codes.InvalidArgument, "%d descriptors, want 1 to %d", len(descriptors), maxDescriptors)
	}
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	calls := make([]*core.Call, len(descriptors)) // by descriptor; nil if no rule matches it
	answered := make(chan *core.Call, len(descriptors))
	var submitted []*core.Call
	for i, descriptor := range descriptors {
		call, err := srv.limitCall(domain, request, descriptor)
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		if call != nil {
			call.Front, call.Tag = answerReceiver{}, answered
			calls[i], submitted = call, append(submitted, call)
		}
	}
	accepted := srv.core.Submit(submitted)
	contextErr := error(nil)
	for n := 0; n < accepted && contextErr == nil; n++ {
		select {
		case <-answered:
		case <-ctx.Done():
			contextErr = status.FromContextError(ctx.Err()).Err()
		}
	}
	if contextErr != nil {
		srv.cancelCalls(submitted[:accepted], answered)
		return nil, contextErr
	}
	if accepted < len(submitted) {
		srv.returnUnits(submitted[:accepted])
		return nil, status.Error(codes.Unavailable, "too many requests wait")
	}
	return srv.response(domain, calls, submitted)
}

// limitCall finds the rule that a descriptor matches and returns the call that requests its units, or nil if
// no rule matches.
func (srv *Server) limitCall(domain *config.Domain, request *rlsv3.RateLimitRequest, descriptor *ratelimitv3.RateLimitDescriptor) (*core.Call, error) {
	values := map[string]string{}
	for _, entry := range descriptor.GetEntries() {
		values[entry.GetKey()] = entry.GetValue()
	}
	hits := uint64(max(1, request.GetHitsAddend()))
	if descriptor.GetHitsAddend() != nil {
		hits = descriptor.GetHitsAddend().GetValue() // 0 reads the quota without taking units
	}
	for i := range domain.Descriptors {
		rule := &domain.Descriptors[i]
		client, ok := srv.matchRule(rule, values)
		if !ok {
			continue
		}
		maxHits := uint64(srv.options.Book.MaxUnits() / rule.Units)
		if hits > maxHits {
			return nil, fmt.Errorf("hits_addend %d, want %d at most for this descriptor", hits, maxHits)
		}
		call := srv.options.Book.LimitCall(client, rule.Class, float64(hits)*float64(rule.Units))
		return &call, nil
	}
	return nil, nil
}

// matchRule reports whether the descriptor's values match the rule, and returns the client that they name.
func (srv *Server) matchRule(rule *config.Descriptor, values map[string]string) (*access.Client, bool) {
	for _, wanted := range rule.Entries {
		if received, ok := values[wanted[0]]; !ok || wanted[1] != "" && received != wanted[1] {
			return nil, false
		}
	}
	name, ok := values[rule.CustomerKey]
	if !ok {
		return nil, false
	}
	return srv.options.Book.Lookup(name)
}

// returnUnits returns the units of all admitted calls to their quotas.
func (srv *Server) returnUnits(calls []*core.Call) {
	var admitted []*core.Call
	for _, call := range calls {
		if call.Answer.Kind == core.Admitted && call.Units > 0 {
			admitted = append(admitted, call)
		}
	}
	if len(admitted) > 0 {
		srv.core.ReturnUnits(admitted)
	}
}

// cancelCalls cancels calls whose caller has disconnected. It returns the units of those that were admitted
// meanwhile; the core ends those still waiting.
func (srv *Server) cancelCalls(calls []*core.Call, answered <-chan *core.Call) {
	srv.core.Disconnected(calls)
	var received []*core.Call
	for {
		select {
		case call := <-answered:
			received = append(received, call)
		default:
			srv.returnUnits(received)
			return
		}
	}
}

// response builds the response from the answers of all calls.
func (srv *Server) response(domain *config.Domain, calls, submitted []*core.Call) (*rlsv3.RateLimitResponse, error) {
	response := &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OK}
	var tightest *core.Answer
	for _, call := range calls {
		descriptorStatus := &rlsv3.RateLimitResponse_DescriptorStatus{Code: rlsv3.RateLimitResponse_OK}
		switch {
		case call == nil && !domain.AllowUnmatched:
			descriptorStatus.Code = rlsv3.RateLimitResponse_OVER_LIMIT
		case call == nil:
		case call.Answer.Kind == core.Failed || call.Answer.Kind == core.Refused && call.Answer.Reason != core.NoCapacity:
			srv.returnUnits(submitted)
			return nil, status.Error(codes.Unavailable, call.Answer.Detail) // no decision on the quota: the caller's failure mode applies
		default:
			answer := &call.Answer
			if answer.Kind == core.Refused && call.Units > 0 {
				descriptorStatus.Code = rlsv3.RateLimitResponse_OVER_LIMIT
			}
			if quota := answer.Quota; !math.IsInf(quota.Burst, 1) {
				rate := quota.Rate
				descriptorStatus.CurrentLimit = &rlsv3.RateLimitResponse_RateLimit{RequestsPerUnit: uint32(max(1, math.Round(rate))), Unit: rlsv3.RateLimitResponse_RateLimit_SECOND}
				descriptorStatus.LimitRemaining = uint32(max(quota.Remaining, 0))
				descriptorStatus.DurationUntilReset = durationFromSeconds(quota.ResetS)
				if tightest == nil || quota.Remaining < tightest.Quota.Remaining {
					tightest = answer
				}
			}
		}
		if descriptorStatus.Code == rlsv3.RateLimitResponse_OVER_LIMIT {
			response.OverallCode = rlsv3.RateLimitResponse_OVER_LIMIT
		}
		response.Statuses = append(response.Statuses, descriptorStatus)
	}
	if response.OverallCode == rlsv3.RateLimitResponse_OVER_LIMIT {
		srv.returnUnits(submitted)
	}
	if tightest != nil {
		quota := tightest.Quota
		response.ResponseHeadersToAdd = rateLimitHeaders(quota)
		if response.OverallCode == rlsv3.RateLimitResponse_OVER_LIMIT {
			response.ResponseHeadersToAdd = append(response.ResponseHeadersToAdd, headerValue("retry-after", math.Max(1, math.Ceil(quota.RetryAfterS))))
		}
	}
	return response, nil
}

// rateLimitHeaders returns the headers of the IETF draft on rate limit header fields for the quota.
func rateLimitHeaders(quota core.Quota) []*corev3.HeaderValue {
	return []*corev3.HeaderValue{headerValue("ratelimit-limit", math.Floor(quota.Burst)), headerValue("ratelimit-remaining", math.Floor(max(quota.Remaining, 0))),
		headerValue("ratelimit-reset", math.Ceil(max(quota.ResetS, 0)))}
}

// headerValue returns a header with a number rounded to a whole one.
func headerValue(name string, value float64) *corev3.HeaderValue {
	return &corev3.HeaderValue{Key: name, Value: strconv.FormatFloat(value, 'f', 0, 64)}
}
