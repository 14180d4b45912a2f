package instance

import (
	"context"
	"encoding/base64"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	ratelimitv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/redis/go-redis/v9"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"

	"cometpond/internal/config"
	pb "cometpond/internal/rpc/cometpondv1"
	"cometpond/internal/standin"
)

// grpcSettings returns the settings of a gRPC front with one domain for Envoy.
func grpcSettings() string {
	return fmt.Sprintf(`
(grpc (listen "127.0.0.1:0") (domain edge (secret-sha256 "%x") (unmatched refuse)
  (descriptor (customer client) (class job-status))))`, config.HashSecret("edge-secret"))
}

// basicAuth returns a context whose outgoing calls carry the credentials of a client or domain.
func basicAuth(name, secret string) context.Context {
	return metadata.AppendToOutgoingContext(context.Background(), "authorization",
		"Basic "+base64.StdEncoding.EncodeToString([]byte(name+":"+secret)))
}

func dialRPC(t testing.TB, in *Instance) *grpc.ClientConn {
	t.Helper()
	c, err := grpc.NewClient(in.RPCAddr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// freeUDP returns a loopback address for datagrams that an instance can use.
func freeUDP(t *testing.T) string {
	t.Helper()
	addr, err := standin.FreeUDPAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// A customer that uses both fronts of two instances gets its quota once: the burst and the units refilled meanwhile.
// As no instance has seen it before, it may get one even split more, which a member admits before it has heard from
// the other.
func TestOneQuotaOverAllFronts(t *testing.T) {
	raw, err := os.ReadFile("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	base, _, _ := strings.Cut(string(raw), "; The gRPC front")
	text := strings.Replace(base, "127.0.0.1:7379", "127.0.0.1:0", 1) + grpcSettings()
	text = strings.Replace(text, "(rate 10) (burst 20)", "(rate 2) (burst 60)", 1)
	text += fmt.Sprintf(`(instances (key "%s") (instance 0 %q) (instance 1 %q))`, strings.Repeat("ab", 32), freeUDP(t), freeUDP(t))
	var callers []func() bool
	begin := time.Now()
	for me := range 2 {
		cfg, err := config.Parse("two", strings.Replace(text, "(me 0)", fmt.Sprintf("(me %d)", me), 1))
		if err != nil {
			t.Fatal(err)
		}
		in, err := Start(context.Background(), cfg, Options{Log: zerolog.Nop(), Seed: uint64(me + 1)})
		if err != nil {
			t.Fatal(err)
		}
		a := in.Addr()
		c := redis.NewClient(&redis.Options{Addr: a.String(), Username: "acme", Password: "acme-secret", MaxRetries: -1})
		defer stop(t, in, c)
		limits := rlsv3.NewRateLimitServiceClient(dialRPC(t, in))
		callers = append(callers, func() bool {
			v, err := c.Do(context.Background(), "CL.THROTTLE", "acme", 1, 1, 1).Int64Slice()
			return err == nil && v[0] == 0
		}, func() bool {
			r, err := limits.ShouldRateLimit(basicAuth("edge", "edge-secret"), &rlsv3.RateLimitRequest{Domain: "edge",
				Descriptors: []*ratelimitv3.RateLimitDescriptor{{Entries: []*ratelimitv3.RateLimitDescriptor_Entry{{Key: "client", Value: "acme"}}}}})
			return err == nil && r.GetOverallCode() == rlsv3.RateLimitResponse_OK
		})
	}
	admitted := make([]int, len(callers))
	var work sync.WaitGroup
	for i, call := range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			for n := range 200 {
				if call() {
					admitted[i]++
				}
				if n > 50 { // the first requests without a pause, the others at a steady rate
					time.Sleep(5 * time.Millisecond)
				}
			}
		}()
	}
	work.Wait()
	total := admitted[0] + admitted[1] + admitted[2] + admitted[3]
	maxTotal := 60 + int(2*time.Since(begin).Seconds()) + 60/2
	if total < 50 || total > maxTotal {
		t.Errorf("%d requests admitted (%v), want 50 to %d", total, admitted, maxTotal)
	}
}

// Clients of the gRPC front that never read their answers do not disturb the RESP front.
func TestUnreadAnswersOnOneFrontSpareOther(t *testing.T) {
	fx := newFixture(t, 0.001)
	fx.settings += grpcSettings()
	in, c := fx.start(1)
	defer stop(t, in, c)
	gateway := pb.NewGatewayClient(dialRPC(t, in))
	ctx, cancel := context.WithCancel(basicAuth("acme", "acme-secret"))
	defer cancel()
	for range 4 { // streams that send and never read
		stream, err := gateway.Stream(ctx)
		if err != nil {
			t.Fatal(err)
		}
		go func() { // sends until flow control blocks it, ends with the stream
			for i := 0; stream.Send(&pb.StreamRequest{Id: uint64(i),
				Request: &pb.DoRequest{Words: [][]byte{[]byte("JOB.STATUS"), []byte("1")}}}) == nil; i++ {
			}
		}()
	}
	for range 200 {
		if err := c.Do(context.Background(), "PING").Err(); err != nil {
			t.Fatal(err)
		}
		if err := c.Do(context.Background(), "CL.THROTTLE", "acme", 1, 1, 1, 0).Err(); err != nil {
			t.Fatal(err)
		}
	}
}

// BenchmarkDoLatency measures the latency that Do adds to a direct request to a server, at 1,000 requests a second.
func BenchmarkDoLatency(b *testing.B) {
	for b.Loop() {
		list := startServers(b, 0.000001)
		cfg := unlimitedConfig(b, 64, list)
		cfg.GRPC = &config.GRPC{Listen: "127.0.0.1:0", MaxConnections: 1000, MaxStreams: 1000, MaxStreamRequests: 64, MaxMessageBytes: 1 << 20}
		in, _ := startGateway(b, cfg)
		gateway := pb.NewGatewayClient(dialRPC(b, in))
		direct := measureLatency(b, func(i int) (string, string) { return list[i%3], "" })
		var all []time.Duration
		for range 2 { // the first round opens the connections
			all = nil
			var mu sync.Mutex
			var wait sync.WaitGroup
			begin := time.Now()
			for n := range 5000 {
				time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Millisecond)))
				wait.Add(1)
				go func() {
					defer wait.Done()
					at := time.Now()
					_, err := gateway.Do(basicAuth(fmt.Sprint("c", n%64), "s"), &pb.DoRequest{Words: [][]byte{[]byte("JOB.STATUS"), []byte("1")}})
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						all = append(all, time.Since(at))
					}
				}()
			}
			wait.Wait()
		}
		if len(all) < 4900 {
			b.Fatalf("%d of 5,000 served", len(all))
		}
		b.ReportMetric(float64((quantile(all, 0.5) - quantile(direct, 0.5)).Microseconds()), "p50-added-us")
		b.ReportMetric(float64((quantile(all, 0.99) - quantile(direct, 0.99)).Microseconds()), "p99-added-us")
	}
}

// BenchmarkRateLimitCalls measures the answers a second of one instance to 50 callers with one request in flight each:
// an empty unary call, ShouldRateLimit on the same gRPC server, and CL.THROTTLE.
func BenchmarkRateLimitCalls(b *testing.B) {
	for b.Loop() {
		cfg := unlimitedConfig(b, 64, []string{"127.0.0.1:1"})
		cfg.GRPC = &config.GRPC{Listen: "127.0.0.1:0", MaxConnections: 1000, MaxStreams: 1000, MaxStreamRequests: 64, MaxMessageBytes: 1 << 20,
			Domains: []config.Domain{{Name: "edge", SecretHash: config.HashSecret("e"),
				Descriptors: []config.Descriptor{{CustomerKey: "client", Units: 1}}}}}
		in, addr := startGateway(b, cfg)
		conn := dialRPC(b, in)
		limits, health := rlsv3.NewRateLimitServiceClient(conn), healthv1.NewHealthClient(conn)
		rate := func(f func(i int) error) float64 {
			var work sync.WaitGroup
			var n atomic.Int64
			begin := time.Now()
			for i := range 50 {
				work.Add(1)
				go func() {
					defer work.Done()
					for time.Since(begin) < 2*time.Second {
						if err := f(i); err != nil {
							b.Error(err)
							return
						}
						n.Add(1)
					}
				}()
			}
			work.Wait()
			return float64(n.Load()) / time.Since(begin).Seconds()
		}
		empty := rate(func(int) error {
			_, err := health.Check(context.Background(), &healthv1.HealthCheckRequest{})
			return err
		})
		rateLimited := rate(func(i int) error {
			_, err := limits.ShouldRateLimit(basicAuth("edge", "e"), &rlsv3.RateLimitRequest{Domain: "edge",
				Descriptors: []*ratelimitv3.RateLimitDescriptor{{Entries: []*ratelimitv3.RateLimitDescriptor_Entry{{Key: "client", Value: fmt.Sprint("c", i)}}}}})
			return err
		})
		resp := pipelinedAnswersPerS(b, addr, 50, 1, throttleCommand, "*", 2*time.Second)
		b.ReportMetric(rateLimited/empty, "of-empty-call")
		b.ReportMetric(rateLimited/resp, "of-CL.THROTTLE")
		b.ReportMetric(rateLimited, "ask/s")
	}
}
