// Command limits asks a gateway for units and then for work over gRPC, as an in-house client would:
//
//	go run ./examples/limits -addr 127.0.0.1:7380 -client acme -secret acme-secret
//
// Refused (RESOURCE_EXHAUSTED) is repeated after the delay that the gateway names; anything else is not.
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

func run(addr, client, secret string) error {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	gate := pb.NewGatewayClient(conn)
	ctx := metadata.AppendToOutgoingContext(context.Background(), "authorization",
		"Basic "+base64.StdEncoding.EncodeToString([]byte(client+":"+secret)))
	for i := range 25 {
		reply, err := do(ctx, gate, "JOB.STATUS", fmt.Sprint(i))
		if err != nil {
			return err
		}
		fmt.Printf("%q\n", reply)
	}
	return nil
}

// do asks for work, and again while the gateway says that this is harmless.
func do(ctx context.Context, gate pb.GatewayClient, words ...string) (string, error) {
	req := &pb.DoRequest{}
	for _, w := range words {
		req.Words = append(req.Words, []byte(w))
	}
	for {
		within, cancel := context.WithTimeout(ctx, 5*time.Second)
		res, err := gate.Do(within, req)
		cancel()
		if status.Code(err) != codes.ResourceExhausted {
			return string(res.GetReply()), err
		}
		wait := time.Second
		for _, d := range status.Convert(err).Details() {
			if r, ok := d.(*errdetails.RetryInfo); ok {
				wait = r.GetRetryDelay().AsDuration()
			}
		}
		time.Sleep(wait)
	}
}
