// Command limits sends requests to a gateway over gRPC and obeys its rate limit, as an in-house client would:
//
//	go run ./examples/limits -addr 127.0.0.1:7380 -client acme -secret acme-secret
//
// A refused request (RESOURCE_EXHAUSTED) is retried after the delay that the gateway returns; no other error is retried.
package main

import (
	"context"
	"encoding/base64"
	"flag"
	"fmt"
	"os"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	pb "cometpond/internal/rpc/cometpondv1"
)

func main() {
	addr := flag.String("addr", "127.0.0.1:7380", "the gateway's gRPC address")
	client := flag.String("client", "acme", "client")
	secret := flag.String("secret", "acme-secret", "its secret")
	flag.Parse()
	if err := run(*addr, *client, *secret); err != nil {
		fmt.Fprintln(os.Stderr, "limits:", err)
		os.Exit(1)
	}
}

// run sends 25 requests and prints the replies.
func run(addr, client, secret string) error {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	gateway := pb.NewGatewayClient(conn)
	ctx := metadata.AppendToOutgoingContext(context.Background(), "authorization",
		"Basic "+base64.StdEncoding.EncodeToString([]byte(client+":"+secret)))
	for i := range 25 {
		reply, err := do(ctx, gateway, "JOB.STATUS", fmt.Sprint(i))
		if err != nil {
			return err
		}
		fmt.Printf("%q\n", reply)
	}
	return nil
}

// do sends one request and retries it while the gateway refuses it, which is safe because a refused request did not run.
func do(ctx context.Context, gateway pb.GatewayClient, words ...string) (string, error) {
	request := &pb.DoRequest{}
	for _, word := range words {
		request.Words = append(request.Words, []byte(word))
	}
	for {
		requestCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		response, err := gateway.Do(requestCtx, request)
		cancel()
		if status.Code(err) != codes.ResourceExhausted {
			return string(response.GetReply()), err
		}
		retryDelay := time.Second
		for _, detail := range status.Convert(err).Details() {
			if retryInfo, ok := detail.(*errdetails.RetryInfo); ok {
				retryDelay = retryInfo.GetRetryDelay().AsDuration()
			}
		}
		time.Sleep(retryDelay)
	}
}
