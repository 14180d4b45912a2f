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
	conn    *grpc.ClientConn
	gateway pb.GatewayClient
	limits  rlsv3.RateLimitServiceClient
}

func newRPCClient(addr string) *rpcClient {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5,
			MaxDelay: 200 * time.Millisecond}, MinConnectTimeout: time.Second}))
	if err != nil {
		panic(err) // the address was made by this package
	}
	return &rpcClient{conn, pb.NewGatewayClient(conn), rlsv3.NewRateLimitServiceClient(conn)}
}

func (rc *rpcClient) close() { rc.conn.Close() }

// withCredentials returns a context that carries a name and the shared secret, and that is cancelled when over is closed.
func withCredentials(name string, done <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx := metadata.AppendToOutgoingContext(context.Background(), "authorization",
		"Basic "+base64.StdEncoding.EncodeToString([]byte(name+":"+clientSecret)))
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// ask makes one call and returns its outcome. If the connection was lost, the client does not know whether an
// instance received the call.
func (rc *rpcClient) ask(client string, words []string, unitsOnly bool, timeout <-chan struct{}) (end audit.Outcome, wrong bool) {
	var err error
	if unitsOnly {
		ctx, cancel := withCredentials("day", timeout)
		defer cancel()
		var response *rlsv3.RateLimitResponse
		response, err = rc.limits.ShouldRateLimit(ctx, &rlsv3.RateLimitRequest{Domain: "day", HitsAddend: 1,
			Descriptors: []*ratelimitv3.RateLimitDescriptor{{Entries: []*ratelimitv3.RateLimitDescriptor_Entry{{Key: "client",
				Value: client}}}}})
		if err == nil && response.GetOverallCode() == rlsv3.RateLimitResponse_OK {
			return audit.Admitted, false
		} else if err == nil {
			return audit.Limited, false
		}
	} else {
		ctx, cancel := withCredentials(client, timeout)
		defer cancel()
		request := &pb.DoRequest{}
		for _, word := range words {
			request.Words = append(request.Words, []byte(word))
		}
		var response *pb.DoResponse
		if response, err = rc.gateway.Do(ctx, request); err == nil {
			return audit.Served, !isAnswer(resp.Text(response.GetReply(), resp.DefaultLimits), words, len(words) > 4)
		}
	}
	switch status.Code(err) {
	case codes.ResourceExhausted:
		return audit.Refused, false
	case codes.Unavailable:
		if strings.Contains(status.Convert(err).Message(),
			"while dialing") { // no connection was established: no instance received the call
			return audit.NotConnected, false
		}
		return audit.ConnectionLost, false
	case codes.Canceled:
		return audit.Unanswered, false
	}
	return audit.Failed, false
}
