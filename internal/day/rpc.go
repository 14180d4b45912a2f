package day

import (
	"context"
	"encoding/base64"
	"strings"
	"time"

	ratelimitv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cometpond/internal/audit"
	"cometpond/internal/resp"
	pb "cometpond/internal/rpc/cometpondv1"
)

// rpcClient is the connection of all customers to one instance's gRPC front.
type rpcClient struct {
	conn   *grpc.ClientConn
	work   pb.GatewayClient
	limits rlsv3.RateLimitServiceClient
}

func newRPCClient(addr string) *rpcClient {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5,
			MaxDelay: 200 * time.Millisecond}, MinConnectTimeout: time.Second}))
	if err != nil {
		panic(err) // an address that the day itself has made
	}
	return &rpcClient{conn, pb.NewGatewayClient(conn), rlsv3.NewRateLimitServiceClient(conn)}
}

func (r *rpcClient) close() { r.conn.Close() }

// as is a context that bears a name and the day's secret.
func as(name string, over <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx := metadata.AppendToOutgoingContext(context.Background(), "authorization",
		"Basic "+base64.StdEncoding.EncodeToString([]byte(name+":"+daySecret)))
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-over:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// ask makes one call and tells how it ended. Whether a call whose connection broke had been taken is not known
// to its client.
func (r *rpcClient) ask(client string, words []string, limit bool, over <-chan struct{}) (end audit.Outcome, wrong bool) {
	var err error
	if limit {
		ctx, cancel := as("day", over)
		defer cancel()
		var res *rlsv3.RateLimitResponse
		res, err = r.limits.ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{Domain: "day", HitsAddend: 1,
			Descriptors: []*ratelimitv3.RateLimitDescriptor{{Entries: []*ratelimitv3.RateLimitDescriptor_Entry{{Key: "client", Value: client}}}}})
		if err == nil && res.GetOverallCode() == rlsv3.RateLimitResponse_OK {
			return audit.Admitted, false
		} else if err == nil {
			return audit.Limited, false
		}
	} else {
		ctx, cancel := as(client, over)
		defer cancel()
		req := &pb.DoRequest{}
		for _, w := range words {
			req.Words = append(req.Words, []byte(w))
		}
		var res *pb.DoResponse
		if res, err = r.work.Do(ctx, req); err == nil {
			return audit.Served, !isAnswer(resp.Text(res.GetReply(), resp.DefaultLimits), words, len(words) > 4)
		}
	}
	switch status.Code(err) {
	case codes.ResourceExhausted:
		return audit.Refused, false
	case codes.Unavailable:
		if strings.Contains(status.Convert(err).Message(), "while dialing") { // no connection stood: nobody took it
			return audit.NotConnected, false
		}
		return audit.ConnectionLost, false
	case codes.Canceled:
		return audit.Unanswered, false
	}
	return audit.Failed, false
}
