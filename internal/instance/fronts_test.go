package instance

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
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
)

// grpcPart is a gRPC front with one domain for Envoy.
func grpcPart() string {
	return fmt.Sprintf(`
(grpc (listen "127.0.0.1:0") (domain edge (secret-sha256 "%x") (unmatched refuse)
  (descriptor (customer client) (class job-status))))`, config.HashSecret("edge-secret"))
}

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

func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// One customer that asks over both fronts of two instances gets its quota once: its burst and what has
// filled meanwhile. Never seen before, it may get one even split more: what a member passes unheard.
func TestOneQuotaOverAllFronts(t *testing.T) {
	raw, err := os.ReadFile("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	base, _, _ := strings.Cut(string(raw), "; The gRPC front")
	text := strings.Replace(base, "127.0.0.1:7379", "127.0.0.1:0", 1) + grpcPart()
	text = strings.Replace(text, "(rate 10) (burst 20)", "(rate 2) (burst 60)", 1)
	text += fmt.Sprintf(`(instances (key "%s") (instance 0 %q) (instance 1 %q))`, strings.Repeat("ab", 32), freeUDP(t), freeUDP(t))
	var asks []func() bool
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
		asks = append(asks, func() bool {
			v, err := c.Do(context.Background(), "CL.THROTTLE", "acme", 1, 1, 1).Int64Slice()
			return err == nil && v[0] == 0
		}, func() bool {
			r, err := limits.ShouldRateLimit(basicAuth("edge", "edge-secret"), &rlsv3.RateLimitRequest{Domain: "edge",
				Descriptors: []*ratelimitv3.RateLimitDescriptor{{Entries: []*ratelimitv3.RateLimitDescriptor_Entry{{Key: "client", Value: "acme"}}}}})
			return err == nil && r.GetOverallCode() == rlsv3.RateLimitResponse_OK
		})
	}
	passed := make([]int, len(asks))
	var work sync.WaitGroup
	for i, ask := range asks {
		work.Add(1)
		go func() {
			defer work.Done()
			for n := range 200 {
				if ask() {
					passed[i]++
				}
				if n > 50 { // first as fast as it can, then at a pace
					time.Sleep(5 * time.Millisecond)
				}
			}
		}()
	}
	work.Wait()
	all := passed[0] + passed[1] + passed[2] + passed[3]
	most := 60 + int(2*time.Since(begin).Seconds()) + 60/2
	if all < 50 || all > most {
		t.Errorf("%d passed (%v), want 50 to %d", all, passed, most)
	}
}

// A crowd on one front that does not read its answers leaves the other front as it was.
func TestSlowFrontSlowsNoOther(t *testing.T) {
	s := newSite(t, 0.001)
	s.settings += grpcPart()
	in, c := s.start(1)
	defer stop(t, in, c)
	work := pb.NewGatewayClient(dialRPC(t, in))
	ctx, cancel := context.WithCancel(basicAuth("acme", "acme-secret"))
	defer cancel()
	for range 4 { // streams that send and never read
		st, err := work.Stream(ctx)
		if err != nil {
			t.Fatal(err)
		}
		go func() { // ends with the stream, as flow control stops it
			for i := 0; st.Send(&pb.StreamRequest{Id: uint64(i), Request: &pb.DoRequest{Words: [][]byte{[]byte("JOB.STATUS"), []byte("1")}}}) == nil; i++ {
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

// BenchmarkDoLatency is the latency that Do adds over asking a box directly, at 1,000 a second.
func BenchmarkDoLatency(b *testing.B) {
	for b.Loop() {
		list := boxesFor(b, 0.000001)
		cfg := wide(b, 64, list)
		cfg.GRPC = &config.GRPC{Listen: "127.0.0.1:0", MaxConnections: 1000, MaxStreams: 1000, MaxStreamRequests: 64, MaxMessageBytes: 1 << 20}
		in, _ := run(b, cfg)
		work := pb.NewGatewayClient(dialRPC(b, in))
		direct := latency(b, func(i int) (string, string) { return list[i%3], "" })
		var all []time.Duration
		for range 2 { // the first until the connections stand
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
					_, err := work.Do(basicAuth(fmt.Sprint("c", n%64), "s"), &pb.DoRequest{Words: [][]byte{[]byte("JOB.STATUS"), []byte("1")}})
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

// BenchmarkQuestions are answers a second on one instance, from 50 callers one at a time: an empty unary call,
// ShouldRateLimit on the same server, and CL.THROTTLE.
func BenchmarkQuestions(b *testing.B) {
	for b.Loop() {
		cfg := wide(b, 64, []string{"127.0.0.1:1"})
		cfg.GRPC = &config.GRPC{Listen: "127.0.0.1:0", MaxConnections: 1000, MaxStreams: 1000, MaxStreamRequests: 64, MaxMessageBytes: 1 << 20,
			Domains: []config.Domain{{Name: "edge", SecretHash: config.HashSecret("e"), Descriptors: []config.Descriptor{{CustomerKey: "client", Units: 1}}}}}
		in, addr := run(b, cfg)
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
		asked := rate(func(i int) error {
			_, err := limits.ShouldRateLimit(basicAuth("edge", "e"), &rlsv3.RateLimitRequest{Domain: "edge",
				Descriptors: []*ratelimitv3.RateLimitDescriptor{{Entries: []*ratelimitv3.RateLimitDescriptor_Entry{{Key: "client", Value: fmt.Sprint("c", i)}}}}})
			return err
		})
		resp := pump(b, addr, 50, 1, throttle, "*", 2*time.Second)
		b.ReportMetric(asked/empty, "of-empty-call")
		b.ReportMetric(asked/resp, "of-CL.THROTTLE")
		b.ReportMetric(asked, "ask/s")
	}
}
