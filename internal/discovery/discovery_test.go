package discovery_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/config"
	"cometpond/internal/discovery"
	"cometpond/internal/standin"
	"cometpond/policy"
)

// sink is a core that takes lists when the test lets it.
type sink struct {
	mu    sync.Mutex
	lists [][]policy.Server
	hold  chan struct{} // nil: taken at once
}

func (s *sink) Servers(list []policy.Server, whole bool) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, list)
	if s.hold != nil {
		return s.hold
	}
	done := make(chan struct{})
	close(done)
	return done
}

func (s *sink) last() []policy.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lists) == 0 {
		return nil
	}
	return s.lists[len(s.lists)-1]
}

func wait(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come about in 20 s")
		}
	}
}

var list = []policy.Server{{ID: "127.0.0.1:1", Zone: "a", Cell: 1, Weight: 2, SinceS: 1700000000.5},
	{ID: "127.0.0.1:2", Zone: "b", Weight: 1, State: policy.Draining}}

func follow(t *testing.T, e *standin.EDS, s *sink, keep string) *discovery.Client {
	c := discovery.NewClient(config.Discovery{Servers: []string{"127.0.0.1:9", e.Addr()}, Cluster: "boxes", Keep: keep}, "me", s, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Add(1)
	go func() { defer work.Done(); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); work.Wait() })
	return c
}

// A list goes round by the protocol unchanged, and is acknowledged only once it is in force. The first
// server in order is down.
func TestInForceBeforeAcknowledged(t *testing.T) {
	e, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	s := &sink{hold: make(chan struct{})}
	c := follow(t, e, s, "")
	wait(t, func() bool { return s.last() != nil })
	got := s.last()
	if len(got) != 2 || got[0] != list[0] || got[1] != list[1] {
		t.Fatalf("%+v, want %+v", got, list)
	}
	time.Sleep(50 * time.Millisecond)
	if n := len(e.Told()); n != 0 {
		t.Fatalf("%d acknowledgements before the list was in force", n)
	}
	close(s.hold)
	wait(t, func() bool { return len(e.Told()) == 1 })
	if a := e.Told()[0]; a.Node != "me" || a.Version != 1 || a.Error != "" || !c.State().Connected {
		t.Fatalf("%+v", a)
	}
}

// A bad list is refused with its reason, the last good one stays, and a good one after it is taken.
func TestBadListIsRefused(t *testing.T) {
	e, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	s := &sink{}
	c := follow(t, e, s, "")
	wait(t, func() bool { return len(e.Told()) == 1 })
	e.Set([]policy.Server{{ID: "127.0.0.1:3"}}) // no zone
	wait(t, func() bool { return len(e.Told()) == 2 })
	if a := e.Told()[1]; a.Version != 1 || !strings.Contains(a.Error, "no zone") {
		t.Fatalf("%+v", a)
	}
	if len(s.last()) != 2 || c.State().Nacked != 1 {
		t.Fatalf("%+v, %+v", s.last(), c.State())
	}
	e.Set(list[:1])
	wait(t, func() bool { return len(e.Told()) == 3 && len(s.last()) == 1 })
}

// The last list is kept, found again at a start without discovery, and a damaged file is an error and no list.
func TestKeptList(t *testing.T) {
	keep := filepath.Join(t.TempDir(), "list.json")
	e, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	s := &sink{}
	follow(t, e, s, keep)
	wait(t, func() bool { return len(e.Told()) == 1 })
	e.Close()
	again := &sink{}
	c := discovery.NewClient(config.Discovery{Servers: []string{"127.0.0.1:9"}, Cluster: "boxes", Keep: keep}, "me", again, zerolog.Nop())
	if err := c.Restore(context.Background()); err != nil || len(again.last()) != 2 || again.last()[1] != list[1] {
		t.Fatalf("%v %+v", err, again.last())
	}
	raw, err := os.ReadFile(keep)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"", string(raw[:len(raw)/2]), `{"version":"1","assignment":{"nope":1}}`} {
		if err := os.WriteFile(keep, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		empty := &sink{}
		c := discovery.NewClient(config.Discovery{Keep: keep, Cluster: "boxes"}, "me", empty, zerolog.Nop())
		if err := c.Restore(context.Background()); err == nil || empty.last() != nil {
			t.Errorf("%q: %v, %v", bad, err, empty.last())
		}
	}
	if entries, _ := os.ReadDir(filepath.Dir(keep)); len(entries) != 1 {
		t.Errorf("%d files beside the list", len(entries)-1)
	}
}
