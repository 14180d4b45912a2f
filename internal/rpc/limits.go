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

// mostDescriptors bounds one call.
const mostDescriptors = 64

// ShouldRateLimit answers Envoy's question. All descriptors that match are asked for at once; the call is
// over limit if one of them is, and then what the others took is handed back.
func (s *Server) ShouldRateLimit(ctx context.Context, r *rlsv3.RateLimitRequest) (*rlsv3.RateLimitResponse, error) {
	s.calls.Add(1)
	d, ok := s.domain(ctx, r.GetDomain())
	if !ok {
		return nil, status.Error(codes.Unauthenticated, "no good credentials for this domain: want authorization: Basic with its name and secret")
	}
	list := r.GetDescriptors()
	if len(list) == 0 || len(list) > mostDescriptors {
		return nil, status.Errorf(codes.InvalidArgument, "%d descriptors, want 1 to %d", len(list), mostDescriptors)
	}
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	calls := make([]*core.Call, len(list)) // nil where none matches
	back := make(chan *core.Call, len(list))
	var asked []*core.Call
	for i, e := range list {
		c, err := s.limit(d, r, e)
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		if c != nil {
			c.Front, c.Tag = waiter{}, back
			calls[i], asked = c, append(asked, c)
		}
	}
	taken := s.core.Submit(asked)
	late := error(nil)
	for n := 0; n < taken && late == nil; n++ {
		select {
		case <-back:
		case <-ctx.Done():
			late = status.FromContextError(ctx.Err()).Err()
		}
	}
	if late != nil {
		s.abandon(asked[:taken], back)
		return nil, late
	}
	if taken < len(asked) {
		s.handBack(asked[:taken])
		return nil, status.Error(codes.Unavailable, "too many requests wait")
	}
	return s.response(d, calls, asked)
}

// limit finds the rule that a descriptor matches and the call that asks for its units; nil if none does.
func (s *Server) limit(d *config.Domain, r *rlsv3.RateLimitRequest, e *ratelimitv3.RateLimitDescriptor) (*core.Call, error) {
	values := map[string]string{}
	for _, x := range e.GetEntries() {
		values[x.GetKey()] = x.GetValue()
	}
	hits := uint64(max(1, r.GetHitsAddend()))
	if e.GetHitsAddend() != nil {
		hits = e.GetHitsAddend().GetValue() // 0 asks without taking
	}
	for i := range d.Descriptors {
		rule := &d.Descriptors[i]
		client, ok := s.matches(rule, values)
		if !ok {
			continue
		}
		most := uint64(s.opt.Book.MaxUnits() / rule.Units)
		if hits > most {
			return nil, fmt.Errorf("hits_addend %d, want %d at most for this descriptor", hits, most)
		}
		c := s.opt.Book.LimitCall(client, rule.Class, float64(hits)*float64(rule.Units))
		return &c, nil
	}
	return nil, nil
}

func (s *Server) matches(rule *config.Descriptor, values map[string]string) (*access.Client, bool) {
	for _, want := range rule.Entries {
		if got, ok := values[want[0]]; !ok || want[1] != "" && got != want[1] {
			return nil, false
		}
	}
	name, ok := values[rule.CustomerKey]
	if !ok {
		return nil, false
	}
	return s.opt.Book.Lookup(name)
}

// handBack returns what calls were admitted for.
func (s *Server) handBack(calls []*core.Call) {
	var back []*core.Call
	for _, c := range calls {
		if c.Answer.Kind == core.Admitted && c.Units > 0 {
			back = append(back, c)
		}
	}
	if len(back) > 0 {
		s.core.ReturnUnits(back)
	}
}

// abandon gives up calls whose caller has left. Those that were admitted meanwhile are handed back; those
// still waiting are the core's to end.
func (s *Server) abandon(calls []*core.Call, back <-chan *core.Call) {
	s.core.Disconnected(calls)
	var got []*core.Call
	for {
		select {
		case c := <-back:
			got = append(got, c)
		default:
			s.handBack(got)
			return
		}
	}
}

// response puts the answers together.
func (s *Server) response(d *config.Domain, calls, asked []*core.Call) (*rlsv3.RateLimitResponse, error) {
	out := &rlsv3.RateLimitResponse{OverallCode: rlsv3.RateLimitResponse_OK}
	var tight *core.Answer
	for _, c := range calls {
		st := &rlsv3.RateLimitResponse_DescriptorStatus{Code: rlsv3.RateLimitResponse_OK}
		switch {
		case c == nil && !d.AllowUnmatched:
			st.Code = rlsv3.RateLimitResponse_OVER_LIMIT
		case c == nil:
		case c.Answer.Kind == core.Failed || c.Answer.Kind == core.Refused && c.Answer.Reason != core.NoCapacity:
			s.handBack(asked)
			return nil, status.Error(codes.Unavailable, c.Answer.Detail) // no ruling: the caller's failure mode decides
		default:
			a := &c.Answer
			if a.Kind == core.Refused && c.Units > 0 {
				st.Code = rlsv3.RateLimitResponse_OVER_LIMIT
			}
			if q := a.Quota; !math.IsInf(q.Burst, 1) {
				rate := q.Rate
				st.CurrentLimit = &rlsv3.RateLimitResponse_RateLimit{RequestsPerUnit: uint32(max(1, math.Round(rate))), Unit: rlsv3.RateLimitResponse_RateLimit_SECOND}
				st.LimitRemaining = uint32(max(q.Remaining, 0))
				st.DurationUntilReset = seconds(q.ResetS)
				if tight == nil || q.Remaining < tight.Quota.Remaining {
					tight = a
				}
			}
		}
		if st.Code == rlsv3.RateLimitResponse_OVER_LIMIT {
			out.OverallCode = rlsv3.RateLimitResponse_OVER_LIMIT
		}
		out.Statuses = append(out.Statuses, st)
	}
	if out.OverallCode == rlsv3.RateLimitResponse_OVER_LIMIT {
		s.handBack(asked)
	}
	if tight != nil {
		q := tight.Quota
		out.ResponseHeadersToAdd = headers(q)
		if out.OverallCode == rlsv3.RateLimitResponse_OVER_LIMIT {
			out.ResponseHeadersToAdd = append(out.ResponseHeadersToAdd, header("retry-after", math.Max(1, math.Ceil(q.RetryAfterS))))
		}
	}
	return out, nil
}

// headers are those of the IETF's draft on rate limit headers, for the tightest quota.
func headers(q core.Quota) []*corev3.HeaderValue {
	return []*corev3.HeaderValue{header("ratelimit-limit", math.Floor(q.Burst)), header("ratelimit-remaining", math.Floor(max(q.Remaining, 0))),
		header("ratelimit-reset", math.Ceil(max(q.ResetS, 0)))}
}

func header(name string, x float64) *corev3.HeaderValue {
	return &corev3.HeaderValue{Key: name, Value: strconv.FormatFloat(x, 'f', 0, 64)}
}
