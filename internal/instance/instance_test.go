package instance

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"cometpond/internal/config"
	"cometpond/internal/standin"
)

func TestMain(m *testing.M) {
	if part := os.Getenv("COMETPOND_PART"); part != "" {
		if err := runMeasurementProcess(part, os.Getenv("COMETPOND_ARG")); err != nil {
			os.Stderr.WriteString(err.Error() + "\n")
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

// fixture holds three test servers, each in a zone of its own, and the settings text that lists them.
type fixture struct {
	t        *testing.T
	servers  []*standin.Server
	settings string

	mu       sync.Mutex
	arrivals []standin.Arrival
}

func newFixture(t *testing.T, work float64) *fixture {
	t.Helper()
	raw, err := os.ReadFile("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	base, _, _ := strings.Cut(string(raw), "; The gRPC front")
	fx := &fixture{t: t, settings: strings.Replace(base, "127.0.0.1:7379", "127.0.0.1:0", 1)}
	fx.settings = strings.Replace(fx.settings, "(burst 20)", "(burst 200)", 1)
	cfg, err := config.Parse("one", fx.settings)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		server, err := standin.NewServer("127.0.0.1:0", standin.ServerOptions{Params: standin.DefaultParams, Jobs: standin.Jobs(cfg, work),
			Seed: uint64(i), OnArrival: func(a standin.Arrival) {
				fx.mu.Lock()
				defer fx.mu.Unlock()
				fx.arrivals = append(fx.arrivals, a)
			}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		fx.servers = append(fx.servers, server)
		fx.settings = strings.ReplaceAll(fx.settings, fmt.Sprintf("127.0.0.1:%d", 7401+i), server.Addr())
	}
	return fx
}

// executions returns how often the request with this key was executed and which servers received it.
func (fx *fixture) executions(key string) (n int, servers map[string]bool) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	servers = map[string]bool{}
	for _, a := range fx.arrivals {
		if len(a.Words) > 1 && a.Words[1] == key {
			servers[a.Server] = true
			if a.Executed {
				n++
			}
		}
	}
	return n, servers
}

// start starts an instance with the settings and returns it with a client that is logged in.
func (fx *fixture) start(seed uint64) (*Instance, *redis.Client) {
	fx.t.Helper()
	cfg, err := config.Parse("one", fx.settings)
	if err != nil {
		fx.t.Fatal(err)
	}
	in, err := Start(context.Background(), cfg, Options{Log: zerolog.Nop(), Seed: seed})
	if err != nil {
		fx.t.Fatal(err)
	}
	a := in.Addr()
	return in, redis.NewClient(&redis.Options{Addr: a.String(), Username: "acme", Password: "acme-secret", MaxRetries: -1,
		ReadTimeout: 20 * time.Second})
}

// stop stops the instance and checks that each accepted request has been counted with exactly one outcome.
func stop(t *testing.T, in *Instance, c *redis.Client) {
	t.Helper()
	defer c.Close()
	in.Stop(context.Background())
	if status := in.Status(); status.Received != status.Served+status.Refused+status.Failed+status.Admitted+status.Disconnected || status.OpenRequests != 0 {
		t.Errorf("answers do not add up: %+v", status)
	}
}

// Served commands and CL.THROTTLE of one customer draw on the same quota.
func TestServesCommandsAndThrottle(t *testing.T) {
	fx := newFixture(t, 0.001)
	in, c := fx.start(1)
	defer stop(t, in, c)
	ctx := context.Background()
	for _, words := range [][]any{{"JOB.STATUS", "1"}, {"IMAGE.FETCH", "2"}, {"SIGN.SUBMIT", "k", "img"}} {
		want := fmt.Sprintf("%s done %s", words[0], words[1])
		if v, err := c.Do(ctx, words...).Text(); err != nil || v != want {
			t.Fatalf("%v: %q %v", words, v, err)
		}
	}
	v, err := c.Do(ctx, "CL.THROTTLE", "acme", 199, 10, 1, 60).Int64Slice()
	if err != nil || v[0] != 0 || v[1] != 200 || v[2] < 137 || v[2] > 140 || v[3] != -1 {
		t.Fatalf("commands and CL.THROTTLE do not share the quota: %v %v", v, err)
	}
	for range 3 {
		v, err = c.Do(ctx, "CL.THROTTLE", "acme", 199, 10, 1, 60).Int64Slice()
	}
	if err != nil || v[0] != 1 || v[3] < 1 {
		t.Fatalf("over the quota: %v %v", v, err)
	}
	if text, err := c.Info(ctx).Result(); err != nil || !strings.Contains(text, "served:3\r\n") {
		t.Fatalf("%q %v", text, err)
	}
}

// A request repeated with the same key through the same instance is executed once, whether the first one is still
// in flight or has been answered.
func TestRepeatThroughSameInstance(t *testing.T) {
	fx := newFixture(t, 0.05)
	in, c := fx.start(1)
	defer stop(t, in, c)
	ctx := context.Background()
	var work sync.WaitGroup
	for range 4 {
		work.Add(1)
		go func() {
			defer work.Done()
			if v, err := c.Do(ctx, "SIGN.SUBMIT", "same", "img").Text(); err != nil || v != "SIGN.SUBMIT done same" {
				t.Errorf("%q %v", v, err)
			}
		}()
	}
	work.Wait()
	if v, err := c.Do(ctx, "SIGN.SUBMIT", "same", "img").Text(); err != nil || v != "SIGN.SUBMIT done same" {
		t.Errorf("%q %v", v, err)
	}
	if n, _ := fx.executions("same"); n != 1 {
		t.Errorf("executed %d times, want once", n)
	}
}

// Requests repeated with the same key through another instance, or through a restarted one without any state, are
// executed once: all instances send a key to the same zone, which detects the repeat.
func TestRepeatThroughOtherInstances(t *testing.T) {
	fx := newFixture(t, 0.001)
	first, firstClient := fx.start(1)
	second, secondClient := fx.start(2)
	ctx := context.Background()
	const keys = 60
	for i := range keys {
		if err := firstClient.Do(ctx, "SIGN.SUBMIT", fmt.Sprint("key", i), "img").Err(); err != nil {
			t.Fatal(err)
		}
	}
	stop(t, first, firstClient)
	restarted, restartedClient := fx.start(3)
	for i := range keys {
		for _, c := range []*redis.Client{secondClient, restartedClient} {
			if v, err := c.Do(ctx, "SIGN.SUBMIT", fmt.Sprint("key", i), "img").Text(); err != nil || v != fmt.Sprint("SIGN.SUBMIT done key", i) {
				t.Fatalf("key%d: %q %v", i, v, err)
			}
		}
	}
	zones := map[string]int{}
	for i := range keys {
		n, servers := fx.executions(fmt.Sprint("key", i))
		if n != 1 || len(servers) != 1 {
			t.Errorf("key%d was executed %d times, at %v; want once at one server", i, n, servers)
		}
		for server := range servers {
			zones[server]++
		}
	}
	if len(zones) != 3 {
		t.Errorf("the keys reached %d of 3 zones: %v", len(zones), zones)
	}
	stop(t, second, secondClient)
	stop(t, restarted, restartedClient)
}

// Stop lets a request in flight finish within the drain time, and answers it with an error when that time is over:
// each call gets one answer.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		drain string
		want  func(string, error) bool
	}{
		"in time": {"10s", func(v string, err error) bool { return err == nil && v == "SIGN.SUBMIT done k" }},
		"settled": {"0s", func(v string, err error) bool { return err != nil && strings.HasPrefix(err.Error(), "FAILED") }},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, 0.2)
			fx.settings = strings.Replace(fx.settings, "(me 0)", "(me 0) (drain "+c.drain+")", 1)
			in, client := fx.start(1)
			type outcome struct {
				v   string
				err error
			}
			done := make(chan outcome, 1)
			go func() {
				v, err := client.Do(context.Background(), "SIGN.SUBMIT", "k", "img").Text()
				done <- outcome{v, err}
			}()
			for {
				if n, _ := fx.executions("k"); n == 1 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			stop(t, in, client)
			if got := <-done; !c.want(got.v, got.err) {
				t.Errorf("%q %v", got.v, got.err)
			}
		})
	}
}

// Starting and stopping instances leaks no file descriptors.
func TestNoDescriptorLeaks(t *testing.T) {
	fx := newFixture(t, 0.001)
	count := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("/proc is not available")
		}
		return len(list)
	}
	cycle := func() {
		in, c := fx.start(1)
		if err := c.Do(context.Background(), "JOB.STATUS", "1").Err(); err != nil {
			t.Error(err)
		}
		stop(t, in, c)
	}
	cycle()
	before := count()
	for range 5 {
		cycle()
	}
	for end := time.Now().Add(10 * time.Second); count() > before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d file descriptors are open, %d before", count(), before)
		}
	}
}
