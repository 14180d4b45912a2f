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
		if err := partOf(part, os.Getenv("COMETPOND_ARG")); err != nil {
			os.Stderr.WriteString(err.Error() + "\n")
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

// site is boxes in rooms of their own and the settings that name them.
type site struct {
	t        *testing.T
	boxes    []*standin.Server
	settings string

	mu   sync.Mutex
	seen []standin.Arrival
}

func newSite(t *testing.T, work float64) *site {
	t.Helper()
	raw, err := os.ReadFile("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	base, _, _ := strings.Cut(string(raw), "; The gRPC front")
	s := &site{t: t, settings: strings.Replace(base, "127.0.0.1:7379", "127.0.0.1:0", 1)}
	s.settings = strings.Replace(s.settings, "(burst 20)", "(burst 200)", 1)
	cfg, err := config.Parse("one", s.settings)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		b, err := standin.NewServer("127.0.0.1:0", standin.ServerOptions{Params: standin.DefaultParams, Jobs: standin.Jobs(cfg, work),
			Seed: uint64(i), OnArrival: func(a standin.Arrival) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.seen = append(s.seen, a)
			}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		s.boxes = append(s.boxes, b)
		s.settings = strings.ReplaceAll(s.settings, fmt.Sprintf("127.0.0.1:%d", 7401+i), b.Addr())
	}
	return s
}

// ran counts how often a key ran, and the boxes that were sent it.
func (s *site) ran(key string) (n int, boxes map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	boxes = map[string]bool{}
	for _, a := range s.seen {
		if len(a.Words) > 1 && a.Words[1] == key {
			boxes[a.Server] = true
			if a.Executed {
				n++
			}
		}
	}
	return n, boxes
}

func (s *site) start(seed uint64) (*Instance, *redis.Client) {
	s.t.Helper()
	cfg, err := config.Parse("one", s.settings)
	if err != nil {
		s.t.Fatal(err)
	}
	in, err := Start(context.Background(), cfg, Options{Log: zerolog.Nop(), Seed: seed})
	if err != nil {
		s.t.Fatal(err)
	}
	a := in.Addr()
	return in, redis.NewClient(&redis.Options{Addr: a.String(), Username: "acme", Password: "acme-secret", MaxRetries: -1,
		ReadTimeout: 20 * time.Second})
}

func stop(t *testing.T, in *Instance, c *redis.Client) {
	t.Helper()
	defer c.Close()
	in.Stop(context.Background())
	if s := in.Status(); s.Received != s.Served+s.Refused+s.Failed+s.Admitted+s.Disconnected || s.OpenRequests != 0 {
		t.Errorf("answers do not add up: %+v", s)
	}
}

func TestServesWorkAndLimits(t *testing.T) {
	s := newSite(t, 0.001)
	in, c := s.start(1)
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
		t.Fatalf("work and limits share the quota: %v %v", v, err)
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

// A key repeated through the same instance runs once, whether it is under way or answered.
func TestKeyThroughTheSame(t *testing.T) {
	s := newSite(t, 0.05)
	in, c := s.start(1)
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
	if n, _ := s.ran("same"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// Keys repeated through another instance, and through one that was restarted and knows nothing, run once:
// they reach the same room.
func TestKeyThroughOthers(t *testing.T) {
	s := newSite(t, 0.001)
	a, ca := s.start(1)
	b, cb := s.start(2)
	ctx := context.Background()
	const keys = 60
	for i := range keys {
		if err := ca.Do(ctx, "SIGN.SUBMIT", fmt.Sprint("key", i), "img").Err(); err != nil {
			t.Fatal(err)
		}
	}
	stop(t, a, ca)
	again, cagain := s.start(3)
	for i := range keys {
		for _, c := range []*redis.Client{cb, cagain} {
			if v, err := c.Do(ctx, "SIGN.SUBMIT", fmt.Sprint("key", i), "img").Text(); err != nil || v != fmt.Sprint("SIGN.SUBMIT done key", i) {
				t.Fatalf("key%d: %q %v", i, v, err)
			}
		}
	}
	rooms := map[string]int{}
	for i := range keys {
		n, boxes := s.ran(fmt.Sprint("key", i))
		if n != 1 || len(boxes) != 1 {
			t.Errorf("key%d ran %d times, at %v", i, n, boxes)
		}
		for box := range boxes {
			rooms[box]++
		}
	}
	if len(rooms) != 3 {
		t.Errorf("the keys went to %d rooms of 3: %v", len(rooms), rooms)
	}
	stop(t, b, cb)
	stop(t, again, cagain)
}

// A stop lets what is in flight end, and a stop whose time is up settles it: each call has one answer.
func TestStop(t *testing.T) {
	for name, c := range map[string]struct {
		drain string
		want  func(string, error) bool
	}{
		"in time": {"10s", func(v string, err error) bool { return err == nil && v == "SIGN.SUBMIT done k" }},
		"settled": {"0s", func(v string, err error) bool { return err != nil && strings.HasPrefix(err.Error(), "FAILED") }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0.2)
			s.settings = strings.Replace(s.settings, "(me 0)", "(me 0) (drain "+c.drain+")", 1)
			in, client := s.start(1)
			type end struct {
				v   string
				err error
			}
			done := make(chan end, 1)
			go func() {
				v, err := client.Do(context.Background(), "SIGN.SUBMIT", "k", "img").Text()
				done <- end{v, err}
			}()
			for {
				if n, _ := s.ran("k"); n == 1 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			stop(t, in, client)
			if e := <-done; !c.want(e.v, e.err) {
				t.Errorf("%q %v", e.v, e.err)
			}
		})
	}
}

// Instances that come and go leave no descriptor behind.
func TestNothingLeaks(t *testing.T) {
	s := newSite(t, 0.001)
	count := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("no /proc here")
		}
		return len(list)
	}
	cycle := func() {
		in, c := s.start(1)
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
			t.Fatalf("%d descriptors, %d before", count(), before)
		}
	}
}
